/**
 * Selects the endpoint for a call.
 *
 * Under uneven load across zones, the nearest endpoint that can begin the answer in time is preferred,
 * and others take the calls that it cannot begin in time. Several gateways choose at once from load
 * reports of the same age, so the choice among nearly equal endpoints is random, and each gateway uses
 * only its share of the slots that a report shows as free. Otherwise all gateways would fill the same
 * slot, and calls would queue at an endpoint that looked free.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Deployment from './deployment.ts'
import * as Endpoints from './endpoints.ts'
import * as EngineModel from './engineModel.ts'
import type * as Notices from './notices.ts'
import type * as Ranks from './ranks.ts'
import * as SlotShares from './slotShares.ts'
import * as Spreading from './spreading.ts'
import * as Turns from './turns.ts'

/** The properties of a call that determine which endpoints may take it. */
export interface CallRequirements {
  readonly service: Deployment.Service
  /** The model that the call requests; undefined if it names none. */
  readonly model: string | undefined
  readonly promptTokens: number
  /** Undefined if calls of the service have no ranks. */
  readonly rank?: Ranks.Rank | undefined
  /** Lists of regions in which the call may be served, each of which applies; an empty list allows any region. */
  readonly regions: ReadonlyArray<readonly string[]>
  /** Ids of endpoints that the call was already sent to. */
  readonly triedIds: ReadonlySet<string>
}

/** The state of a gateway on which the selection is based. */
export interface RoutingContext {
  readonly endpoints: Endpoints.Endpoints
  /** Notices that endpoints sent to this gateway about themselves. */
  readonly notices: Pick<Notices.Notices, 'holdOf' | 'quietUntilMs'>
  readonly zone: string
  readonly region: string
  /** Zones taken out of service. */
  readonly drainedZones: ReadonlySet<string>
  /** The oldest version of a model on which a call may begin. */
  readonly oldestVersionOf: (model: string) => number
  /** Whether an agent is listed beside an endpoint, so that only its reports tell which weights may be used; none is without it. */
  readonly isManaged?: ((listing: Endpoints.Listing) => boolean) | undefined
  /** Number of gateways that share the endpoints. */
  readonly gatewayCount: number
  /** Number of gateways in this gateway's zone, itself included. */
  readonly zoneGatewayCount: number
  /** The gateways among which rates are shared; undefined while the other gateways are not known. */
  readonly sharers: Turns.Sharers | undefined
  /** Current time by the store's clock, in milliseconds; not finite while it is not known. */
  readonly storeMs: number
  /** This gateway's shares of free slots by demand; undefined while the demand of the others is not known. */
  readonly slotShares?: SlotShares.SlotShares | undefined
  /** Calls per second at all gateways together, as far as they are known. */
  readonly totalCallsPerSecond?: number | undefined
  /** How this gateway's calls are spread over ranks. */
  readonly rankShares?: Ranks.RankShares | undefined
}

/** An endpoint that may take a call. */
export interface Candidate {
  readonly row: Endpoints.EndpointRow
  /** Predicted time until the answer begins, in milliseconds. */
  readonly predictedMs: number
  /** Whether the endpoint has a free slot for this gateway. */
  readonly hasFreeSlot: boolean
  /** Number of slots of the endpoint that this gateway may still fill. */
  readonly freeSlotCount: number
  /** Penalty that is added to the prediction because of distance or a stale load report, in milliseconds. */
  readonly penaltyMs: number
}

/** Maximum difference from the best prediction at which candidates are chosen at random, in milliseconds: the prediction error with a load report that is 100 ms old. */
const TIE_TOLERANCE_MS = 20
/** Penalty for an endpoint in another region, in milliseconds: two delays between regions, and the cost of the traffic. */
const OTHER_REGION_PENALTY_MS = 40
/** Penalty for an endpoint in another zone of the same region, in milliseconds. */
const OTHER_ZONE_PENALTY_MS = 15
/** Share of an endpoint's free slots that is divided among the gateways of its zone; the other gateways divide the rest. */
const SAME_ZONE_SHARE = 0.75
/** Time without data from an endpoint that has calls of this gateway after which it is not chosen, in milliseconds: longer than any pass over a full batch. */
const SILENCE_TIMEOUT_MS = 450
/** Penalty for an endpoint whose agent stopped sending load reports, in milliseconds: its instance may be frozen or disconnected. */
const STALE_LOAD_PENALTY_MS = 200
/** Window of the limit on calls to cold endpoints, in milliseconds: the limit is given per second. */
const COLD_WINDOW_MS = 1_000
const MS_PER_SECOND = 1_000
/** Predicted time of a call to a plain service at an endpoint with a free slot, in milliseconds. */
const PLAIN_CALL_MS = 1
/** Approximate interval at which a full endpoint of a plain service finishes calls, in milliseconds. */
const PLAIN_SLOT_INTERVAL_MS = 10

