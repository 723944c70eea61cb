/**
 * Brings the version in force to the engine beside an agent: fetched, verified, staged, read back, started.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import * as CoreHash from '../core/hash.ts'
import type * as Metrics from '../edge/metrics.ts'
import type * as Follow from '../follow/index.ts'
import * as Exchange from './exchange.ts'
import type * as Library from './library.ts'
import type * as Ports from './ports.ts'
import * as Sources from './sources.ts'
import * as Switching from './switching.ts'

/** What a filler needs. */
export interface FillerOptions {
  readonly name: string
  readonly region: string
  readonly engine: Ports.Engine
  readonly origin: () => Ports.Origin | undefined
  readonly library: Library.Library
  /** The other agents. */
  readonly agents: () => readonly Follow.Members.Member[]
  readonly versionMs: number
  readonly clock: () => number
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

/** A filler. */
export interface Filler {
  /** Works towards a goal; to be called with each report of the engine. */
  advance: (goal: Goal, report: Ports.EngineReport) => Promise<void>
  isFetching: (model: string, version: number) => boolean
}

/** Chunks fetched at once: enough to fill a thin link over its round trips. */
const FETCH_LIMIT_COUNT = 5
/** An agent that gave nothing is asked for no chunk for so long, in milliseconds. */
const AGENT_BACK_OFF_MS = 3_000
/** The origin is asked again after so long, in milliseconds. */
const ORIGIN_BACK_OFF_MS = 300
/** A chunk that fits from so many sources in a row points to a wrong manifest. */
const MISFIT_LIMIT_COUNT = 4
/** An order that shows no effect is given again after so long, in milliseconds: reports are fresh on the engine's own machine. */
const ORDER_PATIENCE_MS = 1_500

/**
 * Creates a filler.
 *
 * @param options - The engine, the sources and the library.
 * @returns The filler.
 */
export function createFiller (options: FillerOptions): Filler {
  const { engine, library, clock, log, metrics } = options
  const failures = new Map<number, number>()
  const avoidUntilMs = new Map<string, number>()
  const fetching = new Set<number>()
  /** Chunks that lie at the engine, as far as this process has put or read them. */
  let staged = new Set<number>()
  let current: { model: string, version: number } | undefined
  let bornAtMs: number | undefined
  let manifestPending = false
  let stagingPending = false
  let startedAtMs = -Infinity
  let misfitCount = 0
  let lastGoal: Goal | undefined

  const begin = (goal: Goal): void => {
    if (current?.model === goal.model && current.version === goal.version) return
    current = { model: goal.model, version: goal.version }
    staged = new Set()
    failures.clear()
    misfitCount = 0
    log('weights', 'Version being fetched.', { model: goal.model, version: goal.version, agentCount: options.agents().length + 1 })
  }
  const openVolume = async (goal: Goal): Promise<void> => {
    if (manifestPending) return
    manifestPending = true
    try {
      const manifest = await options.origin()?.manifest(goal.model, goal.version) ?? await manifestOfAgents(goal)
      if (manifest === undefined) { log('weights', 'Manifest not had.', { model: goal.model, version: goal.version }); return }
      const volume = library.volumeOf(goal.model, goal.version) ?? library.open(manifest)
      await adoptStaged(volume)
    } finally {
      manifestPending = false
    }
  }
  const manifestOfAgents = async (goal: Goal): Promise<Ports.WeightManifest | undefined> => {
    for (const agent of options.agents().filter(other => other.region === options.region).slice(0, 2)) {
      const manifest = await Exchange.fetchManifest(agent, goal.model, goal.version)
      if (manifest !== undefined) return manifest
    }
    return undefined
  }
  /** Takes what already lies at the engine, if it is of this version. */
  const adoptStaged = async (volume: Library.Volume): Promise<void> => {
    const { model, version } = volume.manifest
    for (const index of await engine.listStaged(model) ?? []) {
      if (volume.chunks[index] !== undefined) continue
      const bytes = await engine.readStaged(model, index)
      if (bytes === undefined) continue
      if (!library.put(volume, index, bytes)) break
      staged.add(index)
    }
    if (staged.size > 0) log('weights', 'Staged chunks found.', { model, version, chunkCount: staged.size })
  }
  const fetchOne = async (volume: Library.Volume, index: number): Promise<void> => {
    const { model, version } = volume.manifest
    const agents = options.agents()
    const nowMs = clock()
    const own = { name: options.name, region: options.region }
    const sources = Sources.sourcesOf(`${model}/${version}/${index}`, own, agents)
      .filter(source => source.kind === 'origin' || (avoidUntilMs.get(source.name) ?? 0) <= nowMs)
    const source = sources[Math.min(failures.get(index) ?? 0, sources.length - 1)] ?? { kind: 'origin' as const }
    const agent = source.kind === 'agent' ? agents.find(other => other.name === source.name) : undefined
    const bytes = agent === undefined ? await options.origin()?.chunk(model, version, index) : await Exchange.fetchChunk(agent, model, version, index)
    const from = agent === undefined ? 'origin' : agent.region === options.region ? 'region' : 'otherRegion'
    if (bytes !== undefined && library.put(volume, index, bytes)) {
      metrics.count('weights_fetched_bytes_total', { from }, bytes.length)
      misfitCount = 0
      return
    }
    failures.set(index, (failures.get(index) ?? 0) + 1)
    metrics.count('weights_fetch_faults_total', { from })
    log('weights', 'Chunk not had.', { model, version, index, source: agent?.name ?? 'origin', reason: bytes === undefined ? 'no answer' : 'wrong digest' })
    if (bytes !== undefined && ++misfitCount >= MISFIT_LIMIT_COUNT) {
      log('weights', 'Manifest discarded.', { model, version, misfitCount })
      misfitCount = 0
      library.discard(volume)
    }
    if (agent !== undefined && bytes === undefined && (failures.get(index) ?? 0) > 1) avoidUntilMs.set(agent.name, clock() + AGENT_BACK_OFF_MS)
    if (agent === undefined) await new Promise(resolve => { setTimeout(resolve, ORIGIN_BACK_OFF_MS) })
  }
  const fetchMissing = (volume: Library.Volume): void => {
    for (const index of fetchOrder(volume, options.name)) {
      if (fetching.size >= FETCH_LIMIT_COUNT) return
      if (volume.chunks[index] !== undefined || fetching.has(index)) continue
      fetching.add(index)
      void fetchOne(volume, index).finally(() => {
        fetching.delete(index)
        if (current?.version === volume.manifest.version) fetchMissing(volume)
      })
    }
  }
  const stageHeld = async (volume: Library.Volume): Promise<void> => {
    if (stagingPending) return
    stagingPending = true
    try {
      for (const [index, bytes] of volume.chunks.entries()) {
        if (bytes === undefined || staged.has(index)) continue
        if (!await engine.stage(volume.manifest.model, index, bytes)) return
        staged.add(index)
      }
    } finally {
      stagingPending = false
    }
  }
  /** Reads every staged chunk back; spoilt ones are staged anew. */
  const verifyStaged = async (volume: Library.Volume): Promise<boolean> => {
    let spoiltCount = 0
    for (const [index, digest] of volume.manifest.digests.entries()) {
      const bytes = await engine.readStaged(volume.manifest.model, index)
      if (bytes !== undefined && CoreHash.sha256(bytes) === digest) continue
      staged.delete(index)
      spoiltCount++
    }
    if (spoiltCount > 0) log('weights', 'Staged chunks spoilt.', { model: volume.manifest.model, version: volume.manifest.version, spoiltCount })
    return spoiltCount === 0
  }
  const start = async (goal: Goal, volume: Library.Volume, report: Ports.EngineReport): Promise<void> => {
    const nowMs = clock()
    if (nowMs - startedAtMs < ORDER_PATIENCE_MS || report.loading || stagingPending) return
    const serves = (report.weights ?? []).some(held => held.model === goal.model)
    const dueAtMs = Switching.startAtMs({ ...goal, versionMs: options.versionMs, own: options.name, names: options.agents().map(agent => agent.name) })
    if (serves && nowMs < dueAtMs) return
    stagingPending = true
    try {
      if (!await verifyStaged(volume)) return
      startedAtMs = clock()
      const answer = await engine.start(goal.model, goal.version)
      log('weights', 'Engine told to load.', { model: goal.model, version: goal.version, answer, activeCount: report.activeCount, sinceNamedMs: Math.round(startedAtMs - goal.namedAtMs) })
    } finally {
      stagingPending = false
    }
  }
  return {
    advance: async (goal, report) => {
      if (report.bornAtMs !== bornAtMs) {
        bornAtMs = report.bornAtMs
        staged = new Set()
        startedAtMs = -Infinity
      }
      lastGoal = goal
      begin(goal)
      const volume = library.volumeOf(goal.model, goal.version)
      if (volume === undefined) { await openVolume(goal); return }
      fetchMissing(volume)
      if ((report.weights ?? []).some(held => held.model === goal.model && held.version >= goal.version)) return
      await stageHeld(volume)
      if (staged.size === volume.manifest.digests.length) await start(goal, volume, report)
    },
    isFetching: (model, version) => lastGoal?.model === model && lastGoal.version === version
  }
}

/** Chunks in an order of the agent's own, so that agents do not all ask for the same one first. */
function fetchOrder (volume: Library.Volume, name: string): number[] {
  const { digests } = volume.manifest
  const offset = CoreHash.rankOf(name) % Math.max(1, digests.length)
  return digests.map((_, at) => (at + offset) % digests.length)
}
