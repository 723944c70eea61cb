/**
 * Ends calls: the one place where a caller is told an outcome.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as ClaimRecords from './claimRecords.ts'
import type * as Tables from './tables.ts'

/** What the caller is told beside the code. */
export interface FinishDetails {
  readonly reason: string
  readonly retryAfterMs?: number
  readonly limitCount?: number
  readonly shareCount?: number
}

/** How long a call is followed after its caller was answered, in milliseconds. */
const LINGER_MS = 30_000

/**
 * Ends a call with a result code.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param code - The result code.
 * @param details - What else the caller is told.
 */
export function finish (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, code: Core.Codes.CodeName, details: FinishDetails): void {
  drop(tables, tick, row)
  if (row.detached) return
  tell(tick, row, code, details)
}

/**
 * Answers a caller while the call is still being run; the call's end is then only saved.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param code - The result code.
 * @param details - What else the caller is told.
 */
export function detach (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, code: Core.Codes.CodeName, details: FinishDetails): void {
  row.detached = true
  row.deadlineMs = tick.nowMs + LINGER_MS
  row.silentAtMs = tick.nowMs
  tables.deadlines.set(row.call.callId, row.deadlineMs)
  tell(tick, row, code, details)
}

/**
 * Chooses what may be told of a call that is refused: an attempt that was sent and not proved
 * never run makes its outcome unknown.
 *
 * @param row - The call.
 * @param code - The code of the refusal.
 * @returns The code to tell.
 */
export function refusalOf (row: Tables.CallRow, code: Core.Codes.CodeName): Core.Codes.CodeName {
  return Core.Codes.CODES[code].run === 'notRun' && row.openAttempts.size > 0 ? 'outcomeUnknown' : code
}

/**
 * Ends a call whose answer the edge holds whole.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 */
export function deliver (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  drop(tables, tick, row)
  if (!row.detached) tick.emit({ kind: 'deliver', callId: row.call.callId })
}

/**
 * Ends a call with a saved answer.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param outcome - The saved answer.
 */
export function replay (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, outcome: Schemas.Calls.SavedOutcome): void {
  drop(tables, tick, row)
  tick.log('calls', 'Saved answer given.', { callId: row.call.callId, workspace: row.call.workspace, reason: 'the key was used before' })
  if (!row.detached) tick.emit({ kind: 'replay', callId: row.call.callId, outcome })
}

/**
 * Forgets a call's attempt.
 *
 * @param tables - The gateway's tables.
 * @param row - The call.
 */
export function clearAttempt (tables: Tables.Tables, row: Tables.CallRow): void {
  if (row.current !== undefined && row.state !== 'claiming') release(tables, row.current, row.call.workspace)
  row.current = undefined
}

/**
 * Counts an attempt as finished at its endpoint.
 *
 * @param tables - The gateway's tables.
 * @param attempt - The attempt.
 * @param workspace - The call's workspace.
 */
export function release (tables: Tables.Tables, attempt: Tables.CurrentAttempt, workspace: string): void {
  const endpoint = tables.endpoints.get(attempt.endpointId)
  if (endpoint === undefined) return
  endpoint.outstandingCount = Math.max(0, endpoint.outstandingCount - 1)
  const count = (endpoint.outstandingCounts.get(workspace) ?? 0) - 1
  if (count > 0) endpoint.outstandingCounts.set(workspace, count)
  else endpoint.outstandingCounts.delete(workspace)
}

/**
 * Counts an attempt as under way at its endpoint.
 *
 * @param endpoint - The endpoint.
 * @param workspace - The call's workspace.
 */
export function occupy (endpoint: Tables.EndpointRow, workspace: string): void {
  endpoint.outstandingCount++
  endpoint.outstandingCounts.set(workspace, (endpoint.outstandingCounts.get(workspace) ?? 0) + 1)
}

function tell (tick: Tables.Tick, row: Tables.CallRow, code: Core.Codes.CodeName, details: FinishDetails): void {
  const { run } = Core.Codes.CODES[code]
  tick.check('truthfulRefusal', run !== 'notRun' || row.openAttempts.size === 0, () => ({ callId: row.call.callId, code, openAttempts: [...row.openAttempts] }))
  tick.log('calls', 'Call ended.', { callId: row.call.callId, workspace: row.call.workspace, code, reason: details.reason })
  tick.emit({ kind: 'finish', callId: row.call.callId, code, details: { callId: row.call.callId, workspace: row.call.workspace, ...details } })
}

function drop (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  if (row.state === 'claiming') tick.emit({ kind: 'abandonClaim', callId: row.call.callId })
  else if (row.openAttempts.size === 0) ClaimRecords.release(tables, tick, row)
  const { callId } = row.call
  if (row.hedge !== undefined) release(tables, row.hedge, row.call.workspace)
  row.hedge = undefined
  clearAttempt(tables, row)
  tables.calls.remove(callId)
  tables.waiting.delete(callId)
  tables.covered.delete(callId)
  tables.deadlines.remove(callId)
  tables.hedgeTimes.remove(callId)
}
