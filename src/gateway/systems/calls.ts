/**
 * Takes arriving calls and follows their attempts to one truthful end.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'
import type * as Schemas from '../../schema/index.ts'
import * as Outliers from '../outliers.ts'
import * as Suspicion from '../suspicion.ts'
import * as Sending from './sending.ts'
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
      if (row?.hedge?.attemptId === input.attemptId) { settleHedge(tables, tick, row, row.hedge, input.end); continue }
      if (row?.current?.attemptId !== input.attemptId) continue
      Outliers.note(tables, tick, row.current.endpointId, input.end)
      settle(tables, tick, row, input.end)
    }
  }
}

/** Ends calls whose deadline has passed. */
export const deadlineSystem: Tables.System = {
  name: 'deadline',
  run: (tables, tick) => {
    for (const callId of tables.deadlines.expire(tick.nowMs)) {
      const row = tables.calls.get(callId)
      if (row !== undefined) DEADLINE_HANDLERS[row.state](tables, tick, row)
    }
  }
}

const workspaceIndex = Core.Memo.memoizeByIdentity((manifest: Schemas.Manifest.Manifest) => new Map(manifest.workspaces.map(workspace => [workspace.name, workspace])))
const routeIndex = Core.Memo.memoizeByIdentity((manifest: Schemas.Manifest.Manifest) =>
  new Map(manifest.services.flatMap(service => service.routes.map((route): [string, FoundRoute] => [`${route.method} ${route.path}`, { service, route }]))))

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
  return routeIndex(manifest).get(`${method} ${path}`)
}

function accept (tables: Tables.Tables, tick: Tables.Tick, call: Messages.ArrivedCall): void {
  const refuse = (code: Parameters<typeof Finish.finish>[3], reason: string, retryAfterMs?: number): void => {
    tick.log('calls', 'Call refused.', { callId: call.callId, workspace: call.workspace, code, reason })
    tick.emit({ kind: 'finish', callId: call.callId, code, details: { callId: call.callId, workspace: call.workspace, reason, retryAfterMs } })
  }
  const manifest = tables.held.manifest()
  if (manifest === undefined) { refuse('notReady', 'No manifest is in force here.', RETRY_AFTER_MS); return }
  const workspace = workspaceIndex(manifest).get(call.workspace)
  if (workspace === undefined) { refuse('workspaceUnknown', `No workspace "${call.workspace}".`); return }
  const found = findRoute(manifest, call.method, call.path)
  if (found === undefined) { refuse('routeUnknown', `No route ${call.method} ${call.path}.`); return }
  if (Suspicion.isQuarantined(tables, call.digest)) { refuse('quarantined', 'Calls with this digest have crashed endpoints.'); return }
  tables.budgets.deposit(call.workspace)
  const row: Tables.CallRow = {
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
    hedge: undefined,
    answering: false,
    sentAtMs: 0,
    failureCount: 0,
    suspect: Suspicion.isSuspect(tables, call.digest),
    reconnected: false,
    again: undefined,
    backOffCount: 0,
    claimRecord: undefined,
    claimedAttemptId: undefined,
    openAttempts: new Set(),
    ask: undefined,
    silentAfterMs: 0,
    silentAtMs: 0,
    detached: false
  }
  tables.calls.set(call.callId, row)
  tables.deadlines.set(call.callId, row.deadlineMs)
  if (call.idempotencyKey !== undefined || !row.idempotent) tables.covered.add(call.callId)
  Sending.wait(tables, row)
}

function settle (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd): void {
  row.lastEnd = end
  SETTLERS[end.run](tables, tick, row, end)
}

type Settler = (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd) => void

