/**
 * Estimates how long ago a caller first made a call.
 *
 * A call that is repeated after a refusal carries no mark, but its deadline is shorter than that of a
 * first call on the same route.
 *
 * @packageDocumentation
 */

/** Estimates the age of calls from the longest deadline seen on each route. */
export interface CallAges {
  /**
   * Estimates the age of a call.
   *
   * @param route - The route's name.
   * @param deadlineMs - Remaining time that the caller gives, in milliseconds.
   * @returns Time since the caller first made the call, in milliseconds; a low estimate, 0 for a first call.
   */
  estimateAgeMs: (route: string, deadlineMs: number) => number
}

/** Share of the longest deadline by which the deadlines of first calls on one route may differ: callers differ in how long they wait. */
const DEADLINE_SPREAD_SHARE = 0.17

/**
 * Creates an estimator that has seen no calls.
 *
 * @returns The estimator.
 */
export function createCallAges (): CallAges {
  const longestDeadlinesMs = new Map<string, number>()
  return {
    estimateAgeMs: (route, deadlineMs) => {
      const longestMs = longestDeadlinesMs.get(route) ?? 0
      if (deadlineMs >= longestMs) {
        longestDeadlinesMs.set(route, deadlineMs)
        return 0
      }
      return Math.max(0, longestMs * (1 - DEADLINE_SPREAD_SHARE) - deadlineMs)
    }
  }
}
