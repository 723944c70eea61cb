/**
 * Makes the writes of claims that a call needs: claim, save, release.
 *
 * A claim is never deleted before it expires: a release writes a record that says so, and a write
 * that arrives late then finds another revision and has no effect.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import type * as Tables from './tables.ts'

/** How long a claim is kept, in milliseconds: longer than any caller's repeat. */
export const KEEP_CLAIM_MS = 24 * 3_600_000

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
  const record = recordOf(tables, row, 'claimed')
  if (record === undefined) return
  row.state = 'claiming'
  write(tick, row, 'claim', record)
}

/**
 * Saves the end of a claimed call. The claim is no longer the call's own afterwards.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param state - How it ended.
 * @param outcome - The whole answer, if there is one to save.
 */
export function save (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: 'done' | 'unknown', outcome?: Schemas.Calls.Outcome): void {
  if (row.claimedAttemptId === undefined) return
  const record = recordOf(tables, row, state)
  if (record !== undefined) write(tick, row, 'save', { ...record, outcome })
  row.claimedAttemptId = undefined
}

/**
 * Saves what an agent told of another call's claim.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call that found the claim.
 * @param held - The claim as found.
 * @param state - How the other call ended.
 * @param outcome - Its whole answer, if there is one to save.
 */
export function saveHeld (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, held: Tables.HeldClaim, state: 'done' | 'unknown', outcome?: Schemas.Calls.Outcome): void {
  if (held.record.state === state) return
  write(tick, row, 'save', { ...held.record, nonce: tables.makeId(), state, outcome }, held.revision)
}

/**
 * Releases a call's claim: the call was not run, and its key is free.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 */
export function release (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  if (row.claimedAttemptId === undefined || row.claimRecord === undefined) return
  write(tick, row, 'release', releasedOf(row.claimRecord, tables.makeId()))
  row.claimedAttemptId = undefined
}

/**
 * Makes the record that says that a claim's call was not run.
 *
 * @param record - The claim.
 * @param nonce - Names the new write.
 * @returns The record.
 */
export function releasedOf (record: Schemas.Calls.ClaimRecord, nonce: string): Schemas.Calls.ClaimRecord {
  return { ...record, nonce, state: 'released', outcome: undefined }
}

function write (tick: Tables.Tick, row: Tables.CallRow, kind: 'claim' | 'save' | 'release', record: Schemas.Calls.ClaimRecord, revision = row.claimRevision): void {
  const { call } = row
  if (call.idempotencyKey === undefined) return
  const claimKey = claimKeyOf(call.workspace, call.idempotencyKey)
  tick.emit({ kind: 'writeClaim', write: { kind, callId: call.callId, claimKey, revision, record, reclaims: row.claimedAttemptId !== undefined } })
}

function recordOf (tables: Tables.Tables, row: Tables.CallRow, state: Schemas.Calls.ClaimRecord['state']): Schemas.Calls.ClaimRecord | undefined {
  const { current, call } = row
  if (current === undefined || call.idempotencyKey === undefined) return undefined
  const claimedAtMs = tables.wallClock()
  return {
    nonce: tables.makeId(),
    digest: call.digest,
    gatewayId: tables.identity.instanceId,
    callId: call.callId,
    attemptId: current.attemptId,
    agentId: current.endpointId,
    agentIncarnation: current.agentIncarnation,
    attemptExpiresAtMs: current.expiresAtMs,
    state,
    claimedAtMs,
    expiresAtMs: claimedAtMs + KEEP_CLAIM_MS
  }
}
