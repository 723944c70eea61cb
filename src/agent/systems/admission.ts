/**
 * Admission control: the only place that admits attempts to the endpoint.
 *
 * @packageDocumentation
 */
import * as Control from '../../control/index.ts'
import type * as Core from '../../core/index.ts'
import type * as Schemas from '../../schema/index.ts'
import * as Limiter from '../limiter.ts'
import type * as Messages from '../messages.ts'
import * as Shares from '../shares.ts'
import * as Tables from '../tables.ts'
import * as Fencing from './fencing.ts'

/** Maximum queue length as a multiple of the limit. */
const QUEUE_LIMIT_FACTOR = 2
/** Lower bound of the maximum queue length, for endpoints with a small limit. */
const MIN_QUEUE_COUNT = 4
/** Maximum fraction of the time left that an attempt may be expected to wait in the queue. */
const MAX_WAIT_SHARE = 0.5
/** Maximum expected wait of an attempt of a workspace above its share, in milliseconds. */
const MAX_OVER_SHARE_WAIT_MS = 1_500
const MIN_RETRY_AFTER_MS = 1_000
const MAX_RETRY_AFTER_MS = 30_000
const QUARANTINED_REASON = 'Calls with this digest have crashed endpoints.'

/** Queues or refuses offered attempts, admits as many as the limit allows, and records how they end. */
export const admissionSystem: Tables.System = {
  name: 'admission',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'callOffered') enqueue(tables, tick, input.envelope)
      if (input.kind === 'callAnswering') recordAnswerStart(tables, tick, input.attemptId)
      if (input.kind === 'callEnded') finish(tables, tick, input.attemptId, input.ending, input.outcome)
      if (input.kind === 'callerGone') withdraw(tables, tick, input.attemptId)
    }
    markSuspects(tables)
    refuseUnservable(tables, tick)
    admit(tables, tick)
  }
}

type Refuse = (code: Core.Codes.CodeName, reason: string) => void

function enqueue (tables: Tables.Tables, tick: Tables.Tick, offeredEnvelope: Schemas.Calls.CallEnvelope): void {
  if (offeredEnvelope.supersedes !== undefined) withdraw(tables, tick, offeredEnvelope.supersedes)
  const quarantineEntry = quarantineEntryOf(tables, offeredEnvelope)
  const envelope = quarantineEntry?.suspect === true ? { ...offeredEnvelope, suspect: true } : offeredEnvelope
  const refuse: Refuse = (code, reason) => { refuseAttempt(tables, tick, envelope, code, reason) }
  const state = Tables.stateOf(tables)
  if (envelope.agentIncarnation !== tables.identity.incarnation) { refuse('staleIncarnation', 'The agent has restarted.'); return }
  if (tables.finished.has(envelope.attemptId)) { refuse('fenced', 'The attempt was fenced.'); return }
  if (state === 'draining') { refuse('draining', 'The endpoint is leaving.'); return }
  if (state !== 'live') { refuse('noEndpoint', `The endpoint is ${state}.`); return }
  if (isQuarantined(quarantineEntry)) { refuse('quarantined', QUARANTINED_REASON); return }
  if (isOtherVersion(tables, envelope)) { refuse('modelNotLoaded', `The endpoint holds version ${tables.endpoint.modelVersion ?? 'none'}.`); return }
  if (envelope.timeLeftMs <= 0) { refuse('deadlinePassed', 'The deadline has passed.'); return }
  if (!makeRoom(tables, tick, envelope, refuse)) return
  tables.attempts.set(envelope.attemptId, {
    envelope,
    state: 'queued',
    offeredAtMs: tick.nowMs,
    deadlineMs: tick.nowMs + envelope.timeLeftMs,
    admittedAtMs: 0,
    answerStartedAtMs: 0
  })
}

