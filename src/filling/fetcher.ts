/**
 * Fetches the chunks of the version in force from the origin and from other agents.
 *
 * Runs whether or not the engine beside the agent answers: the others wait for the chunks that this
 * agent draws.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Metrics from '../edge/metrics.ts'
import type * as Follow from '../follow/index.ts'
import type * as Pacer from '../weights/edge/pacer.ts'
import * as Exchange from './exchange.ts'
import type * as Library from './library.ts'
import type * as Ports from './ports.ts'
import * as Sources from './sources.ts'
import * as Switching from './switching.ts'

/** What a fetcher needs. */
export interface FetcherOptions {
  readonly name: string
  readonly region: string
  readonly origin: () => Ports.Origin | undefined
  readonly library: Library.Library
  /** The other agents. */
  readonly members: () => readonly Follow.Members.Member[]
  /** Tells the other agents that this one is there, and asks who else is. */
  readonly callRoll: () => void
  /** Time by which a named version has to be everywhere, in milliseconds. */
  readonly versionMs: () => number
  /** Paces what is fetched, so that calls to the engine on the same link are not held up. */
  readonly download: Pacer.Pacer
  /** Takes over chunks that need not be fetched, before the first one of a version is. */
  readonly adopt: (volume: Library.Volume) => Promise<void>
  /** Tells other agents that a chunk may be fetched here. */
  readonly announce: (model: string, version: number, index: number, receivers: readonly string[]) => void
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A version that is to be loaded. */
export interface Goal {
  readonly model: string
  readonly version: number
  /** When the version was named, in milliseconds. */
  readonly namedAtMs: number
}

/** A fetcher. */
export interface Fetcher {
  /** Works towards the named versions, the oldest first; to be called a few times a second. */
  advance: (goals: readonly Goal[], loadedVersion: number) => Promise<void>
  /** How far the fetch of each goal that the engine has not loaded has come; of the newest alone when it has loaded all. */
  progressOf: (goals: readonly Goal[], loadedVersion: number) => readonly Switching.Progress[]
  isFetching: (model: string, version: number) => boolean
  /** Takes that another agent is there. */
  noteHeard: (agent: string) => void
  /** Takes that another agent has chunks. */
  noteHeld: (agent: string, model: string, version: number, indexes: readonly number[]) => void
}

/** Chunks fetched at once: enough to keep the link busy over its round trips, few enough that calls are not queued behind them. */
const FETCH_LIMIT_COUNT = 4
/** Chunks asked of one agent at once. */
const ASKED_LIMIT_COUNT = 2
/** An agent that others wait for is asked again after so long, in milliseconds: about the time of a chunk on a thin link. */
const BUSY_MS = 60
/** An agent that was told of no chunk that it lacks asks for one every so often, in milliseconds: news get lost. */
const BLIND_EVERY_MS = 120
/** News of the first chunks reach every agent within so long after a version was named, in milliseconds; no agent asks without news before. */
const BLIND_AFTER_MS = 1_200
/** Size by which fetches are paced before the first chunk is known, in bytes. */
const FIRST_CHUNK_BYTES = 32_768
/** A chunk that other agents are still fetching is taken from the origin after so long, in milliseconds: half of the usual time that a version has. */
const PENDING_LIMIT_MS = 4_000
/** Agents that say nothing for so long after the roll was called are not counted on, in milliseconds: the store's news and a datagram over the regions. */
const ROLL_CALL_MS = 500
/** An agent that did not answer is not counted on for so long, in milliseconds, unless it is heard of. */
const DOWN_MS = 5_000
/** An agent that lacked a chunk is asked for it again after so long, in milliseconds. */
const REFUSED_MS = 1_500
/** The origin is asked again after so long, spread at random, in milliseconds: it resets callers that come together. */
const ORIGIN_BACK_OFF_MS = 300
const ORIGIN_NAME = 'origin'
/** Agents of the region that are asked for a chunk before the origin is. */
const NEIGHBOUR_LIMIT_COUNT = 3
/** Chunks that one agent draws from the origin at once, where its connections allow. */
const ORIGIN_LIMIT_COUNT = 2
/** Connections to the origin that all agents share: the origin resets those beyond a few dozen. */
const ORIGIN_CONNECTION_COUNT = 32
const ORIGIN: Sources.Source = { kind: 'origin' }
/** So many chunks in a row with a wrong digest, from whatever source, point to a wrong manifest. */
const MISFIT_LIMIT_COUNT = 4
/**
 * Creates a fetcher.
 *
 * @param options - The sources and the library.
 * @returns The fetcher.
 */
export function createFetcher (options: FetcherOptions): Fetcher {
  const { library, clock, log, metrics } = options
  const own = options.name
  /** When an agent said that it lacks a chunk, as `agent chunk`. */
  const refusedAtMs = new Map<string, number>()
  const triedAtMs = new Map<string, number>()
  const tryCounts = new Map<string, number>()
  const fetching = new Set<string>()
  let manifestPending = false
  const rings: Sources.Rings = new Map()
  let linesOf = { signature: '', lines: Sources.createLines([], rings) }
  let misfitCount = 0
  let rollCalledAtMs = -Infinity
  const heardAtMs = new Map<string, number>()
  const downUntilMs = new Map<string, number>()
  let originAfterMs = -Infinity
  let blindAtMs = -Infinity
  const fetchedFrom = { origin: 0, region: 0, otherRegion: 0 }
  let chunkBytes = FIRST_CHUNK_BYTES
  /** The agents that told of a chunk. */
  const holdersOf = new Map<string, Set<string>>()
  const askedCounts = new Map<string, number>()
  const busyUntilMs = new Map<string, number>()
  let fetchGoal: Goal | undefined

  /** The agents to count on: those heard since the roll was called, and all for as long as answers may be on their way. */
  const agentsThere = (): Follow.Members.Member[] => {
    const nowMs = clock()
    const isHeard = (name: string): boolean => nowMs - rollCalledAtMs < ROLL_CALL_MS || (heardAtMs.get(name) ?? -Infinity) > rollCalledAtMs - ROLL_CALL_MS
    return options.members().filter(member => isHeard(member.name) && (downUntilMs.get(member.name) ?? 0) <= nowMs)
  }
  /** The lines of the agents listed now; worked out anew only when an agent comes, goes or falls silent. */
  const linesNow = (): Sources.Lines => {
    const there = new Set(agentsThere().map(agent => agent.name))
    const spreaders = [{ name: own, region: options.region, isThere: true }, ...options.members().map(({ name, region }) => ({ name, region, isThere: there.has(name) }))]
    const signature = spreaders.map(spreader => `${spreader.name}${spreader.isThere ? '+' : '-'}`).sort().join()
    if (signature !== linesOf.signature) linesOf = { signature, lines: Sources.createLines(spreaders, rings) }
    return linesOf.lines
  }
  const openVolume = async (goal: Goal): Promise<void> => {
    if (manifestPending || clock() < originAfterMs) return
    manifestPending = true
    rollCalledAtMs = clock()
    options.callRoll()
    try {
      const drawn = await options.origin()?.manifest(goal.model, goal.version)
      const manifest = drawn?.isOk() === true ? drawn.value : await manifestOfAgents(goal)
      if (manifest === undefined) {
        originAfterMs = clock() + Core.Random.jitter(options.random, ORIGIN_BACK_OFF_MS)
        log('weights', 'Manifest not had.', { model: goal.model, version: goal.version, reason: drawn === undefined ? 'origin not known' : drawn.isErr() ? drawn.error : '' })
        return
      }
      log('weights', 'Version being fetched.', { model: goal.model, version: goal.version, chunkCount: manifest.digests.length, agentCount: agentsThere().length + 1 })
      await options.adopt(library.volumeOf(goal.model, goal.version) ?? library.open(manifest))
    } finally {
      manifestPending = false
    }
  }
  const manifestOfAgents = async (goal: Goal): Promise<Ports.WeightManifest | undefined> => {
    for (const agent of agentsThere().filter(other => other.region === options.region).slice(0, 2)) {
      const manifest = await Exchange.fetchManifest(agent, goal.model, goal.version)
      if (manifest !== undefined) return manifest
    }
    return undefined
  }
  const fetchOne = async (volume: Library.Volume, index: number, key: string, source: Sources.Source, agents: readonly Follow.Members.Member[]): Promise<void> => {
    const { model, version } = volume.manifest
    const agent = source.kind === 'agent' ? agents.find(other => other.name === source.name) : undefined
    triedAtMs.set(key, triedAtMs.get(key) ?? clock())
    tryCounts.set(key, (tryCounts.get(key) ?? 0) + 1)
    const sourceName = agent?.name ?? ORIGIN_NAME
    askedCounts.set(sourceName, (askedCounts.get(sourceName) ?? 0) + 1)
    await options.download.pass(chunkBytes, agent === undefined)
    const drawn = agent === undefined ? await options.origin()?.chunk(model, version, index) : undefined
    const bytes = agent === undefined ? drawn?.unwrapOr(undefined) : await Exchange.fetchChunk(agent, model, version, index)
    askedCounts.set(sourceName, (askedCounts.get(sourceName) ?? 1) - 1)
    const from = agent === undefined ? 'origin' : agent.region === options.region ? 'region' : 'otherRegion'
    if (bytes === 'pending') {
      busyUntilMs.set(sourceName, clock() + BUSY_MS)
      return
    }
    if (bytes instanceof Buffer && library.put(volume, index, bytes)) {
      metrics.count('weights_fetched_bytes_total', { from }, bytes.length)
      misfitCount = 0
      chunkBytes = bytes.length
      fetchedFrom[from]++
      if (volume.heldCount === volume.manifest.digests.length) log('weights', 'Version held whole.', { model, version, sinceNamedMs: Math.round(clock() - (fetchGoal?.namedAtMs ?? 0)), fetchedFrom: { ...fetchedFrom } })
      options.announce(model, version, index, linesNow().receiversOf({ version: `${model}/${version}`, index }, own))
      return
    }
    metrics.count('weights_fetch_faults_total', { from })
    log('weights', 'Chunk not had.', { model, version, index, source: sourceName, reason: drawn?.isErr() === true ? drawn.error : bytes === undefined ? 'no answer' : bytes === 'absent' ? bytes : 'wrong digest', tryCount: tryCounts.get(key) })
    if (bytes instanceof Buffer && ++misfitCount >= MISFIT_LIMIT_COUNT) {
      log('weights', 'Manifest discarded.', { model, version, misfitCount })
      misfitCount = 0
      library.discard(volume)
    }
    if (agent !== undefined && bytes === undefined) downUntilMs.set(agent.name, clock() + DOWN_MS)
    if (agent !== undefined) refusedAtMs.set(`${agent.name} ${key}`, clock())
    else originAfterMs = clock() + Core.Random.jitter(options.random, ORIGIN_BACK_OFF_MS)
  }
  /** Chooses the agent in line for a chunk that no agent told of; the origin once none of them is to have it. */
  const blindSourceOf = (chunk: Sources.Chunk, key: string, nowMs: number, isSettled: boolean): Sources.Source => {
    const regions = new Map(options.members().map(member => [member.name, member.region]))
    const isNear = (source: Sources.Source): boolean => source.kind === 'agent' && regions.get(source.name) === options.region
    const asked = linesNow().sourcesOf(chunk, own).filter(source => source.kind === 'agent' && !hasRefused(source.name, key, nowMs))
    const near = asked.filter(isNear)
    const line = isSettled && near.length > 0 ? near : asked
    const isLate = nowMs - (triedAtMs.get(key) ?? nowMs) > PENDING_LIMIT_MS
    return isLate ? ORIGIN : line[(tryCounts.get(key) ?? 0) % Math.max(1, line.length)] ?? ORIGIN
  }
  /** Chooses an agent of the region that may hold a chunk of a version that was named before this process began: an agent that joined late draws nothing that others hold. */
  const neighbourToAsk = (key: string, nowMs: number): Sources.Source | undefined => {
    if ((tryCounts.get(key) ?? 0) >= NEIGHBOUR_LIMIT_COUNT) return undefined
    const neighbours = agentsThere().filter(agent => agent.region === options.region && !hasRefused(agent.name, key, nowMs))
    const neighbour = neighbours[options.random.below(neighbours.length)]
    return neighbour === undefined ? undefined : { kind: 'agent', name: neighbour.name }
  }
  const hasRefused = (name: string, key: string, nowMs: number): boolean => nowMs - (refusedAtMs.get(`${name} ${key}`) ?? -Infinity) < REFUSED_MS
  /** Chooses where a chunk is fetched now; undefined when it has to wait for news. */
  const sourceOf = (chunk: Sources.Chunk, key: string, nowMs: number, ageMs: number): Sources.Source | undefined => {
    const isSettled = ageMs === Infinity
    if (linesNow().sourcesOf(chunk, own)[0]?.kind === 'origin') {
      const holder = isSettled ? neighbourToAsk(key, nowMs) : undefined
      return holder ?? (isOriginFree(nowMs) ? ORIGIN : undefined)
    }
    const holders = [...holdersOf.get(key) ?? []].filter(name => (askedCounts.get(name) ?? 0) < ASKED_LIMIT_COUNT && !hasRefused(name, key, nowMs) && (busyUntilMs.get(name) ?? 0) <= nowMs)
    const name = holders[options.random.below(holders.length)]
    if (name !== undefined) return { kind: 'agent', name }
    if (!isSettled && (ageMs < BLIND_AFTER_MS || nowMs - blindAtMs < BLIND_EVERY_MS)) return undefined
    blindAtMs = nowMs
    const source = blindSourceOf(chunk, key, nowMs, isSettled)
    return source.kind === 'origin' && !isOriginFree(nowMs) ? undefined : source
  }
  const isOriginFree = (nowMs: number): boolean => (askedCounts.get(ORIGIN_NAME) ?? 0) < originLimitCount() && nowMs >= originAfterMs
  const originLimitCount = (): number => Math.max(1, Math.min(ORIGIN_LIMIT_COUNT, Math.floor(ORIGIN_CONNECTION_COUNT / (options.members().length + 1))))
  const fetchMissing = (volume: Library.Volume): void => {
    const { model, version, digests } = volume.manifest
    const set = `${model}/${version}`
    const agents = agentsThere()
    const nowMs = clock()
    const ageMs = nowMs - (fetchGoal?.namedAtMs ?? nowMs)
    for (const index of linesNow().fetchOrder(set, digests.length, own)) {
      if (fetching.size >= FETCH_LIMIT_COUNT) return
      const key = `${set}/${index}`
      if (volume.chunks[index] !== undefined || fetching.has(key)) continue
      const source = sourceOf({ version: set, index }, key, nowMs, ageMs)
      if (source === undefined) continue
      fetching.add(key)
      void fetchOne(volume, index, key, source, agents).finally(() => {
        fetching.delete(key)
        if (fetchGoal?.model === model && fetchGoal.version === version) fetchMissing(volume)
      })
    }
  }
  const progressOf = (goals: readonly Goal[], loadedVersion: number): readonly Switching.Progress[] => {
    const newest = goals.at(-1)
    if (newest === undefined) return []
    const wanted = loadedVersion >= newest.version ? [newest] : goals.filter(goal => goal.version > loadedVersion)
    return wanted.map(({ model, version, namedAtMs }) => {
      const volume = library.volumeOf(model, version)
      return { version, namedAtMs, heldShare: volume === undefined ? 0 : volume.heldCount / volume.manifest.digests.length }
    })
  }
  return {
    advance: async (goals, loadedVersion) => {
      const version = Switching.versionToFetch(progressOf(goals, loadedVersion), options.versionMs(), clock())
      fetchGoal = goals.find(goal => goal.version === version)
      if (fetchGoal === undefined) return
      const volume = library.volumeOf(fetchGoal.model, fetchGoal.version)
      if (volume === undefined) await openVolume(fetchGoal)
      else fetchMissing(volume)
    },
    progressOf,
    isFetching: (model, version) => fetchGoal?.model === model && fetchGoal.version === version,
    noteHeard: agent => {
      heardAtMs.set(agent, clock())
      downUntilMs.delete(agent)
    },
    noteHeld: (agent, model, version, indexes) => {
      for (const index of indexes) {
        const key = `${model}/${version}/${index}`
        const holders = holdersOf.get(key) ?? new Set()
        holdersOf.set(key, holders.add(agent))
      }
      const volume = library.volumeOf(model, version)
      if (volume !== undefined && fetchGoal?.version === version) fetchMissing(volume)
    }
  }
}
