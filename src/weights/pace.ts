/**
 * The rate of weight traffic over a region border: it rises while the border is idle and yields to live traffic.
 *
 * @packageDocumentation
 */

/** The rate of one agent's weight traffic over region borders. */
export interface BorderPace {
  bytesPerSecond: number
  /** The most that the agent may ever send for. */
  readonly ceilingBytesPerSecond: number
  /** The shortest exchange seen, the measure of an idle border. */
  baseMs: number
  changedAtMs: number
}

const START_SHARE = 0.5
const MIN_SHARE = 0.02
const INCREASE_SHARE = 0.05
const DECREASE_FACTOR = 0.6
/** Delay over the base at which live traffic is taken to wait, in milliseconds. */
const QUEUEING_DELAY_MS = 40
const STEP_MS = 250
/** The base drifts up so that a changed route is learnt, for each measurement. */
const BASE_DRIFT = 1.01

/**
 * Creates a pace.
 *
 * @param ceilingBytesPerSecond - The most that the agent may use; Infinity for no limit.
 * @returns The pace.
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
 * Takes the time of a small exchange over the border and adapts the rate.
 *
 * @param pace - The pace.
 * @param tookMs - The time that the exchange took in milliseconds.
 * @param nowMs - The time.
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
