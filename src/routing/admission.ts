/**
 * Whether a call is sent, waits, or is refused.
 *
 * Answers sustained overload. What cannot begin within its goal is refused at once, so that places go
 * to calls that are still of full use; a caller that comes back after a refusal is already late and
 * takes a free place only when no call in time wants it. Otherwise every answer would be late.
 *
 * @packageDocumentation
 */
import type * as Choice from './choice.ts'

/** A call that asks to be sent. */
export interface Asking {
  /** Time since the caller first asked, in milliseconds, as far as known. */
  readonly ageMs: number
  /** Time since the call reached this gateway, in milliseconds. */
  readonly waitedMs: number
  /** Time within which an answer has to begin, in milliseconds. */
  readonly goalMs: number
  /** Time until the caller or the route gives up, in milliseconds. */
  readonly leftMs: number
  /** Whether a stream that has begun goes on. */
  readonly resuming: boolean
  /** Whether calls in time are being turned away, so that places are left to them. */
  readonly isCrowded: boolean
}

/** The calls that wait before one. */
export interface Queue {
  readonly aheadCount: number
  /** Mean time until one of the gateway's calls gets a place, in milliseconds. */
  readonly turnMs: number
}

/** What is done with a call now. */
export type Verdict =
  | { readonly kind: 'send', readonly candidate: Choice.Candidate }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly reason: RefusalReason }

/** Why a call is refused. */
export type RefusalReason = 'noEndpoint' | 'overCapacity' | 'outOfTime' | 'retriesUsedUp' | 'notReady' | 'quarantined'

/** Share of its goal for which a call may wait for a place: longer waits leave too little time for the engine. */
const WAIT_SHARE = 0.3
/** A late call may wait for a place for this share of the time that it has left: it has missed its goal anyway. */
const LATE_WAIT_SHARE = 0.1
/** A call that would queue at an endpoint takes up to so many times its prediction: other gateways send there meanwhile. */
const QUEUED_FACTOR = 1.5
/** A late call goes to a crowded service only where so many places are free: its own and one for a call in time. */
const LEFT_FREE_COUNT = 2
/** Calls that would wait with less time left than this are refused, in milliseconds: no answer fits into it. */
const MIN_LEFT_MS = 100

/**
 * Decides what is done with a call.
 *
 * @param asking - The call.
 * @param best - The endpoint that would take it; undefined where none may.
 * @param queue - The calls that wait before it, and the time until one of them gets a place.
 * @param existsEndpoint - Whether some endpoint may serve the call once it has room.
 * @returns The verdict.
 */
export function decide (asking: Asking, best: Choice.Candidate | undefined, queue: Queue, existsEndpoint: boolean): Verdict {
  if (asking.leftMs < MIN_LEFT_MS) return { kind: 'refuse', reason: 'outOfTime' }
  const late = asking.ageMs > asking.goalMs
  const leavesPlace = best !== undefined && best.freeCount >= LEFT_FREE_COUNT
  if (late && asking.isCrowded && !asking.resuming && !leavesPlace) return refuse(best, existsEndpoint)
  if (best !== undefined && queue.aheadCount === 0) {
    if (asking.resuming && best.firstMs < asking.leftMs) return { kind: 'send', candidate: best }
    if (best.hasPlace || (!late && asking.ageMs + best.firstMs * QUEUED_FACTOR <= asking.goalMs)) return { kind: 'send', candidate: best }
  }
  const waitLimitMs = late || asking.resuming ? asking.leftMs * LATE_WAIT_SHARE : asking.goalMs * WAIT_SHARE
  const expectedMs = asking.waitedMs + (queue.aheadCount + 1) * queue.turnMs
  const fits = asking.waitedMs < waitLimitMs && (asking.waitedMs > 0 || expectedMs < waitLimitMs)
  if (fits && (existsEndpoint || asking.resuming)) return { kind: 'wait' }
  return refuse(best, existsEndpoint)
}

function refuse (best: Choice.Candidate | undefined, existsEndpoint: boolean): Verdict {
  return { kind: 'refuse', reason: best !== undefined || existsEndpoint ? 'overCapacity' : 'noEndpoint' }
}
