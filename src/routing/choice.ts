/**
 * Which endpoint a call goes to.
 *
 * Answers uneven load over zones: the nearest endpoint that begins the answer in time goes first,
 * others take what it cannot begin in time. Several gateways choose at once from reports of the
 * same age, so endpoints that are nearly as good are drawn from at random, and of the places that
 * a report shows as free each gateway takes its share only: otherwise all of them fill the same
 * place, and calls queue at an endpoint that looked free.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Deployment from './deployment.ts'
import * as Endpoints from './endpoints.ts'
import * as EngineModel from './engineModel.ts'
import type * as Notices from './notices.ts'
import * as Turns from './turns.ts'

/** What of a call decides where it may go. */
export interface CallRequirements {
  readonly service: Deployment.Service
  /** The model that the call asks for, where it names one. */
  readonly model: string | undefined
  readonly promptTokens: number
  /** Regions in which the call may be served; empty for any. */
  readonly regions: ReadonlyArray<readonly string[]>
  /** Endpoints that had the call already. */
  readonly triedIds: ReadonlySet<string>
}

/** What a gateway knows when it chooses. */
export interface RoutingContext {
  readonly endpoints: Endpoints.Endpoints
  /** What endpoints said of themselves to this gateway. */
  readonly notices: Pick<Notices.Notices, 'holdOf' | 'quietUntilMs'>
  readonly zone: string
  readonly region: string
  /** Zones taken out of service. */
  readonly drainedZones: ReadonlySet<string>
  /** The oldest version of a model on which a call may begin. */
  readonly oldestVersionOf: (model: string) => number
  /** Gateways that share the endpoints. */
  readonly gatewayCount: number
  /** Gateways in the own zone, this one included. */
  readonly zoneGatewayCount: number
  /** The gateways as they share rates; undefined while the others are not known. */
  readonly sharers: Turns.Sharers | undefined
  /** The store's time, in milliseconds; not finite while it is not known. */
  readonly storeMs: number
}

/** An endpoint that may take a call. */
export interface Candidate {
  readonly row: Endpoints.EndpointRow
  /** Predicted time until the answer begins, in milliseconds. */
  readonly predictedMs: number
  /** Whether a place of the endpoint is free. */
  readonly hasFreeSlot: boolean
  /** How many places of the endpoint this gateway may still fill. */
  readonly freeSlotCount: number
  /** How far away the endpoint is, in milliseconds of prediction that a nearer one may be slower. */
  readonly penaltyMs: number
}

/** Candidates whose predictions differ by less are drawn from at random, in milliseconds: the error of a report 100 ms old. */
const TIE_TOLERANCE_MS = 20
/** A nearer endpoint is chosen over one in another region that is faster by less, in milliseconds: two delays between regions, and the cost of the bytes. */
const OTHER_REGION_PENALTY_MS = 40
/** The same for another zone of the region, in milliseconds. */
const OTHER_ZONE_PENALTY_MS = 15
/** Share of an endpoint's free places that gateways of its own zone divide; the others divide the rest. */
const SAME_ZONE_SHARE = 0.75
/** An endpoint with calls of this gateway from which nothing came for so long is left out, in milliseconds: longer than any pass over a full batch. */
const SILENCE_TIMEOUT_MS = 450
/** An endpoint whose agent fell silent is chosen last, in milliseconds of prediction: its instance may be frozen or cut off. */
const STALE_LOAD_PENALTY_MS = 200
/** Window of the bound on calls to cold endpoints, in milliseconds: the bound is given for a second. */
const COLD_WINDOW_MS = 1_000
/** A plain service's call is predicted to take so long where the endpoint has a place, in milliseconds. */
const PLAIN_CALL_MS = 1
/** A full endpoint of a plain service ends a call about so often, in milliseconds. */
const PLAIN_SLOT_INTERVAL_MS = 10

/**
 * Lists the endpoints that may take a call.
 *
 * @param requirements - The call.
 * @param context - What the gateway knows.
 * @param nowMs - The time.
 * @returns The candidates, in the order of the table.
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
 * Chooses among candidates.
 *
 * @param candidates - The candidates.
 * @param random - Breaks near ties.
 * @returns The choice; undefined where there is none.
 */
