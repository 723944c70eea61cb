/**
 * Measures how many calls per second a gateway receives.
 *
 * Gateways may receive uneven load, so those that share a rate limit get turns in proportion to their
 * demand.
 *
 * @packageDocumentation
 */

/** The call rate at one gateway. */
export interface Demand {
  /** Records a caller's call. */
  recordCall: (nowMs: number) => void
  /** Returns the recent rate, in calls per second. */
  perSecond: (nowMs: number) => number
}

/** Window over which calls are counted, in milliseconds: a rate of ten calls per second then varies by one sixth. */
const WINDOW_MS = 4_000
const MS_PER_SECOND = 1_000

/**
 * Creates the rate meter of one gateway.
 *
 * @param startedAtMs - When the gateway started, in milliseconds.
 * @returns The rate meter.
 */
export function createDemand (startedAtMs: number): Demand {
  const callTimesMs: number[] = []
  return {
    recordCall: nowMs => { callTimesMs.push(nowMs) },
    perSecond: nowMs => {
      while (callTimesMs.length > 0 && (callTimesMs[0] ?? 0) <= nowMs - WINDOW_MS) callTimesMs.shift()
      const countedMs = Math.min(WINDOW_MS, Math.max(MS_PER_SECOND, nowMs - startedAtMs))
      return callTimesMs.length * MS_PER_SECOND / countedMs
    }
  }
}
