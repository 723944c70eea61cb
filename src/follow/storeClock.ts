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
  /** Takes a time of the store that was told by an answer or by another process and has just arrived, in milliseconds. */
  observe: (storeMs: number) => void
  /** The store's time now, in milliseconds, a little early; Infinity where no time was told yet, so that every bound counts as passed. */
  now: () => number
  /** The store's time at a time of this process, in milliseconds. */
  ofOwn: (ownMs: number) => number
  /** The time of this process at a time of the store, in milliseconds; -Infinity where no time was told yet. */
  toOwn: (storeMs: number) => number
}

/** Older answers than of two such windows are not counted, in milliseconds: links may be full for seconds, and steady clocks drift apart by a few milliseconds in it. */
const WINDOW_MS = 60_000

/**
 * Creates the clock.
 *
 * @param clock - The steady clock of this process, in milliseconds.
 * @returns The store's clock.
 */
export function createStoreClock (clock: () => number): StoreClock {
  let windowAtMs = -Infinity
  let aheadBeforeMs = Infinity
  let aheadLatestMs = Infinity
  const aheadMs = (): number => Math.min(aheadBeforeMs, aheadLatestMs)
  return {
    observe: storeMs => {
      const nowMs = clock()
      if (nowMs - windowAtMs > WINDOW_MS) {
        windowAtMs = nowMs
        aheadBeforeMs = aheadLatestMs
        aheadLatestMs = Infinity
      }
      aheadLatestMs = Math.min(aheadLatestMs, nowMs - storeMs)
    },
    now: () => aheadMs() === Infinity ? Infinity : clock() - aheadMs(),
    ofOwn: ownMs => aheadMs() === Infinity ? Infinity : ownMs - aheadMs(),
    toOwn: storeMs => aheadMs() === Infinity ? -Infinity : storeMs + aheadMs()
  }
}