export function choose (candidates: readonly Candidate[], random: Core.Random.Random): Candidate | undefined {
  let bestMs = Infinity
  for (const candidate of candidates) bestMs = Math.min(bestMs, candidate.predictedMs + candidate.penaltyMs)
  const similar = candidates.filter(candidate => candidate.predictedMs + candidate.penaltyMs <= bestMs + TIE_TOLERANCE_MS)
  return similar[random.below(similar.length)]
}

/**
 * Chooses the candidate with the fewest calls, which a call that may crash it would cut.
 *
 * @param candidates - The candidates.
 * @param nowMs - The time.
 * @returns The choice; undefined where there is none.
 */
export function leastBusy (candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
  return [...candidates].sort((a, b) => Endpoints.busyCount(a.row, nowMs) - Endpoints.busyCount(b.row, nowMs))[0]
}

/**
 * Works out how often one of a gateway's calls gets a place, when every place is taken.
 *
 * @param service - The service.
 * @param endpointCount - Its endpoints that may take the call.
 * @param gatewayCount - Gateways that share them.
 * @returns The mean time in milliseconds.
 */
export function slotIntervalMs (service: Deployment.Service, endpointCount: number, gatewayCount: number): number {
  const endpointIntervalMs = service.engine === undefined ? PLAIN_SLOT_INTERVAL_MS : EngineModel.turnoverMs(service.engine)
  return endpointIntervalMs * Math.max(1, gatewayCount) / Math.max(1, endpointCount)
}

/**
 * Notes that a call was sent.
 *
 * @param row - The endpoint.
 * @param promptTokens - Tokens of the call's prompt.
 * @param nowMs - The time.
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
 * Counts the gateways that share a bound.
 *
 * @param context - What the gateway knows.
 * @returns The count; Infinity while the others are not known, when no share of a bound is this gateway's.
 */
export function sharingGatewayCount (context: RoutingContext): number {
  return context.sharers === undefined ? Infinity : Math.max(1, context.gatewayCount)
}

type ExclusionCheck = (row: Endpoints.EndpointRow, requirements: CallRequirements, context: RoutingContext, nowMs: number) => boolean

/** What rules an endpoint of the service out, the cheapest to find first. */
const EXCLUSION_CHECKS: ReadonlyArray<readonly [string, ExclusionCheck]> = Object.entries<ExclusionCheck>({
  unlisted: (row, _requirements, _context, nowMs) => (row.keptUntilMs ?? Infinity) <= nowMs,
  draining: row => row.listing.draining,
  leaving: (row, _requirements, context, nowMs) => context.notices.holdOf(row.listing, nowMs) === 'leaving',
  leftOut: (row, _requirements, _context, nowMs) => row.avoidUntilMs > nowMs,
  silent: (row, _requirements, _context, nowMs) => row.ownCallCount > 0 && nowMs - row.heardAtMs > SILENCE_TIMEOUT_MS,
  tried: (row, requirements) => requirements.triedIds.has(row.listing.endpointId),
  zoneDrained: (row, _requirements, context) => context.drainedZones.has(row.listing.zone),
  region: (row, requirements) => requirements.regions.some(regions => regions.length > 0 && !regions.includes(row.listing.region)),
  loading: (row, requirements) => requirements.service.engine !== undefined && row.load?.loading === true,
  weights: (row, requirements, context) => requirements.service.engine !== undefined && !holdsModel(row, requirements, context),
  cold: (row, requirements, context, nowMs) => !hasColdCapacity(row, requirements.service, context, nowMs),
  limited: (row, _requirements, context) => !hasTurn(row, context),
  quiet: (row, _requirements, context, nowMs) => context.notices.holdOf(row.listing, nowMs) !== undefined
})

function isUsable (row: Endpoints.EndpointRow, requirements: CallRequirements, context: RoutingContext, nowMs: number): boolean {
  if (row.listing.service !== requirements.service.name) return false
  return !EXCLUSION_CHECKS.some(([, blocks]) => blocks(row, requirements, context, nowMs))
}

