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
export interface Placing {
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
export interface Surroundings {
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
  readonly firstMs: number
  /** Whether a place of the endpoint is free. */
  readonly hasPlace: boolean
  /** How many places of the endpoint this gateway may still fill. */
  readonly freeCount: number
  /** How far away the endpoint is, in milliseconds of prediction that a nearer one may be slower. */
  readonly distanceMs: number
}

/** Candidates whose predictions differ by less are drawn from at random, in milliseconds: the error of a report 100 ms old. */
const SIMILAR_MS = 20
/** A nearer endpoint is chosen over one in another region that is faster by less, in milliseconds: two delays between regions, and the cost of the bytes. */
const OTHER_REGION_MS = 40
/** The same for another zone of the region, in milliseconds. */
const OTHER_ZONE_MS = 15
/** Share of an endpoint's free places that gateways of its own zone divide; the others divide the rest. */
const NEAR_SHARE = 0.75
/** An endpoint with calls of this gateway from which nothing came for so long is left out, in milliseconds: longer than any pass over a full batch. */
const QUIET_MS = 450
/** An endpoint whose agent fell silent is chosen last, in milliseconds of prediction: its instance may be frozen or cut off. */
const UNREPORTED_MS = 200
/** Window of the bound on calls to cold endpoints, in milliseconds: the bound is given for a second. */
const COLD_WINDOW_MS = 1_000
/** A plain service's call is predicted to take so long where the endpoint has a place, in milliseconds. */
const PLAIN_MS = 1
/** A full endpoint of a plain service ends a call about so often, in milliseconds. */
const PLAIN_TURN_MS = 10

/**
 * Lists the endpoints that may take a call.
 *
 * @param placing - The call.
 * @param known - What the gateway knows.
 * @param nowMs - The time.
 * @returns The candidates, in the order of the table.
 */
export function candidates (placing: Placing, known: Surroundings, nowMs: number): Candidate[] {
  const found: Candidate[] = []
  for (const row of known.endpoints.rows()) {
    if (!isUsable(row, placing, known, nowMs)) continue
    found.push(weigh(row, placing, known, nowMs))
  }
  return found
}

/**
 * Chooses among candidates.
 *
 * @param found - The candidates.
 * @param random - Breaks near ties.
 * @returns The choice; undefined where there is none.
 */
export function choose (found: readonly Candidate[], random: Core.Random.Random): Candidate | undefined {
  let bestMs = Infinity
  for (const candidate of found) bestMs = Math.min(bestMs, candidate.firstMs + candidate.distanceMs)
  const similar = found.filter(candidate => candidate.firstMs + candidate.distanceMs <= bestMs + SIMILAR_MS)
  return similar[random.below(similar.length)]
}

/**
 * Chooses the candidate with the fewest calls, which a call that may crash it would cut.
 *
 * @param found - The candidates.
 * @param nowMs - The time.
 * @returns The choice; undefined where there is none.
 */
export function leastBusy (found: readonly Candidate[], nowMs: number): Candidate | undefined {
  return [...found].sort((a, b) => Endpoints.busyCount(a.row, nowMs) - Endpoints.busyCount(b.row, nowMs))[0]
}

/**
 * Works out how often one of a gateway's calls gets a place, when every place is taken.
 *
 * @param service - The service.
 * @param endpointCount - Its endpoints that may take the call.
 * @param gatewayCount - Gateways that share them.
 * @returns The mean time in milliseconds.
 */
export function turnMs (service: Deployment.Service, endpointCount: number, gatewayCount: number): number {
  const eachMs = service.engine === undefined ? PLAIN_TURN_MS : EngineModel.turnoverMs(service.engine)
  return eachMs * Math.max(1, gatewayCount) / Math.max(1, endpointCount)
}

/**
 * Notes that a call was sent.
 *
 * @param row - The endpoint.
 * @param promptTokens - Tokens of the call's prompt.
 * @param nowMs - The time.
 */
export function noteSent (row: Endpoints.EndpointRow, promptTokens: number, nowMs: number): void {
  if (row.ownCount === 0) row.heardAtMs = Math.max(row.heardAtMs, nowMs)
  row.ownCount++
  row.unreadTokens += promptTokens
  if (row.coldUntilMs > nowMs) {
    row.coldSentAtMs.push(nowMs)
    Turns.take(row.coldTurns)
  }
  if (row.limit?.callsPerSecond !== undefined) Turns.take(row.turns)
}

/**
 * Counts the gateways that share a bound.
 *
 * @param known - What the gateway knows.
 * @returns The count; Infinity while the others are not known, when no share of a bound is this gateway's.
 */
export function sharingCount (known: Surroundings): number {
  return known.sharers === undefined ? Infinity : Math.max(1, known.gatewayCount)
}

type Hurdle = (row: Endpoints.EndpointRow, placing: Placing, known: Surroundings, nowMs: number) => boolean

/** What rules an endpoint of the service out, the cheapest to find first. */
const HURDLES: ReadonlyArray<readonly [string, Hurdle]> = Object.entries<Hurdle>({
  unlisted: (row, _placing, _known, nowMs) => (row.keptUntilMs ?? Infinity) <= nowMs,
  draining: row => row.listing.draining,
  leaving: (row, _placing, known, nowMs) => known.notices.holdOf(row.listing, nowMs) === 'leaving',
  leftOut: (row, _placing, _known, nowMs) => row.avoidUntilMs > nowMs,
  silent: (row, _placing, _known, nowMs) => row.ownCount > 0 && nowMs - row.heardAtMs > QUIET_MS,
  tried: (row, placing) => placing.triedIds.has(row.listing.endpointId),
  zoneDrained: (row, _placing, known) => known.drainedZones.has(row.listing.zone),
  region: (row, placing) => placing.regions.some(regions => regions.length > 0 && !regions.includes(row.listing.region)),
  loading: (row, placing) => placing.service.engine !== undefined && row.load?.loading === true,
  weights: (row, placing, known) => placing.service.engine !== undefined && !holdsModel(row, placing, known),
  cold: (row, placing, known, nowMs) => !bearsCold(row, placing.service, known, nowMs),
  limited: (row, _placing, known) => !hasTurn(row, known),
  quiet: (row, _placing, known, nowMs) => known.notices.holdOf(row.listing, nowMs) !== undefined
})

function isUsable (row: Endpoints.EndpointRow, placing: Placing, known: Surroundings, nowMs: number): boolean {
  if (row.listing.service !== placing.service.name) return false
  return !HURDLES.some(([, blocks]) => blocks(row, placing, known, nowMs))
}

/**
 * Counts what rules the endpoints of a call's service out, for the log.
 *
 * @param placing - The call.
 * @param known - What the gateway knows.
 * @param nowMs - The time.
 * @returns Endpoints by the first thing that rules them out; empty when the service has none.
 */
export function countRuledOut (placing: Placing, known: Surroundings, nowMs: number): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const row of known.endpoints.rows()) {
    if (row.listing.service !== placing.service.name) continue
    const hurdle = HURDLES.find(([, blocks]) => blocks(row, placing, known, nowMs))
    if (hurdle !== undefined) counts[hurdle[0]] = (counts[hurdle[0]] ?? 0) + 1
  }
  return counts
}

