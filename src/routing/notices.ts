/**
 * What endpoints say of themselves to a gateway that is to send them nothing: for good, or for a while.
 *
 * Answers endpoints that leave before their entry says so, and endpoints that turn calls away and
 * name a time of return. A notice belongs to one start of an endpoint, whatever the platform's list
 * says, and outlives the entry: the list may be late or revert. When the time is over, one call at a
 * time finds out whether the endpoint takes calls again, so that not all that waits goes there at once.
 *
 * @packageDocumentation
 */
import type * as Endpoints from './endpoints.ts'

/** What an answer of an endpoint says. */
export interface AnswerNotice {
  readonly isLeaving: boolean
  /** For how long the endpoint wants nothing, in milliseconds; 0 where it did not say. */
  readonly quietForMs: number
  /** When the call was sent that was answered, in milliseconds. */
  readonly askedAtMs: number
  /** Whether the endpoint turned the call away. */
  readonly isRefused: boolean
}

/** What keeps calls from an endpoint. */
export type Hold = 'leaving' | 'quiet' | 'returning'

/** The notices that one gateway has. */
export interface Notices {
  /**
   * Takes what an answer says.
   *
   * @param start - The start of the endpoint that the call was sent to.
   * @param answer - What the answer says.
   * @param nowMs - The time.
   * @returns What is new, for the log.
   */
  take: (start: Endpoints.EndpointStart, answer: AnswerNotice, nowMs: number) => Hold | undefined
  /** Tells what keeps calls from an endpoint now. */
  holdOf: (start: Endpoints.EndpointStart, nowMs: number) => Hold | undefined
  /** Tells when an endpoint that wants nothing may be asked again, in milliseconds; -Infinity where it said nothing. */
  quietUntilMs: (start: Endpoints.EndpointStart) => number
  /** Notes that a call was sent. */
  recordSent: (start: Endpoints.EndpointStart, nowMs: number) => void
  count: () => number
}

interface Notice {
  readonly start: Endpoints.EndpointStart
  /** Until when the endpoint counts as leaving, in milliseconds; -Infinity while it does not. */
  leavingUntilMs: number
  quietUntilMs: number
  /** Whether the endpoint is yet to show that it takes calls again. */
  isReturning: boolean
  /** Until when a call that was sent to find that out is waited for, in milliseconds. */
  trialUntilMs: number
}

/** The longest time for which an endpoint is left out on its word, in milliseconds, unless it is known to be the same start: a garbled number must not take it out for ever. */
export const MAX_HOLD_MS = 10 * 60_000
/** A call that finds out whether an endpoint takes calls again is waited for so long, in milliseconds; then the next one may. */
const TRIAL_TIMEOUT_MS = 500
/** Endpoints whose notices are remembered; some 200 bytes each. */
const NOTICE_LIMIT_COUNT = 1_024

/**
 * Creates an empty memory.
 *
 * @returns The notices.
 */
export function createNotices (): Notices {
  /** By endpoint, the oldest first. */
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
      // An answer of an earlier start that comes late says nothing of the one that is known.
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

/** Without a time of its start, an endpoint is the same under its id. */
function isSameStart (a: Endpoints.EndpointStart, b: Endpoints.EndpointStart): boolean {
  return a.bornAtMs === undefined || b.bornAtMs === undefined || a.bornAtMs === b.bornAtMs
}

function isOlder (start: Endpoints.EndpointStart, other: Endpoints.EndpointStart | undefined): boolean {
  return other?.bornAtMs !== undefined && start.bornAtMs !== undefined && start.bornAtMs < other.bornAtMs
}
