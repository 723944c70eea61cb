/**
 * Replays a load pattern against the decisions of gateways, in virtual time: several gateways, batching engines,
 * reports that arrive late, callers that come back when told to.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as CallLimits from './callLimits.ts'
import * as Direct from './direct.ts'

/** A load pattern. */
export interface Load {
  readonly seed: number
  readonly durationMs: number
  /** Calls a second over all gateways at a time, in milliseconds. */
  readonly callsPerSecond: (atMs: number) => number
  /** Prompt tokens of a call, from a random number in [0, 1). */
  readonly promptTokens: (draw: number) => number
  /** Calls that first arrive before this time are not counted by rank, in milliseconds. */
  readonly countFromMs?: number
  /** Numbers of gateways and engines in each zone; two and three without them. */
  readonly gatewaysPerZoneCount?: number
  readonly enginesPerZoneCount?: number
  /** Share of the calls that arrive in each zone; even without it. */
  readonly zoneShares?: readonly number[]
  /** Share of each zone's calls that its first gateway gets; even without it. */
  readonly firstGatewayShare?: number
  /** Ranks of the calls, the most urgent first; without them, all calls have the same priority. */
  readonly ranks?: ReadonlyArray<{ readonly share: number, readonly goalMs: number }>
}

/** What is decided otherwise than in the product, to show what a decision is worth. */
export interface Changes {
  readonly decide?: typeof Routing.Admission.decide
  /** How many gateways each one believes to share the endpoints with. */
  readonly gatewayCount?: number
  readonly returnAfterMs?: typeof Routing.Refusals.returnAfterMs
  /** Whether late calls take the last place although calls in time are turned away. */
  readonly ignoresCrowding?: boolean
  readonly compare?: typeof Routing.Waiting.compare
  /** Calls a second that every engine names as the most it takes from all gateways together. */
  readonly limitPerSecond?: number
  /** Interval of the engines' reports, in milliseconds; all gateways get each one. Together with a `gatewayCount` of 1, this is close to one central queue. */
  readonly reportIntervalMs?: number
  /** Whether free slots are divided evenly and the best endpoint is chosen, as with few gateways. */
  readonly dividesEvenly?: boolean
  /** Whether the gateways and engines know of no ranks, although the calls have them. */
  readonly ignoresRanks?: boolean
}

/** Shares of the calls. */
export interface Outcome {
  readonly callCount: number
  /** Answers that began within the goal. */
  readonly inGoal: number
  readonly late: number
  /** Calls that were given up by the gateways. */
  readonly refused: number
  /** Calls whose deadline passed. */
  readonly lost: number
  /** Refusals for each call, repeats included. */
  readonly refusalsPerCall: number
  /** Of calls with prompts over twice the usual size, the answers that began within the goal. */
  readonly longInGoal: number
  /** Median time to the first token, and the time that 95 in 100 calls do not exceed, in milliseconds. */
  readonly p50Ms: number
  readonly p95Ms: number
  /** Coefficient of variation of the load over the engines, on average over time. */
  readonly loadVariation: number
  /** The most calls that one engine got within the window of the rule on limits. */
  readonly mostInWindow: number
  /** Of the calls of each rank, the answers that began within its goal, and those that began at all. */
  readonly byRank: ReadonlyArray<{ readonly inGoal: number, readonly served: number }>
}

interface Call extends Routing.Waiting.WaitingCall {
  readonly firstAtMs: number
  readonly goalMs: number
  /** Index of the call's kind among the ranks of the load. */
  readonly kind: number
  readonly promptTokens: number
  readonly answerTokens: number
  arrivedAtMs: number
  late: boolean
  unreadTokens: number
  writtenCount: number
  refusedCount: number
  firstMs: number | undefined
}
interface Engine { readonly id: string, readonly zone: string, readonly active: Call[], readonly queue: Call[], readonly arrivedAtMs: number[], busy: boolean }
interface Gateway { readonly zone: string, readonly sharers: Routing.Turns.Sharers, readonly endpoints: Routing.Endpoints.Endpoints, readonly notices: Routing.Notices.Notices, readonly waiting: Set<Call>, readonly random: Core.Random.Random, crowding: Routing.Crowding.Crowding, readonly rankShares: Routing.Ranks.RankShares, readonly demand: Routing.Demand.Demand, sharing: { readonly slotShares: Routing.SlotShares.SlotShares, readonly totalCallsPerSecond: number } | undefined }
interface Sent { readonly gateway: Gateway, readonly row: Routing.Endpoints.EndpointRow }

