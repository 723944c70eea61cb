/**
 * How long ago a caller first asked.
 *
 * Answers callers that come back after a refusal: they carry no mark, but less time than callers of
 * the same route that ask for the first time.
 *
 * @packageDocumentation
 */

/** The longest deadlines seen, by route. */
export interface Ages {
  /**
   * Estimates the age of a call.
   *
   * @param route - The route's name.
   * @param deadlineMs - Time that the caller says it has left, in milliseconds.
   * @returns Time since the caller first asked, in milliseconds; a low estimate, 0 for a first call.
   */
  ageOf: (route: string, deadlineMs: number) => number
}

/** Deadlines of first calls of one route differ by this share of the longest: callers differ in patience. */
const PATIENCE_SHARE = 0.17

/**
 * Creates an estimator that has seen nothing.
 *
 * @returns The estimator.
 */
export function createAges (): Ages {
  const longest = new Map<string, number>()
  return {
    ageOf: (route, deadlineMs) => {
      const before = longest.get(route) ?? 0
      if (deadlineMs >= before) {
        longest.set(route, deadlineMs)
        return 0
      }
      return Math.max(0, before * (1 - PATIENCE_SHARE) - deadlineMs)
    }
  }
}
