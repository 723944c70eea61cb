/**
 * Attempts that were aborted while their endpoint may still have been running them.
 *
 * A request may crash its endpoint after the caller has disconnected or the call's deadline has
 * passed. Such a crash is attributed to the attempts that were aborted shortly before the endpoint's
 * last sign of life, and only once for each start of an endpoint.
 *
 * @packageDocumentation
 */
import type * as Endpoints from './endpoints.ts'

/** An attempt that was aborted. */
export interface AbandonedAttempt {
  /** Digest of the request, the same for all of its attempts. */
  readonly digest: string
  readonly start: Endpoints.EndpointStart
  /** When the attempt was aborted, in milliseconds. */
  readonly atMs: number
}

/** The recently aborted attempts. */
export interface AbandonedAttempts {
  /** Records an attempt. Returns false if the start of its endpoint ended a moment before: then the attempt is affected already, and is not kept. */
  record: (attempt: AbandonedAttempt) => boolean
  /**
   * Removes all attempts at a start of an endpoint that has ended, and returns the requests that may have crashed it.
   *
   * @param start - The start of the endpoint that has ended.
   * @param aliveAtMs - Time of its last sign of life, in milliseconds.
   * @param nowMs - The current time, in milliseconds.
   * @returns The digests of the requests, without duplicates.
   */
  takeAffectedDigests: (start: Endpoints.EndpointStart, aliveAtMs: number, nowMs: number) => readonly string[]
  count: () => number
}

/** Maximum time between the abort of an attempt and the last sign of life of the endpoint for which a crash is attributed to the attempt, in milliseconds: most endpoints cancel the work of a closed connection. */
const ATTRIBUTION_WINDOW_MS = 500
/** Time after the end of a start within which attempts at it count as affected, in milliseconds: the connections of a crashed endpoint close in any order. */
const ENDED_WINDOW_MS = 200
/** Time for which attempts are kept, in milliseconds: the crash of an endpoint that did not close its connections shows only when it is back after some seconds. */
const RETENTION_MS = 10_000
/** Maximum number of attempts kept; about 100 bytes each. */
const ATTEMPT_LIMIT_COUNT = 1_024

/**
 * Creates an empty collection of aborted attempts.
 *
 * @returns The collection.
 */
export function createAbandonedAttempts (): AbandonedAttempts {
  /** Ordered from oldest to newest. */
  let attempts: AbandonedAttempt[] = []
  /** Starts that ended within the last moments. */
  let ended: Array<{ readonly start: Endpoints.EndpointStart, readonly atMs: number }> = []
  return {
    record: attempt => {
      if (ended.some(({ start, atMs }) => isSameStart(start, attempt.start) && attempt.atMs - atMs <= ENDED_WINDOW_MS)) return false
      attempts.push(attempt)
      if (attempts.length > ATTEMPT_LIMIT_COUNT) attempts.shift()
      return true
    },
    takeAffectedDigests: (start, aliveAtMs, nowMs) => {
      const isOfStart = (attempt: AbandonedAttempt): boolean => isSameStart(attempt.start, start)
      const affected = attempts.filter(attempt => isOfStart(attempt) && nowMs - attempt.atMs <= RETENTION_MS && aliveAtMs - attempt.atMs <= ATTRIBUTION_WINDOW_MS)
      attempts = attempts.filter(attempt => !isOfStart(attempt) && nowMs - attempt.atMs <= RETENTION_MS)
      ended = [...ended.filter(each => nowMs - each.atMs <= ENDED_WINDOW_MS && !isSameStart(each.start, start)), { start, atMs: nowMs }]
      return [...new Set(affected.map(({ digest }) => digest))]
    },
    count: () => attempts.length
  }
}

/**
 * Checks whether two values identify the same start of an endpoint.
 *
 * @param a - One start.
 * @param b - The other start.
 * @returns Whether they are the same start.
 */
export function isSameStart (a: Endpoints.EndpointStart, b: Endpoints.EndpointStart): boolean {
  return a.endpointId === b.endpointId && a.bornAtMs === b.bornAtMs
}
