/**
 * Brings a fetched version into the agent's engine: stages its chunks, reads them back and orders the engine to load them.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Follow from '../follow/index.ts'
import type * as ChunkCache from './chunkCache.ts'
import type * as Fetcher from './fetcher.ts'
import type * as Ports from './ports.ts'
import * as Switching from './switching.ts'

/** Options of a filler. */
export interface FillerOptions {
  readonly name: string
  readonly engine: Ports.Engine
  readonly cache: ChunkCache.ChunkCache
  /** The other agents. */
  readonly members: () => readonly Follow.Members.Member[]
  /** Time allowed for a named version to reach all endpoints, in milliseconds. */
  readonly versionMs: () => number
  /** Whether every stream of the engine's service may be resumed at another endpoint. */
  readonly isResumable: () => boolean
  readonly progressOf: Fetcher.Fetcher['progressOf']
  /** Returns the time from which calls may require a newer version than the loaded one, in milliseconds. */
  readonly supersededAtMs: (model: string, loadedVersion: number) => number
  /** Called on each report with whether the engine serves; chunks may use the whole link while it does not. */
  readonly onServing: (serving: boolean) => void
  readonly clock: () => number
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** Filler of an agent's engine. */
export interface Filler {
  /** Adds the chunks staged at the engine to a set, as far as they match its manifest. */
  adoptStaged: (chunkSet: ChunkCache.ChunkSet) => Promise<void>
  /** Stages chunks and orders the engine to load when that is due. The goals are ordered from the oldest to the newest; has to be called with each report of the engine. */
  advance: (goals: readonly Fetcher.Goal[], report: Ports.EngineReport) => Promise<void>
  /** Returns the version of a model that the engine had loaded at its last report; 0 for none. */
  loadedVersionOf: (model: string) => number
  /** Returns whether the engine should get no new calls because it is about to load. */
  isRetiring: () => boolean
}

/** Time after which a load order without effect is repeated, in milliseconds; the engine is on the same machine, so its reports are recent. */
const LOAD_RETRY_MS = 1_500

/**
 * Creates a filler.
 *
 * @param options - The engine, the cache and further dependencies.
 * @returns The filler.
 */
export function createFiller (options: FillerOptions): Filler {
  const { engine, cache, clock, log } = options
  /** Indexes of the chunks that this process has staged at the engine or verified there. */
  let staged = new Set<number>()
  let stagedVersion: number | undefined
  /** Start time of the engine from its report, in milliseconds; a restart loses the staged chunks. */
  let engineStartedAtMs: number | undefined
  let isStagingBusy = false
  let loadOrderedAtMs = -Infinity
  /** Time since which the engine gets no new calls, in milliseconds. */
  let retiredAtMs: number | undefined
  const loadedVersions = new Map<string, number>()

  const adoptStaged = async (chunkSet: ChunkCache.ChunkSet): Promise<void> => {
    const { model, version } = chunkSet.manifest
    const verified = new Set<number>()
    for (const index of await engine.listStaged(model) ?? []) {
      const bytes = await engine.readStaged(model, index)
      if (bytes === undefined) continue
      if (cache.put(chunkSet, index, bytes)) verified.add(index)
    }
    if (verified.size === 0) return
    staged = verified
    stagedVersion = version
    log('weights', 'Staged chunks found.', { model, version, chunkCount: verified.size })
  }
  const stageChunks = async (chunkSet: ChunkCache.ChunkSet): Promise<void> => {
    if (isStagingBusy) return
    isStagingBusy = true
    if (stagedVersion !== chunkSet.manifest.version) {
      stagedVersion = chunkSet.manifest.version
      staged = new Set()
    }
    try {
      for (const [index, bytes] of chunkSet.chunks.entries()) {
        if (bytes === undefined || staged.has(index)) continue
        if (!await engine.stage(chunkSet.manifest.model, index, bytes)) return
        staged.add(index)
      }
    } finally {
      isStagingBusy = false
    }
  }
  /** Reads every staged chunk back and returns whether all are intact; corrupt ones are marked for staging again. */
  const verifyStaged = async (chunkSet: ChunkCache.ChunkSet): Promise<boolean> => {
    let spoiltCount = 0
    for (const [index, digest] of chunkSet.manifest.digests.entries()) {
      const bytes = await engine.readStaged(chunkSet.manifest.model, index)
      if (bytes !== undefined && Core.Hash.sha256(bytes) === digest) continue
      staged.delete(index)
      spoiltCount++
    }
    if (spoiltCount > 0) log('weights', 'Staged chunks spoilt.', { model: chunkSet.manifest.model, version: chunkSet.manifest.version, spoiltCount })
    return spoiltCount === 0
  }
  const orderLoadWhenDue = async (goal: Fetcher.Goal, supersededAtMs: number, chunkSet: ChunkCache.ChunkSet, report: Ports.EngineReport): Promise<void> => {
    const nowMs = clock()
    if (nowMs - loadOrderedAtMs < LOAD_RETRY_MS || report.loading || isStagingBusy) return
    const isServing = (report.weights ?? []).some(held => held.model === goal.model)
    const dueAtMs = Switching.switchAtMs({ model: goal.model, version: goal.version, supersededAtMs, versionMs: options.versionMs(), ownName: options.name, agentNames: options.members().map(agent => agent.name) })
    if (isServing && nowMs < dueAtMs) return
    if (isServing) retiredAtMs ??= nowMs
    const mode = isServing ? Switching.loadMode(report.activeCount, nowMs - (retiredAtMs ?? nowMs), options.isResumable()) : 'afterRunning'
    if (mode === undefined) return
    isStagingBusy = true
    const checkedFromMs = clock()
    try {
      if (!await verifyStaged(chunkSet)) return
      loadOrderedAtMs = clock()
      const answer = await engine.loadStaged(goal.model, goal.version, mode)
      const answeredAtMs = clock()
      log('weights', 'Engine told to load.', { model: goal.model, version: goal.version, mode, answer, activeCount: report.activeCount, checkAgeMs: Math.round(answeredAtMs - checkedFromMs), tookMs: Math.round(answeredAtMs - loadOrderedAtMs), sinceNamedMs: Switching.sinceNamedMs(goal.namedAtMs, loadOrderedAtMs) })
    } finally {
      isStagingBusy = false
    }
  }
  return {
    adoptStaged,
    advance: async (goals, report) => {
      if (report.bornAtMs !== engineStartedAtMs) {
        engineStartedAtMs = report.bornAtMs
        staged = new Set()
        loadOrderedAtMs = -Infinity
        retiredAtMs = undefined
      }
      const newest = goals.at(-1)
      if (newest === undefined) return
      const { model } = newest
      const loaded = (report.weights ?? []).find(held => held.model === model)?.version ?? 0
      options.onServing(loaded > 0)
      if (loaded !== (loadedVersions.get(model) ?? 0)) {
        if (loaded > 0 && loadOrderedAtMs !== -Infinity) log('weights', 'Engine loaded.', { model, version: loaded, tookMs: Math.round(clock() - loadOrderedAtMs) })
        retiredAtMs = undefined
        loadedVersions.set(model, loaded)
      }
      if (loaded >= newest.version) return
      const progress = options.progressOf(goals, loaded)
      const version = Switching.versionToLoad(progress) ?? Switching.versionToStage(progress)
      const goal = goals.find(other => other.version === version)
      const chunkSet = goal === undefined ? undefined : cache.chunkSetOf(model, goal.version)
      if (goal === undefined || chunkSet === undefined) return
      await stageChunks(chunkSet)
      if (staged.size !== chunkSet.manifest.digests.length || stagedVersion !== goal.version) return
      await orderLoadWhenDue(goal, options.supersededAtMs(model, loaded), chunkSet, report)
    },
    loadedVersionOf: model => loadedVersions.get(model) ?? 0,
    isRetiring: () => retiredAtMs !== undefined
  }
}