const ZONES = ['a', 'b', 'c']
const GATEWAYS_PER_ZONE_COUNT = 2
const ENGINES_PER_ZONE_COUNT = 3
/** Interval at which gateways report their demand. */
const DEMAND_MS = 1_000
/** Interval at which the load of the engines is sampled. */
const SAMPLE_MS = 20
const GOAL_MS = 400
const DEADLINE_MS = 6_000
const REPORT_MS = 100
/** Gateways of other zones hear of every third report. */
const FAR_EVERY_COUNT = 3
const HOP_MS = 5
const PUMP_MS = 25
/** Keeps the balancer's draws apart from those of arrivals. */
const BALANCER_SEED = 1_000
const SERVICE = Direct.ENGINE_SERVICE
const ENGINE = Direct.ENGINE

/**
 * Plays a load.
 *
 * @param load - The load.
 * @param changes - What is decided otherwise.
 * @returns What became of the calls.
 */
export function play (load: Load, changes: Changes = {}): Outcome {
  /** Draws the calls alone, so that other decisions meet the same load. */
  const arrivals = Core.Random.createRandom(load.seed)
  const balancer = Core.Random.createRandom(load.seed + BALANCER_SEED)
  const decide = changes.decide ?? Routing.Admission.decide
  const compare = changes.compare ?? Routing.Waiting.compare
  const returnAfterMs = changes.returnAfterMs ?? Routing.Refusals.returnAfterMs
  const { gatewaysPerZoneCount = GATEWAYS_PER_ZONE_COUNT, enginesPerZoneCount = ENGINES_PER_ZONE_COUNT, zoneShares = ZONES.map(() => 1 / ZONES.length), firstGatewayShare = 1 / gatewaysPerZoneCount } = load
  const gatewayTotal = ZONES.length * gatewaysPerZoneCount
  const events: Array<{ readonly atMs: number, readonly order: number, readonly run: () => void }> = []
  let nowMs = 0
  let order = 0
  const later = (delayMs: number, run: () => void): void => { push(events, { atMs: nowMs + delayMs, order: order++, run }) }
  const engines: Engine[] = ZONES.flatMap(zone => Array.from({ length: enginesPerZoneCount }, (_, index) => ({ id: `${zone}${index}`, zone, active: [], queue: [], arrivedAtMs: [], busy: false })))
  const listings = engines.map(engine => Direct.listingOf(engine.id, { zone: engine.zone, region: `r${engine.zone}` }))
  const names = ZONES.flatMap(zone => Array.from({ length: gatewaysPerZoneCount }, (_, index) => `${zone}${index}`))
  const gateways: Gateway[] = ZONES.flatMap(zone => Array.from({ length: gatewaysPerZoneCount }, (_, index) => ({ zone, sharers: Routing.Turns.createSharers(`${zone}${index}`, names.filter(name => name !== `${zone}${index}`)), endpoints: Direct.surroundingsOf(listings).endpoints, notices: Routing.Notices.createNotices(), waiting: new Set<Call>(), random: Core.Random.createRandom(load.seed + index + 1), crowding: Routing.Crowding.createCrowding(), rankShares: Routing.Ranks.createRankShares(), demand: Routing.Demand.createDemand(0), sharing: undefined })))
  const { limitPerSecond: callsPerSecond } = changes
  if (callsPerSecond !== undefined) for (const { endpoints } of gateways) for (const row of endpoints.rows()) Routing.Endpoints.recordLimit(row, { callsPerSecond, askedAtMs: 0, heardAtMs: 0 }, 0)
  const sent = new Map<Call, Sent>()
  const calls: Call[] = []
  let refusalCount = 0

  const surroundingsOf = (gateway: Gateway): Routing.Choice.RoutingContext => ({
    endpoints: gateway.endpoints,
    notices: gateway.notices,
    zone: gateway.zone,
    region: `r${gateway.zone}`,
    drainedZones: new Set(),
    oldestVersionOf: () => 1,
    gatewayCount: changes.gatewayCount ?? gatewayTotal,
    zoneGatewayCount: Math.min(gatewaysPerZoneCount, changes.gatewayCount ?? gatewayTotal),
    sharers: gateway.sharers,
    storeMs: nowMs,
    rankShares: gateway.rankShares,
    ...gateway.sharing
  })
  const place = (gateway: Gateway, call: Call): void => {
    const leftMs = call.firstAtMs + DEADLINE_MS - nowMs
    const ageMs = nowMs - call.firstAtMs
    call.late = ageMs > call.goalMs
    const placing: Routing.Choice.CallRequirements = { service: SERVICE, model: 'm', promptTokens: call.promptTokens, rank: call.rank, regions: [], triedIds: new Set() }
    const found = Routing.Choice.findCandidates(placing, surroundingsOf(gateway), nowMs)
    const best = changes.dividesEvenly !== true && Routing.SlotShares.areByDemand(gatewayTotal, ENGINE.slotCount)
      ? Routing.Choice.chooseAmongMany(found, ENGINE, surroundingsOf(gateway), gateway.random, nowMs)
      : Routing.Choice.choose(found, gateway.random)
    const aheadCount = [...gateway.waiting].filter(other => other !== call && compare(other, call) < 0).length
    const opensInMs = best === undefined ? Routing.Choice.opensInMs(placing, surroundingsOf(gateway), nowMs, call.goalMs) : undefined
    const turnMs = opensInMs ?? Routing.Choice.slotIntervalMs(SERVICE, found.length, gatewayTotal)
    const verdict = decide({ ageMs, waitedMs: nowMs - call.arrivedAtMs, goalMs: call.goalMs, leftMs, resuming: false, isCrowded: changes.ignoresCrowding !== true && gateway.crowding.isCrowded(SERVICE.name, nowMs, call.rank), isOutranked: gateway.crowding.isOutranked(SERVICE.name, nowMs, call.rank, call.late), rank: call.rank }, best, { aheadCount, slotIntervalMs: turnMs }, found.length > 0 || opensInMs !== undefined)
    if (call.rank !== undefined && !call.late && !(verdict.kind === 'send' && verdict.candidate.hasFreeSlot)) gateway.crowding.recordPressure(SERVICE.name, nowMs, call.rank)
    if (verdict.kind === 'wait') { gateway.waiting.add(call); return }
    gateway.waiting.delete(call)
    if (verdict.kind === 'refuse') { refuse(gateway, call, verdict.reason, leftMs); return }
    const { row } = verdict.candidate
    Routing.Choice.recordSent(row, call.promptTokens, nowMs)
    sent.set(call, { gateway, row })
    if (call.rank !== undefined) gateway.rankShares.recordSent(SERVICE.name, call.rank)
    later(HOP_MS, () => { enqueue(engines.find(engine => engine.id === row.listing.endpointId) as Engine, call) })
  }
  const refuse = (gateway: Gateway, call: Call, reason: Routing.Admission.RefusalReason, leftMs: number): void => {
    refusalCount++
    if (reason === 'overCapacity' && !call.late) gateway.crowding.recordRefusal(SERVICE.name, nowMs, call.rank)
    call.refusedCount++
    const delayMs = returnAfterMs(reason, leftMs, gateway.random, 0, call.rank)
    if (leftMs - delayMs < GOAL_MS) return
    later(delayMs, () => {
      call.arrivedAtMs = nowMs
      place(drawGateway(balancer), call)
    })
  }
  const drawGateway = (random: Core.Random.Random): Gateway => {
    if (load.zoneShares === undefined && load.firstGatewayShare === undefined) return gateways[random.below(gateways.length)] as Gateway
    const zone = ZONES[Routing.Spreading.drawIndex(zoneShares, random.next())]
    const others = Array.from({ length: gatewaysPerZoneCount - 1 }, () => (1 - firstGatewayShare) / Math.max(1, gatewaysPerZoneCount - 1))
    return gateways.filter(gateway => gateway.zone === zone)[Routing.Spreading.drawIndex([firstGatewayShare, ...others], random.next())] as Gateway
  }
  /** Computes the shares of all gateways from the demand that each has reported. */
  const shareSlots = (): void => {
    const slotCountByZone = new Map(ZONES.map(zone => [zone, enginesPerZoneCount * ENGINE.slotCount]))
    const demands = gateways.map(gateway => ({ gateway, zone: gateway.zone, callsPerSecond: gateway.demand.perSecond(nowMs) }))
    for (const own of demands) own.gateway.sharing = { slotShares: Routing.SlotShares.computeShares({ own, others: demands.filter(other => other !== own), slotCountByZone }), totalCallsPerSecond: demands.reduce((sum, { callsPerSecond }) => sum + callsPerSecond, 0) }
    if (nowMs < load.durationMs) later(DEMAND_MS, shareSlots)
  }
  const variations: number[] = []
  const sample = (): void => {
    const busyCounts = engines.map(engine => engine.active.length + engine.queue.length)
    const mean = busyCounts.reduce((sum, count) => sum + count, 0) / busyCounts.length
    if (mean > 0) variations.push(Math.sqrt(busyCounts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / busyCounts.length) / mean)
    if (nowMs < load.durationMs) later(SAMPLE_MS, sample)
  }
  const enqueue = (engine: Engine, call: Call): void => {
    call.unreadTokens = call.promptTokens
    engine.arrivedAtMs.push(nowMs)
    const positionOf = (queued: Call): number => queued.rank === undefined ? 0 : Routing.Ranks.queuePositionOf(queued.rank, queued)
    const behind = engine.queue.findIndex(queued => positionOf(queued) > positionOf(call))
    engine.queue.splice(behind === -1 ? engine.queue.length : behind, 0, call)
    if (!engine.busy) pass(engine)
  }
  /** Reads prompts up to the engine's limit and writes a few tokens of every answer. */
  const pass = (engine: Engine): void => {
    while (engine.active.length < ENGINE.slotCount && engine.queue.length > 0) engine.active.push(engine.queue.shift() as Call)
    engine.busy = engine.active.length > 0
    if (!engine.busy) return
    let readCount = 0
    const begun: Call[] = []
    for (const call of engine.active.filter(other => other.unreadTokens > 0)) {
      const count = Math.min(call.unreadTokens, ENGINE.readLimitTokens - readCount)
      call.unreadTokens -= count
      readCount += count
      if (call.unreadTokens === 0 && count > 0) begun.push(call)
    }
    const writing = engine.active.filter(call => call.unreadTokens === 0 && !begun.includes(call))
    const tookMs = readCount / ENGINE.readTokensPerMs + (writing.length === 0 ? ENGINE.stepMs : Routing.EngineModel.passMs(ENGINE, writing.length))
    later(tookMs, () => {
      for (const call of begun) begin(call)
      for (const call of writing) call.writtenCount += ENGINE.passStepCount
      for (const call of writing.filter(other => other.writtenCount >= other.answerTokens)) end(engine, call)
      pass(engine)
    })
  }
  const begin = (call: Call): void => {
    call.firstMs = nowMs + HOP_MS - call.firstAtMs
    const { row, gateway } = sent.get(call) as Sent
    if (call.rank !== undefined) {
      gateway.rankShares.recordSettled(SERVICE.name, call.rank)
      gateway.rankShares.recordBegun(SERVICE.name, call.rank, nowMs)
    }
    row.unreadTokens = Math.max(0, row.unreadTokens - call.promptTokens)
  }
  const end = (engine: Engine, call: Call): void => {
    engine.active.splice(engine.active.indexOf(call), 1)
    later(HOP_MS, () => {
      const { row, gateway } = sent.get(call) as Sent
      row.ownCallCount--
      row.heardAtMs = nowMs
      pump(gateway)
    })
  }
  const pump = (gateway: Gateway): void => {
    for (const call of [...gateway.waiting].sort(compare)) place(gateway, call)
  }
  const report = (engine: Engine, count: number): void => {
    const told = { activeCount: engine.active.length, queuedCount: engine.queue.length, pace: 1, loading: false, weights: undefined }
    for (const gateway of gateways.filter(other => other.zone === engine.zone || changes.reportIntervalMs !== undefined || count % FAR_EVERY_COUNT === 0)) {
      later(HOP_MS, () => { Routing.Endpoints.applyLoadReport(gateway.endpoints.get(engine.id) as Routing.Endpoints.EndpointRow, told, nowMs, gateway.random.next()) })
    }
    if (nowMs < load.durationMs + DEADLINE_MS) later(changes.reportIntervalMs ?? REPORT_MS, () => { report(engine, count + 1) })
  }
  const beat = (gateway: Gateway): void => {
    for (const row of gateway.endpoints.rows()) if (row.ownCallCount > 0) row.heardAtMs = nowMs
    pump(gateway)
    if (nowMs < load.durationMs + DEADLINE_MS) later(PUMP_MS, () => { beat(gateway) })
  }
  const kinds = load.ranks ?? [{ share: 1, goalMs: GOAL_MS }]
  const arrive = (): void => {
    let draw = load.ranks === undefined ? 0 : arrivals.next()
    const kind = Math.max(0, kinds.findIndex(({ share }) => (draw -= share) < 0))
    const call: Call = {
      service: SERVICE.name,
      resuming: false,
      rank: load.ranks === undefined || changes.ignoresRanks === true ? undefined : { index: kind, count: kinds.length },
      priority: 0,
      goalMs: kinds[kind]?.goalMs ?? GOAL_MS,
      kind,
      firstAtMs: nowMs,
      arrivedAtMs: nowMs,
      late: false,
      promptTokens: Math.round(load.promptTokens(arrivals.next())),
      answerTokens: Math.round(ENGINE.usualAnswerTokens * (0.5 + arrivals.next())),
      unreadTokens: 0,
      writtenCount: 0,
      refusedCount: 0,
      firstMs: undefined
    }
    calls.push(call)
    const gateway = drawGateway(balancer)
    gateway.demand.recordCall(nowMs)
    place(gateway, call)
    const gapMs = -Math.log(1 - arrivals.next()) * 1_000 / load.callsPerSecond(nowMs)
    if (nowMs + gapMs < load.durationMs) later(gapMs, arrive)
  }
  for (const [index, engine] of engines.entries()) later(index * REPORT_MS / engines.length, () => { report(engine, index) })
  for (const gateway of gateways) later(0, () => { beat(gateway) })
  later(REPORT_MS * FAR_EVERY_COUNT, arrive)
  if (changes.dividesEvenly !== true) later(DEMAND_MS, shareSlots)
  later(DEMAND_MS, sample)
  for (let event = pop(events); event !== undefined; event = pop(events)) {
    nowMs = event.atMs
    event.run()
  }
  const share = (some: readonly Call[], of: readonly Call[]): number => of.length === 0 ? 1 : some.length / of.length
  const isInGoal = (call: Call): boolean => (call.firstMs ?? Infinity) <= call.goalMs
  const isServed = (call: Call): boolean => (call.firstMs ?? Infinity) <= DEADLINE_MS
  const long = calls.filter(call => call.promptTokens > 2 * ENGINE.usualPromptTokens)
  return {
    callCount: calls.length,
    inGoal: share(calls.filter(isInGoal), calls),
    late: share(calls.filter(call => isServed(call) && !isInGoal(call)), calls),
    refused: share(calls.filter(call => call.firstMs === undefined && call.refusedCount > 0), calls),
    lost: share(calls.filter(call => !isServed(call) && (call.firstMs !== undefined || call.refusedCount === 0)), calls),
    refusalsPerCall: refusalCount / calls.length,
    longInGoal: share(long.filter(isInGoal), long),
    p50Ms: quantile(calls, 0.5),
    p95Ms: quantile(calls, 0.95),
    loadVariation: variations.reduce((sum, value) => sum + value, 0) / Math.max(1, variations.length),
    byRank: kinds.map((_, kind) => {
      const ofKind = calls.filter(call => call.kind === kind && call.firstAtMs >= (load.countFromMs ?? 0))
      return { inGoal: share(ofKind.filter(isInGoal), ofKind), served: share(ofKind.filter(isServed), ofKind) }
    }),
    mostInWindow: Math.max(...engines.map(engine => CallLimits.mostWithin(engine.arrivedAtMs, CallLimits.WINDOW_MS)))
  }
}