/** Checks that the queue has room, and evicts an attempt of the workspace furthest above its share if it is full. */
function makeRoom (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope, refuse: Refuse): boolean {
  const waitMs = Shares.estimateWaitMs(tables, envelope.workspace, envelope.priority)
  const code = refusalCodeOf(tables, envelope.workspace)
  if (waitMs > Math.min(envelope.timeLeftMs * MAX_WAIT_SHARE, code === 'overShare' ? MAX_OVER_SHARE_WAIT_MS : Infinity)) {
    refuse(code, `The wait would be ${Math.round(waitMs)} ms.`)
    return false
  }
  const queueLimit = Math.max(MIN_QUEUE_COUNT, tables.endpoint.limitCount * QUEUE_LIMIT_FACTOR)
  if (tables.attempts.queuedCount() < queueLimit) return true
  const evicted = Shares.pickEvictionCandidate(tables, envelope.workspace, envelope.priority)
  if (evicted === undefined) { refuse(code, 'The queue is full.'); return false }
  refuseAttempt(tables, tick, evicted.envelope, 'overShare', evicted.envelope.workspace === envelope.workspace ? 'The place in the queue went to a call of the workspace with more priority.' : `The place in the queue went to workspace ${envelope.workspace}, which is below its share.`)
  return true
}

function admit (tables: Tables.Tables, tick: Tables.Tick): void {
  const { attempts, endpoint, limiter } = tables
  if (Tables.stateOf(tables) !== 'live' || endpoint.switchingSinceMs !== undefined || endpoint.isModelUnconfirmed) return
  while (attempts.queuedCount() > 0 && attempts.runningCount() < Limiter.allowedCount(limiter, attempts.runningCount())) {
    const attempt = Shares.pickNext(tables)
    if (attempt === undefined) return
    const { attemptId, workspace } = attempt.envelope
    Shares.charge(tables, attempt)
    attempts.start(attemptId, tick.nowMs)
    const runningCount = attempts.runningCount()
    const queuedMs = tick.nowMs - attempt.offeredAtMs
    checkAdmission(tables, tick, attempt)
    tick.log('admission', 'Attempt admitted.', { attemptId, workspace, runningCount, limitCount: endpoint.limitCount, queuedMs: Math.round(queuedMs), reason: 'below the limit' })
    tick.emit({ kind: 'admit', attemptId, workspace, queuedMs })
  }
}

function checkAdmission (tables: Tables.Tables, tick: Tables.Tick, attempt: Tables.AttemptRow): void {
  const { identity, endpoint, attempts } = tables
  const { attemptId } = attempt.envelope
  const runningCount = attempts.runningCount()
  const maxRunningCount = endpoint.coldReported ? 1 : endpoint.limitCount
  tick.check('atMostOnce', !tables.finished.has(attemptId), () => ({ attemptId, finished: tables.finished.get(attemptId)?.state }))
  tick.check('wholeWeights', !isOtherVersion(tables, attempt.envelope), () => ({ attemptId, wantedVersion: attempt.envelope.modelVersion, modelVersion: endpoint.modelVersion }))
  tick.check('startLimit', runningCount <= maxRunningCount, () => ({ attemptId, runningCount, bearableCount: maxRunningCount }))
  tick.check('drainedZone', !Control.Documents.isDrained(tables.held.drains(), identity.instanceId, identity.zone), () => ({ attemptId, zone: identity.zone }))
  tick.check('leavingEndpoint', !tables.stopping && !tables.listedLeaving, () => ({ attemptId, instanceId: identity.instanceId }))
}

/** Returns whether a call requests a model version that the endpoint does not hold, or no longer holds. */
function isOtherVersion (tables: Tables.Tables, envelope: Schemas.Calls.CallEnvelope): boolean {
  return envelope.modelVersion !== undefined && envelope.modelVersion !== tables.endpoint.modelVersion
}

function quarantineEntryOf (tables: Tables.Tables, envelope: Schemas.Calls.CallEnvelope): Schemas.Control.QuarantineEntry | undefined {
  return Control.Quarantines.entryInForce(tables.held.quarantine(), envelope.digest, tables.wallClock)
}

function isQuarantined (entry: Schemas.Control.QuarantineEntry | undefined): boolean {
  return entry !== undefined && entry.suspect !== true
}

/** Marks queued attempts whose digest has become suspect since they were offered. */
function markSuspects (tables: Tables.Tables): void {
  if (tables.attempts.queuedCount() === 0 || tables.held.quarantine().entries.length === 0) return
  for (const row of tables.attempts.workspaces()) {
    for (const attempt of row.queue.values()) {
      const { envelope } = attempt
      if (envelope.suspect !== true && quarantineEntryOf(tables, envelope)?.suspect === true) attempt.envelope = { ...envelope, suspect: true }
    }
  }
}

