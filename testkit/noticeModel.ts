/**
 * Plays endpoints that leave or want no calls in virtual time: many gateways, entries that are late, lost or revert, restarts on both sides, frozen gateways.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Direct from './direct.ts'
import * as Notices from './notices.ts'

/** What a play showed. */
export interface Played extends Notices.Verdict {
  readonly callCount: number
  /** Calls that no endpoint was found for although a well one was listed. */
  readonly refusedCount: number
  readonly toldCount: number
}

interface Endpoint { readonly id: string, readonly isWell: boolean, bornAtMs: number, leavingAtMs: number, quietUntilMs: number, readonly arrivals: Arrival[], readonly told: Told[] }
interface Arrival { readonly gateway: string, readonly bornAtMs: number, readonly atMs: number }
interface Told { readonly gateway: string, readonly bornAtMs: number, readonly atMs: number, readonly isLeaving: boolean, readonly returnAfterMs: number }
interface Gateway { readonly name: string, known: Routing.Choice.RoutingContext, notices: Routing.Notices.Notices, frozenUntilMs: number }
interface Event { readonly atMs: number, readonly gateway: Gateway, readonly run: (nowMs: number) => void }

const STEP_MS = 10
const PLAYED_MS = 20_000
const CALLS_PER_STEP = 0.65
const ENDPOINT_COUNT = 8
const WELL_COUNT = 4
/** Mean times between faults, in steps. */
const FAULT_STEPS = 400
const RESTART_STEPS = 1_500
const ENTRY_STEPS = 500

/**
 * Plays one seed.
 *
 * @param seed - Draws faults, delays and calls.
 * @param gatewayCount - The gateways.
 * @returns What it showed.
 */