/** Returns the time to the first token that a share of the calls does not exceed, in milliseconds; Infinity if fewer were answered. */
function quantile (calls: readonly Call[], part: number): number {
  return calls.map(call => call.firstMs ?? Infinity).sort((a, b) => a - b)[Math.floor(calls.length * part)] ?? Infinity
}

interface Event { readonly atMs: number, readonly order: number, readonly run: () => void }

const isBefore = (a: Event, b: Event): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)

/** Adds an event to a heap. */
function push (heap: Event[], event: Event): void {
  heap.push(event)
  let at = heap.length - 1
  while (at > 0) {
    const parent = (at - 1) >> 1
    if (!isBefore(heap[at] as Event, heap[parent] as Event)) return
    ;[heap[at], heap[parent]] = [heap[parent] as Event, heap[at] as Event]
    at = parent
  }
}

/** Takes the earliest event off a heap. */
function pop (heap: Event[]): Event | undefined {
  const [first] = heap
  const last = heap.pop()
  if (first === undefined || last === undefined || heap.length === 0) return first
  heap[0] = last
  let at = 0
  for (;;) {
    const child = [2 * at + 1, 2 * at + 2].filter(index => index < heap.length).sort((a, b) => isBefore(heap[a] as Event, heap[b] as Event) ? -1 : 1)[0]
    if (child === undefined || !isBefore(heap[child] as Event, heap[at] as Event)) return first
    ;[heap[at], heap[child]] = [heap[child] as Event, heap[at] as Event]
    at = child
  }
}
