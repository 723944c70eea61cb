/**
 * Takes arriving calls and follows their attempts to one truthful end.
 *
 * @packageDocumentation
 */
import type * as Core from '../../core/index.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'
import type * as Schemas from '../../schema/index.ts'
import * as Asking from './asking.ts'

const RETRY_AFTER_MS = 1_000
const DEFAULT_PRIORITY = 1

/** Accepts calls. */
export const acceptSystem: Tables.System = {
  name: 'accept',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'callArrived') accept(tables, tick, input.call)
      if (input.kind === 'callerGone') leave(tables, tick, input.callId)
      if (input.kind === 'streamProgress') progress(tables, input)
    }
  }
}

/** Settles attempts that ended. */
export const settleSystem: Tables.System = {
  name: 'settle',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind !== 'attemptEnded') continue
      const row = tables.calls.get(input.callId)
      if (row?.current?.attemptId !== input.attemptId) continue
      settle(tables, tick, row, input.end)
    }
  }
}

/** Ends calls whose deadline has passed. */
export const deadlineSystem: Tables.System = {
  name: 'deadline',
  run: (tables, tick) => {
    for (const row of [...tables.calls.rows()]) if (tick.nowMs >= row.deadlineMs) DEADLINE_HANDLERS[row.state](tables, tick, row)
  }
}

/** A service and the route of it that a call takes. */
export interface FoundRoute {
  readonly service: Schemas.Manifest.Service
  readonly route: Schemas.Manifest.Route
}

/**
 * Finds the route of a call.
 *
 * @param manifest - The manifest in force.
 * @param method - The call's method.
 * @param path - The call's path.
 * @returns The service and route, if the manifest has them.
 */
export function findRoute (manifest: Schemas.Manifest.Manifest, method: string, path: string): FoundRoute | undefined {
  for (const service of manifest.services) {
    const route = service.routes.find(candidate => candidate.method === method && candidate.path === path)
    if (route !== undefined) return { service, route }
  }
  return undefined
}

function accept (tables: Tables.Tables, tick: Tables.Tick, call: Messages.ArrivedCall): void {
  const refuse = (code: Parameters<typeof Finish.finish>[3], reason: string, retryAfterMs?: number): void => {
    tick.log('calls', 'Call refused.', { callId: call.callId, workspace: call.workspace, code, reason })
    tick.emit({ kind: 'finish', callId: call.callId, code, details: { callId: call.callId, workspace: call.workspace, reason, retryAfterMs } })
  }
  const manifest = tables.held.manifest()
  if (manifest === undefined) { refuse('notReady', 'No manifest is in force here.', RETRY_AFTER_MS); return }
  const workspace = manifest.workspaces.find(candidate => candidate.name === call.workspace)
  if (workspace === undefined) { refuse('workspaceUnknown', `No workspace "${call.workspace}".`); return }
  const found = findRoute(manifest, call.method, call.path)
  if (found === undefined) { refuse('routeUnknown', `No route ${call.method} ${call.path}.`); return }
  if (tables.held.quarantine().entries.some(entry => entry.digest === call.digest && entry.expiresAtMs > tables.wallClock())) {
    refuse('quarantined', 'Calls with this digest have crashed endpoints.')
    return
  }
  tables.calls.set(call.callId, {
    call,
    service: found.service.name,
    idempotent: found.route.idempotent,
    priority: call.priority ?? workspace.priority ?? DEFAULT_PRIORITY,
    arrivedAtMs: tick.nowMs,
    deadlineMs: tick.nowMs + call.timeLeftMs,
    state: 'routing',
    current: undefined,
    attemptCount: 0,
    refusedBy: new Set(),
    lastEnd: undefined,
    notBeforeMs: 0,
    nextIndex: 0,
    pinnedVersion: undefined,
    claimRevision: 0,
    claimRecord: undefined,
    claimedAttemptId: undefined,
    openAttempts: new Set(),
    ask: undefined,
    silentAfterMs: 0,
    silentAtMs: 0,
    detached: false
  })
}

function settle (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd): void {
  row.lastEnd = end
  SETTLERS[end.run](tables, tick, row, end)
}

type Settler = (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd) => void

const SETTLERS: Readonly<Record<Messages.AttemptEnd['run'], Settler>> = {
  ran: (tables, tick, row, end) => {
    ClaimRecords.save(tables, tick, row, 'done', end.outcome)
    Finish.deliver(tables, tick, row)
  },
  notRun: (tables, tick, row) => {
    if (row.current !== undefined) row.openAttempts.delete(row.current.attemptId)
    Asking.routeAgain(tables, tick, row)
  },
  unknown: (tables, tick, row) => {
    if (row.idempotent) Asking.routeAgain(tables, tick, row)
    else Asking.askOwn(tick, row)
  }
}

type DeadlineHandler = (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow) => void

const DEADLINE_HANDLERS: Readonly<Record<Tables.CallRow['state'], DeadlineHandler>> = {
  routing: (tables, tick, row) => { Finish.finish(tables, tick, row, Finish.refusalOf(row, 'deadlinePassed'), { reason: 'The deadline passed while no endpoint took the call.' }) },
  claiming: (tables, tick, row) => { Finish.finish(tables, tick, row, Finish.refusalOf(row, 'storeUnavailable'), { reason: 'The table service did not grant the claim by the deadline.', retryAfterMs: RETRY_AFTER_MS }) },
  running: (tables, tick, row) => {
    if (outlivesCaller(row) && !row.detached) { Finish.detach(tick, row, 'deadlineRunning', { reason: 'The deadline passed while the call was run.', retryAfterMs: RETRY_AFTER_MS }); return }
    tick.emit({ kind: 'cancelAttempt', callId: row.call.callId })
    Finish.finish(tables, tick, row, 'deadlineRunning', { reason: 'The deadline passed while the call was run.' })
  },
  asking: (tables, tick, row) => {
    Finish.finish(tables, tick, row, askingCode(row), { reason: 'The agent did not tell the outcome by the deadline.', retryAfterMs: RETRY_AFTER_MS })
  }
}

/** Only a call with a key may be told to come back: without one, a repeat could run it twice. */
function askingCode (row: Tables.CallRow): Core.Codes.CodeName {
  if (row.ask?.held?.record.state === 'done') return 'answerUnavailable'
  if (row.ask?.lastState === 'running') return 'deadlineRunning'
  return row.call.idempotencyKey === undefined ? 'outcomeUnknown' : 'agentUnreachable'
}

/** A keyed call that must not run twice is followed to its end, so that a repeat finds its answer. */
function outlivesCaller (row: Tables.CallRow): boolean {
  return row.call.idempotencyKey !== undefined && !row.idempotent && row.openAttempts.size > 0
}

function leave (tables: Tables.Tables, tick: Tables.Tick, callId: string): void {
  const row = tables.calls.get(callId)
  if (row === undefined) return
  if (outlivesCaller(row)) { if (!row.detached) Finish.detach(tick, row, 'callerGone', { reason: 'The caller closed the connection.' }); return }
  tick.emit({ kind: 'cancelAttempt', callId })
  Finish.finish(tables, tick, row, 'callerGone', { reason: 'The caller closed the connection.' })
}

function progress (tables: Tables.Tables, input: Extract<Messages.Input, { kind: 'streamProgress' }>): void {
  const row = tables.calls.get(input.callId)
  if (row?.current?.attemptId !== input.attemptId) return
  row.nextIndex = input.nextIndex
  row.pinnedVersion = row.current.modelVersion
}
