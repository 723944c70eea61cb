/**
 * Follows claims of idempotency keys: a keyed call is claimed before it is dispatched.
 *
 * @packageDocumentation
 */
import type * as Core from '../../core/index.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'
import * as Asking from './asking.ts'
import * as Routing from './routing.ts'
import * as Sending from './sending.ts'

const RETRY_AFTER_MS = 1_000

/** Takes the results of claims. */
export const claimsSystem: Tables.System = {
  name: 'claims',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind !== 'claimAnswered') continue
      const row = tables.calls.get(input.callId)
      if (row?.state === 'claiming') CLAIM_HANDLERS[input.result.kind](tables, tick, row, input.result as never)
      else if (input.result.kind === 'granted') releaseLate(tables, tick, input)
    }
  }
}

type ClaimHandlers = {
  readonly [Kind in Messages.ClaimResult['kind']]: (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, result: Extract<Messages.ClaimResult, { kind: Kind }>) => void
}

const CLAIM_HANDLERS: ClaimHandlers = {
  granted: (tables, tick, row, result) => {
    row.claimRevision = result.revision
    row.claimRecord = result.record
    row.claimedAttemptId = result.record.attemptId
    if (tick.nowMs >= row.deadlineMs) { refuse(tables, tick, row, 'deadlinePassed', { reason: 'The deadline passed while the key was claimed.' }); return }
    if (!isCurrent(tables, row)) { row.current = undefined; Sending.wait(tables, row); return }
    Routing.send(tables, tick, row)
  },
  held: (tables, tick, row, result) => { resolveHeld(tables, tick, row, result) },
  unavailable: (tables, tick, row) => {
    refuse(tables, tick, row, 'storeUnavailable', { reason: 'The claim could not be written.', retryAfterMs: RETRY_AFTER_MS })
  }
}

/** The claim is answered and the attempt that it was for is not sent. */
function settleClaim (row: Tables.CallRow): void {
  row.state = 'routing'
  row.current = undefined
}

function refuse (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, code: Core.Codes.CodeName, details: Finish.FinishDetails): void {
  settleClaim(row)
  Finish.finish(tables, tick, row, Finish.refusalOf(row, code), details)
}

/** A pause may have passed between choosing the agent and the claim's answer. */
function isCurrent (tables: Tables.Tables, row: Tables.CallRow): boolean {
  const endpoint = row.current === undefined ? undefined : tables.endpoints.get(row.current.endpointId)
  return endpoint?.report?.incarnation === row.current?.agentIncarnation
}

function resolveHeld (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, held: Tables.HeldClaim): void {
  const { record } = held
  if (record.state === 'released') {
    row.claimRevision = held.revision
    row.claimedAttemptId = undefined
    ClaimRecords.claim(tables, tick, row)
    return
  }
  row.claimedAttemptId = undefined
  if (record.digest !== row.call.digest) { refuse(tables, tick, row, 'keyConflict', { reason: 'The key belongs to another request.' }); return }
  if (record.state === 'done' && record.outcome !== undefined) { settleClaim(row); Finish.replay(tables, tick, row, record.outcome); return }
  if (record.state === 'unknown' && !row.idempotent) { refuse(tables, tick, row, 'outcomeUnknown', { reason: 'The outcome of the first call is lost.' }); return }
  Asking.askHeld(tick, row, held)
}

/** A claim that is granted after its call has ended is released: the attempt was never sent. */
function releaseLate (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { kind: 'claimAnswered' }>): void {
  if (input.result.kind !== 'granted') return
  const { record, revision } = input.result
  tick.emit({
    kind: 'writeClaim',
    write: { kind: 'release', callId: input.callId, claimKey: input.claimKey, revision, record: ClaimRecords.releasedOf(record, tables.makeId()), reclaims: false }
  })
}
