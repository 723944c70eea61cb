/**
 * Ends calls: the one place where a caller is told an outcome.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
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
  const mayHaveRun = row.maybeRun || row.nextIndex > 0
  tick.check('truthfulRefusal', !mayHaveRun || Core.Codes.CODES[code].run !== 'notRun', () => ({ callId: row.call.callId, code, maybeRun: row.maybeRun, nextIndex: row.nextIndex }))
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
  if (row.current !== undefined && row.state !== 'claiming') release(tables, row.current)
  row.current = undefined
}

/**
 * Counts an attempt as finished at its endpoint.
 *
 * @param tables - The gateway's tables.
 * @param attempt - The attempt.
 */
export function release (tables: Tables.Tables, attempt: Tables.CurrentAttempt): void {
  const endpoint = tables.endpoints.get(attempt.endpointId)
  if (endpoint !== undefined) endpoint.outstandingCount = Math.max(0, endpoint.outstandingCount - 1)
}

function drop (tables: Tables.Tables, row: Tables.CallRow): void {
  const { callId } = row.call
  if (row.hedge !== undefined) release(tables, row.hedge)
  row.hedge = undefined
  clearAttempt(tables, row)
  tables.calls.remove(callId)
  tables.waiting.delete(callId)
  tables.deadlines.remove(callId)
  tables.hedgeTimes.remove(callId)
}
