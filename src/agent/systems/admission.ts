/**
 * Admission: the only place that admits work to the endpoint.
 *
 * @packageDocumentation
 */
import type * as Core from '../../core/index.ts'
import type * as Schemas from '../../schema/index.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** The longest queue as a multiple of the limit. */
const QUEUE_PER_LIMIT = 2
const RETRY_AFTER_MS = 1_000

/** Takes offered attempts into the queue, admits what the endpoint bears, and follows endings. */
export const admissionSystem: Tables.System = {
  name: 'admission',
  run: (tables, tick) => {
    const service = Tables.serviceOf(tables)
    tables.endpoint.warmLimitCount = service?.maxConcurrentCount ?? 1
    for (const input of tick.inputs) {
      if (input.kind === 'callOffered') offer(tables, tick, input.envelope)
      if (input.kind === 'callAnswering') answering(tables, tick, input.attemptId)
      if (input.kind === 'callEnded') end(tables, tick, input.attemptId, input.ending, input.outcome)
      if (input.kind === 'callerGone') leave(tables, tick, input.attemptId)
    }
    expire(tables, tick)
    admit(tables, tick)
  }
}

function offer (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope): void {
  const refuse = (code: Core.Codes.CodeName, reason: string): void => {
    refuseAttempt(tables, tick, envelope, { code, reason, limitCount: tables.endpoint.limitCount, retryAfterMs: RETRY_AFTER_MS })
  }
  const state = Tables.stateOf(tables)
  if (envelope.agentIncarnation !== tables.identity.incarnation) { refuse('staleIncarnation', 'The agent has restarted.'); return }
  if (tables.finished.has(envelope.attemptId)) { refuse('fenced', 'The attempt was fenced.'); return }
  if (state === 'draining') { refuse('draining', 'The endpoint is leaving.'); return }
  if (state !== 'live') { refuse('noEndpoint', `The endpoint is ${state}.`); return }
  if (envelope.modelVersion !== undefined && envelope.modelVersion !== tables.endpoint.modelVersion) { refuse('modelNotLoaded', `The endpoint holds version ${tables.endpoint.modelVersion ?? 'none'}.`); return }
  if (envelope.timeLeftMs <= 0) { refuse('deadlinePassed', 'The deadline has passed.'); return }
  const queuedCount = tables.attempts.count() - Tables.runningCount(tables)
  if (queuedCount >= tables.endpoint.limitCount * QUEUE_PER_LIMIT) { refuse('overCapacity', 'The queue is full.'); return }
  tables.attempts.set(envelope.attemptId, {
    envelope,
    state: 'queued',
    offeredAtMs: tick.nowMs,
    deadlineMs: tick.nowMs + envelope.timeLeftMs,
    admittedAtMs: 0,
    answeringAtMs: 0
  })
}

function admit (tables: Tables.Tables, tick: Tables.Tick): void {
  if (tables.endpoint.switchingSinceMs !== undefined) return
  refuseOtherVersions(tables, tick)
  let runningCount = Tables.runningCount(tables)
  for (const attempt of tables.attempts.rows()) {
    if (runningCount >= tables.endpoint.limitCount) return
    if (attempt.state !== 'queued') continue
    attempt.state = 'running'
    attempt.admittedAtMs = tick.nowMs
    runningCount++
    tick.check('startLimit', runningCount <= tables.endpoint.limitCount, () => ({ attemptId: attempt.envelope.attemptId, runningCount, limitCount: tables.endpoint.limitCount }))
    tick.log('admission', 'Attempt admitted.', { attemptId: attempt.envelope.attemptId, workspace: attempt.envelope.workspace, runningCount, limitCount: tables.endpoint.limitCount, reason: 'below the limit' })
    tick.emit({ kind: 'admit', attemptId: attempt.envelope.attemptId })
  }
}

/** Refuses queued attempts that are meant for a version which the endpoint no longer holds. */
function refuseOtherVersions (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const attempt of [...tables.attempts.rows()]) {
    const { modelVersion } = attempt.envelope
    if (attempt.state !== 'queued' || modelVersion === undefined || modelVersion === tables.endpoint.modelVersion) continue
    refuseAttempt(tables, tick, attempt.envelope, { code: 'modelNotLoaded', reason: `The endpoint holds version ${tables.endpoint.modelVersion ?? 'none'}.` })
  }
}

function expire (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const attempt of [...tables.attempts.rows()]) {
    if (attempt.state !== 'queued' || tick.nowMs < attempt.deadlineMs) continue
    refuseAttempt(tables, tick, attempt.envelope, { code: 'deadlinePassed', reason: 'The deadline passed in the queue.' })
  }
}

function answering (tables: Tables.Tables, tick: Tables.Tick, attemptId: string): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt !== undefined) attempt.answeringAtMs = tick.nowMs
}

function end (tables: Tables.Tables, tick: Tables.Tick, attemptId: string, ending: Messages.Ending, outcome: Schemas.Calls.Outcome | undefined): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt === undefined) return
  tables.attempts.remove(attemptId)
  const state = ending === 'whole' ? 'done' : ending === 'neverSent' ? 'neverRun' : 'unknown'
  tables.finished.set(attemptId, { attemptId, state, outcome, finishedAtMs: tick.nowMs })
  const { endpoint } = tables
  if (ending === 'whole') endpoint.limitCount = Math.min(endpoint.warmLimitCount, endpoint.limitCount + 1)
  if (ending === 'failed') endpoint.limitCount = 1
}

function leave (tables: Tables.Tables, tick: Tables.Tick, attemptId: string): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt === undefined) return
  if (attempt.state === 'running') { tick.emit({ kind: 'cancel', attemptId }); return }
  tables.attempts.remove(attemptId)
  tables.finished.set(attemptId, { attemptId, state: 'neverRun', outcome: undefined, finishedAtMs: tick.nowMs })
}

function refuseAttempt (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope, refusal: Messages.Refusal): void {
  tables.attempts.remove(envelope.attemptId)
  if (!tables.finished.has(envelope.attemptId)) {
    tables.finished.set(envelope.attemptId, { attemptId: envelope.attemptId, state: 'neverRun', outcome: undefined, finishedAtMs: tick.nowMs })
  }
  tick.log('admission', 'Attempt refused.', { attemptId: envelope.attemptId, workspace: envelope.workspace, code: refusal.code, reason: refusal.reason })
  tick.emit({ kind: 'refuse', attemptId: envelope.attemptId, refusal })
}
