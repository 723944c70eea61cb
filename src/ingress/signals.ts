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
export interface SignalReaderOptions {
  readonly notices: Pick<Routing.Notices.Notices, 'take'>
  readonly random: Core.Random.Random
  readonly log: Core.Loop.Tick<never, never>['log']
  /** Takes what an endpoint's answer says of the calls that it takes. */
  readonly onLimit: (row: Routing.Endpoints.EndpointRow, limit: Routing.Limits.LimitStatement) => void
}

/** The reader of statements. */
export interface SignalReader {
  /** Takes what any answer at an endpoint's connection says, whichever call it belongs to. */
  applyState: (row: Routing.Endpoints.EndpointRow, facts: Dialect.AnswerMetadata, nowMs: number) => void
  /** Takes what the answer to a call says of the calls that the endpoint takes. */
  applyAvailability: (call: Calls.Call, attempt: Calls.Attempt, answer: { readonly status: number, readonly facts: Dialect.AnswerMetadata }, nowMs: number) => void
}

/**
 * Creates the reader.
 *
 * @param options - What it writes to.
 * @returns The reader.
 */
export function createSignalReader (options: SignalReaderOptions): SignalReader {
  const { notices, random, log } = options
  /** Takes a limit from any answer, and that there is none any more from answers with which the endpoint served the call. */
  const applyLimit = (attempt: Calls.Attempt, { limitPerSecond }: Dialect.AnswerMetadata, isServed: boolean, nowMs: number): void => {
    if (limitPerSecond === undefined && !isServed) return
    options.onLimit(attempt.row, { callsPerSecond: limitPerSecond, askedAtMs: attempt.sentAtMs, heardAtMs: nowMs })
  }
  return {
    applyState: (row, facts, nowMs) => {
      if (facts.coldForMs !== undefined && facts.coldForMs > 0) {
        if (row.coldUntilMs <= nowMs) log('endpoints', 'Endpoint cold.', { endpointId: row.listing.endpointId, coldForMs: facts.coldForMs })
        row.coldUntilMs = nowMs + facts.coldForMs
      }
      const hasFreshReport = row.load !== undefined && nowMs - row.loadAtMs < Routing.Endpoints.LOAD_MAX_AGE_MS
      if (facts.load !== undefined && !hasFreshReport) {
        Routing.Endpoints.applyLoadReport(row, { ...facts.load, pace: row.load?.pace ?? 1, loading: false, weights: undefined }, nowMs, random.next())
      }
    },
    applyAvailability: (call, attempt, { status, facts }, nowMs) => {
      const { endpointId } = attempt.listing
      const { isLeaving, quietForMs } = facts
      applyLimit(attempt, facts, status >= 200 && status < 300, nowMs)
      const change = notices.take(attempt.listing, { isLeaving, quietForMs, askedAtMs: attempt.sentAtMs, isRefused: facts.isProvenNotRun }, nowMs)
      if (change === 'leaving') log('endpoints', 'Endpoint leaves.', { callId: call.callId, endpointId })
      if (change === 'quiet') log('endpoints', 'Endpoint wants no calls.', { callId: call.callId, endpointId, quietForMs: Math.round(quietForMs) })
    }
  }
}