/** Refuses queued attempts that the endpoint can no longer run, those that were quarantined since they were offered, and those whose deadline has passed. */
function refuseUnservable (tables: Tables.Tables, tick: Tables.Tick): void {
  if (tables.attempts.queuedCount() === 0) return
  const state = Tables.stateOf(tables)
  for (const row of tables.attempts.workspaces()) {
    for (const { envelope, deadlineMs } of [...row.queue.values()]) {
      if (state === 'draining') refuseAttempt(tables, tick, envelope, 'draining', 'The endpoint is leaving.')
      else if (state !== 'live') refuseAttempt(tables, tick, envelope, 'noEndpoint', `The endpoint is ${state}.`)
      else if (isOtherVersion(tables, envelope)) refuseAttempt(tables, tick, envelope, 'modelNotLoaded', `The endpoint holds version ${tables.endpoint.modelVersion ?? 'none'} now.`)
      else if (isQuarantined(quarantineEntryOf(tables, envelope))) refuseAttempt(tables, tick, envelope, 'quarantined', QUARANTINED_REASON)
      else if (tick.nowMs >= deadlineMs) refuseAttempt(tables, tick, envelope, 'deadlinePassed', 'The deadline passed in the queue.')
    }
  }
}

function recordAnswerStart (tables: Tables.Tables, tick: Tables.Tick, attemptId: string): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt !== undefined) attempt.answerStartedAtMs = tick.nowMs
}

function finish (tables: Tables.Tables, tick: Tables.Tick, attemptId: string, ending: Messages.Ending, outcome: Schemas.Calls.Outcome | undefined): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt === undefined) return
  Shares.settleCharge(tables, attempt, tick.nowMs)
  tables.attempts.remove(attemptId)
  const state = ending === 'whole' ? 'done' : ending === 'neverSent' ? 'neverRun' : 'unknown'
  Fencing.recordEnding(tables, tick, attempt.envelope, state, outcome)
}

/** Ends an attempt that its gateway has abandoned or replaced, unless it is running and must outlive its gateway. */
function withdraw (tables: Tables.Tables, tick: Tables.Tick, attemptId: string): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt === undefined) return
  if (attempt.state === 'running' && Fencing.outlivesGateway(attempt.envelope)) return
  if (attempt.state === 'running') { tick.emit({ kind: 'cancel', attemptId }); return }
  tables.attempts.remove(attemptId)
  Fencing.recordEnding(tables, tick, attempt.envelope, 'neverRun')
}

/** Returns the refusal code: `overShare` for a workspace above its share, `overCapacity` for the others. */
function refusalCodeOf (tables: Tables.Tables, workspace: string): Core.Codes.CodeName {
  return Shares.isOverShare(tables, workspace) ? 'overShare' : 'overCapacity'
}

function refuseAttempt (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope, code: Core.Codes.CodeName, reason: string): void {
  const { attemptId, workspace } = envelope
  const row = tables.attempts.workspace(workspace)
  const attempt = tables.attempts.get(attemptId)
  tick.check('truthfulRefusal', attempt?.state !== 'running', () => ({ attemptId, code }))
  tables.attempts.remove(attemptId)
  if (!tables.finished.has(attemptId)) Fencing.recordEnding(tables, tick, envelope, 'neverRun')
  row.refusedCounts[code] = (row.refusedCounts[code] ?? 0) + 1
  row.lastRefusal = { code, reason, atMs: tick.nowMs }
  const shareCount = Shares.shareOf(tables, workspace)
  const { limitCount } = tables.endpoint
  tick.log('admission', 'Attempt refused.', { attemptId, workspace, code, reason, limitCount, shareCount: Math.round(shareCount * 10) / 10 })
  tick.emit({ kind: 'refuse', attemptId, workspace, refusal: { code, reason, limitCount, shareCount, retryAfterMs: retryAfterMsOf(tables, workspace) } })
}

function retryAfterMsOf (tables: Tables.Tables, workspace: string): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Shares.estimateWaitMs(tables, workspace)))
}
