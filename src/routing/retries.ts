/**
 * Decides what follows an attempt that did not produce a complete answer.
 *
 * This covers endpoints that crash, shed load or garble answers. For a call that must not run twice,
 * only an attempt that provably did not run is retried, and only then is the caller told that the call
 * did not run.
 *
 * @packageDocumentation
 */
import type * as Deployment from './deployment.ts'

/** How an attempt ended. */
export type AttemptEnd =
  /** The endpoint confirmed that it did not run the call, or no byte of the call was sent. */
  | 'notRun'
  /** The call was kept back when its connection opened, so that no endpoint has seen it. */
  | 'notSent'
  /** The endpoint itself answered with a failure. */
  | 'failed'
  /** The call was sent and its outcome is unknown. */
  | 'unknown'
  /** A stream broke after some events. */
  | 'broken'

/** The attempts and limits of a call. */
export interface CallHistory {
  readonly kind: Deployment.RouteKind
  readonly resumable: boolean
  /** Number of endpoints on which the call may have run. */
  readonly ranCount: number
  /** Number of attempts that were sent. */
  readonly sentCount: number
  readonly runLimitCount: number
  readonly leftMs: number
}

/** The next step for a call. */
export type NextStep = 'retry' | 'refuse' | 'answerFailure' | 'fail'

/** Ends after which it is certain that the attempt did not run. */
const NOT_RUN_ENDS: ReadonlySet<AttemptEnd> = new Set(['notRun', 'notSent'])
/** Maximum number of attempts for one call, including those that did not run: each refused attempt costs time and budget. */
const ATTEMPT_LIMIT_COUNT = 3
/** Minimum remaining time for a retry, in milliseconds: with less, it is unlikely to succeed and would waste budget. */
const MIN_RETRY_LEFT_MS = 150

/**
 * Decides the next step after an attempt.
 *
 * @param end - How the last attempt ended.
 * @param call - The history of the call, including that attempt.
 * @returns The next step; a retry is still subject to the retry budget, unless the call was not sent.
 */
export function nextStep (end: AttemptEnd, call: CallHistory): NextStep {
  const isRepeatable = call.kind === 'idempotent' || (call.kind === 'stream' && call.resumable)
  const isWithinLimits = call.ranCount < call.runLimitCount && call.sentCount < ATTEMPT_LIMIT_COUNT && call.leftMs >= MIN_RETRY_LEFT_MS
  const isNotRun = NOT_RUN_ENDS.has(end)
  if (isNotRun && isWithinLimits && (isRepeatable || call.ranCount === 0)) return 'retry'
  if (!isNotRun && isWithinLimits && isRepeatable) return 'retry'
  return finalStep(end, call)
}

/**
 * Decides how a call ends that is not retried.
 *
 * @param end - How the last attempt ended.
 * @param call - The history of the call.
 * @returns The final step.
 */
export function finalStep (end: AttemptEnd, call: CallHistory): Exclude<NextStep, 'retry'> {
  if (end === 'failed') return 'answerFailure'
  return NOT_RUN_ENDS.has(end) && call.ranCount === 0 ? 'refuse' : 'fail'
}
