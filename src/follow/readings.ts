/**
 * Readings of the store's revision at certain times, from the pages that any process received.
 *
 * They bound when a row was written, however long the request or its answer took: not before the latest
 * time at which the store had not reached the row's revision. All tables share one revision counter, so
 * pages of any table can be used.
 *
 * @packageDocumentation
 */
import type * as Routing from '../routing/index.ts'
import * as Positions from './positions.ts'

/** The store's position at a time of its clock. */
export interface Reading {
  readonly revision: number
  /** The store's time, in milliseconds. */
  readonly atMs: number
}

/** The first and the last time at which the store was seen at a revision, in milliseconds. */
interface RevisionSpan {
  readonly firstMs: number
  readonly lastMs: number
}

/** Collects readings of the store. */
export interface Readings extends Routing.Versions.RevisionTimes {
  record: (reading: Reading) => void
  /** The latest reading, to be sent to other processes; undefined before the first. */
  latest: () => Reading | undefined
}

/** Time for which readings are kept, in milliseconds: longer than a new version may take to reach all processes. */
const RETENTION_MS = 30_000

/**
 * Creates an empty collection of readings.
 *
 * @returns The readings.
 */
export function createReadings (): Readings {
  /** Spans by revision. */
  const spans = new Map<number, RevisionSpan>()
  let latest: Reading | undefined
  return {
    record: reading => {
      const { revision, atMs } = reading
      const span = spans.get(revision)
      spans.set(revision, { firstMs: Math.min(span?.firstMs ?? atMs, atMs), lastMs: Math.max(span?.lastMs ?? atMs, atMs) })
      if (latest !== undefined && latest.atMs >= atMs) return
      latest = reading
      for (const [other, { lastMs }] of spans) if (atMs - lastMs > RETENTION_MS) spans.delete(other)
    },
    latest: () => latest,
    notBeforeMs: revision => {
      let latestMs = -Infinity
      // A restored store has rows that are older than all readings of earlier eras.
      for (const [other, { lastMs }] of spans) if (other < revision && Positions.eraOf(other) === Positions.eraOf(revision)) latestMs = Math.max(latestMs, lastMs)
      return latestMs
    },
    answeredAfterMs: timeMs => {
      let earliestMs = Infinity
      for (const { firstMs, lastMs } of spans.values()) if (lastMs > timeMs) earliestMs = Math.min(earliestMs, firstMs > timeMs ? firstMs : lastMs)
      return earliestMs
    }
  }
}
