/**
 * Timeouts after which a pending answer is considered lost.
 *
 * This covers unreachable endpoints, frozen instances, and connections that stall while new ones work.
 * An endpoint that still answers other calls gets more time than one that sends nothing at all.
 *
 * @packageDocumentation
 */

/** An attempt that currently receives no data. */
export interface PendingAnswer {
  /** Whether the caller has received events of the attempt's answer. */
  readonly hasBegun: boolean
  /** Time since data last arrived from the endpoint for any call of this gateway, in milliseconds. */
  readonly endpointQuietMs: number
  readonly goalMs: number
  readonly pauseGoalMs: number
}

/** Time without data after which an endpoint counts as silent, in milliseconds: several passes of a full batch. */
const ENDPOINT_SILENT_MS = 700
/** Multiple of the pause goal after which a streaming answer is considered lost. */
const PAUSE_TIMEOUT_FACTOR = 2.5
/** Multiple of the goal after which an answer that has not begun is considered lost, at a silent endpoint. */
const SILENT_START_TIMEOUT_FACTOR = 2
/** The same multiple at an endpoint that still answers other calls: callers wait for four times the goal. */
const RESPONSIVE_START_TIMEOUT_FACTOR = 4

/**
 * Checks whether an endpoint is silent.
 *
 * @param endpointQuietMs - Time since data last arrived from it, in milliseconds.
 * @returns Whether it is silent.
 */
export function isSilent (endpointQuietMs: number): boolean {
  return endpointQuietMs > ENDPOINT_SILENT_MS
}

/**
 * Calculates for how long an attempt may receive no data.
 *
 * @param pending - The attempt.
 * @returns The timeout, in milliseconds.
 */
export function answerTimeoutMs (pending: PendingAnswer): number {
  if (pending.hasBegun) return Math.max(ENDPOINT_SILENT_MS, pending.pauseGoalMs * PAUSE_TIMEOUT_FACTOR)
  return Math.max(ENDPOINT_SILENT_MS, pending.goalMs * (isSilent(pending.endpointQuietMs) ? SILENT_START_TIMEOUT_FACTOR : RESPONSIVE_START_TIMEOUT_FACTOR))
}
