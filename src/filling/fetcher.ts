/**
 * Fetches the chunks of named versions from the origin and from other agents.
 *
 * It runs even while the agent's engine does not answer, since other agents wait for the chunks that
 * this agent fetches from the origin.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import type * as Metrics from '../edge/metrics.ts'
import type * as Follow from '../follow/index.ts'
import type * as Pacer from '../weights/edge/pacer.ts'
import * as Choosing from './choosing.ts'
import type * as ChunkCache from './chunkCache.ts'
import * as Exchange from './exchange.ts'
import * as Manifests from './manifests.ts'
import type * as Ports from './ports.ts'
import * as Sources from './sources.ts'
import * as Switching from './switching.ts'

/** Options of a fetcher. */
export interface FetcherOptions {
  readonly name: string
  readonly region: string
  /** Returns the origin; undefined before its address is known. */
  readonly origin: () => Ports.Origin | undefined
  readonly cache: ChunkCache.ChunkCache
  /** Returns the number of chunks of each version of a model; undefined while it is not known. */
  readonly chunkCountOf: (model: string) => number | undefined
  /** The other agents. */
  readonly members: () => readonly Follow.Members.Member[]
  /** Whether the list of other agents is known, even if it is empty. */
  readonly knowsMembers: () => boolean
  /** Sends a roll call: tells the other agents that this one is running, and asks them to answer. */
  readonly sendRollCall: () => void
  /** Time allowed for a named version to reach all endpoints, in milliseconds. */
  readonly versionMs: () => number
  /** Paces the fetches, so that they do not delay calls to the engine on the same link. */
  readonly download: Pacer.Pacer
  /** Adds the chunks that are staged at the engine already; called before the first chunk of a version is fetched. */
  readonly adoptStaged: (chunkSet: ChunkCache.ChunkSet) => Promise<void>
  /** Announces to other agents that this one holds chunks. */
  readonly announce: (model: string, version: number, indexes: readonly number[], receivers: readonly string[]) => void
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** Version that the engine has to load. */
export interface Goal {
  readonly model: string
  readonly version: number
  /** Time at which the version was named, in milliseconds. */
  readonly namedAtMs: number
}

/** Fetcher of an agent. */
export interface Fetcher {
  /** Starts the fetches that are possible now. The goals are ordered from the oldest to the newest; has to be called a few times a second. */
  advance: (goals: readonly Goal[], loadedVersion: number) => Promise<void>
  /** Returns the progress of each goal that the engine has not loaded, or of the newest alone if it has loaded all. */
  progressOf: (goals: readonly Goal[], loadedVersion: number) => readonly Switching.FetchProgress[]
  isFetching: (model: string, version: number) => boolean
  /** Records that a message from another agent arrived. */
  recordContact: (agent: string) => void
  /** Announces all held chunks to an agent that sent a roll call. */
  answerRollCall: (agent: string) => void
  /** Records that another agent holds chunks. */
  recordHolder: (agent: string, model: string, version: number, indexes: readonly number[]) => void
}

/** A plan, and the agents and their reachability that it was made for. */
interface CachedPlan {
  readonly members: readonly Follow.Members.Member[]
  readonly reachability: readonly boolean[]
  readonly plan: Sources.FetchPlan
}

/** Maximum number of agents that are asked for a manifest if the origin does not provide one. */
const MANIFEST_AGENT_LIMIT_COUNT = 2
/** Time after which an agent starts to fetch without a list of the other agents, in milliseconds. */
const MEMBERS_TIMEOUT_MS = 3_000
/** Maximum number of chunks in flight: enough to use the link despite its round-trip time, few enough not to queue calls behind them. */
const FETCH_LIMIT_COUNT = 4
/** Maximum number of chunks in flight from one agent. */
const FETCH_PER_AGENT_LIMIT_COUNT = 2
/** Time after which a busy agent is asked again, in milliseconds: about the transfer time of a chunk on a slow link. */
const BUSY_RETRY_MS = 60
/** Interval at which agents that did not announce a chunk are asked for it, in milliseconds; an announcement may have been lost. */
const PROBE_INTERVAL_MS = 120
/** Chunk size assumed for pacing until the first chunk has arrived, in bytes. */
const ASSUMED_CHUNK_BYTES = 32_768
/** Time for which an agent that did not answer counts as unreachable, in milliseconds, unless a message from it arrives earlier. */
const UNREACHABLE_MS = 5_000
/** Time after which an agent that failed to send a chunk is asked for it again, in milliseconds. */
const AGENT_CHUNK_RETRY_MS = 1_500
/** Backoff after a failure of the origin, before jitter, in milliseconds; the origin resets callers that connect at the same time. */
const ORIGIN_BACKOFF_MS = 300
/** Time for which a chunk that the origin failed to send is not requested from it again, in milliseconds: twice the backoff, so that another chunk comes first. */
const ORIGIN_CHUNK_BACKOFF_MS = 600
const ORIGIN_NAME = 'origin'
/** Number of newest named versions that are fetched; the origin has no older ones. */
const GOAL_LIMIT_COUNT = 2
/** Maximum number of chunks in flight from the origin per agent, if `ORIGIN_CONNECTION_LIMIT_COUNT` allows it. */
const FETCH_PER_ORIGIN_LIMIT_COUNT = 2
/** Maximum number of connections to the origin from all agents together; the origin resets those beyond a few dozen. */
const ORIGIN_CONNECTION_LIMIT_COUNT = 32
/** Number of consecutive chunks with a wrong digest, from any source, after which the manifest is taken to be wrong. */
const MISMATCH_LIMIT_COUNT = 4

/**
 * Creates a fetcher.
 *
 * @param options - The sources, the cache and further dependencies.
 * @returns The fetcher.
 */
export function createFetcher (options: FetcherOptions): Fetcher {
  const { cache, clock, log, metrics } = options
  const own = options.name
  const createdAtMs = clock()
  /** Times at which a source failed to send a chunk, by `source model/version/index`, in milliseconds. */
  const failedAtMs = new Map<string, number>()
  const tryCounts = new Map<string, number>()
  const inFlightKeys = new Set<string>()
  let manifestPending = false
  /** The version whose manifest is wanted, and since when, in milliseconds. */
  let wantedManifest = { versionKey: '', sinceMs: -Infinity }
  const rotations: Sources.OriginRotations = new Map()
  const orders = Sources.createChunkOrders()
  let cachedPlan: CachedPlan | undefined
  let mismatchCount = 0
  let rollCalledAtMs = -Infinity
  let hadMembers = false
  const lastHeardAtMs = new Map<string, number>()
  const unreachableUntilMs = new Map<string, number>()
  let originNotBeforeMs = -Infinity
  let probedAtMs = -Infinity
  const fetchedFrom = { origin: 0, region: 0, otherRegion: 0 }
  let chunkBytes = ASSUMED_CHUNK_BYTES
  /** Agents that announced a chunk, by `model/version/index`. */
  const holdersOf = new Map<string, Set<string>>()
  const inFlightCounts = new Map<string, number>()
  const busyUntilMs = new Map<string, number>()
  let fetchGoal: Goal | undefined

  /** Returns the agents heard from since the last roll call, or all of them while answers to it may still arrive. Agents that recently failed to answer a request are left out. */
  const reachableAgents = (): Follow.Members.Member[] => {
    const nowMs = clock()
    const isHeard = (name: string): boolean => nowMs - rollCalledAtMs < Choosing.ROLL_CALL_WAIT_MS || (lastHeardAtMs.get(name) ?? -Infinity) > rollCalledAtMs - Choosing.ROLL_CALL_WAIT_MS
    return options.members().filter(member => isHeard(member.name) && (unreachableUntilMs.get(member.name) ?? 0) <= nowMs)
  }
  /** Returns the plan for the current agents; it is recomputed only when an agent joins, leaves or changes its reachability. */
  const currentPlan = (): Sources.FetchPlan => {
    const members = options.members()
    const reachable = new Set(reachableAgents())
    const isCurrent = cachedPlan?.members === members && members.every((member, at) => cachedPlan?.reachability[at] === reachable.has(member))
    if (cachedPlan !== undefined && isCurrent) return cachedPlan.plan
    const reachability = members.map(member => reachable.has(member))
    const participants = [{ name: own, region: options.region, isReachable: true }, ...members.map(({ name, region }, at) => ({ name, region, isReachable: reachability[at] === true }))]
    cachedPlan = { members, reachability, plan: Sources.createFetchPlan(participants, rotations, orders) }
    return cachedPlan.plan
  }
  /** Returns whether fetching may start. Once the other agents become known, it discards the plan made without them. */
  const isPlanReady = (): boolean => {
    if (!options.knowsMembers()) return clock() - createdAtMs >= MEMBERS_TIMEOUT_MS
    if (hadMembers) return true
    hadMembers = true
    rotations.clear()
    cachedPlan = undefined
    if (cache.chunkSets().length > 0) startRollCall()
    return true
  }
  const startRollCall = (): void => {
    rollCalledAtMs = clock()
    options.sendRollCall()
  }
  /** Returns the agents that announced a chunk of a version. */
  const holdersOfVersion = ({ model, version }: Goal): ReadonlySet<string> => new Set([...holdersOf].flatMap(([key, holders]) => key.startsWith(`${model}/${version}/`) ? [...holders] : []))
  const openChunkSet = async (goal: Goal): Promise<void> => {
    if (manifestPending || clock() < originNotBeforeMs) return
    const versionKey = `${goal.model}/${goal.version}`
    const isFirstTry = wantedManifest.versionKey !== versionKey
    if (isFirstTry) wantedManifest = { versionKey, sinceMs: clock() }
    const source = Choosing.chooseManifestSource({ isDrawer: currentPlan().isDrawer(versionKey, own), hasHolder: holdersOfVersion(goal).size > 0, elapsedMs: clock() - wantedManifest.sinceMs })
    if (isFirstTry || source === 'origin') startRollCall()
    if (source === 'wait') return
    manifestPending = true
    try {
      const found = source === 'origin' ? await fetchManifestFromOrigin(goal) : Neverthrow.err<Ports.WeightManifest, string>('no agent gave it')
      const manifest = found.isOk() ? found.value : await fetchManifestFromAgents(goal)
      if (manifest === undefined) {
        originNotBeforeMs = clock() + Core.Random.jitter(options.random, ORIGIN_BACKOFF_MS)
        log('weights', 'Manifest not had.', { model: goal.model, version: goal.version, reason: found.isErr() ? found.error : '' })
        return
      }
      log('weights', 'Version being fetched.', { model: goal.model, version: goal.version, chunkCount: manifest.digests.length, agentCount: reachableAgents().length + 1 })
      const chunkSet = cache.chunkSetOf(goal.model, goal.version) ?? cache.open(manifest)
      await options.adoptStaged(chunkSet)
      for (const agent of options.members()) answerRollCall(agent.name)
    } finally {
      manifestPending = false
    }
  }
  /** Returns why a manifest cannot be used for a version; undefined if it can. */
  const manifestProblemOf = (manifest: Ports.WeightManifest, { model, version }: Goal): string | undefined => Manifests.problemOf(manifest, { model, version, chunkCount: options.chunkCountOf(model) })
  const fetchManifestFromOrigin = async (goal: Goal): Promise<Neverthrow.Result<Ports.WeightManifest, string>> => {
    const result = await options.origin()?.manifest(goal.model, goal.version) ?? Neverthrow.err('origin not known')
    return result.andThen(manifest => {
      const problem = manifestProblemOf(manifest, goal)
      return problem === undefined ? Neverthrow.ok(manifest) : Neverthrow.err(problem)
    })
  }
  const fetchManifestFromAgents = async (goal: Goal): Promise<Ports.WeightManifest | undefined> => {
    const holders = holdersOfVersion(goal)
    const candidates = reachableAgents().filter(other => holders.has(other.name) || other.region === options.region)
    for (const agent of candidates.sort((a, b) => Number(holders.has(b.name)) - Number(holders.has(a.name))).slice(0, MANIFEST_AGENT_LIMIT_COUNT)) {
      const manifest = await Exchange.fetchManifest(agent, goal.model, goal.version)
      if (manifest !== undefined && manifestProblemOf(manifest, goal) === undefined) return manifest
    }
    return undefined
  }
  const fetchMissingChunk = async (chunkSet: ChunkCache.ChunkSet, index: number, key: string, source: Exclude<Choosing.Choice, { kind: 'wait' }>, agents: readonly Follow.Members.Member[]): Promise<void> => {
    const { model, version } = chunkSet.manifest
    const agent = source.kind === 'agent' ? agents.find(other => other.name === source.name) : undefined
    tryCounts.set(key, (tryCounts.get(key) ?? 0) + 1)
    const sourceName = agent?.name ?? ORIGIN_NAME
    inFlightCounts.set(sourceName, (inFlightCounts.get(sourceName) ?? 0) + 1)
    const pacedBytes = chunkBytes
    await options.download.pass(pacedBytes, agent === undefined)
    const originResult = agent === undefined ? await options.origin()?.chunk(model, version, index) : undefined
    const bytes = agent === undefined ? originResult?.unwrapOr(undefined) : await Exchange.fetchChunk(agent, model, version, index)
    inFlightCounts.set(sourceName, (inFlightCounts.get(sourceName) ?? 1) - 1)
    const from = agent === undefined ? 'origin' : agent.region === options.region ? 'region' : 'otherRegion'
    if (!(bytes instanceof Buffer)) options.download.refund(pacedBytes)
    if (bytes === 'pending') {
      busyUntilMs.set(sourceName, clock() + BUSY_RETRY_MS)
      return
    }
    const isNew = chunkSet.chunks[index] === undefined
    if (bytes instanceof Buffer && cache.put(chunkSet, index, bytes)) {
      metrics.count('weights_fetched_bytes_total', { from }, bytes.length)
      mismatchCount = 0
      chunkBytes = bytes.length
      fetchedFrom[from]++
      if (isNew && chunkSet.heldCount === chunkSet.manifest.digests.length) log('weights', 'Version held whole.', { model, version, sinceNamedMs: Switching.sinceNamedMs(fetchGoal?.namedAtMs, clock()), fetchedFrom: { ...fetchedFrom } })
      options.announce(model, version, [index], currentPlan().receiversOf({ version: `${model}/${version}`, index }, own))
      return
    }
    metrics.count('weights_fetch_faults_total', { from })
    log('weights', 'Chunk not had.', { model, version, index, source: sourceName, reason: originResult?.isErr() === true ? originResult.error : bytes === undefined ? 'no answer' : bytes === 'absent' ? bytes : 'wrong digest', tryCount: tryCounts.get(key) })
    if (bytes instanceof Buffer && ++mismatchCount >= MISMATCH_LIMIT_COUNT) {
      log('weights', 'Manifest discarded.', { model, version, misfitCount: mismatchCount })
      mismatchCount = 0
      cache.discard(chunkSet)
    }
    if (agent !== undefined && bytes === undefined) unreachableUntilMs.set(agent.name, clock() + UNREACHABLE_MS)
    if (agent !== undefined) {
      failedAtMs.set(`${agent.name} ${key}`, clock())
      if (bytes === 'absent') holdersOf.get(key)?.delete(agent.name)
    } else {
      failedAtMs.set(`${ORIGIN_NAME} ${key}`, clock())
      originNotBeforeMs = clock() + Core.Random.jitter(options.random, ORIGIN_BACKOFF_MS)
    }
  }
  const hasFailed = (name: string, key: string, nowMs: number): boolean => nowMs - (failedAtMs.get(`${name} ${key}`) ?? -Infinity) < (name === ORIGIN_NAME ? ORIGIN_CHUNK_BACKOFF_MS : AGENT_CHUNK_RETRY_MS)
  /** Chooses the source of a chunk; undefined if the chunk has to wait. */
  const chooseSource = (chunk: Sources.Chunk, key: string, plan: Sources.FetchPlan, regions: ReadonlyMap<string, string>, elapsedMs: number, wasNamedBeforeStart: boolean): Exclude<Choosing.Choice, { kind: 'wait' }> | undefined => {
    const nowMs = clock()
    const isFree = (name: string): boolean => (inFlightCounts.get(name) ?? 0) < FETCH_PER_AGENT_LIMIT_COUNT && !hasFailed(name, key, nowMs) && (busyUntilMs.get(name) ?? 0) <= nowMs
    const announced = holdersOf.get(key) ?? new Set<string>()
    const holders = [...announced].filter(name => regions.has(name))
    const freeHolders = holders.filter(isFree)
    const { role, rank } = plan.assignmentOf(chunk, own)
    const choice = Choosing.choose({
      isOriginFetcher: role === 'drawer',
      isRegionHead: role === 'head',
      rank,
      sameRegionHolders: freeHolders.filter(name => regions.get(name) === options.region),
      otherRegionHolders: freeHolders.filter(name => regions.get(name) !== options.region),
      hasHolder: holders.length > 0,
      possibleHolders: plan.sourcesOf(chunk, own).flatMap(source => source.kind === 'agent' && !announced.has(source.name) && !hasFailed(source.name, key, nowMs) ? [source.name] : []),
      elapsedMs,
      wasNamedBeforeStart,
      mayAskPossibleHolders: nowMs - probedAtMs >= PROBE_INTERVAL_MS,
      tryCount: tryCounts.get(key) ?? 0
    }, options.random.next())
    if (choice.kind === 'wait' || (choice.kind === 'origin' && (!isOriginFree(nowMs) || hasFailed(ORIGIN_NAME, key, nowMs)))) return undefined
    if (choice.kind === 'agent' && !choice.isAnnounced) probedAtMs = nowMs
    return choice
  }
  const isOriginFree = (nowMs: number): boolean => (inFlightCounts.get(ORIGIN_NAME) ?? 0) < originLimitCount() && nowMs >= originNotBeforeMs
  const originLimitCount = (): number => Math.max(1, Math.min(FETCH_PER_ORIGIN_LIMIT_COUNT, Math.floor(ORIGIN_CONNECTION_LIMIT_COUNT / (options.members().length + 1))))
  const fetchMissing = (chunkSet: ChunkCache.ChunkSet): void => {
    const { model, version, digests } = chunkSet.manifest
    const versionKey = `${model}/${version}`
    const agents = reachableAgents()
    const regions = new Map(agents.map(agent => [agent.name, agent.region]))
    const plan = currentPlan()
    const namedAtMs = fetchGoal?.namedAtMs ?? clock()
    const wasNamedBeforeStart = namedAtMs < createdAtMs
    const elapsedMs = clock() - (wasNamedBeforeStart ? rollCalledAtMs : namedAtMs)
    for (const index of plan.fetchOrder(versionKey, digests.length, own)) {
      if (inFlightKeys.size >= FETCH_LIMIT_COUNT) return
      const key = `${versionKey}/${index}`
      if (chunkSet.chunks[index] !== undefined || inFlightKeys.has(key)) continue
      const source = chooseSource({ version: versionKey, index }, key, plan, regions, elapsedMs, wasNamedBeforeStart)
      if (source === undefined) continue
      inFlightKeys.add(key)
      void fetchMissingChunk(chunkSet, index, key, source, agents).finally(() => {
        inFlightKeys.delete(key)
        if (fetchGoal?.model === model && fetchGoal.version === version) fetchMissing(chunkSet)
      })
    }
  }
  const progressOf = (goals: readonly Goal[], loadedVersion: number): readonly Switching.FetchProgress[] => {
    const newest = goals.at(-1)
    if (newest === undefined) return []
    const wanted = loadedVersion >= newest.version ? [newest] : goals.filter(goal => goal.version > loadedVersion)
    return wanted.map(({ model, version, namedAtMs }) => {
      const chunkSet = cache.chunkSetOf(model, version)
      return { version, namedAtMs, heldShare: chunkSet === undefined ? 0 : chunkSet.heldCount / chunkSet.manifest.digests.length }
    })
  }
  const answerRollCall = (agent: string): void => {
    const holding = cache.chunkSets().filter(chunkSet => chunkSet.heldCount > 0)
    if (holding.length === 0 || !currentPlan().answersRollCallOf(own, agent)) return
    for (const { manifest, chunks } of holding) {
      options.announce(manifest.model, manifest.version, chunks.flatMap((chunk, index) => chunk === undefined ? [] : [index]), [agent])
    }
  }
  return {
    advance: async (goals, loadedVersion) => {
      const version = Switching.versionToFetch(progressOf(goals, loadedVersion).slice(-GOAL_LIMIT_COUNT), options.versionMs(), clock())
      fetchGoal = goals.find(goal => goal.version === version)
      if (fetchGoal === undefined || !isPlanReady()) return
      const chunkSet = cache.chunkSetOf(fetchGoal.model, fetchGoal.version)
      if (chunkSet === undefined) await openChunkSet(fetchGoal)
      else fetchMissing(chunkSet)
    },
    progressOf,
    isFetching: (model, version) => fetchGoal?.model === model && fetchGoal.version === version,
    answerRollCall,
    recordContact: agent => {
      lastHeardAtMs.set(agent, clock())
      unreachableUntilMs.delete(agent)
    },
    recordHolder: (agent, model, version, indexes) => {
      for (const index of indexes) {
        const key = `${model}/${version}/${index}`
        const holders = holdersOf.get(key) ?? new Set()
        holdersOf.set(key, holders.add(agent))
      }
      const chunkSet = cache.chunkSetOf(model, version)
      if (chunkSet !== undefined && fetchGoal?.version === version) fetchMissing(chunkSet)
    }
  }
}