/**
 * Works out when an endpoint opens to the gateway that its limit or its wish for no calls alone rules out now.
 *
 * @param placing - The call.
 * @param known - What the gateway knows.
 * @param nowMs - The time.
 * @param horizonMs - How far to look, in milliseconds.
 * @returns The shortest time, in milliseconds, Infinity beyond the horizon; undefined where no endpoint is ruled out so.
 */
export function opensInMs (placing: Placing, known: Surroundings, nowMs: number, horizonMs: number): number | undefined {
  let soonestMs: number | undefined
  for (const row of known.endpoints.rows()) {
    const quietMs = known.notices.quietUntilMs(row.listing) - nowMs
    if ((row.limit?.callsPerSecond === undefined && quietMs <= 0) || row.listing.service !== placing.service.name) continue
    const blocking = HURDLES.find(([, blocks]) => blocks(row, placing, known, nowMs))
    if (blocking?.[0] === 'limited') soonestMs = Math.min(soonestMs ?? Infinity, Turns.opensInMs(row.turns, known.sharers, known.storeMs, horizonMs))
    if (blocking?.[0] === 'quiet') soonestMs = Math.min(soonestMs ?? Infinity, quietMs > horizonMs ? Infinity : Math.max(0, quietMs))
  }
  return soonestMs
}

/**
 * Works out when the first endpoint takes calls again, where all that stay want none for now.
 *
 * @param placing - The call.
 * @param known - What the gateway knows.
 * @param nowMs - The time.
 * @returns The time in milliseconds; 0 where one of them did not say so.
 */
