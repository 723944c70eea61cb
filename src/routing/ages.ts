/**
 * How long ago a caller first asked.
 *
 * Answers callers that come back after a refusal: they carry no mark, but less time than callers of
 * the same route that ask for the first time.
 *
 * @packageDocumentation
 */

/** The longest deadlines seen, by route. */
export interface CallAges {
  /**
   * Estimates the age of a call.
   *
   * @param route - The route's name.
   * @param deadlineMs - Time that the caller says it has left, in milliseconds.
   * @returns Time since the caller first asked, in milliseconds; a low estimate, 0 for a first call.
   */
  estimateAgeMs: (route: string, deadlineMs: number) => number
}

/** Deadlines of first calls of one route differ by this share of the longest: callers differ in patience. */
const DEADLINE_SPREAD_SHARE = 0.17

/**
 * Creates an estimator that has seen nothing.
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
