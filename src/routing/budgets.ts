/**
 * How many repeats a gateway may send to a service.
 *
 * Answers failures of many endpoints at once, when every call would be sent again: all gateways
 * together may add a share of the service's calls and a fixed allowance within a window.
 *
 * @packageDocumentation
 */

/** The bound that all gateways share. */
export interface BudgetBound {
  /** Repeats for each call. */
  readonly ratio: number
  /** Repeats that are allowed whatever the load. */
  readonly slackCount: number
  readonly windowMs: number
}

/** The repeats of one gateway. */
export interface Budget {
  /** Notes a caller's call to a service. */
  noteCall: (service: string, nowMs: number) => void
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

interface Window { calls: number[], repeats: number[] }

/** Share of the bound that is used: calls that callers sent elsewhere are counted by nobody here. */
const USED_SHARE = 0.8

/**
 * Creates a budget.
 *
 * @param bound - The shared bound, which may change.
 * @returns The budget.
 */
export function createBudget (bound: () => BudgetBound): Budget {
  const windows = new Map<string, Window>()
  const windowOf = (service: string, nowMs: number): Window => {
    const window = windows.get(service) ?? { calls: [], repeats: [] }
    windows.set(service, window)
    const { windowMs } = bound()
    for (const times of [window.calls, window.repeats]) {
      let staleCount = 0
      while (staleCount < times.length && (times[staleCount] ?? 0) <= nowMs - windowMs) staleCount++
      if (staleCount > 0) times.splice(0, staleCount)
    }
    return window
  }
  const allows = (service: string, gatewayCount: number, nowMs: number): boolean => {
    const window = windowOf(service, nowMs)
    const { ratio, slackCount } = bound()
    const limitCount = USED_SHARE * (ratio * window.calls.length + slackCount / Math.max(1, gatewayCount))
    return window.repeats.length + 1 <= limitCount
  }
  return {
    noteCall: (service, nowMs) => { windowOf(service, nowMs).calls.push(nowMs) },
    allows,
    take: (service, gatewayCount, nowMs) => {
      if (!allows(service, gatewayCount, nowMs)) return false
      windowOf(service, nowMs).repeats.push(nowMs)
      return true
    }
  }
}
