/**
 * This process's estimate of the store's monotonic clock.
 *
 * Processes exchange times by the store's clock, so that a time stays right although a message is slow, a
 * process freezes or an instance is suspended. An answer arrives some time after the store made it, so the
 * answer with the shortest delay gives the best estimate of the offset between the two clocks.
 *
 * @packageDocumentation
 */

/** An estimate of the store's clock. */
export interface StoreClock {
  /** Records the store's time in an answer of the store that has just arrived, in milliseconds. */
  observeAnswer: (storeMs: number) => void
  /** Records the store's time in a message of another process that has just arrived, in milliseconds. */
  observePeer: (storeMs: number) => void
  /** The store's current time, in milliseconds, slightly early; Infinity while no time is known, so that every time limit counts as passed. */
  now: () => number
  /** The store's current time by its answers to this process alone, in milliseconds, to be sent to other processes; undefined without an answer. Times from other processes are not passed on, as clock drift would add up. */
  nowByAnswers: () => number | undefined
  /** Converts a time of this process to one of the store, in milliseconds; Infinity while no time is known. */
  toStoreMs: (localMs: number) => number
  /** Converts a time of the store to one of this process, in milliseconds; -Infinity while no time is known. */
  toLocalMs: (storeMs: number) => number
}

/** Length of a window, in milliseconds; offsets older than two windows are dropped. Links may be full for seconds, and monotonic clocks drift apart by a few milliseconds in a window. */
const WINDOW_MS = 60_000

/**
 * Creates an estimate of the store's clock.
 *
 * @param clock - The monotonic clock of this process, in milliseconds.
 * @returns The store's clock.
 */
export function createStoreClock (clock: () => number): StoreClock {
  const answerOffsets = createOffsetWindow()
  const peerOffsets = createOffsetWindow()
  /** Time of this process minus that of the store, in milliseconds; too large by the delay of the fastest answer or message. */
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

/** Tracks the minimum offset between two clocks over the last two windows with observations, in milliseconds. */
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