/**
 * Counts what rules the endpoints of a call's service out, for the log.
 *
 * @param requirements - The call.
 * @param context - What the gateway knows.
 * @param nowMs - The time.
 * @returns Endpoints by the first thing that rules them out; empty when the service has none.
 */
export function countExcluded (requirements: CallRequirements, context: RoutingContext, nowMs: number): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const row of context.endpoints.rows()) {
    if (row.listing.service !== requirements.service.name) continue
    const exclusion = EXCLUSION_CHECKS.find(([, blocks]) => blocks(row, requirements, context, nowMs))
    if (exclusion !== undefined) counts[exclusion[0]] = (counts[exclusion[0]] ?? 0) + 1
  }
  return counts
}

/**
 * Works out when an endpoint opens to the gateway that its limit or its wish for no calls alone rules out now.
 *
 * @param requirements - The call.
 * @param context - What the gateway knows.
 * @param nowMs - The time.
 * @param horizonMs - How far to look, in milliseconds.
 * @returns The shortest time, in milliseconds, Infinity beyond the horizon; undefined where no endpoint is ruled out so.
 */
export function opensInMs (requirements: CallRequirements, context: RoutingContext, nowMs: number, horizonMs: number): number | undefined {
  let soonestMs: number | undefined
  for (const row of context.endpoints.rows()) {
    const quietMs = context.notices.quietUntilMs(row.listing) - nowMs
    if ((row.limit?.callsPerSecond === undefined && quietMs <= 0) || row.listing.service !== requirements.service.name) continue
    const firstExclusion = EXCLUSION_CHECKS.find(([, blocks]) => blocks(row, requirements, context, nowMs))
    if (firstExclusion?.[0] === 'limited') soonestMs = Math.min(soonestMs ?? Infinity, Turns.nextTurnInMs(row.limitTurns, context.sharers, context.storeMs, horizonMs))
    if (firstExclusion?.[0] === 'quiet') soonestMs = Math.min(soonestMs ?? Infinity, quietMs > horizonMs ? Infinity : Math.max(0, quietMs))
  }
  return soonestMs
}

/**
 * Works out when the first endpoint takes calls again, where all that stay want none for now.
 *
 * @param requirements - The call.
 * @param context - What the gateway knows.
 * @param nowMs - The time.
 * @returns The time in milliseconds; 0 where one of them did not say so.
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
 * Works out how many more calls this gateway may send to an endpoint before calls queue there.
 *
 * @param row - The endpoint.
 * @param context - What the gateway knows.
 * @param nowMs - The time.
 * @returns The gateway's share of the free places; zero or less when there is none.
 */
export function availableSlotCount (row: Endpoints.EndpointRow, context: RoutingContext, nowMs: number): number {
  const { slotCount, zone } = row.listing
  if (row.load === undefined || nowMs - row.loadAtMs > Endpoints.LOAD_MAX_AGE_MS) return Math.ceil(slotCount / context.gatewayCount) - row.ownCallCount
  const freeCount = Math.max(0, slotCount - row.load.activeCount - row.load.queuedCount)
  // A turn at an endpoint that named a limit is this gateway's share of it already.
  if (row.limit?.callsPerSecond !== undefined) return freeCount - (row.ownCallCount - row.ownAtLoadCount)
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
  const { engine } = requirements.service
  if (engine === undefined) return { row, predictedMs: PLAIN_CALL_MS * (busyCount + 1) * (1 + waitingCount), hasFreeSlot: waitingCount === 0, freeSlotCount, penaltyMs }
  const othersTokens = engine.usualPromptTokens * Math.min(1, busyCount / engine.slotCount)
  const tokensAheadCount = othersTokens + Math.max(row.unreadTokens, (row.load?.queuedCount ?? 0) * engine.usualPromptTokens)
  const predictedMs = EngineModel.firstTokenMs(engine, { busyCount, waitingCount, tokensAheadCount, pace: row.load?.pace ?? 1 }, requirements.promptTokens)
  return { row, predictedMs, hasFreeSlot: waitingCount === 0, freeSlotCount, penaltyMs }
}
