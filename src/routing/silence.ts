/**
 * When an answer that does not come is taken to be lost.
 *
 * Answers endpoints that go dark, instances that freeze, and connections that fall silent while new
 * ones work. An endpoint that still answers others gets more time than one that says nothing at all.
 *
 * @packageDocumentation
 */

/** What is known of an attempt that brings nothing. */
export interface PendingAnswer {
  /** Whether the caller has had events of the attempt's answer. */
  readonly hasBegun: boolean
  /** Since when nothing came from the endpoint, for any call of this gateway, in milliseconds. */
  readonly endpointQuietMs: number
  readonly goalMs: number
  readonly pauseGoalMs: number
}

/** An endpoint from which nothing came for so long says nothing, in milliseconds: several passes of a full batch. */
const ENDPOINT_SILENT_MS = 700
/** A streaming answer that pauses for so many times its goal is lost. */
const PAUSE_TIMEOUT_FACTOR = 2.5
/** An answer that has not begun after so many times its goal, at an endpoint that says nothing, is lost. */
const SILENT_START_TIMEOUT_FACTOR = 2
/** The same at an endpoint that goes on answering others: a caller waits for four times the goal. */
const RESPONSIVE_START_TIMEOUT_FACTOR = 4

/**
 * Tells whether an endpoint says nothing at all.
 *
 * @param endpointQuietMs - Since when nothing came from it, in milliseconds.
 * @returns Whether it is silent.
 */
export function isSilent (endpointQuietMs: number): boolean {
  return endpointQuietMs > ENDPOINT_SILENT_MS
}

/**
 * Works out how long an attempt may bring nothing.
 *
 * @param pending - What is known of it.
 * @returns The time in milliseconds.
 */
export function answerTimeoutMs (pending: PendingAnswer): number {
  if (pending.hasBegun) return Math.max(ENDPOINT_SILENT_MS, pending.pauseGoalMs * PAUSE_TIMEOUT_FACTOR)
  return Math.max(ENDPOINT_SILENT_MS, pending.goalMs * (isSilent(pending.endpointQuietMs) ? SILENT_START_TIMEOUT_FACTOR : RESPONSIVE_START_TIMEOUT_FACTOR))
}
