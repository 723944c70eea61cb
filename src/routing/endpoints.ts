/**
 * The endpoints known to one gateway, and the load of each.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as Limits from './limits.ts'
import * as Turns from './turns.ts'

/** Weights of which an endpoint holds every layer. */
export interface HeldWeights {
  readonly model: string
  readonly version: number
}

/** The entry of an endpoint in the platform's list. */
export interface Listing {
  readonly endpointId: string
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: string
  readonly region: string
  readonly slotCount: number
  readonly draining: boolean
  /** Time for which the endpoint will still be cold, in milliseconds. */
  readonly coldForMs: number
  /** When the endpoint was started, by its own clock; undefined if it does not report this. */
  readonly bornAtMs: number | undefined
  /** Undefined if the endpoint lists no models. */
  readonly weights: readonly HeldWeights[] | undefined
}

/** Identifies one start of an endpoint: the time from a start of its process to the next. */
export type EndpointStart = Pick<Listing, 'endpointId' | 'bornAtMs'>

/** The load that an endpoint reports. */
export interface LoadReport {
  readonly activeCount: number
  readonly queuedCount: number
  /** Factor by which the endpoint is slower than usual. */
  readonly pace: number
  /** Whether the endpoint is loading weights or is about to, so that it accepts no calls. */
  readonly loading: boolean
  /** Whether the endpoint is only finishing its calls before it loads weights: calls that are queued there begin on the weights that it holds. */
  readonly retiring?: boolean | undefined
  readonly weights: readonly HeldWeights[] | undefined
  /** Number of orders that the endpoint has accepted since its start; undefined if the source of the report does not tell. */
  readonly orderCount?: number | undefined
  /** The number of orders up to which its loads were shown to be sound; undefined if the last load was not. */
  readonly provenOrderCount?: number | undefined
}

/** What an agent reported about the loads of an endpoint's start. */
export interface LoadedState {
  readonly orderCount: number
  /** The highest number of orders up to which the loads were shown to be sound; undefined if none was. */
  readonly provenOrderCount: number | undefined
  /** The newest version that the endpoint held. */
  readonly version: number
}

/** The state of an endpoint at one gateway. */
export interface EndpointRow {
  listing: Listing
  /** When the endpoint stops being cold, in milliseconds. */
  coldUntilMs: number
  weights: readonly HeldWeights[] | undefined
  /** The last report on the endpoint's loads; undefined if no agent has sent one in this start. */
  loaded: LoadedState | undefined
  load: LoadReport | undefined
  loadAtMs: number
  /** Random number in [0, 1), drawn with each report: decides which gateway gets a slot that cannot be divided evenly. */
  loadDraw: number
  /** Number of this gateway's calls at the endpoint when the load was reported. */
  ownAtLoadCount: number
  /** Number of this gateway's calls at the endpoint. */
  ownCallCount: number
  /** Number of prompt tokens of this gateway's calls whose answers have not begun. */
  unreadTokens: number
  /** When data last arrived from the endpoint, in milliseconds. */
  heardAtMs: number
  /** Last sign of life of the endpoint, in milliseconds: unlike `heardAtMs`, never moved forward when a call is sent or when this process was paused. */
  aliveAtMs: number
  /** When calls were sent recently, from oldest to newest; kept while the endpoint is cold. */
  coldSentAtMs: number[]
  /** This gateway's turns at the endpoint while it is cold and its limit in calls per second is below the number of gateways. */
  readonly coldTurns: Turns.Turns
  /** The rate limit that the endpoint stated last; undefined if it has never stated a limit. */
  limit: Limits.LimitStatement | undefined
  /** When the limit last changed, in milliseconds. */
  limitChangedAtMs: number
  /** When an answer to this gateway last stated a limit, in milliseconds. */
  limitReceivedAtMs: number
  /** This gateway's turns at the endpoint while it states a limit. */
  readonly limitTurns: Turns.Turns
  failureCount: number
  /** When the endpoint may be chosen again after a failure, in milliseconds. */
  avoidUntilMs: number
  /** When an endpoint that is missing from the platform's list is removed, in milliseconds; undefined while it is listed. */
  keptUntilMs: number | undefined
  /** Until when this start of the endpoint counts as ended although its entry is listed, in milliseconds. */
  endedUntilMs: number
}

/** The endpoints by id. */
export type Endpoints = Core.Table.Table<EndpointRow>

