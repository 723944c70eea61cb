/**
 * Chooses an endpoint for each call that waits for one.
 *
 * @packageDocumentation
 */
import * as Control from '../../control/index.ts'
import * as ClaimRecords from '../claimRecords.ts'
import * as Finish from '../finish.ts'
import type * as Tables from '../tables.ts'
import * as Asking from './asking.ts'
import * as Clocks from './clocks.ts'

/** A report older than this is not trusted, in milliseconds. */
const REPORT_FRESH_MS = 3_000
/** The most attempts of one call. */
const MAX_ATTEMPT_COUNT = 4
const RETRY_AFTER_MS = 1_000

/** Routes calls that wait. */
export const routingSystem: Tables.System = {
  name: 'routing',
  run: (tables, tick) => {
    for (const row of [...tables.calls.rows()]) {
      if (row.state === 'routing' && tick.nowMs >= row.notBeforeMs) route(tables, tick, row)
    }
  }
}

/**
 * Sends a call's chosen attempt to its agent.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call, its attempt chosen and claimed where it has a key.
 */
export function send (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const { call, current } = row
  const endpoint = current === undefined ? undefined : tables.endpoints.get(current.endpointId)
  if (current === undefined || endpoint === undefined) { row.state = 'routing'; row.current = undefined; return }
  tick.check('atMostOnce', row.idempotent || row.openAttempts.size === 0, () => ({ callId: call.callId, attemptId: current.attemptId, openAttempts: [...row.openAttempts] }))
  tick.check('atMostOnce', call.idempotencyKey === undefined || row.claimedAttemptId === current.attemptId, () => ({ callId: call.callId, attemptId: current.attemptId, claimedAttemptId: row.claimedAttemptId }))
  current.expiresAtMs ??= Clocks.expiryOf(tables, tick, row, current)
  row.state = 'running'
  row.openAttempts.add(current.attemptId)
  Asking.expectAnswer(tick, row)
  endpoint.outstandingCount++
  tick.emit({
    kind: 'dispatch',
    dispatch: {
      callId: call.callId,
      endpointId: current.endpointId,
      target: { host: endpoint.host, port: endpoint.port },
      envelope: {
        callId: call.callId,
        attemptId: current.attemptId,
        gatewayId: tables.identity.instanceId,
        workspace: call.workspace,
        service: row.service,
        method: call.method,
        path: call.path,
        contentType: call.contentType,
        modelVersion: current.modelVersion,
        adapter: call.adapter,
        timeLeftMs: row.deadlineMs - tick.nowMs,
        priority: row.priority,
        idempotent: row.idempotent,
        stream: call.stream,
        resumeFromIndex: row.nextIndex,
        digest: call.digest,
        claimKey: call.idempotencyKey === undefined ? undefined : ClaimRecords.claimKeyOf(call.workspace, call.idempotencyKey),
        idempotencyKey: call.idempotencyKey,
        agentIncarnation: current.agentIncarnation,
        expiresAtMs: current.expiresAtMs
      }
    }
  })
}

function route (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const usable = [...tables.endpoints.rows()].filter(endpoint => isUsable(tables, tick, row, endpoint))
  const fresh = usable.filter(endpoint => !row.refusedBy.has(endpoint.endpointId))
  if (fresh.length === 0 || row.attemptCount >= MAX_ATTEMPT_COUNT) { refuse(tables, tick, row); return }
  const local = fresh.filter(endpoint => endpoint.zone === tables.identity.zone && spareOf(endpoint) > 0)
  const candidates = local.length > 0 ? local : fresh
  const first = candidates[tick.random.below(candidates.length)]
  const second = candidates[tick.random.below(candidates.length)]
  if (first === undefined || second === undefined) return
  const endpoint = spareOf(second) > spareOf(first) ? second : first
  row.attemptCount++
  row.current = {
    attemptId: tables.makeId(),
    endpointId: endpoint.endpointId,
    agentIncarnation: endpoint.report?.incarnation ?? '',
    modelVersion: endpoint.report?.modelVersion
  }
  tick.log('routing', 'Endpoint chosen.', { callId: row.call.callId, endpointId: endpoint.endpointId, zone: endpoint.zone, spareCount: spareOf(endpoint), candidateCount: candidates.length, reason: local.length > 0 ? 'least loaded of two in the zone' : 'least loaded of two' })
  row.current.expiresAtMs = Clocks.expiryOf(tables, tick, row, row.current)
  if (row.call.idempotencyKey !== undefined) ClaimRecords.claim(tables, tick, row)
  else send(tables, tick, row)
}

function isUsable (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, endpoint: Tables.EndpointRow): boolean {
  const { report } = endpoint
  if (endpoint.service !== row.service || report?.state !== 'live') return false
  if (endpoint.listedState === 'leaving' || tick.nowMs - endpoint.reportedAtMs > REPORT_FRESH_MS || tick.nowMs < endpoint.avoidUntilMs) return false
  if (Control.Documents.isDrained(tables.held.drains(), endpoint.endpointId, endpoint.zone)) return false
  return row.pinnedVersion === undefined || report.modelVersion === row.pinnedVersion
}

function spareOf (endpoint: Tables.EndpointRow): number {
  const report = endpoint.report
  if (report === undefined) return -Infinity
  return report.limitCount - Math.max(report.activeCount + report.queuedCount, endpoint.outstandingCount)
}

function refuse (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  const end = row.lastEnd
  const begun = row.nextIndex > 0
  const code = begun ? 'streamCut' : end?.run === 'unknown' ? 'outcomeUnknown' : Finish.refusalOf(row, end?.code ?? 'noEndpoint')
  Finish.finish(tables, tick, row, code, {
    reason: end?.reason ?? 'No endpoint is live.',
    retryAfterMs: end?.retryAfterMs ?? RETRY_AFTER_MS,
    limitCount: end?.limitCount,
    shareCount: end?.shareCount
  })
}
