/**
 * Admission control: decides whether a call is sent, waits, or is refused.
 *
 * Under sustained overload, a call that cannot begin within its goal is refused at once, so that slots
 * go to calls that can still be answered on time. A caller that retries after a refusal is already late
 * and gets a free slot only when no on-time call needs it. Otherwise every answer would be late.
 *
 * @packageDocumentation
 */
import type * as Choice from './choice.ts'
import type * as Ranks from './ranks.ts'

/** A call that is to be sent. */
export interface PendingCall {
  /** Time since the caller first made the call, in milliseconds; an estimate. */
  readonly ageMs: number
  /** Time since the call reached this gateway, in milliseconds. */
  readonly waitedMs: number
  /** Time within which the answer should begin, in milliseconds. */
  readonly goalMs: number
  /** Time until the deadline of the caller or the route, in milliseconds. */
  readonly leftMs: number
  /** Whether the call continues a stream that has already begun. */
  readonly resuming: boolean
  /** Whether on-time calls are being refused, so that free slots are reserved for them. */
  readonly isCrowded: boolean
  /** Whether on-time calls that go before this one find no free slots, so that free slots are reserved for them. */
  readonly isOutranked?: boolean
  /** Undefined if calls of the service have no ranks. */
  readonly rank?: Ranks.Rank | undefined
}

/** The calls that wait ahead of a call. */
export interface Queue {
  readonly aheadCount: number
  /** Mean interval at which the gateway's calls get a slot, in milliseconds. */
  readonly slotIntervalMs: number
}

/** What to do with a call now. */
export type Decision =
  | { readonly kind: 'send', readonly candidate: Choice.Candidate }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly reason: RefusalReason }

/** Why a call is refused. */
export type RefusalReason = 'noEndpoint' | 'overCapacity' | 'outOfTime' | 'retriesUsedUp' | 'notReady' | 'outdated' | 'stopping' | 'quarantined' | 'noMemory'

/** Share of its goal for which a call may wait for a slot: a longer wait leaves the engine too little time. */
const GOAL_WAIT_SHARE = 0.3
/** Share of its remaining time for which a late call may wait for a slot: it has already missed its goal. */
const LATE_WAIT_SHARE = 0.1
/** Assumed maximum ratio of actual to predicted time for a call that queues at an endpoint: other gateways send calls there meanwhile. */
const QUEUED_PREDICTION_FACTOR = 1.5
/** Minimum number of free slots at which a late call is sent to a crowded service: one for itself and one for an on-time call. */
const MIN_FREE_SLOT_COUNT = 2
/** Minimum remaining time of a call, in milliseconds; with less it is refused, as no answer would arrive in time. */
const MIN_LEFT_MS = 100

/**
 * Decides whether a call is sent, waits, or is refused.
 *
 * @param call - The call.
 * @param best - The best endpoint for the call; undefined if no endpoint may take it.
 * @param queue - The calls that wait ahead of it, and the interval at which slots become free.
 * @param hasEligibleEndpoint - Whether any endpoint may serve the call once it has a free slot.
 * @returns The decision.
 */
export function decide (call: PendingCall, best: Choice.Candidate | undefined, queue: Queue, hasEligibleEndpoint: boolean): Decision {
  if (call.leftMs < MIN_LEFT_MS) return { kind: 'refuse', reason: 'outOfTime' }
  const late = call.ageMs > call.goalMs
  const leavesFreeSlot = best !== undefined && best.freeSlotCount >= MIN_FREE_SLOT_COUNT
  if (late && call.isCrowded && !call.resuming && !leavesFreeSlot) return refuse(best, hasEligibleEndpoint)
  const mayTakeLastSlot = call.isOutranked !== true || leavesFreeSlot
  if (best !== undefined && queue.aheadCount === 0 && mayTakeLastSlot) {
    if (call.resuming && best.predictedMs < call.leftMs) return { kind: 'send', candidate: best }
    if (best.hasFreeSlot || (!late && mayQueueAtEndpoint(call.rank) && call.ageMs + best.predictedMs * QUEUED_PREDICTION_FACTOR <= call.goalMs)) return { kind: 'send', candidate: best }
  }
  const waitLimitMs = late || call.resuming ? call.leftMs * LATE_WAIT_SHARE : call.goalMs * GOAL_WAIT_SHARE
  const expectedMs = call.waitedMs + (queue.aheadCount + 1) * queue.slotIntervalMs
  const canWait = call.waitedMs < waitLimitMs && (call.waitedMs > 0 || expectedMs < waitLimitMs)
  if (canWait && (hasEligibleEndpoint || call.resuming)) return { kind: 'wait' }
  return refuse(best, hasEligibleEndpoint)
}

/** Returns whether a call may queue at an endpoint. One of the least urgent rank would be overtaken there by calls of all gateways, so it waits for a free slot at its gateway. */
function mayQueueAtEndpoint (rank: Ranks.Rank | undefined): boolean {
  return rank === undefined || rank.index < rank.count - 1
}

function refuse (best: Choice.Candidate | undefined, hasEligibleEndpoint: boolean): Decision {
  return { kind: 'refuse', reason: best !== undefined || hasEligibleEndpoint ? 'overCapacity' : 'noEndpoint' }
}
