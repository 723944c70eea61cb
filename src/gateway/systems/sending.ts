/**
 * Sends attempts to the agents of endpoints, and puts calls back among those that wait.
 *
 * @packageDocumentation
 */
import * as Choice from '../choice.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import * as Suspicion from '../suspicion.ts'
import type * as Tables from '../tables.ts'
import * as Clocks from './clocks.ts'

/**
 * Puts a call among those that wait for an endpoint.
 *
 * @param tables - The gateway's tables.
 * @param row - The call.
 */
export function wait (tables: Tables.Tables, row: Tables.CallRow): void {
  row.state = 'routing'
  tables.waiting.add(row.call.callId)
}

/**
 * Chooses an attempt at an endpoint.
 *
 * @param tables - The gateway's tables.
 * @param endpoint - The endpoint.
 * @returns The attempt, not sent yet.
 */
export function attemptAt (tables: Tables.Tables, endpoint: Tables.EndpointRow): Tables.CurrentAttempt {
  return {
    attemptId: tables.makeId(),
    endpointId: endpoint.endpointId,
    agentIncarnation: endpoint.report?.incarnation ?? '',
    modelVersion: endpoint.report?.modelVersion,
    endpointIncarnation: endpoint.report?.endpointIncarnation
  }
}

/**
 * Sends an attempt to the agent of an endpoint.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param attempt - The attempt.
 * @param endpoint - The endpoint.
 */
export function dispatch (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, attempt: Tables.CurrentAttempt, endpoint: Tables.EndpointRow): void {
  const { call } = row
  const { endpointId } = endpoint
  row.suspect ||= Suspicion.isSuspect(tables, call.digest)
  attempt.expiresAtMs ??= Clocks.expiryOf(tables, tick, row, attempt)
  row.openAttempts.add(attempt.attemptId)
  Finish.occupy(endpoint, call.workspace)
  const drained = !Choice.takesNewWork(tables, endpoint)
  tick.check('drainedZone', !drained, () => ({ callId: call.callId, endpointId, zone: endpoint.zone }))
  tick.check('leavingEndpoint', endpoint.listedState !== 'leaving', () => ({ callId: call.callId, endpointId }))
  tick.emit({
    kind: 'dispatch',
    dispatch: {
      callId: call.callId,
      endpointId,
      target: { host: endpoint.host, port: endpoint.port },
      envelope: {
        callId: call.callId,
        attemptId: attempt.attemptId,
        gatewayId: tables.identity.instanceId,
        workspace: call.workspace,
        service: row.service,
        method: call.method,
        path: call.path,
        contentType: call.contentType,
        modelVersion: attempt.modelVersion,
        adapter: call.adapter,
        timeLeftMs: row.deadlineMs - tick.nowMs,
        priority: row.priority,
        idempotent: row.idempotent,
        stream: call.stream,
        resumeFromIndex: row.nextIndex,
        digest: call.digest,
        claimKey: call.idempotencyKey === undefined ? undefined : ClaimRecords.claimKeyOf(call.workspace, call.idempotencyKey),
        idempotencyKey: call.idempotencyKey,
        agentIncarnation: attempt.agentIncarnation,
        prefixKey: call.prefixKey,
        supersedes: row.again?.endpointId === endpointId ? row.again.attemptId : undefined,
        suspect: row.suspect ? true : undefined,
        expiresAtMs: attempt.expiresAtMs
      }
    }
  })
}
