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

/** Readings of the store. */
export interface Readings extends Routing.Versions.Evidence {
  note: (reading: Reading) => void
  /** The latest reading, for other processes. */
  latest: () => Reading | undefined
}

/** Of readings that lie closer together only the latest is kept, in milliseconds: well within the reserve of gateways. */
const SPACING_MS = 50
/** Readings are kept for so long, in milliseconds: longer than a version may take to be everywhere. */
const KEPT_MS = 30_000

/**
 * Creates an empty store of readings.
 *
 * @returns The readings.
 */
export function createReadings (): Readings {
  /** By time, in steps of the spacing. */
  const bySlot = new Map<number, Reading>()
  let latest: Reading | undefined
  return {
    note: reading => {
      const slot = Math.floor(reading.atMs / SPACING_MS)
      const before = bySlot.get(slot)
      if (before === undefined || before.atMs < reading.atMs) bySlot.set(slot, reading)
      if (latest !== undefined && latest.atMs >= reading.atMs) return
      latest = reading
      for (const [other, { atMs }] of bySlot) if (reading.atMs - atMs > KEPT_MS) bySlot.delete(other)
    },
    latest: () => latest,
    notBeforeMs: revision => {
      let atMs = -Infinity
      for (const reading of bySlot.values()) if (reading.revision < revision) atMs = Math.max(atMs, reading.atMs)
      return atMs
    },
    answeredAfterMs: timeMs => {
      let atMs = Infinity
      for (const reading of bySlot.values()) if (reading.atMs > timeMs) atMs = Math.min(atMs, reading.atMs)
      return atMs
    }
  }
}
