/**
 * How many repeats a gateway may send to a service.
 *
 * Answers failures of many endpoints at once, when every call would be sent again: all gateways
 * together may add a share of the service's calls and a fixed allowance within a window.
 *
 * @packageDocumentation
 */

/** The bound that all gateways share. */
export interface RetryBudgetLimit {
  /** Repeats for each call. */
  readonly ratio: number
  /** Repeats that are allowed whatever the load. */
  readonly slackCount: number
  readonly windowMs: number
}

/** The repeats of one gateway. */
export interface RetryBudget {
  /** Notes a caller's call to a service. */
  recordCall: (service: string, nowMs: number) => void
  /**
   * Takes a repeat from the budget.
   *
   * @param service - The service.
   * @param gatewayCount - Gateways that share the bound.
   * @param nowMs - The time.
   * @returns Whether the repeat may be sent.
   */
  take: (service: string, gatewayCount: number, nowMs: number) => boolean
  /** Tells whether a repeat could be taken, and takes none. */
  allows: (service: string, gatewayCount: number, nowMs: number) => boolean
}

interface CallWindow { callTimesMs: number[], retryTimesMs: number[] }

/** Share of the bound that is used: calls that callers sent elsewhere are counted by nobody here. */
const USED_SHARE = 0.8

/**
 * Creates a budget.
 *
 * @param limit - The shared bound, which may change.
 * @returns The budget.
 */
export function createRetryBudget (limit: () => RetryBudgetLimit): RetryBudget {
  const windows = new Map<string, CallWindow>()
  const windowOf = (service: string, nowMs: number): CallWindow => {
    const window = windows.get(service) ?? { callTimesMs: [], retryTimesMs: [] }
    windows.set(service, window)
    const { windowMs } = limit()
    for (const times of [window.callTimesMs, window.retryTimesMs]) {
      let staleCount = 0
      while (staleCount < times.length && (times[staleCount] ?? 0) <= nowMs - windowMs) staleCount++
      if (staleCount > 0) times.splice(0, staleCount)
    }
    return window
  }
  const allows = (service: string, gatewayCount: number, nowMs: number): boolean => {
    const window = windowOf(service, nowMs)
    const { ratio, slackCount } = limit()
    const limitCount = USED_SHARE * (ratio * window.callTimesMs.length + slackCount / Math.max(1, gatewayCount))
    return window.retryTimesMs.length + 1 <= limitCount
  }
  return {
    recordCall: (service, nowMs) => { windowOf(service, nowMs).callTimesMs.push(nowMs) },
    allows,
    take: (service, gatewayCount, nowMs) => {
      if (!allows(service, gatewayCount, nowMs)) return false
      windowOf(service, nowMs).retryTimesMs.push(nowMs)
      return true
    }
  }
}