/**
 * Finds the endpoints that may take a call.
 *
 * @param requirements - The requirements of the call.
 * @param context - The state of the gateway.
 * @param nowMs - The current time, in milliseconds.
 * @returns The candidates, in table order.
 */
export function findCandidates (requirements: CallRequirements, context: RoutingContext, nowMs: number): Candidate[] {
  const candidates: Candidate[] = []
  for (const row of context.endpoints.rows()) {
    if (!isUsable(row, requirements, context, nowMs)) continue
    candidates.push(evaluate(row, requirements, context, nowMs))
  }
  return candidates
}

/**
 * Chooses the best candidate, at random among nearly equal ones.
 *
 * @param candidates - The candidates.
 * @param random - The source of randomness.
 * @returns The chosen candidate; undefined if there are none.
 */
export function choose (candidates: readonly Candidate[], random: Core.Random.Random): Candidate | undefined {
  let bestMs = Infinity
  for (const candidate of candidates) bestMs = Math.min(bestMs, candidate.predictedMs + candidate.penaltyMs)
  const similar = candidates.filter(candidate => candidate.predictedMs + candidate.penaltyMs <= bestMs + TIE_TOLERANCE_MS)
  return similar[random.below(similar.length)]
}

/**
 * Chooses a candidate for a call to a batching engine while there are more gateways than an endpoint has slots: by what all of them are expected to send before the next load reports.
 *
 * @param all - The candidates; those with a free slot for this gateway go first, as no other gateway claims it.
 * @param engine - The parameters of the engines.
 * @param context - The state of the gateway.
 * @param random - The source of randomness.
 * @param nowMs - The current time, in milliseconds.
 * @returns The chosen candidate; undefined if there are none.
 */
export function chooseAmongMany (all: readonly Candidate[], engine: Deployment.Engine, context: RoutingContext, random: Core.Random.Random, nowMs: number): Candidate | undefined {
  const { totalCallsPerSecond = 0 } = context
  const withFreeSlot = all.filter(({ hasFreeSlot }) => hasFreeSlot)
  const candidates = withFreeSlot.length > 0 ? withFreeSlot : all
  const ages = candidates.map(({ row }) => Math.min(Endpoints.LOAD_MAX_AGE_MS, nowMs - row.loadAtMs))
  const meanAgeMs = ages.reduce((sum, ageMs) => sum + ageMs, 0) / Math.max(1, ages.length)
  const turnoverMs = EngineModel.turnoverMs(engine)
  const readMs = engine.usualPromptTokens / engine.readTokensPerMs
  const parts = Spreading.spread(candidates.map(({ predictedMs, penaltyMs, hasFreeSlot }) => ({ costMs: predictedMs + penaltyMs, costPerCallMs: hasFreeSlot ? readMs : turnoverMs })), 1 + totalCallsPerSecond * meanAgeMs / MS_PER_SECOND, TIE_TOLERANCE_MS)
  return candidates[Spreading.drawIndex(parts, random.next())]
}

/**
 * Chooses the candidate with the fewest calls, so that a call that may crash its endpoint cuts as few others as possible.
 *
 * @param candidates - The candidates.
 * @param nowMs - The current time, in milliseconds.
 * @returns The chosen candidate; undefined if there are none.
 */
export function leastBusy (candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
  return [...candidates].sort((a, b) => Endpoints.busyCount(a.row, nowMs) - Endpoints.busyCount(b.row, nowMs))[0]
}

