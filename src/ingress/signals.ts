/**
 * Applies what endpoints say about themselves in their answers: load, coldness, rate limits, and that they want no calls.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import * as Routing from '../routing/index.ts'
import type * as Calls from './calls.ts'
import type * as Dialect from './dialect.ts'

/** Dependencies of the signal reader. */
export interface SignalReaderOptions {
  readonly notices: Pick<Routing.Notices.Notices, 'take'>
  readonly random: Core.Random.Random
  readonly log: Core.Loop.Tick<never, never>['log']
  /** Called with the rate limit, or its absence, that an endpoint's answer states. */
  readonly onLimit: (row: Routing.Endpoints.EndpointRow, limit: Routing.Limits.LimitStatement) => void
}

/** Applies the signals in endpoints' answers. */
export interface SignalReader {
  /** Applies load and coldness from any answer on an endpoint's connection, whichever call it belongs to. */
  applyState: (row: Routing.Endpoints.EndpointRow, metadata: Dialect.AnswerMetadata, nowMs: number) => void
  /** Applies from the answer to a call which calls the endpoint accepts: its rate limit, that it is shutting down, or that it wants none for a while. */
  applyAvailability: (call: Calls.Call, attempt: Calls.Attempt, answer: { readonly status: number, readonly metadata: Dialect.AnswerMetadata }, nowMs: number) => void
}

/**
 * Creates the signal reader.
 *
 * @param options - The tables and callbacks that the signals go to.
 * @returns The reader.
 */
export function createSignalReader (options: SignalReaderOptions): SignalReader {
  const { notices, random, log } = options
  /** Applies a limit from any answer. The absence of a limit counts only if the endpoint served the call. */
  const applyLimit = (attempt: Calls.Attempt, { limitPerSecond }: Dialect.AnswerMetadata, isServed: boolean, nowMs: number): void => {
    if (limitPerSecond === undefined && !isServed) return
    options.onLimit(attempt.row, { callsPerSecond: limitPerSecond, askedAtMs: attempt.sentAtMs, heardAtMs: nowMs })
  }
  return {
    applyState: (row, metadata, nowMs) => {
      if (metadata.coldForMs !== undefined && metadata.coldForMs > 0) {
        if (row.coldUntilMs <= nowMs) log('endpoints', 'Endpoint cold.', { endpointId: row.listing.endpointId, coldForMs: metadata.coldForMs })
        row.coldUntilMs = nowMs + metadata.coldForMs
      }
      const hasFreshReport = row.load !== undefined && nowMs - row.loadAtMs < Routing.Endpoints.LOAD_MAX_AGE_MS
      if (metadata.load !== undefined && !hasFreshReport) {
        // Only the agent tells when an endpoint that is about to load takes calls again: answers to earlier calls say nothing of that.
        Routing.Endpoints.applyLoadReport(row, { ...metadata.load, pace: row.load?.pace ?? 1, loading: row.load?.loading ?? false, retiring: row.load?.retiring, weights: undefined }, nowMs, random.next())
      }
    },
    applyAvailability: (call, attempt, { status, metadata }, nowMs) => {
      const { endpointId } = attempt.listing
      const { isLeaving, quietForMs } = metadata
      applyLimit(attempt, metadata, status >= 200 && status < 300, nowMs)
      const change = notices.take(attempt.listing, { isLeaving, quietForMs, askedAtMs: attempt.sentAtMs, isRefused: metadata.isProvenNotRun }, nowMs)
      if (change === 'leaving') log('endpoints', 'Endpoint leaves.', { callId: call.callId, endpointId })
      if (change === 'quiet') log('endpoints', 'Endpoint wants no calls.', { callId: call.callId, endpointId, quietForMs: Math.round(quietForMs) })
    }
  }
}
