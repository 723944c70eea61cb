/**
 * Invariants of the system, checked at run time where decisions are made.
 *
 * @packageDocumentation
 */

/** Statement of each invariant, by name. */
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

/** Name of an invariant. */
export type InvariantName = keyof typeof INVARIANTS

/** Names of all invariants. */
export const INVARIANT_NAMES = Object.keys(INVARIANTS) as InvariantName[]

/** Violation of an invariant, with the data needed to replay the decision. */
export interface Violation {
  readonly name: InvariantName
  readonly details: Readonly<Record<string, unknown>>
}

/**
 * Checks an invariant where a decision is made.
 *
 * @param name - The invariant.
 * @param holds - Whether the invariant holds.
 * @param details - Returns the data needed to replay the decision; called only on a violation.
 */
export type Check = (name: InvariantName, holds: boolean, details: () => Readonly<Record<string, unknown>>) => void

/**
 * Creates a check that reports violations.
 *
 * @param report - Called with each violation.
 * @returns The check.
 */
export function createCheck (report: (violation: Violation) => void): Check {
  return (name, holds, details) => { if (!holds) report({ name, details: details() }) }
}
