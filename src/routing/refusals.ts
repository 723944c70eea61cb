/**
 * When a refused caller is told to come back.
 *
 * Answers refusals in bulk: callers that were refused together must not return together, and those
 * that return while the endpoints are still full are refused twice for nothing.
 *
 * @packageDocumentation
 */
import type * as Admission from './admission.ts'
import type * as Core from '../core/index.ts'

/** The shortest time after which callers return for each reason, in milliseconds. */
const RETURN_AFTER_MS: Readonly<Record<Admission.RefusalReason, number>> = {
  /** Endpoints are listed again or filled within seconds. */
  noEndpoint: 800,
  /** About the time of half an answer, after which a full batch has places again. */
  overCapacity: 700,
  outOfTime: 200,
  retriesUsedUp: 500,
  /** A process that has started knows its deployment within a second. */
  notReady: 400,
  /** Nothing changes for the caller before its deadline. */
  quarantined: 30_000
}
/** Callers honour a time of return up to this share of the time that they have left. */
const HONOURED_SHARE = 1 / 3

/**
 * Chooses the time of return: spread evenly between the shortest time and three times it.
 *
 * @param reason - Why the call was refused.
 * @param leftMs - Time that the caller has left, in milliseconds.
 * @param random - Spreads the returns.
 * @param opensInMs - When the first endpoint takes calls again, in milliseconds; 0 where none has said so.
 * @returns The time in milliseconds.
 */
export function returnAfterMs (reason: Admission.RefusalReason, leftMs: number, random: Core.Random.Random, opensInMs = 0): number {
  const shortestMs = RETURN_AFTER_MS[reason]
  return Math.max(0, Math.min(Math.max(opensInMs, shortestMs) + shortestMs * 2 * random.next(), leftMs * HONOURED_SHARE * (0.9 + 0.1 * random.next())))
}
