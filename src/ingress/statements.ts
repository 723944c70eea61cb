/**
 * Takes what endpoints say of themselves in their answers: load, coldness, limits, and that they want no calls.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import * as Routing from '../routing/index.ts'
import type * as Calls from './calls.ts'
import type * as Dialect from './dialect.ts'

/** What the reader of statements needs. */
export interface StatementsOptions {
  readonly notices: Pick<Routing.Notices.Notices, 'take'>
  readonly random: Core.Random.Random
  readonly log: Core.Loop.Tick<never, never>['log']
  /** Takes what an endpoint's answer says of the calls that it takes. */
  readonly onLimit: (row: Routing.Endpoints.EndpointRow, told: Routing.Limits.LimitStatement) => void
}

/** The reader of statements. */
export interface Statements {
  /** Takes what any answer at an endpoint's connection says, whichever call it belongs to. */
  learnState: (row: Routing.Endpoints.EndpointRow, facts: Dialect.AnswerFacts, nowMs: number) => void
  /** Takes what the answer to a call says of the calls that the endpoint takes. */
  learnWishes: (call: Calls.Call, attempt: Calls.Attempt, answer: { readonly status: number, readonly facts: Dialect.AnswerFacts }, nowMs: number) => void
}

/**
 * Creates the reader.
 *
 * @param options - What it writes to.
 * @returns The reader.
 */
export function createStatements (options: StatementsOptions): Statements {
  const { notices, random, log } = options
  /** Takes a limit from any answer, and that there is none any more from answers with which the endpoint served the call. */
  const learnLimit = (attempt: Calls.Attempt, { limitPerSecond }: Dialect.AnswerFacts, isServed: boolean, nowMs: number): void => {
    if (limitPerSecond === undefined && !isServed) return
    options.onLimit(attempt.row, { callsPerSecond: limitPerSecond, askedAtMs: attempt.sentAtMs, heardAtMs: nowMs })
  }
  return {
    learnState: (row, facts, nowMs) => {
      if (facts.coldForMs !== undefined && facts.coldForMs > 0) {
        if (row.coldUntilMs <= nowMs) log('endpoints', 'Endpoint cold.', { endpointId: row.listing.endpointId, coldForMs: facts.coldForMs })
        row.coldUntilMs = nowMs + facts.coldForMs
      }
      const isReported = row.load !== undefined && nowMs - row.loadAtMs < Routing.Endpoints.LOAD_MAX_AGE_MS
      if (facts.load !== undefined && !isReported) {
        Routing.Endpoints.applyLoadReport(row, { ...facts.load, pace: row.load?.pace ?? 1, loading: false, weights: undefined }, nowMs, random.next())
      }
    },
    learnWishes: (call, attempt, { status, facts }, nowMs) => {
      const { endpointId } = attempt.listing
      const { isLeaving, quietForMs } = facts
      learnLimit(attempt, facts, status >= 200 && status < 300, nowMs)
      const news = notices.take(attempt.listing, { isLeaving, quietForMs, askedAtMs: attempt.sentAtMs, isRefused: facts.notRun }, nowMs)
      if (news === 'leaving') log('endpoints', 'Endpoint leaves.', { callId: call.callId, endpointId })
      if (news === 'quiet') log('endpoints', 'Endpoint wants no calls.', { callId: call.callId, endpointId, quietForMs: Math.round(quietForMs) })
    }
  }
}