/** Maximum age of a load report that is used, in milliseconds: ten report intervals. */
export const LOAD_MAX_AGE_MS = 1_000
/** Time after the return of the store within which entries that expired during an outage are listed again, in milliseconds, as guaranteed by the platform. */
export const LAPSED_ENTRY_GRACE_MS = 2_000
/** Loads of an endpoint of whose start nothing is known any more: no version that it lists is proven. */
const UNKNOWN_LOADS: LoadedState = { orderCount: 0, provenOrderCount: undefined, version: 0 }
/** Time for which the entry of a start that has ended may stay listed, in milliseconds: three heartbeats and a margin. The clocks that date starts may jump back, so the exclusion ends by itself. */
const ENDED_ENTRY_LIFETIME_MS = 4_500
/** Time for which a gateway may use its turn at an endpoint with a rate limit, in milliseconds: any four seconds then contain at most the calls of five and a half seconds, and the platform allows those of six. */
const LIMIT_TURN_LIFETIME_MS = 1_500
/** Time for which a gateway may use its turn at a cold endpoint, in milliseconds: any second then contains at most a quarter more calls than the limit, and the platform allows half as many more. */
const COLD_TURN_LIFETIME_MS = 250
/** Time for which an endpoint is not chosen after a failure, in milliseconds; doubled with each consecutive failure. */
const MIN_AVOID_MS = 250
/** Maximum time for which a failing endpoint is not chosen, in milliseconds. */
const MAX_AVOID_MS = 4_000

/**
 * Adds or updates an endpoint from its entry in the list. The state of an earlier start is discarded.
 *
 * @param endpoints - The endpoints.
 * @param listing - The entry.
 * @param nowMs - The current time, in milliseconds.
 * @returns The endpoint's row.
 */
export function applyListing (endpoints: Endpoints, listing: Listing, nowMs: number): EndpointRow {
  const existing = endpoints.get(listing.endpointId)
  const restarted = existing !== undefined && existing.listing.bornAtMs !== listing.bornAtMs
  const row: EndpointRow = existing === undefined || restarted
    ? createRow(listing, nowMs)
    // Reports of an agent are more recent than the list.
    : Object.assign(existing, { listing, keptUntilMs: undefined, weights: existing.loaded === undefined ? listing.weights : existing.weights })
  if (listing.coldForMs > 0) row.coldUntilMs = nowMs + listing.coldForMs
  endpoints.set(listing.endpointId, row)
  return row
}

/**
 * Records that another start was seen at the address of an endpoint. A later one shows that the listed start has ended: its entry stays listed for some seconds, and calls for it would only be turned away.
 *
 * @param row - The endpoint.
 * @param bornAtMs - When the other start began, in milliseconds; undefined if it does not tell.
 * @param nowMs - The current time, in milliseconds.
 */
export function recordOtherStart (row: EndpointRow, bornAtMs: number | undefined, nowMs: number): void {
  if (bornAtMs === undefined || row.listing.bornAtMs === undefined || bornAtMs <= row.listing.bornAtMs) return
  row.endedUntilMs = nowMs + ENDED_ENTRY_LIFETIME_MS
  // What was proven of this start says nothing about the other one, which may have the same id.
  if (row.loaded !== undefined) row.loaded = UNKNOWN_LOADS
}

/**
 * Handles an endpoint that is missing from the list. Entries that expired during a store outage are listed again soon after the store returns, so the endpoint is kept until then; otherwise it is removed.
 *
 * @param endpoints - The endpoints.
 * @param endpointId - The id of the endpoint.
 * @param regainedAtMs - When the store last became available again, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether the endpoint is kept for now.
 */
export function handleUnlisted (endpoints: Endpoints, endpointId: string, regainedAtMs: number, nowMs: number): boolean {
  const row = endpoints.get(endpointId)
  if (row === undefined) return false
  const isKept = nowMs - regainedAtMs < LAPSED_ENTRY_GRACE_MS
  if (isKept) row.keptUntilMs ??= regainedAtMs + LAPSED_ENTRY_GRACE_MS
  else endpoints.remove(endpointId)
  return isKept
}

/**
 * Removes endpoints whose entries were not listed again in time.
 *
 * @param endpoints - The endpoints.
 * @param nowMs - The current time, in milliseconds.
 * @returns The ids of the removed endpoints.
 */
export function removeLapsed (endpoints: Endpoints, nowMs: number): string[] {
  const lapsedIds = [...endpoints.rows()].filter(row => (row.keptUntilMs ?? Infinity) <= nowMs).map(row => row.listing.endpointId)
  for (const endpointId of lapsedIds) endpoints.remove(endpointId)
  return lapsedIds
}

