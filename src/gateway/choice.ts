/**
 * Chooses one endpoint for an attempt: prefix affinity, then the zone, then the less loaded of two.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import type * as Core from '../core/index.ts'
import type * as Tables from './tables.ts'

/** An endpoint and why it was chosen. */
export interface Choice {
  readonly endpoint: Tables.EndpointRow
  readonly candidateCount: number
  readonly reason: string
}

/** A report older than this is not trusted, in milliseconds. */
const REPORT_FRESH_MS = 3_000
/** Affinity yields when the endpoint has less than this share of the best spare. */
const AFFINITY_SPARE_SHARE = 0.5

/**
 * Lists the endpoints of a service that a call may use now.
 *
 * @param tables - The gateway's tables.
 * @param nowMs - The current time.
 * @param row - The call.
 * @returns The endpoints.
 */
export function usableFor (tables: Tables.Tables, nowMs: number, row: Tables.CallRow): Tables.EndpointRow[] {
  return (tables.members.get(row.service) ?? []).filter(endpoint => isUsable(tables, nowMs, row, endpoint))
}

/**
 * Tells whether a call may use an endpoint now.
 *
 * @param tables - The gateway's tables.
 * @param nowMs - The current time.
 * @param row - The call.
 * @param endpoint - The endpoint.
 * @returns Whether the endpoint is live, heard of, in service and of the call's version.
 */
export function isUsable (tables: Tables.Tables, nowMs: number, row: Tables.CallRow, endpoint: Tables.EndpointRow): boolean {
  const { report } = endpoint
  if (report?.state !== 'live' || !takesNewWork(tables, endpoint)) return false
  if (nowMs - endpoint.heardAtMs > REPORT_FRESH_MS || nowMs < endpoint.avoidUntilMs) return false
  return row.pinnedVersion === undefined || report.modelVersion === row.pinnedVersion
}

/**
 * Tells whether an endpoint may be given new work at all.
 *
 * @param tables - The gateway's tables.
 * @param endpoint - The endpoint.
 * @returns Whether neither operators nor the platform take it out of service.
 */
export function takesNewWork (tables: Tables.Tables, endpoint: Tables.EndpointRow): boolean {
  return endpoint.listedState !== 'leaving' && !Control.Documents.isDrained(tables.held.drains(), endpoint.endpointId, endpoint.zone)
}

/**
 * Counts how many more calls an endpoint seems to bear at once.
 *
 * @param endpoint - The endpoint.
 * @returns The count; negative while calls are queued there.
 */
export function spareOf (endpoint: Tables.EndpointRow): number {
  const { report } = endpoint
  if (report === undefined) return -Infinity
  return report.limitCount - Math.max(report.activeCount + report.queuedCount, endpoint.outstandingCount)
}

/**
 * Chooses one of several endpoints.
 *
 * @param tables - The gateway's tables.
 * @param random - Source of randomness.
 * @param row - The call.
 * @param usable - The candidates.
 * @returns The choice; undefined without candidates.
 */
export function choose (tables: Tables.Tables, random: Core.Random.Random, row: Tables.CallRow, usable: readonly Tables.EndpointRow[]): Choice | undefined {
  const spare = usable.filter(endpoint => spareOf(endpoint) > 0)
  const holder = chooseHolder(tables, row, spare)
  if (holder !== undefined) return { endpoint: holder, candidateCount: spare.length, reason: 'holds the prefix' }
  const local = spare.filter(endpoint => endpoint.zone === tables.identity.zone)
  if (local.length > 0) return lessLoaded(random, local, 'less loaded of two in the zone')
  if (spare.length > 0) return lessLoaded(random, spare, 'spills over: no endpoint of the zone has room')
  return leastOccupied(random, row, usable)
}

/**
 * Remembers where a prefix was sent, until the engine's own events tell.
 *
 * @param tables - The gateway's tables.
 * @param prefixKey - The prefix.
 * @param endpointId - The endpoint.
 */
export function rememberPrefix (tables: Tables.Tables, prefixKey: string | undefined, endpointId: string): void {
  if (prefixKey === undefined) return
  tables.affinity.remove(prefixKey)
  tables.affinity.set(prefixKey, endpointId)
  if (tables.affinity.count() <= MAX_AFFINITY_COUNT) return
  const oldest = tables.affinity.keys().next()
  if (oldest.done !== true) tables.affinity.remove(oldest.value)
}

const MAX_AFFINITY_COUNT = 4_096

/** Finds an endpoint that holds the call's prefix and is not much more loaded than the best. */
function chooseHolder (tables: Tables.Tables, row: Tables.CallRow, spare: readonly Tables.EndpointRow[]): Tables.EndpointRow | undefined {
  const { prefixKey } = row.call
  if (prefixKey === undefined || spare.length === 0) return undefined
  const lastId = tables.affinity.get(prefixKey)
  const bestCount = Math.max(...spare.map(spareOf))
  return spare
    .filter(endpoint => (endpoint.prefixKeys.has(prefixKey) || endpoint.endpointId === lastId) && spareOf(endpoint) >= bestCount * AFFINITY_SPARE_SHARE)
    .sort((a, b) => spareOf(b) - spareOf(a))[0]
}

/** With every endpoint full, a workspace's calls are spread so that each waits in a short queue of its own. */
function leastOccupied (random: Core.Random.Random, row: Tables.CallRow, usable: readonly Tables.EndpointRow[]): Choice | undefined {
  const occupied = (endpoint: Tables.EndpointRow): number => endpoint.outstandingCounts.get(row.call.workspace) ?? 0
  const fewest = Math.min(...usable.map(occupied))
  return lessLoaded(random, usable.filter(endpoint => occupied(endpoint) === fewest), 'every endpoint is full; the workspace has the fewest calls here')
}

function lessLoaded (random: Core.Random.Random, candidates: readonly Tables.EndpointRow[], reason: string): Choice | undefined {
  const first = candidates[random.below(candidates.length)]
  const second = candidates[random.below(candidates.length)]
  if (first === undefined || second === undefined) return undefined
  return { endpoint: spareOf(second) > spareOf(first) ? second : first, candidateCount: candidates.length, reason }
}
