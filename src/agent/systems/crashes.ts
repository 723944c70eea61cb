/**
 * Records which calls were in flight when the endpoint crashed, so that calls that crash endpoints can be found.
 *
 * @packageDocumentation
 */
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** Time for which a crash is reported, in milliseconds. */
const CRASH_RETENTION_MS = 60_000
/** Maximum number of crashes reported. */
const MAX_CRASH_COUNT = 8
/** Maximum number of calls reported with one crash. */
const MAX_DIGEST_COUNT = 64
/** Time before the detection of a crash within which failures are attributed to it, in milliseconds. */
const FAILURE_WINDOW_MS = 10_000
/** Maximum number of failures retained. */
const MAX_FAILURE_COUNT = 256

/** Records failed calls and, when the endpoint has a new incarnation, the calls that were running. */
export const crashesSystem: Tables.System = {
  name: 'crashes',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'callEnded' && input.ending === 'failed') recordFailure(tables, tick, input.attemptId)
      if (input.kind === 'endpointSeen' && input.load !== undefined) detectCrash(tables, tick, input.load)
    }
    while (tables.crashes[0] !== undefined && tick.nowMs - tables.crashes[0].atMs > CRASH_RETENTION_MS) tables.crashes.shift()
  }
}

function recordFailure (tables: Tables.Tables, tick: Tables.Tick, attemptId: string): void {
  const attempt = tables.attempts.get(attemptId)
  if (attempt === undefined) return
  tables.failures.push({ digest: attempt.envelope.digest, atMs: tick.nowMs })
  if (tables.failures.length > MAX_FAILURE_COUNT) tables.failures.shift()
}

function detectCrash (tables: Tables.Tables, tick: Tables.Tick, load: Messages.EndpointLoad): void {
  const crashId = tables.endpoint.incarnation
  if (crashId === '' || crashId === load.incarnation) return
  const failedDigests = tables.failures.filter(failure => tick.nowMs - failure.atMs <= FAILURE_WINDOW_MS).map(failure => failure.digest)
  const runningDigests = [...tables.attempts.rows()].filter(attempt => attempt.state === 'running').map(attempt => attempt.envelope.digest)
  tables.failures.length = 0
  const digests = [...new Set([...failedDigests, ...runningDigests])].slice(0, MAX_DIGEST_COUNT)
  if (digests.length === 0) return
  tables.crashes.push({ crashId, digests, atMs: tick.nowMs })
  if (tables.crashes.length > MAX_CRASH_COUNT) tables.crashes.shift()
  tick.log('admission', 'Endpoint crashed with calls in flight.', { crashId, digestCount: digests.length })
}
