/**
 * Answers questions about attempts; an attempt not run yet is fenced for ever.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Tables from '../tables.ts'

/** How long a finished attempt is remembered, in milliseconds. */
const REMEMBER_MS = 15 * 60_000
/** The most finished attempts remembered. */
const REMEMBER_COUNT = 20_000

/** Answers fence questions and forgets old attempts. */
export const fencingSystem: Tables.System = {
  name: 'fencing',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind !== 'fenceAsked') continue
      const answer = answerOf(tables, tick, input.question)
      tick.log('fencing', 'Claim asked about.', { attemptId: input.question.attemptId, state: answer.state })
      tick.emit({ kind: 'answerFence', askId: input.askId, answer })
    }
    forget(tables, tick)
  }
}

function answerOf (tables: Tables.Tables, tick: Tables.Tick, question: Schemas.Calls.FenceQuestion): Schemas.Calls.FenceAnswer {
  if (question.agentIncarnation !== tables.identity.incarnation) return { state: 'unknown' }
  const { attemptId } = question
  const attempt = tables.attempts.get(attemptId)
  if (attempt?.state === 'running') return { state: 'running' }
  const finished = tables.finished.get(attemptId)
  if (finished?.state === 'done') return { state: 'done', outcome: finished.outcome }
  if (finished?.state === 'unknown') return { state: 'unknown' }
  if (attempt !== undefined) {
    tables.attempts.remove(attemptId)
    tick.emit({ kind: 'refuse', attemptId, refusal: { code: 'fenced', reason: 'The claim was taken over.' } })
  }
  tables.finished.set(attemptId, { attemptId, state: 'fenced', outcome: undefined, finishedAtMs: tick.nowMs })
  return { state: 'neverRun' }
}

function forget (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const row of tables.finished.rows()) {
    if (tables.finished.count() <= REMEMBER_COUNT && tick.nowMs - row.finishedAtMs < REMEMBER_MS) return
    tables.finished.remove(row.attemptId)
  }
}
