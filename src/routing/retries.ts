/**
 * What follows an attempt that brought no whole answer.
 *
 * Answers endpoints that crash, shed, or garble answers. Only an attempt that is proved not to have
 * run is repeated for a call that must not run twice, and only then is a caller told so.
 *
 * @packageDocumentation
 */
import type * as Deployment from './deployment.ts'

/** How an attempt ended. */
export type AttemptEnd =
  /** The endpoint proved that it did not run the call, or no byte of it was sent. */
  | 'notRun'
  /** The endpoint answered with a failure of its own. */
  | 'failed'
  /** The call was sent and nothing proves what became of it. */
  | 'unknown'
  /** A stream broke off after some events. */
  | 'broken'

/** What a call has behind it. */
export interface CallHistory {
  readonly kind: Deployment.RouteKind
  readonly resumable: boolean
  /** Endpoints on which the call may have run. */
  readonly ranCount: number
  /** Attempts that were sent. */
  readonly sentCount: number
  readonly runLimitCount: number
  readonly leftMs: number
}

/** What is done next. */
export type NextStep = 'retry' | 'refuse' | 'answerFailure' | 'fail'

/** Attempts that one call may make at most, run or not: each refused one costs time and budget. */
const ATTEMPT_LIMIT_COUNT = 3
/** With less time left an attempt is not worth its budget, in milliseconds. */
const MIN_RETRY_LEFT_MS = 150

/**
 * Decides what follows.
 *
 * @param end - How the last attempt ended.
 * @param call - What the call has behind it, that attempt included.
 * @returns The next step; a retry is still subject to the budget.
 */
export function nextStep (end: AttemptEnd, call: CallHistory): NextStep {
  const isRepeatable = call.kind === 'idempotent' || (call.kind === 'stream' && call.resumable)
  const isWithinLimits = call.ranCount < call.runLimitCount && call.sentCount < ATTEMPT_LIMIT_COUNT && call.leftMs >= MIN_RETRY_LEFT_MS
  if (end === 'notRun' && isWithinLimits && (isRepeatable || call.ranCount === 0)) return 'retry'
  if (end !== 'notRun' && isWithinLimits && isRepeatable) return 'retry'
  return finalStep(end, call)
}

/**
 * Decides how a call ends that is not tried again.
 *
 * @param end - How the last attempt ended.
 * @param call - What the call has behind it.
 * @returns The last step.
 */
export function finalStep (end: AttemptEnd, call: CallHistory): Exclude<NextStep, 'retry'> {
  if (end === 'failed') return 'answerFailure'
  return end === 'notRun' && call.ranCount === 0 ? 'refuse' : 'fail'
}
