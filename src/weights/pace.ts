/**
 * Rate control of weight traffic between regions: the rate increases while the link is idle and decreases when live
 * traffic queues.
 *
 * @packageDocumentation
 */

/** The rate of one agent's weight traffic to and from other regions. */
export interface BorderPace {
  bytesPerSecond: number
  /** Upper bound of the rate. */
  readonly ceilingBytesPerSecond: number
  /** Shortest exchange measured: the round-trip time of an idle link. */
  baseMs: number
  changedAtMs: number
}

/** Initial rate, minimum rate and increase per step, as shares of the upper bound. */
const START_SHARE = 0.5
const MIN_SHARE = 0.02
const INCREASE_SHARE = 0.05
const DECREASE_FACTOR = 0.6
/** Delay above the base from which live traffic is assumed to queue, in milliseconds. */
const QUEUEING_DELAY_MS = 40
/** Minimum time between two changes of the rate, in milliseconds. */
const STEP_MS = 250
/** Factor by which each measurement raises the base, so that the base adapts when a new route is slower. */
const BASE_DRIFT = 1.01

/**
 * Creates the rate control of an agent.
 *
 * @param ceilingBytesPerSecond - Upper bound of the rate in bytes per second; Infinity for no limit.
 * @returns The rate control.
 */
export function createBorderPace (ceilingBytesPerSecond: number): BorderPace {
  return {
    bytesPerSecond: ceilingBytesPerSecond === Infinity ? Infinity : ceilingBytesPerSecond * START_SHARE,
    ceilingBytesPerSecond,
    baseMs: Infinity,
    changedAtMs: -Infinity
  }
}

/**
 * Adapts the rate to the duration of a small exchange with another region.
 *
 * @param pace - The rate control.
 * @param tookMs - Duration of the exchange in milliseconds.
 * @param nowMs - Current time in milliseconds.
 * @returns Whether the rate changed.
 */
export function observe (pace: BorderPace, tookMs: number, nowMs: number): boolean {
  pace.baseMs = Math.min(pace.baseMs * BASE_DRIFT, tookMs)
  if (pace.ceilingBytesPerSecond === Infinity || nowMs - pace.changedAtMs < STEP_MS) return false
  const before = pace.bytesPerSecond
  const isQueueing = tookMs - pace.baseMs > QUEUEING_DELAY_MS
  pace.bytesPerSecond = isQueueing
    ? Math.max(pace.ceilingBytesPerSecond * MIN_SHARE, before * DECREASE_FACTOR)
    : Math.min(pace.ceilingBytesPerSecond, before + pace.ceilingBytesPerSecond * INCREASE_SHARE)
  pace.changedAtMs = nowMs
  return pace.bytesPerSecond !== before
}