const SETTLERS: Readonly<Record<Messages.AttemptEnd['run'], Settler>> = {
  ran: (tables, tick, row, end) => {
    Suspicion.clear(tables, tick, row.call.digest)
    ClaimRecords.save(tables, tick, row, 'done', end.outcome)
    Finish.deliver(tables, tick, row)
  },
  notRun: (tables, tick, row) => {
    if (row.current !== undefined) row.openAttempts.delete(row.current.attemptId)
    followOn(tables, tick, row)
  },
  unknown: (tables, tick, row, end) => {
    blame(tables, tick, row, end)
    reconnect(row, end)
    if (row.idempotent) followOn(tables, tick, row)
    else Asking.askOwn(tick, row)
  }
}

/** Codes of ends that the endpoint itself caused. */
const FAILURE_CODES: ReadonlySet<Core.Codes.CodeName> = new Set(['endpointFailed', 'streamCut'])
/** Time for evidence of a crash to arrive before a call that failed endpoints is tried again, in milliseconds. */
const EVIDENCE_WAIT_MS = 1_000

/** Suspects a call whose endpoint failed. */
function blame (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, end: Messages.AttemptEnd): void {
  if (!FAILURE_CODES.has(end.code) || end.silent === true) return
  row.failureCount++
  row.suspect = true
  const crashId = row.current?.endpointIncarnation
  if (end.code === 'endpointFailed' && crashId !== undefined && crashId !== '') Suspicion.addFailure(tables, tick, row, crashId)
  if (row.failureCount > 1) row.notBeforeMs = tick.nowMs + EVIDENCE_WAIT_MS
}

/** After a silent connection, the same endpoint is asked once more over a new one. */
function reconnect (row: Tables.CallRow, end: Messages.AttemptEnd): void {
  if (end.silent !== true || row.reconnected || row.current === undefined) return
  row.reconnected = true
  row.again = { endpointId: row.current.endpointId, attemptId: row.current.attemptId }
}

/** Goes on with the other attempt of a hedged call, or sends the call back to routing. */
function followOn (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const { hedge } = row
  if (hedge === undefined) { Asking.routeAgain(tables, tick, row); return }
  row.hedge = undefined
  if (row.current !== undefined) row.refusedBy.add(row.current.endpointId)
  Finish.clearAttempt(tables, row)
  row.current = hedge
}

function settleHedge (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, hedge: Tables.CurrentAttempt, end: Messages.AttemptEnd): void {
  Outliers.note(tables, tick, hedge.endpointId, end)
  if (end.run === 'notRun') row.openAttempts.delete(hedge.attemptId)
  row.refusedBy.add(hedge.endpointId)
  row.hedge = undefined
  Finish.release(tables, hedge, row.call.workspace)
}

type DeadlineHandler = (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow) => void

const DEADLINE_HANDLERS: Readonly<Record<Tables.CallRow['state'], DeadlineHandler>> = {
  routing: (tables, tick, row) => { Finish.finish(tables, tick, row, Finish.refusalOf(row, 'deadlinePassed'), { reason: 'The deadline passed while no endpoint took the call.' }) },
  claiming: (tables, tick, row) => { Finish.finish(tables, tick, row, Finish.refusalOf(row, 'storeUnavailable'), { reason: 'The table service did not grant the claim by the deadline.', retryAfterMs: RETRY_AFTER_MS }) },
  running: (tables, tick, row) => {
    if (outlivesCaller(row) && !row.detached) { Finish.detach(tables, tick, row, 'deadlineRunning', { reason: 'The deadline passed while the call was run.', retryAfterMs: RETRY_AFTER_MS }); return }
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
  if (outlivesCaller(row)) { if (!row.detached) Finish.detach(tables, tick, row, 'callerGone', { reason: 'The caller closed the connection.' }); return }
  tick.emit({ kind: 'cancelAttempt', callId })
  Finish.finish(tables, tick, row, 'callerGone', { reason: 'The caller closed the connection.' })
}

function progress (tables: Tables.Tables, input: Extract<Messages.Input, { kind: 'streamProgress' }>): void {
  const row = tables.calls.get(input.callId)
  if (row?.current?.attemptId !== input.attemptId) return
  row.nextIndex = input.nextIndex
  row.pinnedVersion = row.current.modelVersion
}
