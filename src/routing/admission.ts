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
export interface PendingCall {
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
  readonly slotIntervalMs: number
}

/** What is done with a call now. */
export type Decision =
  | { readonly kind: 'send', readonly candidate: Choice.Candidate }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly reason: RefusalReason }

/** Why a call is refused. */
export type RefusalReason = 'noEndpoint' | 'overCapacity' | 'outOfTime' | 'retriesUsedUp' | 'notReady' | 'quarantined'

/** Share of its goal for which a call may wait for a place: longer waits leave too little time for the engine. */
const GOAL_WAIT_SHARE = 0.3
/** A late call may wait for a place for this share of the time that it has left: it has missed its goal anyway. */
const LATE_WAIT_SHARE = 0.1
/** A call that would queue at an endpoint takes up to so many times its prediction: other gateways send there meanwhile. */
const QUEUED_PREDICTION_FACTOR = 1.5
/** A late call goes to a crowded service only where so many places are free: its own and one for a call in time. */
const MIN_FREE_SLOT_COUNT = 2
/** Calls that would wait with less time left than this are refused, in milliseconds: no answer fits into it. */
const MIN_LEFT_MS = 100

/**
 * Decides what is done with a call.
 *
 * @param call - The call.
 * @param best - The endpoint that would take it; undefined where none may.
 * @param queue - The calls that wait before it, and the time until one of them gets a place.
 * @param hasEligibleEndpoint - Whether some endpoint may serve the call once it has room.
 * @returns The verdict.
 */
export function decide (call: PendingCall, best: Choice.Candidate | undefined, queue: Queue, hasEligibleEndpoint: boolean): Decision {
  if (call.leftMs < MIN_LEFT_MS) return { kind: 'refuse', reason: 'outOfTime' }
  const late = call.ageMs > call.goalMs
  const leavesFreeSlot = best !== undefined && best.freeSlotCount >= MIN_FREE_SLOT_COUNT
  if (late && call.isCrowded && !call.resuming && !leavesFreeSlot) return refuse(best, hasEligibleEndpoint)
  if (best !== undefined && queue.aheadCount === 0) {
    if (call.resuming && best.predictedMs < call.leftMs) return { kind: 'send', candidate: best }
    if (best.hasFreeSlot || (!late && call.ageMs + best.predictedMs * QUEUED_PREDICTION_FACTOR <= call.goalMs)) return { kind: 'send', candidate: best }
  }
  const waitLimitMs = late || call.resuming ? call.leftMs * LATE_WAIT_SHARE : call.goalMs * GOAL_WAIT_SHARE
  const expectedMs = call.waitedMs + (queue.aheadCount + 1) * queue.slotIntervalMs
  const canWait = call.waitedMs < waitLimitMs && (call.waitedMs > 0 || expectedMs < waitLimitMs)
  if (canWait && (hasEligibleEndpoint || call.resuming)) return { kind: 'wait' }
  return refuse(best, hasEligibleEndpoint)
}

function refuse (best: Choice.Candidate | undefined, hasEligibleEndpoint: boolean): Decision {
  return { kind: 'refuse', reason: best !== undefined || hasEligibleEndpoint ? 'overCapacity' : 'noEndpoint' }
}
