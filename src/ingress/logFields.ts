/**
 * Log fields of a call that is sent or refused: the inputs of the decision.
 *
 * @packageDocumentation
 */
import * as Routing from '../routing/index.ts'
import type * as Calls from './calls.ts'

/** Inputs of the decision to refuse a call. */
export interface RefusalInputs {
  readonly admissionInput: Routing.Admission.PendingCall
  readonly candidates: readonly Routing.Choice.Candidate[]
  readonly best: Routing.Choice.Candidate | undefined
}

/**
 * Returns the log fields of a call that is sent; to be called after the attempt was counted at the endpoint.
 *
 * @param call - The call.
 * @param candidate - The endpoint that it is sent to.
 * @param context - The routing context that the decision was based on.
 * @param leftMs - Time left until the deadline, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns The fields.
 */
export function sentFields (call: Calls.Call, { row, predictedMs }: Routing.Choice.Candidate, context: Routing.Choice.RoutingContext, leftMs: number, nowMs: number): Record<string, unknown> {
  const { service, model } = call.requirements
  const weights = service.engine === undefined ? undefined : Routing.Endpoints.findWeights(row, model)
  return {
    callId: call.callId,
    service: call.service,
    endpointId: row.listing.endpointId,
    predictedMs: Math.round(predictedMs),
    busyCount: Routing.Endpoints.busyCount(row, nowMs) - 1,
    loadAgeMs: Math.round(nowMs - row.loadAtMs),
    leftMs,
    attemptCount: call.attemptCount,
    ...(row.limit?.callsPerSecond === undefined ? {} : { limitPerSecond: row.limit.callsPerSecond }),
    ...(weights === undefined ? {} : { version: weights.version, oldestVersion: context.oldestVersionOf(weights.model) }),
    ...(call.rank === undefined ? {} : { rankIndex: call.rank.index, queuePosition: Routing.Ranks.queuePositionOf(call.rank, call) }),
    ...(call.resuming ? { lastEventId: call.lastEventId } : {})
  }
}

/**
 * Returns the log fields of a call that is refused because no endpoint can take it.
 *
 * @param call - The call.
 * @param inputs - Inputs of the decision.
 * @param context - The routing context that the decision was based on.
 * @param nowMs - The current time, in milliseconds.
 * @returns The fields.
 */
export function refusedFields (call: Calls.Call, { admissionInput, candidates, best }: RefusalInputs, context: Routing.Choice.RoutingContext, nowMs: number): Record<string, unknown> {
  const { service, model = service.engine?.models[0] } = call.requirements
  return {
    candidateCount: candidates.length,
    bestMs: best === undefined ? undefined : Math.round(best.predictedMs),
    bestId: best?.row.listing.endpointId,
    busyCount: best === undefined ? undefined : Routing.Endpoints.busyCount(best.row, nowMs),
    waitedMs: Math.round(admissionInput.waitedMs),
    ageMs: Math.round(admissionInput.ageMs),
    isCrowded: admissionInput.isCrowded,
    ...(call.rank === undefined ? {} : { isOutranked: admissionInput.isOutranked, rankIndex: call.rank.index }),
    freeCount: best?.freeSlotCount,
    ...(candidates.length > 0 ? {} : { ruledOut: Routing.Choice.countExcluded(call.requirements, context, nowMs) }),
    ...(candidates.length > 0 || service.engine === undefined || model === undefined ? {} : { oldestVersion: context.oldestVersionOf(model) })
  }
}