/**
 * Calculates the mean interval at which a gateway's calls get slots while every slot is in use.
 *
 * @param service - The service.
 * @param endpointCount - Number of endpoints that may take the call.
 * @param gatewayCount - Number of gateways that share them.
 * @returns The mean interval, in milliseconds.
 */
export function slotIntervalMs (service: Deployment.Service, endpointCount: number, gatewayCount: number): number {
  const endpointIntervalMs = service.engine === undefined ? PLAIN_SLOT_INTERVAL_MS : EngineModel.turnoverMs(service.engine)
  return endpointIntervalMs * Math.max(1, gatewayCount) / Math.max(1, endpointCount)
}

/**
 * Records that a call was sent to an endpoint.
 *
 * @param row - The endpoint.
 * @param promptTokens - Number of tokens of the call's prompt.
 * @param nowMs - The current time, in milliseconds.
 */
export function recordSent (row: Endpoints.EndpointRow, promptTokens: number, nowMs: number): void {
  if (row.ownCallCount === 0) row.heardAtMs = Math.max(row.heardAtMs, nowMs)
  row.ownCallCount++
  row.unreadTokens += promptTokens
  if (row.coldUntilMs > nowMs) {
    row.coldSentAtMs.push(nowMs)
    Turns.useTurn(row.coldTurns)
  }
  if (row.limit?.callsPerSecond !== undefined) Turns.useTurn(row.limitTurns)
}

/**
 * Returns the number of gateways that share a limit.
 *
 * @param context - The state of the gateway.
 * @returns The count; Infinity while the other gateways are not known, so that this gateway's share is zero.
 */
export function sharingGatewayCount (context: RoutingContext): number {
  return context.sharers === undefined ? Infinity : Math.max(1, context.gatewayCount)
}

type ExclusionCheck = (row: Endpoints.EndpointRow, requirements: CallRequirements, context: RoutingContext, nowMs: number) => boolean

/** Checks that exclude an endpoint of the service, with the cheapest checks first. */
const EXCLUSION_CHECKS: ReadonlyArray<readonly [string, ExclusionCheck]> = Object.entries<ExclusionCheck>({
  unlisted: (row, _requirements, _context, nowMs) => (row.keptUntilMs ?? Infinity) <= nowMs,
  ended: (row, _requirements, _context, nowMs) => row.endedUntilMs > nowMs,
  draining: row => row.listing.draining,
  leaving: (row, _requirements, context, nowMs) => context.notices.holdOf(row.listing, nowMs) === 'leaving',
  leftOut: (row, _requirements, _context, nowMs) => row.avoidUntilMs > nowMs,
  silent: (row, _requirements, _context, nowMs) => row.ownCallCount > 0 && nowMs - row.heardAtMs > SILENCE_TIMEOUT_MS,
  tried: (row, requirements) => requirements.triedIds.has(row.listing.endpointId),
  zoneDrained: (row, _requirements, context) => context.drainedZones.has(row.listing.zone),
  region: (row, requirements) => requirements.regions.some(regions => regions.length > 0 && !regions.includes(row.listing.region)),
  loading: (row, requirements) => requirements.service.engine !== undefined && row.load?.loading === true,
  unproven: (row, requirements, context) => requirements.service.engine !== undefined && !Endpoints.isProven(row, context.isManaged?.(row.listing) === true),
  weights: (row, requirements, context) => requirements.service.engine !== undefined && !holdsModel(row, requirements, context),
  cold: (row, requirements, context, nowMs) => !hasColdCapacity(row, requirements.service, context, nowMs),
  limited: (row, _requirements, context) => !hasTurn(row, context),
  quiet: (row, _requirements, context, nowMs) => context.notices.holdOf(row.listing, nowMs) !== undefined
})

function isUsable (row: Endpoints.EndpointRow, requirements: CallRequirements, context: RoutingContext, nowMs: number): boolean {
  if (row.listing.service !== requirements.service.name) return false
  return !EXCLUSION_CHECKS.some(([, excludes]) => excludes(row, requirements, context, nowMs))
}

/**
 * Counts the excluded endpoints of a call's service by reason, for the log.
 *
 * @param requirements - The requirements of the call.
 * @param context - The state of the gateway.
 * @param nowMs - The current time, in milliseconds.
 * @returns The number of endpoints by the first check that excludes them; empty if no endpoint is excluded.
 */
