/**
 * Plays parts of prompts that crash endpoints in virtual time: many gateways that hear of one another late or not at all, with sound requests that share all else.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Crashes from './crashes.ts'

/** What a play showed. */
export interface Played {
  /** The most requests with one crashing part that reached endpoints when they count. */
  readonly lateCount: number
  readonly crashCount: number
  /** The smallest share of the sound requests with a first part in common with crashing ones that was not kept back, once they are judged. */
  readonly sentShare: number
  /** Sound requests that were kept back, and all of them. */
  readonly keptBackCount: number
  readonly soundCount: number
  /** Sound parts because of which some gateway still keeps requests back at the end. */
  readonly lockedOut: readonly string[]
}

interface Request { readonly keys: readonly [string, ...string[]], readonly isSound: boolean }
interface Running { readonly request: Request, readonly crashing: string | undefined, readonly gateway: number, readonly begunAtMs: number, readonly endsAtMs: number, readonly isRepeat: boolean, readonly isTrial: boolean }
interface Message { readonly atMs: number, readonly to: number, readonly evidence: Routing.Evidence.Evidence }

const STEP_MS = 10
const PLAYED_MS = 45_000
/** Requests with crashing parts come from and until, in milliseconds. */
const CRASHING_FROM_MS = 4_000
const CRASHING_UNTIL_MS = 30_000
const REBROADCAST_MS = 3_000
const TICK_MS = 1_000
const BROADCASTER_COUNT = 4
/** Sound requests of a first part that are needed to judge it. */
const JUDGED_COUNT = 20

/**
 * Plays one seed.
 *
 * @param seed - Draws sizes, arrivals, delays and losses.
 * @returns What it showed.
 */
