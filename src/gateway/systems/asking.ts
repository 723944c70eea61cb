/**
 * Asks agents what became of attempts whose end the gateway has not seen.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import type * as Schemas from '../../schema/index.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import type * as Tables from '../tables.ts'
import * as Sending from './sending.ts'

/** An attempt without an answer for so long is asked about, in milliseconds. */
const SILENT_AFTER_MS = 1_500
const MAX_SILENT_AFTER_MS = 12_000
/** How long an answer that the agent has given may take to arrive, in milliseconds. */
const ANSWER_GRACE_MS = 400
/** How long an attempt that the agent has not seen may be on its way, in milliseconds. */
const UNSEEN_GRACE_MS = 250
const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 1_000
/** A repeat is answered after so many questions without an answer. */
const MAX_REPEAT_ASK_COUNT = 3
/** An agent that the instance list has not named for so long is gone, in milliseconds. */
const GONE_AFTER_MS = 15_000
const RETRY_AFTER_MS = 1_000

/** Takes agents' answers, and asks again where it is due. */
export const askingSystem: Tables.System = {
  name: 'asking',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind !== 'fenceAnswered') continue
      const row = tables.calls.get(input.callId)
      if (row?.ask?.pending !== true || row.ask.attempt.attemptId !== input.attemptId) continue
      row.ask.pending = false
      take(tables, tick, row, row.ask, input.answer)
    }
    for (const callId of tables.covered) {
      const row = tables.calls.get(callId)
      if (row === undefined) continue
      if (isSilent(tick, row) && row.current !== undefined) start(tick, row, 'silent', row.current, undefined)
      if (row.ask !== undefined && !row.ask.pending && tick.nowMs >= row.ask.nextAtMs) ask(tables, tick, row, row.ask)
    }
  }
}

/**
 * Asks about the call's own attempt, whose answer was lost.
 *
 * @param tick - The current tick.
 * @param row - The call.
 */
export function askOwn (tick: Tables.Tick, row: Tables.CallRow): void {
  if (row.current === undefined) return
  row.state = 'asking'
  start(tick, row, 'answerLost', row.current, undefined)
}

/**
 * Asks about the attempt of another call that has claimed the same key.
 *
 * @param tick - The current tick.
 * @param row - The call that found the claim.
 * @param held - The claim.
 */
export function askHeld (tick: Tables.Tick, row: Tables.CallRow, held: Tables.HeldClaim): void {
  const { attemptId, agentId, agentIncarnation, attemptExpiresAtMs } = held.record
  row.state = 'asking'
  row.current = undefined
  start(tick, row, 'repeat', { attemptId, endpointId: agentId, agentIncarnation, expiresAtMs: attemptExpiresAtMs, modelVersion: undefined }, held)
}

/**
 * Notes that an attempt was sent, so that its silence is noticed.
 *
 * @param tick - The current tick.
 * @param row - The call.
 */
export function expectAnswer (tick: Tables.Tick, row: Tables.CallRow): void {
  row.ask = undefined
  row.silentAfterMs = SILENT_AFTER_MS
  row.silentAtMs = tick.nowMs + SILENT_AFTER_MS
}

/**
 * Sends a call back to routing, away from the endpoint that it was at.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 */
export function routeAgain (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  if (row.current !== undefined) row.refusedBy.add(row.current.endpointId)
  Finish.clearAttempt(tables, row)
  row.ask = undefined
  row.answering = false
  Sending.wait(tables, row)
  if (row.detached) Finish.finish(tables, tick, row, 'callerGone', { reason: 'The caller was answered before the call was run.' })
}

function isSilent (tick: Tables.Tick, row: Tables.CallRow): boolean {
  const covered = row.call.idempotencyKey !== undefined || !row.idempotent
  return covered && row.state === 'running' && row.nextIndex === 0 && row.ask === undefined && tick.nowMs >= row.silentAtMs
}

function start (tick: Tables.Tick, row: Tables.CallRow, purpose: Tables.AskState['purpose'], attempt: Tables.CurrentAttempt, held: Tables.HeldClaim | undefined): void {
  row.ask = { purpose, attempt, held, fence: purpose === 'answerLost', askCount: 0, nextAtMs: tick.nowMs, pending: false, lastState: undefined }
}

function ask (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState): void {
  const { attempt } = state
  const endpoint = tables.endpoints.get(attempt.endpointId)
  state.askCount++
  if (endpoint === undefined) { take(tables, tick, row, state, isGone(tables, tick) ? { state: 'unknown' } : undefined); return }
  state.pending = true
  tick.emit({
    kind: 'askFence',
    callId: row.call.callId,
    target: { host: endpoint.host, port: endpoint.port },
    question: { attemptId: attempt.attemptId, agentIncarnation: attempt.agentIncarnation, expiresAtMs: attempt.expiresAtMs, fence: state.fence }
  })
}

