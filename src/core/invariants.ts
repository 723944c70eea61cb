/**
 * The invariants that hold at every moment, checked where decisions are made.
 *
 * @packageDocumentation
 */

/** Each invariant and what it says. */
export const INVARIANTS = {
  wholeWeights: 'No caller is answered from partial or mixed weights.',
  startLimit: 'An endpoint that has just started receives no more than it can bear.',
  drainedZone: 'An availability zone taken out receives no new work after a few seconds.',
  wholeAnswer: 'Every caller receives the whole answer to its own request.',
  truthfulRefusal: 'A refusal saying a request was not run is true.',
  atMostOnce: 'A non-idempotent submission, booking or payment runs at most once.',
  leavingEndpoint: 'A leaving endpoint receives no new work after a few seconds.',
  gracefulStop: 'A planned stop cuts no request in flight.',
  manifestRises: 'An accepted manifest is in force everywhere within seconds and never reverts.'
} as const

/** The name of an invariant. */
export type InvariantName = keyof typeof INVARIANTS

/** Every name of an invariant. */
export const INVARIANT_NAMES = Object.keys(INVARIANTS) as InvariantName[]

/** An invariant that did not hold, with what is needed to replay the decision. */
export interface Violation {
  readonly name: InvariantName
  readonly details: Readonly<Record<string, unknown>>
}

/**
 * Checks an invariant at the place where a decision is made.
 *
 * @param name - The invariant.
 * @param holds - Whether it holds.
 * @param details - Makes what is needed to replay the decision; called at a violation only.
 */
export type Check = (name: InvariantName, holds: boolean, details: () => Readonly<Record<string, unknown>>) => void

/**
 * Makes a check that hands violations on.
 *
 * @param report - Takes each violation.
 * @returns The check.
 */
export function createCheck (report: (violation: Violation) => void): Check {
  return (name, holds, details) => { if (!holds) report({ name, details: details() }) }
}