/**
 * Tells whether an entry may be an older one of the same endpoint, as a restored store has it.
 *
 * @param known - The entry as known before; undefined if the endpoint was no longer listed.
 * @param found - The entry as the store has it now.
 * @returns Whether calls could be sent on its word alone to an endpoint that was removed, is draining or has started again since.
 */
export function mayBeOutdated (known: Listing | undefined, found: Listing): boolean {
  if (known === undefined) return true
  const [knownBornAtMs, foundBornAtMs] = [known.bornAtMs ?? 0, found.bornAtMs ?? 0]
  if (foundBornAtMs !== knownBornAtMs) return foundBornAtMs < knownBornAtMs
  // Within one start, an endpoint drains for good and its weights only become newer.
  return (known.draining && !found.draining) || newestWeightsVersion(found) < newestWeightsVersion(known)
}

function newestWeightsVersion ({ weights = [] }: Pick<LoadReport, 'weights'>): number {
  return Math.max(0, ...weights.map(({ version }) => version))
}

/**
 * Applies a load report of an endpoint.
 *
 * @param row - The endpoint.
 * @param load - The report.
 * @param nowMs - When the report arrived, in milliseconds.
 * @param draw - A random number in [0, 1).
 */
export function applyLoadReport (row: EndpointRow, load: LoadReport, nowMs: number, draw: number): void {
  Object.assign(row, { load, loadAtMs: nowMs, loadDraw: draw, ownAtLoadCount: row.ownCallCount })
  recordSignOfLife(row, nowMs)
  if (load.weights !== undefined) row.weights = load.weights
  if (load.orderCount === undefined || load.orderCount < (row.loaded?.orderCount ?? 0)) return
  const provenCounts = [row.loaded?.provenOrderCount, load.provenOrderCount].filter(count => count !== undefined)
  row.loaded = { orderCount: load.orderCount, provenOrderCount: provenCounts.length === 0 ? undefined : Math.max(...provenCounts), version: newestWeightsVersion(load) }
}

/**
 * Tells whether the layers that an endpoint holds are known to be sound. Those that it held when it started are.
 *
 * @param row - The endpoint.
 * @param isManaged - Whether an agent is listed beside the endpoint: then only its reports tell of loads, and the entry in the platform's list does not.
 * @returns Whether calls may begin on them.
 */
export function isProven ({ loaded, listing }: EndpointRow, isManaged: boolean): boolean {
  if (loaded === undefined) return !isManaged
  if (loaded.orderCount > 0 && loaded.provenOrderCount !== loaded.orderCount) return false
  // A version that is listed and was not reported was loaded since the last report.
  return newestWeightsVersion(listing) <= loaded.version
}

/**
 * Records the rate limit that an endpoint states for all gateways together.
 *
 * @param row - The endpoint.
 * @param statement - The statement from its answer.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether the limit has changed.
 */
export function recordLimit (row: EndpointRow, statement: Limits.LimitStatement, nowMs: number): boolean {
  const previousPerSecond = row.limit?.callsPerSecond
  row.limit = Limits.merge(row.limit, statement)
  const isChanged = row.limit?.callsPerSecond !== previousPerSecond
  if (isChanged) row.limitChangedAtMs = nowMs
  return isChanged
}

/**
 * Estimates the number of calls at an endpoint from the last report and the calls that this gateway has sent and ended since.
 *
 * @param row - The endpoint.
 * @param nowMs - The current time, in milliseconds.
 * @returns The number of running and queued calls of all gateways; only of this gateway without a current report.
 */
export function busyCount (row: EndpointRow, nowMs: number): number {
  if (row.load === undefined || nowMs - row.loadAtMs > LOAD_MAX_AGE_MS) return row.ownCallCount
  return Math.max(row.ownCallCount, row.load.activeCount + row.load.queuedCount + row.ownCallCount - row.ownAtLoadCount)
}

/**
 * Finds the weights with which an endpoint would serve a call.
 *
 * @param row - The endpoint.
 * @param model - The model that the call requests; undefined for any.
 * @returns The weights; undefined if the endpoint holds none.
 */
export function findWeights (row: EndpointRow, model: string | undefined): HeldWeights | undefined {
  return (row.weights ?? []).find(weights => model === undefined || weights.model === model)
}

/**
 * Records a failure of an endpoint, which is then not chosen for a while, with exponential backoff.
 *
 * @param row - The endpoint.
 * @param nowMs - The current time, in milliseconds.
 * @returns The time for which the endpoint is not chosen, in milliseconds.
 */
export function recordFailure (row: EndpointRow, nowMs: number): number {
  const avoidMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** row.failureCount)
  row.failureCount++
  row.avoidUntilMs = Math.max(row.avoidUntilMs, nowMs + avoidMs)
  return avoidMs
}

