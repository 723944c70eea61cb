/**
 * Ends calls: the one place where a caller is told an outcome.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Tables from './tables.ts'

/** What the caller is told beside the code. */
export interface FinishDetails {
  readonly reason: string
  readonly retryAfterMs?: number
  readonly limitCount?: number
  readonly shareCount?: number
}

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
  drop(tables, row)
  tick.log('calls', 'Call ended.', { callId: row.call.callId, workspace: row.call.workspace, code, reason: details.reason })
  tick.emit({ kind: 'finish', callId: row.call.callId, code, details: { callId: row.call.callId, workspace: row.call.workspace, ...details } })
}

/**
 * Ends a call whose answer the edge holds whole.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 */
export function deliver (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  drop(tables, row)
  tick.emit({ kind: 'deliver', callId: row.call.callId })
}

/**
 * Ends a call with a saved answer.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param outcome - The saved answer.
 */
export function replay (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, outcome: Schemas.Calls.Outcome): void {
  drop(tables, row)
  tick.log('calls', 'Saved answer given.', { callId: row.call.callId, workspace: row.call.workspace, reason: 'the key was used before' })
  tick.emit({ kind: 'replay', callId: row.call.callId, outcome })
}

/**
 * Forgets a call's attempt.
 *
 * @param tables - The gateway's tables.
 * @param row - The call.
 */
export function clearAttempt (tables: Tables.Tables, row: Tables.CallRow): void {
  const endpoint = row.current === undefined ? undefined : tables.endpoints.get(row.current.endpointId)
  if (endpoint !== undefined && row.state !== 'claiming') endpoint.outstandingCount = Math.max(0, endpoint.outstandingCount - 1)
  row.current = undefined
}

function drop (tables: Tables.Tables, row: Tables.CallRow): void {
  clearAttempt(tables, row)
  tables.calls.remove(row.call.callId)
}
