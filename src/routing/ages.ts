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
   * @returns Time since the caller first asked, in milliseconds.
   */
  ageOf: (route: string, deadlineMs: number) => number
}

/** Deadlines of first calls differ by less, in milliseconds: the time that a call takes on its way. */
const TOLERANCE_MS = 50

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
      const ageMs = before - deadlineMs
      return ageMs <= TOLERANCE_MS ? 0 : ageMs
    }
  }
}