export function countExcluded (requirements: CallRequirements, context: RoutingContext, nowMs: number): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const row of context.endpoints.rows()) {
    if (row.listing.service !== requirements.service.name) continue
    const exclusion = EXCLUSION_CHECKS.find(([, excludes]) => excludes(row, requirements, context, nowMs))
    if (exclusion !== undefined) counts[exclusion[0]] = (counts[exclusion[0]] ?? 0) + 1
  }
  return counts
}

/**
 * Calculates the time until the first endpoint becomes available among those that only their rate limit or their request for no calls excludes.
 *
 * @param requirements - The requirements of the call.
 * @param context - The state of the gateway.
 * @param nowMs - The current time, in milliseconds.
 * @param horizonMs - How far to look ahead, in milliseconds.
 * @returns The shortest time, in milliseconds, Infinity if it lies beyond the horizon; undefined if no endpoint is excluded for only these reasons.
 */
export function opensInMs (requirements: CallRequirements, context: RoutingContext, nowMs: number, horizonMs: number): number | undefined {
  let soonestMs: number | undefined
  for (const row of context.endpoints.rows()) {
    const quietMs = context.notices.quietUntilMs(row.listing) - nowMs
    if ((row.limit?.callsPerSecond === undefined && quietMs <= 0) || row.listing.service !== requirements.service.name) continue
    const firstExclusion = EXCLUSION_CHECKS.find(([, excludes]) => excludes(row, requirements, context, nowMs))
    if (firstExclusion?.[0] === 'limited') soonestMs = Math.min(soonestMs ?? Infinity, Turns.nextTurnInMs(row.limitTurns, context.sharers, context.storeMs, horizonMs))
    if (firstExclusion?.[0] === 'quiet') soonestMs = Math.min(soonestMs ?? Infinity, quietMs > horizonMs ? Infinity : Math.max(0, quietMs))
  }
  return soonestMs
}

/**
 * Calculates the time until the first endpoint accepts calls again, if all endpoints that are not draining or leaving have asked for no calls for a while.
 *
 * @param requirements - The requirements of the call.
 * @param context - The state of the gateway.
 * @param nowMs - The current time, in milliseconds.
 * @returns The time, in milliseconds; 0 if any of these endpoints has not asked for that, or if there are none.
 */
export function quietEndsInMs (requirements: CallRequirements, context: RoutingContext, nowMs: number): number {
  let soonestMs = Infinity
  for (const { listing } of context.endpoints.rows()) {
    if (listing.service !== requirements.service.name || listing.draining || context.notices.holdOf(listing, nowMs) === 'leaving') continue
    soonestMs = Math.min(soonestMs, Math.max(0, context.notices.quietUntilMs(listing) - nowMs))
  }
  return Number.isFinite(soonestMs) ? soonestMs : 0
}

function hasTurn (row: Endpoints.EndpointRow, context: RoutingContext): boolean {
  const limitPerSecond = row.limit?.callsPerSecond
  return limitPerSecond === undefined || Turns.hasOpenTurn(row.limitTurns, limitPerSecond, context.sharers, context.storeMs)
}

function holdsModel (row: Endpoints.EndpointRow, requirements: CallRequirements, context: RoutingContext): boolean {
  return (row.weights ?? []).some(held =>
    (requirements.model === undefined || held.model === requirements.model) && held.version >= context.oldestVersionOf(held.model))
}

function hasColdCapacity (row: Endpoints.EndpointRow, service: Deployment.Service, context: RoutingContext, nowMs: number): boolean {
  if (row.coldUntilMs <= nowMs || service.coldCallsPerSecond <= 0) return true
  const shareCount = Math.floor(service.coldCallsPerSecond / sharingGatewayCount(context))
  if (shareCount < 1) return Turns.hasOpenTurn(row.coldTurns, service.coldCallsPerSecond, context.sharers, context.storeMs)
  const sinceMs = nowMs - COLD_WINDOW_MS
  while (row.coldSentAtMs.length > 0 && (row.coldSentAtMs[0] ?? 0) <= sinceMs) row.coldSentAtMs.shift()
  return row.coldSentAtMs.length < shareCount
}