/**
 * Records an answer that shows that the endpoint works, and resets its failure count.
 *
 * @param row - The endpoint.
 * @param nowMs - The current time, in milliseconds.
 */
export function recordSuccess (row: EndpointRow, nowMs: number): void {
  recordSignOfLife(row, nowMs)
  row.failureCount = 0
}

/**
 * Records data from the endpoint, or a report about it, as a sign of life.
 *
 * @param row - The endpoint.
 * @param nowMs - The current time, in milliseconds.
 */
export function recordSignOfLife (row: EndpointRow, nowMs: number): void {
  row.heardAtMs = nowMs
  row.aliveAtMs = nowMs
}

/** Source of the notices that exclude endpoints (`Notices.holdOf`). */
export interface HoldSource {
  holdOf: (start: EndpointStart, nowMs: number) => string | undefined
}

/** States of an endpoint at a gateway; the first one that matches applies. */
const STATES: ReadonlyArray<{ readonly state: string, readonly matches: (row: EndpointRow, nowMs: number, notices: HoldSource) => boolean }> = [
  { state: 'ended', matches: (row, nowMs) => row.endedUntilMs > nowMs },
  { state: 'unlisted', matches: row => row.keptUntilMs !== undefined },
  { state: 'draining', matches: row => row.listing.draining },
  { state: 'leaving', matches: (row, nowMs, notices) => notices.holdOf(row.listing, nowMs) === 'leaving' },
  { state: 'quiet', matches: (row, nowMs, notices) => notices.holdOf(row.listing, nowMs) !== undefined },
  { state: 'leftOut', matches: (row, nowMs) => row.avoidUntilMs > nowMs },
  { state: 'cold', matches: (row, nowMs) => row.coldUntilMs > nowMs },
  { state: 'loading', matches: row => row.load?.loading === true },
  { state: 'limited', matches: row => row.limit?.callsPerSecond !== undefined },
  { state: 'serving', matches: () => true }
]

/**
 * Counts endpoints by state, for the metrics.
 *
 * @param endpoints - The endpoints.
 * @param nowMs - The current time, in milliseconds.
 * @param notices - The notices that endpoints sent about themselves.
 * @returns The number of endpoints in each state.
 */
export function countStates (endpoints: Endpoints, nowMs: number, notices: HoldSource): Readonly<Record<string, number>> {
  const counts: Record<string, number> = Object.fromEntries(STATES.map(({ state }) => [state, 0]))
  for (const row of endpoints.rows()) {
    const state = STATES.find(({ matches }) => matches(row, nowMs, notices))?.state ?? ''
    counts[state] = (counts[state] ?? 0) + 1
  }
  return counts
}

/**
 * Measures how unevenly the endpoints of each service are loaded, for the metrics.
 *
 * @param endpoints - The endpoints.
 * @param nowMs - The current time, in milliseconds.
 * @returns The coefficient of variation of the calls at the endpoints with current reports, by service; 0 for an idle service.
 */
export function loadVariations (endpoints: Endpoints, nowMs: number): ReadonlyMap<string, number> {
  const countsByService = new Map<string, number[]>()
  for (const row of endpoints.rows()) {
    if (row.load === undefined || nowMs - row.loadAtMs > LOAD_MAX_AGE_MS || row.listing.draining) continue
    const counts = countsByService.get(row.listing.service) ?? []
    counts.push(busyCount(row, nowMs))
    countsByService.set(row.listing.service, counts)
  }
  return new Map([...countsByService].map(([service, counts]) => {
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length
    const variance = counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / counts.length
    return [service, mean === 0 ? 0 : Math.sqrt(variance) / mean]
  }))
}

function createRow (listing: Listing, nowMs: number): EndpointRow {
  return {
    listing,
    coldUntilMs: 0,
    weights: listing.weights,
    loaded: undefined,
    load: undefined,
    loadAtMs: 0,
    loadDraw: 0,
    ownAtLoadCount: 0,
    ownCallCount: 0,
    unreadTokens: 0,
    heardAtMs: nowMs,
    aliveAtMs: -Infinity,
    coldSentAtMs: [],
    coldTurns: Turns.createTurns(listing.endpointId, COLD_TURN_LIFETIME_MS),
    limit: undefined,
    limitChangedAtMs: -Infinity,
    limitReceivedAtMs: -Infinity,
    limitTurns: Turns.createTurns(listing.endpointId, LIMIT_TURN_LIFETIME_MS),
    failureCount: 0,
    avoidUntilMs: 0,
    keptUntilMs: undefined,
    endedUntilMs: -Infinity
  }
}