export function play (seed: number, gatewayCount: number): Played {
  const random = Core.Random.createRandom(seed)
  const between = (least: number, most: number): number => least + random.next() * (most - least)
  const happens = (meanSteps: number): boolean => random.next() < 1 / meanSteps
  const endpoints: Endpoint[] = Array.from({ length: ENDPOINT_COUNT }, (_, at) => ({ id: `e${at}`, isWell: at < WELL_COUNT, bornAtMs: 1, leavingAtMs: Infinity, quietUntilMs: -Infinity, arrivals: [], told: [] }))
  const listingOf = ({ id, bornAtMs }: Endpoint): Routing.Endpoints.Listing => Direct.listingOf(id, { service: Direct.PLAIN_SERVICE.name, bornAtMs, slotCount: 1_000 })
  const placing: Routing.Choice.CallRequirements = { service: Direct.PLAIN_SERVICE, model: undefined, promptTokens: 0, regions: [], triedIds: new Set() }
  const startGateway = (name: string): Gateway => {
    const notices = Routing.Notices.createNotices()
    return { name, notices, known: Direct.surroundingsOf(endpoints.map(listingOf), { notices }), frozenUntilMs: -Infinity }
  }
  const gateways = Array.from({ length: gatewayCount }, (_, at) => startGateway(`g${at}`))
  /** A gateway that starts again has another name: what its first start was told binds it no more. */
  let startCount = gatewayCount
  let events: Event[] = []
  let [callCount, refusedCount] = [0, 0]
  const later = (gateway: Gateway, atMs: number, run: Event['run']): void => { events.push({ gateway, atMs, run }) }

  const arrive = (gateway: Gateway, endpoint: Endpoint, sentAtMs: number, listing: Routing.Endpoints.Listing, row: Routing.Endpoints.EndpointRow, nowMs: number): void => {
    const { bornAtMs } = endpoint
    const isLeaving = endpoint.leavingAtMs <= nowMs
    const isRefused = endpoint.quietUntilMs > nowMs
    endpoint.arrivals.push({ gateway: gateway.name, bornAtMs, atMs: nowMs })
    const answersAtMs = nowMs + (isRefused ? between(1, 5) : between(20, 400))
    later(gateway, answersAtMs, heardAtMs => {
      Routing.Endpoints.recordSuccess(row, heardAtMs)
      row.ownCallCount = Math.max(0, row.ownCallCount - 1)
      // Another start answers as misdirected, which says nothing.
      if (bornAtMs !== listing.bornAtMs) return
      const quietForMs = isRefused ? Math.max(0, random.next() < 0.2 ? 50 : endpoint.quietUntilMs - answersAtMs) : 0
      if (isLeaving || quietForMs > 0) endpoint.told.push({ gateway: gateway.name, bornAtMs, atMs: heardAtMs, isLeaving, returnAfterMs: quietForMs })
      gateway.notices.take(listing, { isLeaving, quietForMs, askedAtMs: sentAtMs, isRefused }, heardAtMs)
    })
  }
  const call = (gateway: Gateway, nowMs: number): void => {
    callCount++
    const chosen = Routing.Choice.choose(Routing.Choice.findCandidates(placing, gateway.known, nowMs), random)
    const endpoint = endpoints.find(({ id }) => id === chosen?.row.listing.endpointId)
    if (chosen === undefined || endpoint === undefined) {
      if (endpoints.some(({ id, isWell }) => isWell && gateway.known.endpoints.get(id) !== undefined)) refusedCount++
      return
    }
    const { row, row: { listing } } = chosen
    Routing.Choice.recordSent(row, 0, nowMs)
    gateway.notices.recordSent(listing, nowMs)
    const arrivesAtMs = nowMs + between(1, 5)
    events.push({ gateway: { ...gateway, frozenUntilMs: -Infinity }, atMs: arrivesAtMs, run: () => { arrive(gateway, endpoint, nowMs, listing, row, arrivesAtMs) } })
  }
  const disturb = (nowMs: number): void => {
    for (const endpoint of endpoints.filter(({ isWell }) => !isWell)) {
      if (happens(FAULT_STEPS) && endpoint.leavingAtMs === Infinity) endpoint.leavingAtMs = nowMs
      if (happens(FAULT_STEPS)) endpoint.quietUntilMs = nowMs + between(300, 6_000)
      if (!happens(RESTART_STEPS)) continue
      Object.assign(endpoint, { bornAtMs: endpoint.bornAtMs + 1, leavingAtMs: Infinity, quietUntilMs: -Infinity })
      for (const gateway of gateways) later(gateway, nowMs + between(100, 1_500), atMs => { Routing.Endpoints.applyListing(gateway.known.endpoints, listingOf(endpoint), atMs) })
    }
    for (const [at, gateway] of gateways.entries()) {
      const endpoint = endpoints[random.below(ENDPOINT_COUNT)] as Endpoint
      // An entry lapses and comes back, or an older one is told again.
      if (happens(ENTRY_STEPS)) {
        Routing.Endpoints.handleUnlisted(gateway.known.endpoints, endpoint.id, -Infinity, nowMs)
        later(gateway, nowMs + between(50, 1_000), atMs => { Routing.Endpoints.applyListing(gateway.known.endpoints, listingOf(endpoint), atMs) })
      }
      if (happens(RESTART_STEPS)) gateway.frozenUntilMs = nowMs + between(500, 4_000)
      if (happens(RESTART_STEPS)) gateways[at] = startGateway(`g${startCount++}`)
    }
  }

  for (let nowMs = 0; nowMs < PLAYED_MS; nowMs += STEP_MS) {
    const due = events.filter(({ atMs, gateway }) => atMs <= nowMs && gateway.frozenUntilMs <= nowMs)
    events = events.filter(event => !due.includes(event))
    for (const { run } of due.sort((a, b) => a.atMs - b.atMs)) run(nowMs)
    disturb(nowMs)
    if (random.next() >= CALLS_PER_STEP) continue
    const gateway = gateways[random.below(gateways.length)] as Gateway
    if (gateway.frozenUntilMs <= nowMs) call(gateway, nowMs)
  }
  return { ...Notices.judgeStarts(endpoints), callCount, refusedCount, toldCount: endpoints.reduce((sum, { told }) => sum + told.length, 0) }
}
