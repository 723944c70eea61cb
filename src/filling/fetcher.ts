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
import * as Choosing from './choosing.ts'
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
  /** Whether the other agents have been told of, if there are any. */
  readonly knowsMembers: () => boolean
  /** Tells the other agents that this one is there, and asks who else is. */
  readonly callRoll: () => void
  /** Time by which a named version has to be everywhere, in milliseconds. */
  readonly versionMs: () => number
  /** Paces what is fetched, so that calls to the engine on the same link are not held up. */
  readonly download: Pacer.Pacer
  /** Takes over chunks that need not be fetched, before the first one of a version is. */
  readonly adopt: (volume: Library.Volume) => Promise<void>
  /** Tells other agents that chunks may be fetched here. */
  readonly announce: (model: string, version: number, indexes: readonly number[], receivers: readonly string[]) => void
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
  /** Tells an agent that asks of the chunks that it may fetch here. */
  answerRoll: (agent: string) => void
  /** Takes that another agent has chunks. */
  noteHeld: (agent: string, model: string, version: number, indexes: readonly number[]) => void
}

/** Agents that are asked for a manifest when the origin gives none. */
const MANIFEST_ASKED_COUNT = 2
/** An agent that does not know of the others goes on alone after so long, in milliseconds. */
const MEMBERS_PATIENCE_MS = 3_000
/** Chunks fetched at once: enough to keep the link busy over its round trips, few enough that calls are not queued behind them. */
const FETCH_LIMIT_COUNT = 4
/** Chunks asked of one agent at once. */
const ASKED_LIMIT_COUNT = 2
/** An agent that others wait for is asked again after so long, in milliseconds: about the time of a chunk on a thin link. */
const BUSY_MS = 60
/** Agents that did not tell of a chunk are asked for one every so often, in milliseconds: news get lost. */
const BLIND_EVERY_MS = 120
/** Size by which fetches are paced before the first chunk is known, in bytes. */
const FIRST_CHUNK_BYTES = 32_768
/** An agent that did not answer is not counted on for so long, in milliseconds, unless it is heard of. */
const DOWN_MS = 5_000
/** An agent that lacked a chunk is asked for it again after so long, in milliseconds. */
const REFUSED_MS = 1_500
/** The origin is asked again after so long, spread at random, in milliseconds: it resets callers that come together. */
const ORIGIN_BACK_OFF_MS = 300
/** A chunk that the origin did not give goes behind the others for so long, in milliseconds: twice the back-off, so that another one has its turn. */
const ORIGIN_CHUNK_BACK_OFF_MS = 600
const ORIGIN_NAME = 'origin'
/** Named versions that are fetched: the origin has no older ones. */
const KEPT_GOAL_COUNT = 2
/** Chunks that one agent draws from the origin at once, where its connections allow. */
const ORIGIN_LIMIT_COUNT = 2
/** Connections to the origin that all agents share: the origin resets those beyond a few dozen. */
const ORIGIN_CONNECTION_COUNT = 32
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
  const createdAtMs = clock()
  /** When an agent said that it lacks a chunk, as `agent chunk`. */
  const refusedAtMs = new Map<string, number>()
  const tryCounts = new Map<string, number>()
  const fetching = new Set<string>()
  let manifestPending = false
  const rings: Sources.Rings = new Map()
  let linesOf = { signature: '', lines: Sources.createLines([], rings) }
  let misfitCount = 0
  let rollCalledAtMs = -Infinity
  let knewMembers = false
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
    const isHeard = (name: string): boolean => nowMs - rollCalledAtMs < Choosing.ROLL_CALL_MS || (heardAtMs.get(name) ?? -Infinity) > rollCalledAtMs - Choosing.ROLL_CALL_MS
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
  /** Whether it can be worked out who fetches what; forgets what was worked out without the others. */
  const areLinesKnown = (): boolean => {
    if (!options.knowsMembers()) return clock() - createdAtMs >= MEMBERS_PATIENCE_MS
    if (knewMembers) return true
    knewMembers = true
    rings.clear()
    linesOf = { signature: '', lines: Sources.createLines([], rings) }
    if (library.volumes().length > 0) callRoll()
    return true
  }
  const callRoll = (): void => {
    rollCalledAtMs = clock()
    options.callRoll()
  }
  const openVolume = async (goal: Goal): Promise<void> => {
    if (manifestPending || clock() < originAfterMs) return
    manifestPending = true
    callRoll()
    try {
      const drawn = await options.origin()?.manifest(goal.model, goal.version)
      const manifest = drawn?.isOk() === true ? drawn.value : await manifestOfAgents(goal)
      if (manifest === undefined) {
        originAfterMs = clock() + Core.Random.jitter(options.random, ORIGIN_BACK_OFF_MS)
        log('weights', 'Manifest not had.', { model: goal.model, version: goal.version, reason: drawn === undefined ? 'origin not known' : drawn.isErr() ? drawn.error : '' })
        return
      }
      log('weights', 'Version being fetched.', { model: goal.model, version: goal.version, chunkCount: manifest.digests.length, agentCount: agentsThere().length + 1 })
      const volume = library.volumeOf(goal.model, goal.version) ?? library.open(manifest)
      await options.adopt(volume)
      for (const agent of options.members()) answerRoll(agent.name)
    } finally {
      manifestPending = false
    }
  }
  const manifestOfAgents = async (goal: Goal): Promise<Ports.WeightManifest | undefined> => {
    const holders = holdersOf.get(`${goal.model}/${goal.version}/0`)
    const likely = agentsThere().filter(other => holders?.has(other.name) === true || other.region === options.region)
    for (const agent of likely.sort((a, b) => Number(holders?.has(b.name) ?? false) - Number(holders?.has(a.name) ?? false)).slice(0, MANIFEST_ASKED_COUNT)) {
      const manifest = await Exchange.fetchManifest(agent, goal.model, goal.version)
      if (manifest !== undefined) return manifest
    }
    return undefined
  }
  const fetchOne = async (volume: Library.Volume, index: number, key: string, source: Exclude<Choosing.Choice, { kind: 'wait' }>, agents: readonly Follow.Members.Member[]): Promise<void> => {
    const { model, version } = volume.manifest
    const agent = source.kind === 'agent' ? agents.find(other => other.name === source.name) : undefined
    tryCounts.set(key, (tryCounts.get(key) ?? 0) + 1)
    const sourceName = agent?.name ?? ORIGIN_NAME
    askedCounts.set(sourceName, (askedCounts.get(sourceName) ?? 0) + 1)
    const paidBytes = chunkBytes
    await options.download.pass(paidBytes, agent === undefined)
    const drawn = agent === undefined ? await options.origin()?.chunk(model, version, index) : undefined
    const bytes = agent === undefined ? drawn?.unwrapOr(undefined) : await Exchange.fetchChunk(agent, model, version, index)
    askedCounts.set(sourceName, (askedCounts.get(sourceName) ?? 1) - 1)
    const from = agent === undefined ? 'origin' : agent.region === options.region ? 'region' : 'otherRegion'
    if (!(bytes instanceof Buffer)) options.download.refund(paidBytes)
    if (bytes === 'pending') {
      busyUntilMs.set(sourceName, clock() + BUSY_MS)
      return
    }
    const isNew = volume.chunks[index] === undefined
    if (bytes instanceof Buffer && library.put(volume, index, bytes)) {
      metrics.count('weights_fetched_bytes_total', { from }, bytes.length)
      misfitCount = 0
      chunkBytes = bytes.length
      fetchedFrom[from]++
      if (isNew && volume.heldCount === volume.manifest.digests.length) log('weights', 'Version held whole.', { model, version, sinceNamedMs: Switching.sinceNamedMs(fetchGoal?.namedAtMs, clock()), fetchedFrom: { ...fetchedFrom } })
      options.announce(model, version, [index], linesNow().receiversOf({ version: `${model}/${version}`, index }, own))
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
    if (agent !== undefined) {
      refusedAtMs.set(`${agent.name} ${key}`, clock())
      if (bytes === 'absent') holdersOf.get(key)?.delete(agent.name)
    } else {
      refusedAtMs.set(`${ORIGIN_NAME} ${key}`, clock())
      originAfterMs = clock() + Core.Random.jitter(options.random, ORIGIN_BACK_OFF_MS)
    }
  }
  const hasRefused = (name: string, key: string, nowMs: number): boolean => nowMs - (refusedAtMs.get(`${name} ${key}`) ?? -Infinity) < (name === ORIGIN_NAME ? ORIGIN_CHUNK_BACK_OFF_MS : REFUSED_MS)
  /** Chooses where a chunk is fetched now; undefined when it has to wait. */
  const sourceOf = (chunk: Sources.Chunk, key: string, lines: Sources.Lines, regions: ReadonlyMap<string, string>, sinceMs: number, isSettled: boolean): Exclude<Choosing.Choice, { kind: 'wait' }> | undefined => {
    const nowMs = clock()
    const isFree = (name: string): boolean => (askedCounts.get(name) ?? 0) < ASKED_LIMIT_COUNT && !hasRefused(name, key, nowMs) && (busyUntilMs.get(name) ?? 0) <= nowMs
    const told = holdersOf.get(key) ?? new Set<string>()
    const holders = [...told].filter(name => regions.has(name))
    const free = holders.filter(isFree)
    const { part, rank } = lines.placeOf(chunk, own)
    const choice = Choosing.choose({
      isDrawer: part === 'drawer',
      isHead: part === 'head',
      rank,
      nearHolders: free.filter(name => regions.get(name) === options.region),
      farHolders: free.filter(name => regions.get(name) !== options.region),
      isHeld: holders.length > 0,
      others: lines.sourcesOf(chunk, own).flatMap(source => source.kind === 'agent' && !told.has(source.name) && !hasRefused(source.name, key, nowMs) ? [source.name] : []),
      sinceMs,
      isSettled,
      mayAskOthers: nowMs - blindAtMs >= BLIND_EVERY_MS,
      tryCount: tryCounts.get(key) ?? 0
    }, options.random.next())
    if (choice.kind === 'wait' || (choice.kind === 'origin' && (!isOriginFree(nowMs) || hasRefused(ORIGIN_NAME, key, nowMs)))) return undefined
    if (choice.kind === 'agent' && !choice.told) blindAtMs = nowMs
    return choice
  }
  const isOriginFree = (nowMs: number): boolean => (askedCounts.get(ORIGIN_NAME) ?? 0) < originLimitCount() && nowMs >= originAfterMs
  const originLimitCount = (): number => Math.max(1, Math.min(ORIGIN_LIMIT_COUNT, Math.floor(ORIGIN_CONNECTION_COUNT / (options.members().length + 1))))
  const fetchMissing = (volume: Library.Volume): void => {
    const { model, version, digests } = volume.manifest
    const set = `${model}/${version}`
    const agents = agentsThere()
    const regions = new Map(agents.map(agent => [agent.name, agent.region]))
    const lines = linesNow()
    const namedAtMs = fetchGoal?.namedAtMs ?? clock()
    const isSettled = namedAtMs < createdAtMs
    const sinceMs = clock() - (isSettled ? rollCalledAtMs : namedAtMs)
    for (const index of lines.fetchOrder(set, digests.length, own)) {
      if (fetching.size >= FETCH_LIMIT_COUNT) return
      const key = `${set}/${index}`
      if (volume.chunks[index] !== undefined || fetching.has(key)) continue
      const source = sourceOf({ version: set, index }, key, lines, regions, sinceMs, isSettled)
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
  const answerRoll = (agent: string): void => {
    const held = library.volumes().filter(volume => volume.heldCount > 0)
    if (held.length === 0 || !linesNow().tells(own, agent)) return
    for (const { manifest, chunks } of held) {
      options.announce(manifest.model, manifest.version, chunks.flatMap((chunk, index) => chunk === undefined ? [] : [index]), [agent])
    }
  }
  return {
    advance: async (goals, loadedVersion) => {
      const version = Switching.versionToFetch(progressOf(goals, loadedVersion).slice(-KEPT_GOAL_COUNT), options.versionMs(), clock())
      fetchGoal = goals.find(goal => goal.version === version)
      if (fetchGoal === undefined || !areLinesKnown()) return
      const volume = library.volumeOf(fetchGoal.model, fetchGoal.version)
      if (volume === undefined) await openVolume(fetchGoal)
      else fetchMissing(volume)
    },
    progressOf,
    isFetching: (model, version) => fetchGoal?.model === model && fetchGoal.version === version,
    answerRoll,
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