export function play (seed: number): Played {
  const random = Core.Random.createRandom(seed)
  const between = (least: number, most: number): number => least + random.next() * (most - least)
  const createGateway = (): { suspects: Routing.Suspects.Suspects, seenAtMs: Map<string, number> } => ({ suspects: Routing.Suspects.createSuspects(), seenAtMs: new Map() })
  const gateways = Array.from({ length: 1 + random.below(12) }, createGateway)
  const endpoints = Array.from({ length: 8 + random.below(25) }, (_, at) => ({ id: `e${at}`, bornAtMs: 0, upAtMs: 0, running: [] as Running[] }))
  const firstParts = Array.from({ length: 10 + random.below(60) }, (_, at) => Routing.Evidence.partKeyOf(`first${at}`))
  const crashing = Array.from({ length: 1 + random.below(2) }, (_, at) => ({
    key: Routing.Evidence.partKeyOf(`crash${at}`),
    // Some crash endpoints from the start, some were in sound requests until then; some come with one first part, some with any.
    firstPart: random.next() < 0.6 ? firstParts[random.below(firstParts.length)] : undefined,
    isFirst: random.next() < 0.2,
    everyMs: between(100, 1_500),
    crashedAtMs: [] as number[],
    arrivedAtMs: [] as number[]
  }))
  const wasSound = random.next() < 0.5
  const soundPerStep = between(0.2, 0.8)
  const lossShare = between(0, 0.3)
  const zoneFailsAtMs = random.next() < 0.5 ? between(2_000, 30_000) : Infinity
  const restartsAtMs = random.next() < 0.5 ? between(6_000, 25_000) : Infinity
  const otherCrashShare = random.next() < 0.5 ? 0 : STEP_MS / 10_000
  const sound = new Map<string, { sentCount: number, judgedCount: number }>()
  let messages: Message[] = []
  let keptBackCount = 0
  let soundCount = 0
  let uniqueCount = 0

  const tell = (from: number, key: string, nowMs: number): void => {
    const evidence = gateways[from]?.suspects.get(key)
    if (evidence === undefined) return
    for (let to = 0; to < gateways.length; to++) if (to !== from && random.next() >= lossShare) messages.push({ atMs: nowMs + between(2, 60), to, evidence })
  }
  const see = (at: number, evidence: Routing.Evidence.Evidence, nowMs: number): void => {
    const gateway = gateways[at]
    if (gateway?.suspects.addEvidence(evidence) !== true) return
    gateway.seenAtMs.set(evidence.digest, nowMs)
    tell(at, evidence.digest, nowMs)
  }
  const hear = ({ to, evidence }: Message, nowMs: number): void => {
    const suspects = gateways[to]?.suspects
    if (suspects?.addEvidence(evidence) !== true) return
    const isAnsweredLater = (suspects.get(evidence.digest)?.answeredAtMs ?? -Infinity) > evidence.answeredAtMs
    if (isAnsweredLater && random.next() * gateways.length < BROADCASTER_COUNT) tell(to, evidence.digest, nowMs)
  }
  const isJudged = (nowMs: number): boolean => nowMs < CRASHING_UNTIL_MS && crashing.every(({ crashedAtMs }) => nowMs > (crashedAtMs[Crashes.FREE_PART_CRASH_COUNT - 1] ?? crashedAtMs.at(-1) ?? Infinity) + 2 * Crashes.STABLE_MS)
  const send = (request: Request, gateway: number, nowMs: number, isRepeat: boolean): void => {
    const suspects = gateways[gateway]?.suspects
    const action = suspects?.actionOf(request.keys, nowMs, key => Core.Hash.rankOf(key) % gateways.length === gateway) ?? 'send'
    if (request.isSound && !isRepeat) {
      soundCount++
      if (action === 'keepBack') keptBackCount++
      const firstPart = request.keys[1] ?? ''
      if (isJudged(nowMs) && crashing.some(each => each.firstPart === firstPart)) {
        const counts = sound.get(firstPart) ?? { sentCount: 0, judgedCount: 0 }
        counts.judgedCount++
        if (action !== 'keepBack') counts.sentCount++
        sound.set(firstPart, counts)
      }
    }
    const up = endpoints.filter(endpoint => endpoint.upAtMs <= nowMs)
    const endpoint = up[random.below(Math.max(1, up.length))]
    if (action === 'keepBack' || endpoint === undefined) return
    if (action === 'try') for (const digest of suspects?.quarantinedKeysOf(request.keys) ?? []) see(gateway, { digest, cuts: [], triedAtMs: [nowMs], answeredAtMs: -Infinity }, nowMs)
    const begunAtMs = nowMs + between(20, 200)
    const cause = begunAtMs < CRASHING_FROM_MS ? undefined : crashing.find(({ key }) => request.keys.includes(key))
    cause?.arrivedAtMs.push(nowMs)
    endpoint.running.push({ request, crashing: cause?.key, gateway, begunAtMs, endsAtMs: begunAtMs + (cause === undefined ? between(100, 1_500) : between(10, 80)), isRepeat, isTrial: action === 'try' })
  }
  const crash = (endpoint: typeof endpoints[number], nowMs: number): void => {
    const { bornAtMs, id } = endpoint
    endpoint.upAtMs = nowMs + between(1_500, 4_000)
    endpoint.bornAtMs = endpoint.upAtMs
    for (const { request, gateway, isRepeat, isTrial } of endpoint.running.splice(0)) {
      const [digest, ...partKeys] = request.keys
      const cut = { endpointId: id, bornAtMs, atMs: nowMs }
      see(gateway, Routing.Evidence.evidenceOfCut(digest, cut), nowMs)
      for (const key of partKeys) see(gateway, Routing.Evidence.evidenceOfCut(key, cut, partKeys.filter(other => other !== key)), nowMs)
      if (!isRepeat && !isTrial && gateways[gateway]?.suspects.isSuspected(request.keys) === false) send(request, gateway, nowMs, true)
    }
  }
  const anyOf = <T>(list: readonly T[]): T => list[Math.floor(random.next() ** 2 * list.length)] as T
  const soundRequest = (nowMs: number): Request => {
    const own = `own${uniqueCount++}`
    const harmless = wasSound && nowMs < CRASHING_FROM_MS && random.next() < 0.1 ? [anyOf(crashing).key] : []
    return { keys: [own, anyOf(firstParts), ...harmless], isSound: true }
  }

  for (let nowMs = 0; nowMs < PLAYED_MS; nowMs += STEP_MS) {
    for (const message of messages.filter(({ atMs }) => atMs <= nowMs)) hear(message, nowMs)
    messages = messages.filter(({ atMs }) => atMs > nowMs)
    for (const endpoint of endpoints) {
      const ended = endpoint.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)
      const cause = ended.find(each => each.crashing !== undefined)
      endpoint.running = endpoint.running.filter(({ endsAtMs, crashing: crashingKey }) => endsAtMs > nowMs || crashingKey !== undefined)
      for (const { request: { keys: [, ...partKeys] }, crashing: crashingKey, gateway, begunAtMs } of ended) {
        if (crashingKey !== undefined) continue
        for (const key of partKeys) {
          const oldestMs = gateways[gateway]?.suspects.get(key)?.cuts[0]?.atMs ?? Infinity
          if (oldestMs < begunAtMs) see(gateway, { digest: key, cuts: [], triedAtMs: [], answeredAtMs: begunAtMs }, nowMs)
        }
      }
      crashing.find(({ key }) => key === cause?.crashing)?.crashedAtMs.push(nowMs)
      const isFailing = nowMs >= zoneFailsAtMs && nowMs < zoneFailsAtMs + STEP_MS && endpoint.id.charCodeAt(1) % 3 === 0
      if (cause !== undefined || isFailing || (endpoint.upAtMs <= nowMs && random.next() < otherCrashShare / endpoints.length)) crash(endpoint, nowMs)
    }
    if (random.next() < soundPerStep) send(soundRequest(nowMs), random.below(gateways.length), nowMs, false)
    for (const { key, firstPart = anyOf(firstParts), isFirst, everyMs } of crashing) {
      if (nowMs < CRASHING_FROM_MS || nowMs >= CRASHING_UNTIL_MS || random.next() >= STEP_MS / everyMs) continue
      const parts = isFirst ? [key, firstPart] : [firstPart, key]
      send({ keys: [`own${uniqueCount++}`, ...parts], isSound: false }, random.below(gateways.length), nowMs, false)
    }
    if (nowMs >= restartsAtMs && nowMs < restartsAtMs + STEP_MS) gateways[0] = createGateway()
    if (nowMs % TICK_MS !== 0) continue
    for (const [at, { suspects, seenAtMs }] of gateways.entries()) {
      suspects.removeExpired(nowMs)
      for (const [key, atMs] of seenAtMs) {
        if (nowMs - atMs > REBROADCAST_MS) seenAtMs.delete(key)
        else tell(at, key, nowMs)
      }
      for (const { digest } of suspects.quarantined()) if (random.next() * gateways.length < BROADCASTER_COUNT) tell(at, digest, nowMs)
    }
  }
  return {
    lateCount: Math.max(...crashing.map(({ crashedAtMs, arrivedAtMs }) => arrivedAtMs.filter(atMs => atMs >= (crashedAtMs[Crashes.FREE_PART_CRASH_COUNT - 1] ?? Infinity) + Crashes.STABLE_MS).length)),
    crashCount: crashing.reduce((sum, { crashedAtMs }) => sum + crashedAtMs.length, 0),
    sentShare: Math.min(1, ...[...sound.values()].filter(({ judgedCount }) => judgedCount >= JUDGED_COUNT).map(({ sentCount, judgedCount }) => sentCount / judgedCount)),
    keptBackCount,
    soundCount,
    lockedOut: firstParts.filter(key => gateways.some(({ suspects }) => suspects.actionOf(['own', key], PLAYED_MS, () => false) === 'keepBack'))
  }
}
