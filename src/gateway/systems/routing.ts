/**
 * Chooses an endpoint for each call that waits for one.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import * as Choice from '../choice.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import * as Suspicion from '../suspicion.ts'
import type * as Tables from '../tables.ts'
import * as Asking from './asking.ts'
import * as Clocks from './clocks.ts'
import * as Hedging from './hedging.ts'
import * as Sending from './sending.ts'

/** The most attempts of one call. */
const MAX_ATTEMPT_COUNT = 4
/** The most endpoints that may fail under one call. */
const MAX_FAILURE_COUNT = 2
/** The same for a begun stream, which more failures only cut. */
const MAX_STREAM_FAILURE_COUNT = 3
const RETRY_AFTER_MS = 1_000
const BACK_OFF_MS = 50
const MAX_BACK_OFF_COUNT = 2
/** The most waits for an endpoint that can go on with a begun stream. */
const MAX_RESUME_BACK_OFF_COUNT = 6
/** Ends that say nothing of load: a repeat elsewhere takes nothing out of the retry budget. */
const FREE_CODES: ReadonlySet<Core.Codes.CodeName> = new Set(['draining', 'staleIncarnation', 'modelNotLoaded'])

/** Ends that the workspace's own calls may have caused by being many. */
const LOAD_CODES: ReadonlySet<Core.Codes.CodeName> = new Set(['overShare', 'overCapacity'])

/** Routes calls that wait. */
export const routingSystem: Tables.System = {
  name: 'routing',
  run: (tables, tick) => {
    if (tables.waiting.size === 0) return
    for (const callId of [...tables.waiting]) {
      const row = tables.calls.get(callId)
      if (row?.state !== 'routing') { tables.waiting.delete(callId); continue }
      if (tick.nowMs < row.notBeforeMs) continue
      tables.waiting.delete(callId)
      route(tables, tick, row)
    }
  }
}

/**
 * Sends a call's chosen attempt to its agent.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call, its attempt chosen and claimed where it has a key.
 */
export function send (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const { current } = row
  const endpoint = current === undefined ? undefined : tables.endpoints.get(current.endpointId)
  if (current === undefined || endpoint === undefined || !Choice.takesNewWork(tables, endpoint) || Suspicion.isQuarantined(tables, row.call.digest)) {
    row.current = undefined
    Sending.wait(tables, row)
    return
  }
  const { call } = row
  tick.check('atMostOnce', row.idempotent || row.openAttempts.size === 0, () => ({ callId: call.callId, attemptId: current.attemptId, openAttempts: [...row.openAttempts] }))
  tick.check('atMostOnce', call.idempotencyKey === undefined || row.claimedAttemptId === current.attemptId, () => ({ callId: call.callId, attemptId: current.attemptId, claimedAttemptId: row.claimedAttemptId }))
  row.state = 'running'
  row.sentAtMs = tick.nowMs
  Asking.expectAnswer(tick, row)
  Sending.dispatch(tables, tick, row, current, endpoint)
  Hedging.plan(tables, row)
}

function route (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  if (Suspicion.isQuarantined(tables, row.call.digest)) { refuse(tables, tick, row, 'quarantined'); return }
  if (row.attemptCount >= MAX_ATTEMPT_COUNT || row.failureCount >= (row.nextIndex > 0 ? MAX_STREAM_FAILURE_COUNT : MAX_FAILURE_COUNT)) { refuse(tables, tick, row); return }
  const usable = Choice.usableFor(tables, tick.nowMs, row)
  const again = usable.find(endpoint => endpoint.endpointId === row.again?.endpointId)
  const fresh = again === undefined ? usable.filter(endpoint => !row.refusedBy.has(endpoint.endpointId)) : [again]
  const choice = Choice.choose(tables, tick.random, row, fresh)
  if (choice === undefined) { backOff(tables, tick, row); return }
  if (!mayRepeat(tables, tick, row)) { refuse(tables, tick, row); return }
  const { endpoint, candidateCount, reason } = choice
  row.attemptCount++
  row.current = Sending.attemptAt(tables, endpoint)
  Choice.rememberPrefix(tables, row.call.prefixKey, endpoint.endpointId)
  tick.log('routing', 'Endpoint chosen.', { callId: row.call.callId, endpointId: endpoint.endpointId, zone: endpoint.zone, spareCount: Choice.spareOf(endpoint), candidateCount, reason: again === undefined ? reason : 'asked again over a new connection' })
  row.current.expiresAtMs = Clocks.expiryOf(tables, tick, row, row.current)
  if (row.call.idempotencyKey !== undefined) ClaimRecords.claim(tables, tick, row)
  else send(tables, tick, row)
  row.again = undefined
}

/** The first attempt is free; a repeat after a refusal takes from the workspace's budget, one after a failure from the gateway's. */
function mayRepeat (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): boolean {
  const end = row.lastEnd
  if (row.attemptCount === 0 || end === undefined || FREE_CODES.has(end.code)) return true
  return LOAD_CODES.has(end.code) ? tables.budgets.withdraw(row.call.workspace, tick.nowMs) : tables.budgets.withdrawShared(tick.nowMs)
}

/** Waits a little for an endpoint when there was one, or when a begun stream has to go on. */
function backOff (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const begun = row.nextIndex > 0
  const waited = row.backOffCount >= (begun ? MAX_RESUME_BACK_OFF_COUNT : MAX_BACK_OFF_COUNT)
  const unavailable = begun || (row.attemptCount > 0 && row.lastEnd?.code !== 'overShare' && row.lastEnd?.code !== 'overCapacity')
  const delayMs = Core.Random.jitter(tick.random, BACK_OFF_MS * 2 ** row.backOffCount)
  if (waited || !unavailable || tick.nowMs + delayMs >= row.deadlineMs) { refuse(tables, tick, row); return }
  row.backOffCount++
  row.refusedBy.clear()
  row.notBeforeMs = tick.nowMs + delayMs
  Sending.wait(tables, row)
}

function refuse (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, notRunCode?: Core.Codes.CodeName): void {
  const end = row.lastEnd
  const unknownCode = row.nextIndex > 0 ? 'streamCut' : row.failureCount > 0 ? 'endpointFailed' : 'outcomeUnknown'
  const toldCode = notRunCode ?? (end === undefined || end.run !== 'notRun' ? 'noEndpoint' : end.code)
  const code = row.openAttempts.size > 0 || row.nextIndex > 0 ? unknownCode : toldCode
  Finish.finish(tables, tick, row, code, {
    reason: notRunCode === 'quarantined' ? 'Calls with this digest have crashed endpoints.' : end?.reason ?? 'No endpoint is live.',
    retryAfterMs: Core.Codes.CODES[code].retryable ? Core.Random.jitter(tick.random, end?.retryAfterMs ?? RETRY_AFTER_MS) : undefined,
    limitCount: end?.limitCount,
    shareCount: end?.shareCount
  })
}
