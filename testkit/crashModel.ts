/**
 * Plays requests that crash endpoints in virtual time: many gateways that hear of one another late or not at all, with other calls beside.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Crashes from './crashes.ts'

/** What a play showed. */
export interface Played {
  /** The most sends of one crashing request later than the platform allows them freely. */
  readonly lateSendCount: number
  readonly crashCount: number
  /** Calls of requests that crash nothing which were kept back, and all of them. */
  readonly keptBackCount: number
  readonly otherCount: number
  /** The popular requests that some gateway still keeps back at the end. */
  readonly lockedOut: readonly string[]
}

/** What else is played. */
export interface PlayOptions {
  /** Whether callers leave before their answers, those of crashing requests always, and endpoints end for other causes too. */
  readonly isLeaving?: boolean
}

interface Running { readonly digest: string, readonly gateway: number, readonly endsAtMs: number, readonly crashes: boolean, readonly sendsLeft: number, readonly leavesAtMs: number }
interface Ended { readonly atMs: number, readonly gateway: number, readonly endpointId: string, readonly bornAtMs: number, readonly aliveAtMs: number }
interface Message { readonly atMs: number, readonly to: number, readonly evidence: Routing.Evidence.Evidence }

const STEP_MS = 10
const PLAYED_MS = 40_000
/** Crashing requests come for so long, in milliseconds; then others go on alone. */
const CRASHING_MS = 30_000
const TOLD_MS = 3_000
const BEAT_MS = 1_000
const TELLER_COUNT = 4
/** Share of steps in which an endpoint ends for another cause: once in about 30 s. */
const OTHER_CRASH_SHARE = 1 / 3_000

/**
 * Plays one seed.
 *
 * @param seed - Draws sizes, arrivals, delays and losses.
 * @param options - What else is played.
 * @returns What it showed.
 */
