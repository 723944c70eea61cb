/**
 * Which revision the store had at which time, by the pages that it gave to any process.
 *
 * Shows when a row was written however long the request for it, or its answer, was on its way: not
 * before the latest time at which the store had not reached the row's revision. All tables share one
 * counter of revisions, so a page of any table serves.
 *
 * @packageDocumentation
 */
import type * as Routing from '../routing/index.ts'

/** That the store had a revision at a time of its clock. */
export interface Reading {
  readonly revision: number
  /** In milliseconds. */
  readonly atMs: number
}

/** Between which times the store was seen at a revision, in milliseconds. */
interface RevisionSpan {
  readonly firstMs: number
  readonly lastMs: number
}

/** Readings of the store. */
export interface Readings extends Routing.Versions.RevisionTimes {
  record: (reading: Reading) => void
  /** The latest reading, for other processes. */
  latest: () => Reading | undefined
}

/** Readings are kept for so long, in milliseconds: longer than a version may take to be everywhere. */
const RETENTION_MS = 30_000

/**
 * Creates an empty store of readings.
 *
 * @returns The readings.
 */
export function createReadings (): Readings {
  /** The first and the last time at which the store had each revision. */
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
      for (const [other, { lastMs }] of spans) if (other < revision) latestMs = Math.max(latestMs, lastMs)
      return latestMs
    },
    answeredAfterMs: timeMs => {
      let earliestMs = Infinity
      for (const { firstMs, lastMs } of spans.values()) if (lastMs > timeMs) earliestMs = Math.min(earliestMs, firstMs > timeMs ? firstMs : lastMs)
      return earliestMs
    }
  }
}