export function quietEndsInMs (placing: Placing, known: Surroundings, nowMs: number): number {
  let soonestMs = Infinity
  for (const { listing } of known.endpoints.rows()) {
    if (listing.service !== placing.service.name || listing.draining || known.notices.holdOf(listing, nowMs) === 'leaving') continue
    soonestMs = Math.min(soonestMs, Math.max(0, known.notices.quietUntilMs(listing) - nowMs))
  }
  return Number.isFinite(soonestMs) ? soonestMs : 0
}

function hasTurn (row: Endpoints.EndpointRow, known: Surroundings): boolean {
  const limitPerSecond = row.limit?.callsPerSecond
  return limitPerSecond === undefined || Turns.isOpen(row.turns, limitPerSecond, known.sharers, known.storeMs)
}

function holdsModel (row: Endpoints.EndpointRow, placing: Placing, known: Surroundings): boolean {
  return (row.weights ?? []).some(held =>
    (placing.model === undefined || held.model === placing.model) && held.version >= known.oldestVersionOf(held.model))
}

function bearsCold (row: Endpoints.EndpointRow, service: Deployment.Service, known: Surroundings, nowMs: number): boolean {
  if (row.coldUntilMs <= nowMs || service.coldCallsPerSecond <= 0) return true
  const shareCount = Math.floor(service.coldCallsPerSecond / sharingCount(known))
  if (shareCount < 1) return Turns.isOpen(row.coldTurns, service.coldCallsPerSecond, known.sharers, known.storeMs)
  const sinceMs = nowMs - COLD_WINDOW_MS
  while (row.coldSentAtMs.length > 0 && (row.coldSentAtMs[0] ?? 0) <= sinceMs) row.coldSentAtMs.shift()
  return row.coldSentAtMs.length < shareCount
}

/**
 * Works out how many more calls this gateway may send to an endpoint before calls queue there.
 *
 * @param row - The endpoint.
 * @param known - What the gateway knows.
 * @param nowMs - The time.
 * @returns The gateway's share of the free places; zero or less when there is none.
 */
export function placeCount (row: Endpoints.EndpointRow, known: Surroundings, nowMs: number): number {
  const { slotCount, zone } = row.listing
  if (row.load === undefined || nowMs - row.loadAtMs > Endpoints.LOAD_MAX_AGE_MS) return Math.ceil(slotCount / known.gatewayCount) - row.ownCount
  const freeCount = Math.max(0, slotCount - row.load.activeCount - row.load.queuedCount)
  // A turn at an endpoint that named a limit is this gateway's share of it already.
  if (row.limit?.callsPerSecond !== undefined) return freeCount - (row.ownCount - row.ownAtLoadCount)
  const farCount = known.gatewayCount - known.zoneGatewayCount
  const nearShare = farCount === 0 ? 1 : NEAR_SHARE
  const share = zone === known.zone ? nearShare / known.zoneGatewayCount : (1 - NEAR_SHARE) / Math.max(1, farCount)
  return Math.floor(freeCount * share + row.loadDraw) - (row.ownCount - row.ownAtLoadCount)
}

function weigh (row: Endpoints.EndpointRow, placing: Placing, known: Surroundings, nowMs: number): Candidate {
  const { listing } = row
  const isUnreported = row.load !== undefined && nowMs - row.loadAtMs > Endpoints.LOAD_MAX_AGE_MS
  const placeMs = listing.zone === known.zone ? 0 : listing.region === known.region ? OTHER_ZONE_MS : OTHER_REGION_MS
  const distanceMs = placeMs + (isUnreported ? UNREPORTED_MS : 0)
  const busyCount = Endpoints.busyCount(row, nowMs)
  const freeCount = placeCount(row, known, nowMs)
  const waitingCount = Math.max(0, 1 - freeCount)
  const { engine } = placing.service
  if (engine === undefined) return { row, firstMs: PLAIN_MS * (busyCount + 1) * (1 + waitingCount), hasPlace: waitingCount === 0, freeCount, distanceMs }
  const othersTokens = engine.usualPromptTokens * Math.min(1, busyCount / engine.slotCount)
  const tokensAheadCount = othersTokens + Math.max(row.unreadTokens, (row.load?.queuedCount ?? 0) * engine.usualPromptTokens)
  const firstMs = EngineModel.firstTokenMs(engine, { busyCount, waitingCount, tokensAheadCount, pace: row.load?.pace ?? 1 }, placing.promptTokens)
  return { row, firstMs, hasPlace: waitingCount === 0, freeCount, distanceMs }
}
