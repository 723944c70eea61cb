/**
 * Answers questions about attempts, and promises never to run those that it has not seen.
 *
 * A promise and the memory of an outcome are kept until the attempt has expired on the agent's own
 * clock, which the attempt, its claim and every question carry. After that the attempt is refused by
 * its age alone, so that the memory is bounded and no promise is ever forgotten.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Tables from '../tables.ts'

/** How long an outcome is remembered after its attempt has expired, in milliseconds. */
const REMEMBER_MS = 15 * 60_000
/** The most attempts remembered. */
const MAX_REMEMBERED_COUNT = 100_000
/** The most bytes of answers kept. */
const MAX_KEPT_BYTES = 8 * 1024 * 1024
const SWEEP_INTERVAL_MS = 1_000

/** Refuses late attempts, answers questions and forgets what can no longer be asked about. */
export const fencingSystem: Tables.System = {
  name: 'fencing',
  run: (tables, tick) => {
    tables.memory.nowMs = tick.nowMs
    forget(tables, tick)
    for (const input of tick.inputs) {
      if (input.kind === 'callOffered') refuseLate(tables, tick, input.envelope)
      if (input.kind === 'fenceAsked') {
        const answer = answerOf(tables, tick, input.question)
        tick.log('fencing', 'Attempt asked about.', { attemptId: input.question.attemptId, state: answer.state, reason: input.question.fence ? 'fenced unless seen' : 'looked up' })
        tick.emit({ kind: 'answerFence', askId: input.askId, answer })
      }
    }
  }
}

/**
 * Tells whether anybody may ask about an attempt: it has a key, or must not run twice.
 *
 * @param envelope - The attempt.
 * @returns Whether its end is remembered.
 */
export function isCovered (envelope: Schemas.Calls.CallEnvelope): boolean {
  return envelope.claimKey !== undefined || !envelope.idempotent
}

/**
 * Tells whether an attempt runs on when its gateway's connection closes, for a later question to find.
 *
 * @param envelope - The attempt.
 * @returns Whether it must not be cancelled.
 */
export function outlivesGateway (envelope: Schemas.Calls.CallEnvelope): boolean {
  return envelope.claimKey !== undefined && !envelope.idempotent
}

/**
 * Remembers how an attempt ended.
 *
 * @param tables - The agent's tables.
 * @param tick - The current tick.
 * @param envelope - The attempt.
 * @param state - How it ended.
 * @param outcome - Its whole answer, if it is to be kept.
 */
export function remember (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope, state: Tables.FinishedRow['state'], outcome?: Schemas.Calls.Outcome): void {
  if (!isCovered(envelope)) return
  const expiresAtMs = envelope.expiresAtMs ?? tick.nowMs + envelope.timeLeftMs
  set(tables, { attemptId: envelope.attemptId, state, outcome, finishedAtMs: tick.nowMs, expiresAtMs })
}

function refuseLate (tables: Tables.Tables, tick: Tables.Tick, envelope: Schemas.Calls.CallEnvelope): void {
  const { attemptId, expiresAtMs } = envelope
  if (expiresAtMs === undefined || tables.finished.has(attemptId) || tables.attempts.has(attemptId)) return
  const late = tick.nowMs >= expiresAtMs || (isCovered(envelope) && expiresAtMs <= tables.memory.forgottenBeforeMs)
  if (late) set(tables, { attemptId, state: 'fenced', outcome: undefined, finishedAtMs: tick.nowMs, expiresAtMs })
}

function answerOf (tables: Tables.Tables, tick: Tables.Tick, question: Schemas.Calls.FenceQuestion): Schemas.Calls.FenceAnswer {
  const { attemptId, expiresAtMs } = question
  if (question.agentIncarnation !== tables.identity.incarnation) return { state: 'unknown' }
  if (tables.attempts.has(attemptId)) return { state: 'running' }
  const finished = tables.finished.get(attemptId)
  if (finished !== undefined) return FINISHED_ANSWERS[finished.state](finished)
  if (expiresAtMs === undefined) return { state: 'unseen' }
  if (expiresAtMs <= tables.memory.forgottenBeforeMs) return { state: 'unknown' }
  if (!question.fence && tick.nowMs < expiresAtMs) return { state: 'unseen' }
  if (tick.nowMs < expiresAtMs) set(tables, { attemptId, state: 'fenced', outcome: undefined, finishedAtMs: tick.nowMs, expiresAtMs })
  return { state: 'neverRun' }
}

const FINISHED_ANSWERS: Readonly<Record<Tables.FinishedRow['state'], (row: Tables.FinishedRow) => Schemas.Calls.FenceAnswer>> = {
  done: row => ({ state: 'done', outcome: row.outcome }),
  unknown: () => ({ state: 'unknown' }),
  fenced: () => ({ state: 'neverRun' }),
  neverRun: () => ({ state: 'neverRun' })
}

function set (tables: Tables.Tables, row: Tables.FinishedRow): void {
  tables.finished.set(row.attemptId, row)
  if (row.outcome === undefined) return
  const sizeBytes = row.outcome.bodyBase64.length
  tables.keptAnswers.set(row.attemptId, { attemptId: row.attemptId, sizeBytes })
  tables.memory.keptBytes += sizeBytes
  for (const kept of tables.keptAnswers.rows()) {
    if (tables.memory.keptBytes <= MAX_KEPT_BYTES) return
    dropAnswer(tables, kept.attemptId)
  }
}

function dropAnswer (tables: Tables.Tables, attemptId: string): void {
  const kept = tables.keptAnswers.get(attemptId)
  if (kept === undefined) return
  tables.keptAnswers.remove(attemptId)
  tables.memory.keptBytes -= kept.sizeBytes
  const row = tables.finished.get(attemptId)
  if (row !== undefined) row.outcome = undefined
}

function forget (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const row of tables.finished.rows()) {
    if (tables.finished.count() <= MAX_REMEMBERED_COUNT) break
    forgetRow(tables, tick, row)
  }
  if (tick.nowMs < tables.memory.sweepAtMs) return
  tables.memory.sweepAtMs = tick.nowMs + SWEEP_INTERVAL_MS
  for (const row of tables.finished.rows()) {
    const ran = row.state === 'done' || row.state === 'unknown'
    if (tick.nowMs >= row.expiresAtMs + (ran ? REMEMBER_MS : 0)) forgetRow(tables, tick, row)
  }
}

/** Forgets a row. What could still be asked about or arrive late is from now on refused by its age. */
function forgetRow (tables: Tables.Tables, tick: Tables.Tick, row: Tables.FinishedRow): void {
  const matters = row.state === 'done' || row.state === 'unknown' || tick.nowMs < row.expiresAtMs
  if (matters) tables.memory.forgottenBeforeMs = Math.max(tables.memory.forgottenBeforeMs, row.expiresAtMs)
  dropAnswer(tables, row.attemptId)
  tables.finished.remove(row.attemptId)
}
