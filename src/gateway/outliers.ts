/**
 * Outlier ejection: endpoints that fail calls in a row are not chosen for a while, within a cap.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Messages from './messages.ts'
import type * as Tables from './tables.ts'

const FAILURES_TO_EJECT: Readonly<Partial<Record<Core.Codes.CodeName, number>>> = {
  endpointUnreachable: 1,
  endpointFailed: 3,
  streamCut: 3,
  outcomeUnknown: 3
}
const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000
/** The largest share of a service's endpoints that is ejected at once. */
const MAX_EJECTED_SHARE = 0.34

/**
 * Notes how an attempt ended at an endpoint.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param endpointId - The endpoint.
 * @param end - The end.
 */
export function note (tables: Tables.Tables, tick: Tables.Tick, endpointId: string, end: Messages.AttemptEnd): void {
  const endpoint = tables.endpoints.get(endpointId)
  if (endpoint === undefined || end.silent === true) return
  if (end.run === 'ran') { endpoint.failureCount = 0; endpoint.ejectionCount = 0; return }
  const wantedCount = FAILURES_TO_EJECT[end.code]
  if (wantedCount === undefined) return
  endpoint.failureCount++
  if (endpoint.failureCount < wantedCount || tick.nowMs < endpoint.avoidUntilMs) return
  eject(tables, tick, endpoint, end)
}

function eject (tables: Tables.Tables, tick: Tables.Tick, endpoint: Tables.EndpointRow, end: Messages.AttemptEnd): void {
  const members = tables.members.get(endpoint.service) ?? []
  const ejectedCount = members.filter(member => tick.nowMs < member.avoidUntilMs).length
  const { endpointId, failureCount } = endpoint
  if (ejectedCount + 1 > Math.max(1, Math.floor(members.length * MAX_EJECTED_SHARE)) || members.length === 1) {
    tick.log('routing', 'Endpoint kept.', { endpointId, failureCount, reason: 'too many endpoints are ejected' })
    return
  }
  const durationMs = Core.Random.jitter(tick.random, Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** endpoint.ejectionCount))
  endpoint.ejectionCount++
  endpoint.failureCount = 0
  endpoint.avoidUntilMs = tick.nowMs + durationMs
  tick.log('routing', 'Endpoint ejected.', { endpointId, durationMs: Math.round(durationMs), failureCount, code: end.code, reason: end.reason })
}