/**
 * Calculates how many more calls this gateway may send to an endpoint before calls queue there.
 *
 * @param row - The endpoint.
 * @param context - The state of the gateway.
 * @param nowMs - The current time, in milliseconds.
 * @returns The gateway's share of the free slots; zero or less if it has none.
 */
export function availableSlotCount (row: Endpoints.EndpointRow, context: RoutingContext, nowMs: number): number {
  const { slotCount, zone } = row.listing
  if (row.load === undefined || nowMs - row.loadAtMs > Endpoints.LOAD_MAX_AGE_MS) return Math.ceil(slotCount / context.gatewayCount) - row.ownCallCount
  const freeCount = Math.max(0, slotCount - row.load.activeCount - row.load.queuedCount)
  // At an endpoint with a rate limit, the turns already divide the calls among the gateways.
  if (row.limit?.callsPerSecond !== undefined) return freeCount - (row.ownCallCount - row.ownAtLoadCount)
  const demandShare = row.listing.weights !== undefined && SlotShares.areByDemand(context.gatewayCount, slotCount) ? context.slotShares?.get(zone) : undefined
  if (demandShare !== undefined) return Math.floor(freeCount * demandShare + row.loadDraw) - (row.ownCallCount - row.ownAtLoadCount)
  const otherZoneGatewayCount = context.gatewayCount - context.zoneGatewayCount
  const sameZoneShare = otherZoneGatewayCount === 0 ? 1 : SAME_ZONE_SHARE
  const share = zone === context.zone ? sameZoneShare / context.zoneGatewayCount : (1 - SAME_ZONE_SHARE) / Math.max(1, otherZoneGatewayCount)
  return Math.floor(freeCount * share + row.loadDraw) - (row.ownCallCount - row.ownAtLoadCount)
}

function evaluate (row: Endpoints.EndpointRow, requirements: CallRequirements, context: RoutingContext, nowMs: number): Candidate {
  const { listing } = row
  const isLoadStale = row.load !== undefined && nowMs - row.loadAtMs > Endpoints.LOAD_MAX_AGE_MS
  const distanceMs = listing.zone === context.zone ? 0 : listing.region === context.region ? OTHER_ZONE_PENALTY_MS : OTHER_REGION_PENALTY_MS
  const penaltyMs = distanceMs + (isLoadStale ? STALE_LOAD_PENALTY_MS : 0)
  const busyCount = Endpoints.busyCount(row, nowMs)
  const freeSlotCount = availableSlotCount(row, context, nowMs)
  const waitingCount = Math.max(0, 1 - freeSlotCount)
  const { engine, name: service } = requirements.service
  if (engine === undefined) return { row, predictedMs: PLAIN_CALL_MS * (busyCount + 1) * (1 + waitingCount), hasFreeSlot: waitingCount === 0, freeSlotCount, penaltyMs }
  const othersTokens = engine.usualPromptTokens * Math.min(1, busyCount / engine.slotCount)
  const { rank } = requirements
  if (rank !== undefined && context.rankShares !== undefined) {
    const aheadShare = context.rankShares.aheadShare(service, rank)
    const aheadCount = Math.max(0, busyCount - engine.slotCount) * aheadShare
    const slotWaitCount = waitingCount === 0 ? 0 : (1 + aheadCount) / (1 - context.rankShares.overtakingShare(service, rank, nowMs))
    const tokensAheadCount = othersTokens + Math.max(row.unreadTokens * aheadShare, aheadCount * engine.usualPromptTokens)
    const predictedMs = EngineModel.firstTokenMs(engine, { busyCount, waitingCount: slotWaitCount, tokensAheadCount, pace: row.load?.pace ?? 1 }, requirements.promptTokens)
    return { row, predictedMs, hasFreeSlot: waitingCount === 0, freeSlotCount, penaltyMs }
  }
  const tokensAheadCount = othersTokens + Math.max(row.unreadTokens, (row.load?.queuedCount ?? 0) * engine.usualPromptTokens)
  const predictedMs = EngineModel.firstTokenMs(engine, { busyCount, waitingCount, tokensAheadCount, pace: row.load?.pace ?? 1 }, requirements.promptTokens)
  return { row, predictedMs, hasFreeSlot: waitingCount === 0, freeSlotCount, penaltyMs }
}
