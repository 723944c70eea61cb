/**
 * Notices with which endpoints ask a gateway to send them no more calls, permanently or for a while.
 *
 * They cover endpoints that leave before their list entry shows it, and endpoints that refuse calls and
 * give a retry time. A notice belongs to one start of an endpoint, whatever the platform's list says,
 * and outlives the entry, since the list may be late or revert. When the time has passed, one trial call
 * at a time checks whether the endpoint accepts calls again, so that waiting calls do not all go there
 * at once.
 *
 * @packageDocumentation
 */
import type * as Endpoints from './endpoints.ts'

/** The notice in an answer of an endpoint. */
export interface AnswerNotice {
  readonly isLeaving: boolean
  /** Time for which the endpoint wants no calls, in milliseconds; 0 if it gave none. */
  readonly quietForMs: number
  /** When the answered call was sent, in milliseconds. */
  readonly askedAtMs: number
  /** Whether the endpoint refused the call. */
  readonly isRefused: boolean
}

/** Why an endpoint gets no calls: it is leaving, it wants no calls for now, or a trial call is in progress. */
export type Hold = 'leaving' | 'quiet' | 'returning'

/** The notices known to one gateway. */
export interface Notices {
  /**
   * Applies the notice in an answer.
   *
   * @param start - The start of the endpoint that the call was sent to.
   * @param answer - The notice.
   * @param nowMs - The current time, in milliseconds.
   * @returns The new hold, for the log; undefined if nothing has changed.
   */
  take: (start: Endpoints.EndpointStart, answer: AnswerNotice, nowMs: number) => Hold | undefined
  /** Returns why an endpoint gets no calls now; undefined if it may get calls. */
  holdOf: (start: Endpoints.EndpointStart, nowMs: number) => Hold | undefined
  /** Returns when an endpoint that wants no calls may get calls again, in milliseconds; -Infinity if it has not asked for that. */
  quietUntilMs: (start: Endpoints.EndpointStart) => number
  /** Records that a call was sent. */
  recordSent: (start: Endpoints.EndpointStart, nowMs: number) => void
  count: () => number
}

interface Notice {
  readonly start: Endpoints.EndpointStart
  /** When the endpoint stops counting as leaving, in milliseconds; -Infinity if it is not leaving. */
  leavingUntilMs: number
  quietUntilMs: number
  /** Whether no call has shown yet that the endpoint accepts calls again. */
  isReturning: boolean
  /** When the next trial call may be sent, in milliseconds. */
  trialUntilMs: number
}

/** Maximum time for which a notice excludes an endpoint, in milliseconds, unless a leaving endpoint reports its start time: a garbled number must not exclude it forever. */
export const MAX_HOLD_MS = 10 * 60_000
/** Time after a trial call before the next one may be sent, in milliseconds. */
const TRIAL_TIMEOUT_MS = 500
/** Maximum number of endpoints whose notices are kept; about 200 bytes each. */
const NOTICE_LIMIT_COUNT = 1_024

/**
 * Creates an empty collection of notices.
 *
 * @returns The notices.
 */
export function createNotices (): Notices {
  /** By endpoint id, from oldest to newest. */
  const notices = new Map<string, Notice>()
  const findNotice = (start: Endpoints.EndpointStart): Notice | undefined => {
    const notice = notices.size === 0 ? undefined : notices.get(start.endpointId)
    return notice !== undefined && isSameStart(notice.start, start) ? notice : undefined
  }
  const create = (start: Endpoints.EndpointStart): Notice => {
    const notice = { start, leavingUntilMs: -Infinity, quietUntilMs: -Infinity, isReturning: false, trialUntilMs: -Infinity }
    notices.delete(start.endpointId)
    notices.set(start.endpointId, notice)
    const [oldest] = notices.keys()
    if (notices.size > NOTICE_LIMIT_COUNT && oldest !== undefined) notices.delete(oldest)
    return notice
  }
  return {
    take: (start, { isLeaving, quietForMs, askedAtMs, isRefused }, nowMs) => {
      const existing = findNotice(start)
      if (!isLeaving && quietForMs <= 0) {
        if (existing?.isReturning === true && !isRefused && askedAtMs >= existing.quietUntilMs) existing.isReturning = false
        return undefined
      }
      // A late answer of an earlier start does not apply to the current one.
      if (existing === undefined && isOlder(start, notices.get(start.endpointId)?.start)) return undefined
      const notice = existing ?? create(start)
      const isNew = isLeaving ? notice.leavingUntilMs <= nowMs : notice.quietUntilMs <= nowMs
      if (isLeaving) notice.leavingUntilMs = start.bornAtMs === undefined ? nowMs + MAX_HOLD_MS : Infinity
      if (quietForMs > 0) {
        notice.quietUntilMs = Math.max(notice.quietUntilMs, nowMs + Math.min(quietForMs, MAX_HOLD_MS))
        notice.isReturning = true
        notice.trialUntilMs = -Infinity
      }
      return !isNew ? undefined : isLeaving ? 'leaving' : 'quiet'
    },
    holdOf: (start, nowMs) => {
      const notice = findNotice(start)
      if (notice === undefined) return undefined
      if (notice.leavingUntilMs > nowMs) return 'leaving'
      if (notice.quietUntilMs > nowMs) return 'quiet'
      return notice.isReturning && notice.trialUntilMs > nowMs ? 'returning' : undefined
    },
    quietUntilMs: start => findNotice(start)?.quietUntilMs ?? -Infinity,
    recordSent: (start, nowMs) => {
      const notice = findNotice(start)
      if (notice?.isReturning === true) notice.trialUntilMs = nowMs + TRIAL_TIMEOUT_MS
    },
    count: () => notices.size
  }
}

/** Checks whether two starts of the endpoint with the same id are the same; without start times, they count as the same. */
function isSameStart (a: Endpoints.EndpointStart, b: Endpoints.EndpointStart): boolean {
  return a.bornAtMs === undefined || b.bornAtMs === undefined || a.bornAtMs === b.bornAtMs
}

function isOlder (start: Endpoints.EndpointStart, other: Endpoints.EndpointStart | undefined): boolean {
  return other?.bornAtMs !== undefined && start.bornAtMs !== undefined && start.bornAtMs < other.bornAtMs
}
