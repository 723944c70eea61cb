/**
 * Chooses the retry delay that a refused caller is given.
 *
 * Callers that were refused together must not retry together, and callers that retry while the
 * endpoints are still full are refused twice for nothing.
 *
 * @packageDocumentation
 */
import type * as Admission from './admission.ts'
import type * as Core from '../core/index.ts'
import type * as Ranks from './ranks.ts'

/** Minimum retry delay for each reason, in milliseconds. */
const RETURN_AFTER_MS: Readonly<Record<Admission.RefusalReason, number>> = {
  /** Endpoints are listed again, or have loaded their weights, within seconds. */
  noEndpoint: 800,
  /** About half the time of an answer, after which a full batch has free slots again. */
  overCapacity: 700,
  outOfTime: 200,
  retriesUsedUp: 500,
  /** A process knows its deployment within a second of its start. */
  notReady: 400,
  /** A newer deployment that is known to exist arrives within about a second. */
  outdated: 400,
  /** Another gateway takes the call at once. */
  stopping: 0,
  /** Callers that hold memory without sending lose it within half a second. */
  noMemory: 500,
  /** Nothing changes for the caller before its deadline. */
  quarantined: 30_000
}
/** Factor of the minimum delay for the most urgent of several ranks, and what each less urgent rank adds: urgent calls find slots first. */
const MOST_URGENT_FACTOR = 0.6
const FACTOR_PER_RANK = 0.4
/** Maximum share of its remaining time for which a caller honours a retry delay. */
const HONOURED_SHARE = 1 / 3

/**
 * Chooses a retry delay at random, spread evenly between the minimum delay and three times that delay.
 *
 * @param reason - Why the call was refused.
 * @param leftMs - Remaining time of the caller, in milliseconds.
 * @param random - The source of randomness.
 * @param opensInMs - Time until the first endpoint accepts calls again, in milliseconds; 0 if not known.
 * @param rank - The rank of the call; undefined if calls of its service have no ranks.
 * @returns The delay, in milliseconds.
 */
export function returnAfterMs (reason: Admission.RefusalReason, leftMs: number, random: Core.Random.Random, opensInMs = 0, rank?: Ranks.Rank): number {
  const shortestMs = RETURN_AFTER_MS[reason] * (rank === undefined || reason !== 'overCapacity' ? 1 : MOST_URGENT_FACTOR + FACTOR_PER_RANK * rank.index)
  return Math.max(0, Math.min(Math.max(opensInMs, shortestMs) + shortestMs * 2 * random.next(), leftMs * HONOURED_SHARE * (0.9 + 0.1 * random.next())))
}
