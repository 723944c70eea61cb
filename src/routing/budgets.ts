/**
 * Retry budgets: how many retries a gateway may send to a service.
 *
 * Prevents retry storms when many endpoints fail at once. Within a time window, all gateways together
 * may add a share of the service's calls and a fixed allowance as retries.
 *
 * @packageDocumentation
 */

/** The retry limit that all gateways share. */
export interface RetryBudgetLimit {
  /** Retries allowed for each call. */
  readonly ratio: number
  /** Retries allowed regardless of load. */
  readonly slackCount: number
  readonly windowMs: number
}

/** The retry budget of one gateway. */
export interface RetryBudget {
  /** Records a caller's call to a service. */
  recordCall: (service: string, nowMs: number) => void
  /**
   * Takes a retry from the budget if one is left.
   *
   * @param service - The name of the service.
   * @param gatewayCount - Number of gateways that share the limit.
   * @param nowMs - The current time, in milliseconds.
   * @returns Whether the retry may be sent.
   */
  take: (service: string, gatewayCount: number, nowMs: number) => boolean
  /** Checks whether a retry could be taken, without taking it. */
  allows: (service: string, gatewayCount: number, nowMs: number) => boolean
}

interface CallWindow { callTimesMs: number[], retryTimesMs: number[] }

/** Share of the limit that is used: a gateway does not see the calls that callers send elsewhere. */
const USED_SHARE = 0.8

/**
 * Creates a retry budget.
 *
 * @param limit - Returns the shared limit, which may change.
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
