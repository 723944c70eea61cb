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
  observeAnswer: (storeMs: number) => void
  /** Takes the store's time as another process has just told it, in milliseconds. */
  observePeer: (storeMs: number) => void
  /** The store's time now, in milliseconds, a little early; Infinity where no time was told yet, so that every bound counts as passed. */
  now: () => number
  /** The same by answers to this process alone, for others; undefined without one. What was heard is not told on: the drift of clocks would add up. */
  nowByAnswers: () => number | undefined
  /** The store's time at a time of this process, in milliseconds. */
  toStoreMs: (localMs: number) => number
  /** The time of this process at a time of the store, in milliseconds; -Infinity where no time was told yet. */
  toLocalMs: (storeMs: number) => number
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
  const answerOffsets = createOffsetWindow()
  const peerOffsets = createOffsetWindow()
  /** What this clock shows more than the store's; each reading is late by the time that it was on its way. */
  const offsetMs = (): number => Math.min(answerOffsets.minMs(), peerOffsets.minMs())
  return {
    observeAnswer: storeMs => { answerOffsets.add(clock(), storeMs) },
    observePeer: storeMs => { peerOffsets.add(clock(), storeMs) },
    now: () => offsetMs() === Infinity ? Infinity : clock() - offsetMs(),
    nowByAnswers: () => answerOffsets.minMs() === Infinity ? undefined : Math.floor(clock() - answerOffsets.minMs()),
    toStoreMs: localMs => offsetMs() === Infinity ? Infinity : localMs - offsetMs(),
    toLocalMs: storeMs => offsetMs() === Infinity ? -Infinity : storeMs + offsetMs()
  }
}

/** The least difference between two clocks in the last two windows with readings. */
function createOffsetWindow (): { add: (localMs: number, storeMs: number) => void, minMs: () => number } {
  let windowStartMs = -Infinity
  let previousMinMs = Infinity
  let currentMinMs = Infinity
  return {
    add: (localMs, storeMs) => {
      if (localMs - windowStartMs > WINDOW_MS) {
        windowStartMs = localMs
        previousMinMs = currentMinMs
        currentMinMs = Infinity
      }
      currentMinMs = Math.min(currentMinMs, localMs - storeMs)
    },
    minMs: () => Math.min(previousMinMs, currentMinMs)
  }
}
