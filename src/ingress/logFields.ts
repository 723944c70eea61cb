/**
 * What the log says of a call that is sent or refused: the inputs that decided it.
 *
 * @packageDocumentation
 */
import * as Routing from '../routing/index.ts'
import type * as Calls from './calls.ts'

/** What a refusal was decided from. */
export interface RefusalInputs {
  readonly admissionInput: Routing.Admission.PendingCall
  readonly candidates: readonly Routing.Choice.Candidate[]
  readonly best: Routing.Choice.Candidate | undefined
}

/**
 * Lists the inputs of a call that is sent, once it counts as sent.
 *
 * @param call - The call.
 * @param candidate - Where it goes.
 * @param state - What the gateway knows.
 * @param leftMs - Time left until the deadline, in milliseconds.
 * @param nowMs - The time.
 * @returns The fields.
 */
export function sentFields (call: Calls.Call, { row, predictedMs: firstMs }: Routing.Choice.Candidate, state: Routing.Choice.RoutingContext, leftMs: number, nowMs: number): Record<string, unknown> {
  const { service, model } = call.requirements
  const weights = service.engine === undefined ? undefined : Routing.Endpoints.findWeights(row, model)
  return {
    callId: call.callId,
    service: call.service,
    endpointId: row.listing.endpointId,
    predictedMs: Math.round(firstMs),
    busyCount: Routing.Endpoints.busyCount(row, nowMs) - 1,
    loadAgeMs: Math.round(nowMs - row.loadAtMs),
    leftMs,
    attemptCount: call.attemptCount,
    ...(row.limit?.callsPerSecond === undefined ? {} : { limitPerSecond: row.limit.callsPerSecond }),
    ...(weights === undefined ? {} : { version: weights.version, oldestVersion: state.oldestVersionOf(weights.model) }),
    ...(call.resuming ? { lastEventId: call.lastEventId } : {})
  }
}

/**
 * Lists the inputs of a call that is refused for want of an endpoint.
 *
 * @param call - The call.
 * @param refused - What was decided from.
 * @param state - What the gateway knows.
 * @param nowMs - The time.
 * @returns The fields.
 */
export function refusedFields (call: Calls.Call, { admissionInput, candidates, best }: RefusalInputs, state: Routing.Choice.RoutingContext, nowMs: number): Record<string, unknown> {
  const { service, model = service.engine?.models[0] } = call.requirements
  return {
    candidateCount: candidates.length,
    bestMs: best === undefined ? undefined : Math.round(best.predictedMs),
    bestId: best?.row.listing.endpointId,
    busyCount: best === undefined ? undefined : Routing.Endpoints.busyCount(best.row, nowMs),
    waitedMs: Math.round(admissionInput.waitedMs),
    ageMs: Math.round(admissionInput.ageMs),
    isCrowded: admissionInput.isCrowded,
    freeCount: best?.freeSlotCount,
    ...(candidates.length > 0 ? {} : { ruledOut: Routing.Choice.countExcluded(call.requirements, state, nowMs) }),
    ...(candidates.length > 0 || service.engine === undefined || model === undefined ? {} : { oldestVersion: state.oldestVersionOf(model) })
  }
}
