/**
 * Attempts that were broken off while their endpoint may still have been running them.
 *
 * Answers callers that leave and calls whose time is over: a request may crash its endpoint when
 * nobody listens any more. The end is put down to the attempts that were broken off shortly before
 * the endpoint's last sign of life, and of a start of an endpoint only once.
 *
 * @packageDocumentation
 */
import type * as Endpoints from './endpoints.ts'

/** An attempt that was broken off. */
export interface AbandonedAttempt {
  /** Names the request whatever the attempt. */
  readonly digest: string
  readonly start: Endpoints.EndpointStart
  /** When it was broken off, in milliseconds. */
  readonly atMs: number
}

/** The attempts that were broken off lately. */
export interface AbandonedAttempts {
  record: (attempt: AbandonedAttempt) => void
  /**
   * Takes the attempts that a start of an endpoint may have ended under.
   *
   * @param start - What has ended.
   * @param aliveAtMs - Its last sign of life, in milliseconds.
   * @param nowMs - The time.
   * @returns The digests of their requests.
   */
  takeAffectedDigests: (start: Endpoints.EndpointStart, aliveAtMs: number, nowMs: number) => readonly string[]
  count: () => number
}

/** An endpoint that shows signs of life so long after an attempt was broken off did not end under it, in milliseconds: most drop the work of a closed connection. */
const ATTRIBUTION_WINDOW_MS = 500
/** Attempts are remembered for so long, in milliseconds: an endpoint that ended without closing its connections is known to have ended when it is back after seconds. */
const RETENTION_MS = 10_000
/** Attempts that are remembered; some 100 bytes each. */
const ATTEMPT_LIMIT_COUNT = 1_024

/**
 * Creates an empty memory.
 *
 * @returns The memory.
 */
export function createAbandonedAttempts (): AbandonedAttempts {
  /** The oldest first. */
  let attempts: AbandonedAttempt[] = []
  return {
    record: attempt => {
      attempts.push(attempt)
      if (attempts.length > ATTEMPT_LIMIT_COUNT) attempts.shift()
    },
    takeAffectedDigests: (start, aliveAtMs, nowMs) => {
      const isOfStart = (attempt: AbandonedAttempt): boolean => isSameStart(attempt.start, start)
      const affected = attempts.filter(attempt => isOfStart(attempt) && nowMs - attempt.atMs <= RETENTION_MS && aliveAtMs - attempt.atMs <= ATTRIBUTION_WINDOW_MS)
      attempts = attempts.filter(attempt => !isOfStart(attempt) && nowMs - attempt.atMs <= RETENTION_MS)
      return [...new Set(affected.map(({ digest }) => digest))]
    },
    count: () => attempts.length
  }
}

/**
 * Tells whether two name the same start of an endpoint.
 *
 * @param a - One.
 * @param b - The other.
 * @returns Whether they do.
 */
export function isSameStart (a: Endpoints.EndpointStart, b: Endpoints.EndpointStart): boolean {
  return a.endpointId === b.endpointId && a.bornAtMs === b.bornAtMs
}
