/**
 * How many calls a second a gateway is asked for.
 *
 * Answers uneven load over gateways: those that share a rate get turns by what their callers want.
 *
 * @packageDocumentation
 */

/** The demand at one gateway. */
export interface Demand {
  /** Notes a caller's call. */
  recordCall: (nowMs: number) => void
  /** Calls a second of late. */
  perSecond: (nowMs: number) => number
}

/** Calls are counted for so long, in milliseconds: ten calls a second then vary by a sixth. */
const WINDOW_MS = 4_000
const MS_PER_SECOND = 1_000

/**
 * Creates the memory of one gateway.
 *
 * @param startedAtMs - When the gateway started, in milliseconds.
 * @returns The memory.
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