function isGone (tables: Tables.Tables, tick: Tables.Tick): boolean {
  return tables.firstListedAtMs !== undefined && tick.nowMs - tables.firstListedAtMs >= GONE_AFTER_MS
}

function later (tick: Tables.Tick, state: Tables.AskState, delayMs: number): void {
  state.nextAtMs = tick.nowMs + Core.Random.jitter(tick.random, delayMs)
}

function backOff (tick: Tables.Tick, state: Tables.AskState): void {
  later(tick, state, Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(10, state.askCount - 1)))
}

function take (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState, answer: Schemas.Calls.FenceAnswer | undefined): void {
  tick.log('claims', 'Agent asked.', { callId: row.call.callId, attemptId: state.attempt.attemptId, endpointId: state.attempt.endpointId, purpose: state.purpose, answer: answer?.state ?? 'none' })
  if (answer === undefined) { unreachable(tables, tick, row, state); return }
  ANSWERS[answer.state](tables, tick, row, state, answer)
  state.lastState = answer.state
}

type AnswerHandler = (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState, answer: Schemas.Calls.FenceAnswer) => void

const ANSWERS: Readonly<Record<Schemas.Calls.FenceAnswer['state'], AnswerHandler>> = {
  done: (tables, tick, row, state, answer) => {
    if (state.purpose === 'silent' && state.lastState !== 'done') { later(tick, state, ANSWER_GRACE_MS); return }
    if (state.purpose === 'silent' && answer.outcome === undefined) { waitOn(tick, row); return }
    if (answer.outcome === undefined) { lost(tables, tick, row, state); return }
    stopAttempt(tick, row, state)
    if (state.held !== undefined) ClaimRecords.saveHeld(tables, tick, row, state.held, 'done', answer.outcome)
    else ClaimRecords.save(tables, tick, row, 'done', answer.outcome)
    if (row.nextIndex > 0) Finish.finish(tables, tick, row, 'streamCut', { reason: 'The connection to the agent was lost.' })
    else Finish.replay(tables, tick, row, answer.outcome)
  },
  running: (tables, tick, row, state) => {
    if (state.purpose === 'repeat') {
      Finish.finish(tables, tick, row, 'inProgress', { reason: 'The first call is not finished.', retryAfterMs: RETRY_AFTER_MS })
    } else if (state.purpose === 'silent') {
      waitOn(tick, row)
    } else {
      backOff(tick, state)
    }
  },
  unseen: (_tables, tick, _row, state) => {
    state.fence = true
    later(tick, state, UNSEEN_GRACE_MS)
  },
  neverRun: (tables, tick, row, state) => {
    tick.check('atMostOnce', state.held?.record.state !== 'done', () => ({ callId: row.call.callId, attemptId: state.attempt.attemptId, reason: 'an attempt that is done was said never to run' }))
    stopAttempt(tick, row, state)
    row.openAttempts.delete(state.attempt.attemptId)
    takeOver(tables, tick, row, state)
  },
  unknown: (tables, tick, row, state) => {
    stopAttempt(tick, row, state)
    if (state.held?.record.state === 'done') { lost(tables, tick, row, state); return }
    if (row.idempotent) { takeOver(tables, tick, row, state); return }
    if (state.held !== undefined) ClaimRecords.saveHeld(tables, tick, row, state.held, 'unknown')
    else ClaimRecords.save(tables, tick, row, 'unknown')
    Finish.finish(tables, tick, row, 'outcomeUnknown', { reason: 'The agent that may have run the call cannot tell any more.' })
  }
}

function waitOn (tick: Tables.Tick, row: Tables.CallRow): void {
  row.ask = undefined
  row.silentAfterMs = Math.min(MAX_SILENT_AFTER_MS, row.silentAfterMs * 2)
  row.silentAtMs = tick.nowMs + row.silentAfterMs
}

function unreachable (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState): void {
  if (state.purpose !== 'repeat' || state.askCount < MAX_REPEAT_ASK_COUNT) { backOff(tick, state); return }
  const code = state.held?.record.state === 'done' ? 'answerUnavailable' : 'agentUnreachable'
  Finish.finish(tables, tick, row, code, { reason: 'The agent named in the claim does not answer.', retryAfterMs: RETRY_AFTER_MS })
}

function lost (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState): void {
  stopAttempt(tick, row, state)
  if (row.idempotent) { takeOver(tables, tick, row, state); return }
  if (state.held !== undefined) ClaimRecords.saveHeld(tables, tick, row, state.held, 'done')
  else ClaimRecords.save(tables, tick, row, 'done')
  Finish.finish(tables, tick, row, 'answerLost', { reason: 'The agent no longer keeps the answer.' })
}

function takeOver (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState): void {
  if (state.held !== undefined) row.claimRevision = state.held.revision
  routeAgain(tables, tick, row)
}

function stopAttempt (tick: Tables.Tick, row: Tables.CallRow, state: Tables.AskState): void {
  if (state.purpose === 'silent') tick.emit({ kind: 'cancelAttempt', callId: row.call.callId })
}
