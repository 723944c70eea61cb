/**
 * Takes arriving calls and follows their attempts to one truthful end.
 *
 * @packageDocumentation
 */
import * as Finish from '../finish.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'
import type * as Schemas from '../../schema/index.ts'

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
    for (const row of [...tables.calls.rows()]) {
      if (tick.nowMs < row.deadlineMs) continue
      const dispatched = row.state === 'running' || row.state === 'asking'
      if (dispatched) tick.emit({ kind: 'cancelAttempt', callId: row.call.callId })
      Finish.finish(tables, tick, row, dispatched ? 'deadlineRunning' : 'deadlinePassed', { reason: `The deadline passed while ${row.state}.` })
    }
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
    claimRevision: 0
  })
}

function settle (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd): void {
  row.lastEnd = end
  SETTLERS[end.run](tables, tick, row, end)
}

type Settler = (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd) => void

const SETTLERS: Readonly<Record<Messages.AttemptEnd['run'], Settler>> = {
  ran: (tables, tick, row) => { Finish.deliver(tables, tick, row) },
  notRun: (tables, _tick, row) => { routeAgain(tables, row) },
  unknown: (tables, tick, row, end) => {
    if (row.idempotent && row.call.idempotencyKey === undefined) { routeAgain(tables, row); return }
    ask(tables, tick, row, end)
  }
}

/**
 * Sends a call back to routing, away from the endpoint that it was at.
 *
 * @param tables - The gateway's tables.
 * @param row - The call.
 */
export function routeAgain (tables: Tables.Tables, row: Tables.CallRow): void {
  if (row.current !== undefined) row.refusedBy.add(row.current.endpointId)
  Finish.clearAttempt(tables, row)
  row.state = 'routing'
}

/** Asks the agent what became of an attempt; the agent fences it unless it was run. */
function ask (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd): void {
  const endpoint = row.current === undefined ? undefined : tables.endpoints.get(row.current.endpointId)
  if (row.current === undefined || endpoint === undefined) {
    Finish.finish(tables, tick, row, 'outcomeUnknown', { reason: end.reason ?? 'The agent is gone.' })
    return
  }
  row.state = 'asking'
  tick.emit({
    kind: 'askFence',
    callId: row.call.callId,
    target: endpoint,
    question: { attemptId: row.current.attemptId, agentIncarnation: row.current.agentIncarnation }
  })
}

function leave (tables: Tables.Tables, tick: Tables.Tick, callId: string): void {
  const row = tables.calls.get(callId)
  if (row === undefined) return
  tick.emit({ kind: 'cancelAttempt', callId })
  Finish.finish(tables, tick, row, 'callerGone', { reason: 'The caller closed the connection.' })
}

function progress (tables: Tables.Tables, input: Extract<Messages.Input, { kind: 'streamProgress' }>): void {
  const row = tables.calls.get(input.callId)
  if (row?.current?.attemptId !== input.attemptId) return
  row.nextIndex = input.nextIndex
  row.pinnedVersion = row.current.modelVersion
}
