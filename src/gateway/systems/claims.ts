/**
 * Claims of idempotency keys: a keyed call is claimed before it is dispatched.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Finish from '../finish.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'
import * as Calls from './calls.ts'
import * as Routing from './routing.ts'

/** How long a claim is kept, in milliseconds: longer than any caller's repeat. */
const KEEP_CLAIM_MS = 24 * 3_600_000
const RETRY_AFTER_MS = 1_000

/** Follows claims and answers about unfinished ones. */
export const claimsSystem: Tables.System = {
  name: 'claims',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'claimAnswered') {
        const row = tables.calls.get(input.callId)
        if (row?.state === 'claiming') CLAIM_HANDLERS[input.result.kind](tables, tick, row, input.result as never)
      }
      if (input.kind === 'fenceAnswered') {
        const row = tables.calls.get(input.callId)
        if (row?.state === 'asking') answered(tables, tick, row, input)
      }
    }
  }
}

/**
 * Names the row of a claim.
 *
 * @param workspace - The workspace.
 * @param key - The caller's idempotency key.
 * @returns The row's key.
 */
export function claimKeyOf (workspace: string, key: string): string {
  return `${workspace}/${key}`
}

/**
 * Claims a call's key for its current attempt.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call, its attempt chosen.
 */
export function claim (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const { current, call } = row
  if (current === undefined || call.idempotencyKey === undefined) return
  row.state = 'claiming'
  tick.emit({
    kind: 'writeClaim',
    write: {
      callId: call.callId,
      claimKey: claimKeyOf(call.workspace, call.idempotencyKey),
      revision: row.claimRevision,
      record: recordOf(tables, row, current, 'claimed'),
      wanted: true
    }
  })
}

/**
 * Saves the end of a claimed call.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param outcome - The answer; undefined marks the outcome as unknown.
 */
export function save (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, outcome: Schemas.Calls.Outcome | undefined): void {
  const { current, call } = row
  if (current === undefined || call.idempotencyKey === undefined || row.claimRevision === 0) return
  const record = { ...recordOf(tables, row, current, outcome === undefined ? 'unknown' : 'done'), outcome }
  tick.emit({
    kind: 'writeClaim',
    write: { callId: call.callId, claimKey: claimKeyOf(call.workspace, call.idempotencyKey), revision: row.claimRevision, record, wanted: false }
  })
}

type ClaimHandlers = {
  readonly [Kind in Messages.ClaimResult['kind']]: (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, result: Extract<Messages.ClaimResult, { kind: Kind }>) => void
}

const CLAIM_HANDLERS: ClaimHandlers = {
  granted: (tables, tick, row, result) => {
    row.claimRevision = result.revision
    Routing.send(tables, tick, row)
  },
  held: (tables, tick, row, result) => { resolveHeld(tables, tick, row, result.revision, result.record) },
  unavailable: (tables, tick, row) => {
    Finish.finish(tables, tick, row, 'storeUnavailable', { reason: 'The claim could not be written.', retryAfterMs: RETRY_AFTER_MS })
  }
}

function resolveHeld (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, revision: number, record: Schemas.Calls.ClaimRecord): void {
  if (record.digest !== row.call.digest) { Finish.finish(tables, tick, row, 'keyConflict', { reason: 'The key belongs to another request.' }); return }
  if (record.state === 'done' && record.outcome !== undefined) { Finish.replay(tables, tick, row, record.outcome); return }
  if (record.state === 'unknown') { Finish.finish(tables, tick, row, 'outcomeUnknown', { reason: 'The outcome of the first call is lost.' }); return }
  const endpoint = tables.endpoints.get(record.agentId)
  if (endpoint === undefined) { Finish.finish(tables, tick, row, 'inProgress', { reason: 'The first call is not finished.', retryAfterMs: RETRY_AFTER_MS }); return }
  row.claimRevision = revision
  row.current = { attemptId: record.attemptId, endpointId: record.agentId, agentIncarnation: record.agentIncarnation, modelVersion: undefined }
  endpoint.outstandingCount++
  row.state = 'asking'
  tick.emit({ kind: 'askFence', callId: row.call.callId, target: endpoint, question: { attemptId: record.attemptId, agentIncarnation: record.agentIncarnation } })
}

function answered (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, input: Extract<Messages.Input, { kind: 'fenceAnswered' }>): void {
  const state = input.answer?.state
  if (state === 'neverRun') { Calls.routeAgain(tables, row); return }
  if (state === 'done' && input.answer?.outcome !== undefined) {
    save(tables, tick, row, input.answer.outcome)
    Finish.replay(tables, tick, row, input.answer.outcome)
    return
  }
  if (state === 'running' || input.answer === undefined) {
    Finish.finish(tables, tick, row, 'inProgress', { reason: 'The first call is not finished.', retryAfterMs: RETRY_AFTER_MS })
    return
  }
  save(tables, tick, row, undefined)
  Finish.finish(tables, tick, row, 'outcomeUnknown', { reason: 'The agent that ran the call has lost its outcome.' })
}

function recordOf (tables: Tables.Tables, row: Tables.CallRow, current: Tables.CurrentAttempt, state: Schemas.Calls.ClaimRecord['state']): Schemas.Calls.ClaimRecord {
  const claimedAtMs = tables.wallClock()
  return {
    nonce: tables.makeId(),
    digest: row.call.digest,
    gatewayId: tables.identity.instanceId,
    callId: row.call.callId,
    attemptId: current.attemptId,
    agentId: current.endpointId,
    agentIncarnation: current.agentIncarnation,
    state,
    claimedAtMs,
    expiresAtMs: claimedAtMs + KEEP_CLAIM_MS
  }
}
