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
  /** The most calls that one engine got within the window of the rule on limits. */
  readonly mostInWindow: number
}

interface Call extends Routing.Waiting.WaitingCall {
  readonly firstAtMs: number
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
interface Gateway { readonly zone: string, readonly sharers: Routing.Turns.Sharers, readonly endpoints: Routing.Endpoints.Endpoints, readonly notices: Routing.Notices.Notices, readonly waiting: Set<Call>, readonly random: Core.Random.Random, crowding: Routing.Crowding.Crowding }
interface Sent { readonly gateway: Gateway, readonly row: Routing.Endpoints.EndpointRow }

const ZONES = ['a', 'b', 'c']
const GATEWAYS_PER_ZONE = 2
const ENGINES_PER_ZONE = 3
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
  const gatewayTotal = ZONES.length * GATEWAYS_PER_ZONE
  const events: Array<{ readonly atMs: number, readonly order: number, readonly run: () => void }> = []
  let nowMs = 0
  let order = 0
  const later = (delayMs: number, run: () => void): void => { push(events, { atMs: nowMs + delayMs, order: order++, run }) }
  const engines: Engine[] = ZONES.flatMap(zone => Array.from({ length: ENGINES_PER_ZONE }, (_, index) => ({ id: `${zone}${index}`, zone, active: [], queue: [], arrivedAtMs: [], busy: false })))
  const listings = engines.map(engine => Direct.listingOf(engine.id, { zone: engine.zone, region: `r${engine.zone}` }))
  const names = ZONES.flatMap(zone => Array.from({ length: GATEWAYS_PER_ZONE }, (_, index) => `${zone}${index}`))
  const gateways: Gateway[] = ZONES.flatMap(zone => Array.from({ length: GATEWAYS_PER_ZONE }, (_, index) => ({ zone, sharers: Routing.Turns.createSharers(`${zone}${index}`, names.filter(name => name !== `${zone}${index}`)), endpoints: Direct.surroundingsOf(listings).endpoints, notices: Routing.Notices.createNotices(), waiting: new Set<Call>(), random: Core.Random.createRandom(load.seed + index + 1), crowding: Routing.Crowding.createCrowding() })))
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
    zoneGatewayCount: Math.min(GATEWAYS_PER_ZONE, changes.gatewayCount ?? gatewayTotal),
    sharers: gateway.sharers,
    storeMs: nowMs
  })
  const place = (gateway: Gateway, call: Call): void => {
    const leftMs = call.firstAtMs + DEADLINE_MS - nowMs
    const ageMs = nowMs - call.firstAtMs
    call.late = ageMs > GOAL_MS
    const placing: Routing.Choice.CallRequirements = { service: SERVICE, model: 'm', promptTokens: call.promptTokens, regions: [], triedIds: new Set() }
    const found = Routing.Choice.findCandidates(placing, surroundingsOf(gateway), nowMs)
    const best = Routing.Choice.choose(found, gateway.random)
    const aheadCount = [...gateway.waiting].filter(other => other !== call && compare(other, call) < 0).length
    const opensInMs = best === undefined ? Routing.Choice.opensInMs(placing, surroundingsOf(gateway), nowMs, GOAL_MS) : undefined
    const turnMs = opensInMs ?? Routing.Choice.slotIntervalMs(SERVICE, found.length, gatewayTotal)
    const verdict = decide({ ageMs, waitedMs: nowMs - call.arrivedAtMs, goalMs: GOAL_MS, leftMs, resuming: false, isCrowded: changes.ignoresCrowding !== true && gateway.crowding.isCrowded(SERVICE.name, nowMs) }, best, { aheadCount, slotIntervalMs: turnMs }, found.length > 0 || opensInMs !== undefined)
    if (verdict.kind === 'wait') { gateway.waiting.add(call); return }
    gateway.waiting.delete(call)
    if (verdict.kind === 'refuse') { refuse(gateway, call, verdict.reason, leftMs); return }
    const { row } = verdict.candidate
    Routing.Choice.recordSent(row, call.promptTokens, nowMs)
    sent.set(call, { gateway, row })
    later(HOP_MS, () => { enqueue(engines.find(engine => engine.id === row.listing.endpointId) as Engine, call) })
  }
  const refuse = (gateway: Gateway, call: Call, reason: Routing.Admission.RefusalReason, leftMs: number): void => {
    refusalCount++
    if (reason === 'overCapacity' && !call.late) gateway.crowding.recordRefusal(SERVICE.name, nowMs)
    call.refusedCount++
    const delayMs = returnAfterMs(reason, leftMs, gateway.random)
    if (leftMs - delayMs < GOAL_MS) return
    later(delayMs, () => {
      call.arrivedAtMs = nowMs
      place(gateways[balancer.below(gateways.length)] as Gateway, call)
    })
  }
  const enqueue = (engine: Engine, call: Call): void => {
    call.unreadTokens = call.promptTokens
    engine.arrivedAtMs.push(nowMs)
    engine.queue.push(call)
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
    const { row } = sent.get(call) as Sent
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
    for (const gateway of gateways.filter(other => other.zone === engine.zone || count % FAR_EVERY_COUNT === 0)) {
      later(HOP_MS, () => { Routing.Endpoints.applyLoadReport(gateway.endpoints.get(engine.id) as Routing.Endpoints.EndpointRow, told, nowMs, gateway.random.next()) })
    }
    if (nowMs < load.durationMs + DEADLINE_MS) later(REPORT_MS, () => { report(engine, count + 1) })
  }
  const beat = (gateway: Gateway): void => {
    for (const row of gateway.endpoints.rows()) if (row.ownCallCount > 0) row.heardAtMs = nowMs
    pump(gateway)
    if (nowMs < load.durationMs + DEADLINE_MS) later(PUMP_MS, () => { beat(gateway) })
  }
  const arrive = (): void => {
    const call: Call = {
      service: SERVICE.name,
      resuming: false,
      rank: undefined,
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
    place(gateways[balancer.below(gateways.length)] as Gateway, call)
    const gapMs = -Math.log(1 - arrivals.next()) * 1_000 / load.callsPerSecond(nowMs)
    if (nowMs + gapMs < load.durationMs) later(gapMs, arrive)
  }
  for (const [index, engine] of engines.entries()) later(index * REPORT_MS / engines.length, () => { report(engine, index) })
  for (const gateway of gateways) later(0, () => { beat(gateway) })
  later(REPORT_MS * FAR_EVERY_COUNT, arrive)
  for (let event = pop(events); event !== undefined; event = pop(events)) {
    nowMs = event.atMs
    event.run()
  }
  const share = (some: readonly Call[], of: readonly Call[]): number => of.length === 0 ? 1 : some.length / of.length
  const isInGoal = (call: Call): boolean => (call.firstMs ?? Infinity) <= GOAL_MS
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
    mostInWindow: Math.max(...engines.map(engine => CallLimits.mostWithin(engine.arrivedAtMs, CallLimits.WINDOW_MS)))
  }
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