export function play (seed: number, options: PlayOptions = {}): Played {
  const { isLeaving = false } = options
  const random = Core.Random.createRandom(seed)
  const between = (least: number, most: number): number => least + random.next() * (most - least)
  const gateways = Array.from({ length: 1 + random.below(12) }, () => ({ suspects: Routing.Suspects.createSuspects(), abandoned: Routing.Abandoned.createAbandonedAttempts(), seenAtMs: new Map<string, number>() }))
  const endpoints = Array.from({ length: 6 + random.below(25) }, (_, at) => ({ id: `e${at}`, bornAtMs: 0, upAtMs: 0, running: [] as Running[] }))
  const crashing = Array.from({ length: 1 + random.below(3) }, (_, at) => ({ digest: `crash${at}`, everyMs: between(100, 2_000), crashedAtMs: [] as number[], sentAtMs: [] as number[] }))
  const popular = Array.from({ length: 3 }, (_, at) => ({ digest: `popular${at}`, everyMs: between(60, 1_000) }))
  const lossShare = between(0, 0.3)
  const leavingShare = isLeaving ? between(0, 0.5) : 0
  let ends: Ended[] = []
  let messages: Message[] = []
  let keptBackCount = 0
  let otherCount = 0

  const tell = (from: number, digest: string, nowMs: number): void => {
    const evidence = gateways[from]?.suspects.get(digest)
    if (evidence === undefined) return
    for (let to = 0; to < gateways.length; to++) {
      if (to !== from && random.next() >= lossShare) messages.push({ atMs: nowMs + between(2, 60), to, evidence })
    }
  }
  const hear = (at: number, evidence: Routing.Evidence.Evidence, nowMs: number): void => {
    const suspects = gateways[at]?.suspects
    if (suspects?.addEvidence(evidence) !== true) return
    for (const end of evidence.cuts) noteEnded(at, end, end.atMs, nowMs)
    const isVouchedFor = (suspects.get(evidence.digest)?.answeredAtMs ?? -Infinity) > evidence.answeredAtMs
    if (isVouchedFor && random.next() * gateways.length < TELLER_COUNT) tell(at, evidence.digest, nowMs)
  }
  const see = (at: number, evidence: Routing.Evidence.Evidence, nowMs: number): void => {
    const gateway = gateways[at]
    if (gateway?.suspects.addEvidence(evidence) !== true) return
    gateway.seenAtMs.set(evidence.digest, nowMs)
    tell(at, evidence.digest, nowMs)
  }
  const noteEnded = (at: number, { endpointId, bornAtMs }: Routing.Endpoints.EndpointStart, aliveAtMs: number, nowMs: number): void => {
    for (const digest of gateways[at]?.abandoned.takeAffectedDigests({ endpointId, bornAtMs }, aliveAtMs, nowMs) ?? []) see(at, Routing.Evidence.evidenceOfCut(digest, { endpointId, bornAtMs, atMs: nowMs }), nowMs)
  }
  const send = (digest: string, gateway: number, sendsLeft: number, nowMs: number, tookMs: number): void => {
    const verdict = gateways[gateway]?.suspects.actionOf([digest], nowMs, () => Core.Hash.rankOf(digest) % gateways.length === gateway)
    const culprit = crashing.find(each => each.digest === digest)
    if (culprit === undefined) otherCount++
    if (verdict === 'keepBack') {
      if (culprit === undefined) keptBackCount++
      return
    }
    const up = endpoints.filter(endpoint => endpoint.upAtMs <= nowMs)
    const endpoint = up[random.below(Math.max(1, up.length))]
    if (endpoint === undefined) return
    if (verdict === 'try') see(gateway, { digest, cuts: [], triedAtMs: [nowMs], answeredAtMs: -Infinity }, nowMs)
    culprit?.sentAtMs.push(nowMs)
    const leaves = isLeaving && (culprit !== undefined || random.next() < leavingShare)
    const leavesAtMs = leaves ? nowMs + between(5, culprit === undefined ? 200 : tookMs) : Infinity
    endpoint.running.push({ digest, gateway, endsAtMs: nowMs + tookMs, crashes: culprit !== undefined, sendsLeft: verdict === 'try' ? 0 : sendsLeft - 1, leavesAtMs })
  }
  const crash = (endpoint: typeof endpoints[number], cause: Running | undefined, nowMs: number): void => {
    crashing.find(each => each.digest === cause?.digest)?.crashedAtMs.push(nowMs)
    endpoint.upAtMs = nowMs + between(1_500, 4_000)
    const cut = endpoint.running.splice(0).filter(({ leavesAtMs }) => leavesAtMs > nowMs)
    const { bornAtMs } = endpoint
    // A gateway finds nothing at the address when it sends there again, or another start when it is back.
    if (isLeaving) for (let gateway = 0; gateway < gateways.length; gateway++) ends.push({ atMs: random.next() < 0.5 ? nowMs + between(5, 400) : endpoint.upAtMs + between(50, 400), gateway, endpointId: endpoint.id, bornAtMs, aliveAtMs: nowMs - between(0, 300) })
    endpoint.bornAtMs = endpoint.upAtMs
    for (const { digest, gateway } of cut) see(gateway, Routing.Evidence.evidenceOfCut(digest, { endpointId: endpoint.id, bornAtMs, atMs: nowMs + between(0, 30) }), nowMs)
    for (const { digest, gateway, sendsLeft } of cut) if (sendsLeft > 0) send(digest, gateway, sendsLeft, nowMs, between(100, 400))
  }
  const beat = (at: number, nowMs: number): void => {
    const gateway = gateways[at]
    if (gateway === undefined) return
    gateway.suspects.removeExpired(nowMs)
    for (const [digest, atMs] of gateway.seenAtMs) {
      if (nowMs - atMs > TOLD_MS) gateway.seenAtMs.delete(digest)
      else tell(at, digest, nowMs)
    }
    for (const { digest } of gateway.suspects.quarantined()) if (random.next() * gateways.length < TELLER_COUNT) tell(at, digest, nowMs)
  }

  for (let nowMs = 0, uniqueCount = 0; nowMs < PLAYED_MS; nowMs += STEP_MS) {
    for (const { to, evidence } of messages.filter(({ atMs }) => atMs <= nowMs)) hear(to, evidence, nowMs)
    messages = messages.filter(({ atMs }) => atMs > nowMs)
    for (const { gateway, endpointId, bornAtMs, aliveAtMs } of ends.filter(({ atMs }) => atMs <= nowMs)) {
      noteEnded(gateway, { endpointId, bornAtMs }, aliveAtMs, nowMs)
    }
    ends = ends.filter(({ atMs }) => atMs > nowMs)
    for (const endpoint of endpoints) {
      for (const { digest, gateway } of endpoint.running.filter(({ leavesAtMs, endsAtMs }) => leavesAtMs <= nowMs && leavesAtMs > nowMs - STEP_MS && endsAtMs > leavesAtMs)) {
        gateways[gateway]?.abandoned.record({ digest, start: { endpointId: endpoint.id, bornAtMs: endpoint.bornAtMs }, atMs: nowMs })
      }
      // Endpoints drop the work of callers that left, but a crash that has begun goes on.
      endpoint.running = endpoint.running.filter(({ crashes, leavesAtMs }) => crashes || leavesAtMs > nowMs)
      if (isLeaving && endpoint.upAtMs <= nowMs && random.next() < OTHER_CRASH_SHARE) crash(endpoint, undefined, nowMs)
      const ended = endpoint.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)
      endpoint.running = endpoint.running.filter(({ endsAtMs }) => endsAtMs > nowMs)
      for (const { digest, gateway } of ended.filter(({ crashes }) => !crashes)) {
        gateways[gateway]?.suspects.recordAnswer(digest, nowMs)
        if ((gateways[gateway]?.suspects.get(digest)?.cuts.length ?? 0) > 0) see(gateway, { digest, cuts: [], triedAtMs: [], answeredAtMs: nowMs }, nowMs)
      }
      const cause = ended.find(({ crashes }) => crashes)
      if (cause === undefined) continue
      endpoint.running.push(...ended.filter(({ crashes }) => crashes))
      crash(endpoint, cause, nowMs)
    }
    for (const { digest, everyMs } of popular) if (random.next() < STEP_MS / everyMs) send(digest, random.below(gateways.length), 2, nowMs, between(100, 400))
    if (nowMs < CRASHING_MS) for (const { digest, everyMs } of crashing) if (random.next() < STEP_MS / everyMs) send(digest, random.below(gateways.length), 2, nowMs, between(10, 120))
    if (random.next() < 0.4) send(`unique${uniqueCount++}`, random.below(gateways.length), 2, nowMs, between(100, 400))
    if (nowMs % BEAT_MS === 0) for (let at = 0; at < gateways.length; at++) beat(at, nowMs)
  }
  const lateCounts = crashing.map(({ crashedAtMs, sentAtMs }) => {
    const fromMs = (crashedAtMs[Crashes.FREE_CRASH_COUNT - 1] ?? Infinity) + Crashes.STABLE_MS
    return sentAtMs.filter(atMs => atMs >= fromMs).length
  })
  return {
    lateSendCount: Math.max(...lateCounts),
    crashCount: crashing.reduce((sum, { crashedAtMs }) => sum + crashedAtMs.length, 0),
    keptBackCount,
    otherCount,
    lockedOut: popular.map(({ digest }) => digest).filter(digest => gateways.some(({ suspects }) => suspects.actionOf([digest], PLAYED_MS, () => false) === 'keepBack'))
  }
}
