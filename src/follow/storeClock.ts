/**
 * The steady clock of the store, as this process can tell it.
 *
 * Processes tell one another times of the store by it: a time that went through a slow message, a
 * frozen process or a suspended instance stays right. An answer was made before it arrived, so the
 * answer that was the shortest time on its way shows best what this clock is ahead.
 *
 * @packageDocumentation
 */

/** The store's clock. */
export interface StoreClock {
  /** Takes the time that an answer of the store told and that has just arrived, in milliseconds. */
  observe: (storeMs: number) => void
  /** Takes the store's time as another process has just told it, in milliseconds. */
  hear: (storeMs: number) => void
  /** The store's time now, in milliseconds, a little early; Infinity where no time was told yet, so that every bound counts as passed. */
  now: () => number
  /** The same by answers to this process alone, for others; undefined without one. What was heard is not told on: the drift of clocks would add up. */
  told: () => number | undefined
  /** The store's time at a time of this process, in milliseconds. */
  ofOwn: (ownMs: number) => number
  /** The time of this process at a time of the store, in milliseconds; -Infinity where no time was told yet. */
  toOwn: (storeMs: number) => number
}

/** Readings older than two such windows are not counted, in milliseconds: links may be full for seconds, and steady clocks drift apart by a few milliseconds in it. */
const WINDOW_MS = 60_000

/**
 * Creates the clock.
 *
 * @param clock - The steady clock of this process, in milliseconds.
 * @returns The store's clock.
 */
export function createStoreClock (clock: () => number): StoreClock {
  const answered = createReadings()
  const heard = createReadings()
  /** What this clock shows more than the store's; each reading is late by the time that it was on its way. */
  const aheadMs = (): number => Math.min(answered.leastMs(), heard.leastMs())
  return {
    observe: storeMs => { answered.add(clock(), storeMs) },
    hear: storeMs => { heard.add(clock(), storeMs) },
    now: () => aheadMs() === Infinity ? Infinity : clock() - aheadMs(),
    told: () => answered.leastMs() === Infinity ? undefined : Math.floor(clock() - answered.leastMs()),
    ofOwn: ownMs => aheadMs() === Infinity ? Infinity : ownMs - aheadMs(),
    toOwn: storeMs => aheadMs() === Infinity ? -Infinity : storeMs + aheadMs()
  }
}

/** The least difference between two clocks in the last two windows with readings. */
function createReadings (): { add: (ownMs: number, storeMs: number) => void, leastMs: () => number } {
  let windowAtMs = -Infinity
  let beforeMs = Infinity
  let latestMs = Infinity
  return {
    add: (ownMs, storeMs) => {
      if (ownMs - windowAtMs > WINDOW_MS) {
        windowAtMs = ownMs
        beforeMs = latestMs
        latestMs = Infinity
      }
      latestMs = Math.min(latestMs, ownMs - storeMs)
    },
    leastMs: () => Math.min(beforeMs, latestMs)
  }
}
