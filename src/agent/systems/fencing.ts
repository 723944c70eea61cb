/**
 * Answers queries about the state of attempts, and fences attempts that have not arrived: it promises never to run them.
 *
 * A fence and an outcome are retained until the attempt has expired. The expiry is a time on the agent's
 * own clock, which the attempt, its claim and every query carry. After that the attempt is refused as
 * expired, so that memory is bounded and every fence holds for ever.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Tables from '../tables.ts'

/** Time for which an outcome is retained after its attempt has expired, in milliseconds. */
const ENDING_RETENTION_MS = 15 * 60_000
/** Maximum number of finished attempts retained. */
const MAX_FINISHED_COUNT = 100_000
/** Maximum total size of the retained answers. */
const MAX_KEPT_BYTES = 8 * 1024 * 1024
const SWEEP_INTERVAL_MS = 1_000

/** Fences attempts that arrive too late, answers queries and evicts attempts that can no longer be queried. */
export const fencingSystem: Tables.System = {
  name: 'fencing',
  run: (tables, tick) => {
    tables.retention.nowMs = tick.nowMs
    evictFinished(tables, tick)
    for (const input of tick.inputs) {
      if (input.kind === 'callOffered') refuseLate(tables, tick, input.envelope)
      if (input.kind === 'fenceAsked') {
        const answer = answerOf(tables, tick, input.question)
        tick.log('fencing', 'Attempt state queried.', { attemptId: input.question.attemptId, state: answer.state, reason: input.question.fence ? 'fenced unless seen' : 'looked up' })
        tick.emit({ kind: 'answerFence', askId: input.askId, answer })
      }
    }
  }
}

/**
 * Returns whether the ending of an attempt is retained for queries: the attempt has a claim key, or must not run twice.
 *
 * @param envelope - The attempt.
 * @returns Whether its ending is retained.
 */
export function isEndingRetained (envelope: Schemas.Calls.CallEnvelope): boolean {
  return envelope.claimKey !== undefined || !envelope.idempotent
}

/**
 * Returns whether an attempt keeps running when its gateway's connection closes, so that a later query finds its outcome.
 *
 * @param envelope - The attempt.
 * @returns Whether it must not be cancelled.
 */
export function outlivesGateway (envelope: Schemas.Calls.CallEnvelope): boolean {
  return envelope.claimKey !== undefined && !envelope.idempotent
}

/**
 * Records how an attempt ended, if that is retained for queries.
 *
 * @param tables - The agent's tables.
 * @param tick - The current tick.
 * @param envelope - The attempt.
 * @param state - How it ended.
 * @param outcome - Its whole answer, if it is to be retained.
 */
export function recordEnding (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope, state: Tables.FinishedRow['state'], outcome?: Schemas.Calls.Outcome): void {
  if (!isEndingRetained(envelope)) return
  const expiresAtMs = envelope.expiresAtMs ?? tick.nowMs + envelope.timeLeftMs
  storeFinished(tables, { attemptId: envelope.attemptId, state, outcome, finishedAtMs: tick.nowMs, expiresAtMs })
}

function refuseLate (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope): void {
  const { attemptId, expiresAtMs } = envelope
  if (expiresAtMs === undefined || tables.finished.has(attemptId) || tables.attempts.has(attemptId)) return
  const isLate = tick.nowMs >= expiresAtMs || (isEndingRetained(envelope) && expiresAtMs <= tables.retention.latestEvictedExpiryMs)
  if (isLate) storeFinished(tables, { attemptId, state: 'fenced', outcome: undefined, finishedAtMs: tick.nowMs, expiresAtMs })
}

function answerOf (tables: Tables.Tables, tick: Tables.Tick, question: Schemas.Calls.FenceQuestion): Schemas.Calls.FenceAnswer {
  const { attemptId, expiresAtMs } = question
  if (question.agentIncarnation !== tables.identity.incarnation) return { state: 'unknown' }
  if (tables.attempts.has(attemptId)) return { state: 'running' }
  const finished = tables.finished.get(attemptId)
  if (finished !== undefined) return FINISHED_ANSWERS[finished.state](finished)
  if (expiresAtMs === undefined) return { state: 'unseen' }
  if (expiresAtMs <= tables.retention.latestEvictedExpiryMs) return { state: 'unknown' }
  if (!question.fence && tick.nowMs < expiresAtMs) return { state: 'unseen' }
  if (tick.nowMs < expiresAtMs) storeFinished(tables, { attemptId, state: 'fenced', outcome: undefined, finishedAtMs: tick.nowMs, expiresAtMs })
  return { state: 'neverRun' }
}

const FINISHED_ANSWERS: Readonly<Record<Tables.FinishedRow['state'], (row: Tables.FinishedRow) => Schemas.Calls.FenceAnswer>> = {
  done: row => ({ state: 'done', outcome: row.outcome }),
  unknown: () => ({ state: 'unknown' }),
  fenced: () => ({ state: 'neverRun' }),
  neverRun: () => ({ state: 'neverRun' })
}

/** Stores a finished attempt, and drops the oldest answers above the maximum size. */
function storeFinished (tables: Tables.Tables, row: Tables.FinishedRow): void {
  tables.finished.set(row.attemptId, row)
  if (row.outcome === undefined) return
  const sizeBytes = row.outcome.bodyBase64.length
  tables.keptAnswers.set(row.attemptId, { attemptId: row.attemptId, sizeBytes })
  tables.retention.keptBytes += sizeBytes
  for (const kept of tables.keptAnswers.rows()) {
    if (tables.retention.keptBytes <= MAX_KEPT_BYTES) return
    dropAnswer(tables, kept.attemptId)
  }
}

function dropAnswer (tables: Tables.Tables, attemptId: string): void {
  const kept = tables.keptAnswers.get(attemptId)
  if (kept === undefined) return
  tables.keptAnswers.remove(attemptId)
  tables.retention.keptBytes -= kept.sizeBytes
  const row = tables.finished.get(attemptId)
  if (row !== undefined) row.outcome = undefined
}

function evictFinished (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const row of tables.finished.rows()) {
    if (tables.finished.count() <= MAX_FINISHED_COUNT) break
    evictRow(tables, tick, row)
  }
  if (tick.nowMs < tables.retention.nextSweepAtMs) return
  tables.retention.nextSweepAtMs = tick.nowMs + SWEEP_INTERVAL_MS
  for (const row of tables.finished.rows()) {
    const hasRun = row.state === 'done' || row.state === 'unknown'
    if (tick.nowMs >= row.expiresAtMs + (hasRun ? ENDING_RETENTION_MS : 0)) evictRow(tables, tick, row)
  }
}

/** Evicts a row. If its attempt could still arrive or be queried, all attempts that expire by the same time are refused on arrival and answered as unknown from now on. */
function evictRow (tables: Tables.Tables, tick: Tables.Tick, row: Tables.FinishedRow): void {
  const isStillRelevant = row.state === 'done' || row.state === 'unknown' || tick.nowMs < row.expiresAtMs
  if (isStillRelevant) tables.retention.latestEvictedExpiryMs = Math.max(tables.retention.latestEvictedExpiryMs, row.expiresAtMs)
  dropAnswer(tables, row.attemptId)
  tables.finished.remove(row.attemptId)
}
