/**
 * Brings a fetched version to the engine beside an agent: staged, read back, started.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Follow from '../follow/index.ts'
import type * as Fetcher from './fetcher.ts'
import type * as Library from './library.ts'
import type * as Ports from './ports.ts'
import * as Switching from './switching.ts'

/** What a filler needs. */
export interface FillerOptions {
  readonly name: string
  readonly engine: Ports.Engine
  readonly library: Library.Library
  /** The other agents. */
  readonly members: () => readonly Follow.Members.Member[]
  /** Time by which a named version has to be everywhere, in milliseconds. */
  readonly versionMs: () => number
  /** Whether every stream of the engine's service may go on at another endpoint. */
  readonly isResumable: () => boolean
  readonly progressOf: Fetcher.Fetcher['progressOf']
  /** Since when a newer version than a loaded one may bind calls, in milliseconds. */
  readonly owedSinceMs: (model: string, loadedVersion: number) => number
  /** Told whether the engine serves, so that an idle link may be filled. */
  readonly setServing: (serving: boolean) => void
  readonly clock: () => number
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A filler. */
export interface Filler {
  /** Takes what already lies at the engine, if it is of the volume's version. */
  adopt: (volume: Library.Volume) => Promise<void>
  /** Works towards the named versions, the oldest first; to be called with each report of the engine. */
  advance: (goals: readonly Fetcher.Goal[], report: Ports.EngineReport) => Promise<void>
  /** The version of a model that the engine had loaded at its last report; 0 for none. */
  loadedVersionOf: (model: string) => number
  /** Whether the engine is to be given no new calls, since it is about to load. */
  isRetiring: () => boolean
}

/** An order that shows no effect is given again after so long, in milliseconds: reports are fresh on the engine's own machine. */
const ORDER_PATIENCE_MS = 1_500

/**
 * Creates a filler.
 *
 * @param options - The engine and the library.
 * @returns The filler.
 */
export function createFiller (options: FillerOptions): Filler {
  const { engine, library, clock, log } = options
  /** Chunks that lie at the engine, as far as this process has put or read them. */
  let staged = new Set<number>()
  let stagedVersion: number | undefined
  /** When the engine was started, by its own report; a new start forgets what was staged. */
  let bornAtMs: number | undefined
  let stagingPending = false
  let startedAtMs = -Infinity
  /** Since when the engine is given no new calls, in milliseconds. */
  let retiredAtMs: number | undefined
  const loadedVersions = new Map<string, number>()

  const adopt = async (volume: Library.Volume): Promise<void> => {
    const { model, version } = volume.manifest
    const found = new Set<number>()
    for (const index of await engine.listStaged(model) ?? []) {
      const bytes = await engine.readStaged(model, index)
      if (bytes === undefined) continue
      if (library.put(volume, index, bytes)) found.add(index)
    }
    if (found.size === 0) return
    staged = found
    stagedVersion = version
    log('weights', 'Staged chunks found.', { model, version, chunkCount: found.size })
  }
  const stageHeld = async (volume: Library.Volume): Promise<void> => {
    if (stagingPending) return
    stagingPending = true
    if (stagedVersion !== volume.manifest.version) {
      stagedVersion = volume.manifest.version
      staged = new Set()
    }
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
      if (bytes !== undefined && Core.Hash.sha256(bytes) === digest) continue
      staged.delete(index)
      spoiltCount++
    }
    if (spoiltCount > 0) log('weights', 'Staged chunks spoilt.', { model: volume.manifest.model, version: volume.manifest.version, spoiltCount })
    return spoiltCount === 0
  }
  const start = async (goal: Fetcher.Goal, owedSinceMs: number, volume: Library.Volume, report: Ports.EngineReport): Promise<void> => {
    const nowMs = clock()
    if (nowMs - startedAtMs < ORDER_PATIENCE_MS || report.loading || stagingPending) return
    const serves = (report.weights ?? []).some(held => held.model === goal.model)
    const dueAtMs = Switching.startAtMs({ model: goal.model, version: goal.version, owedSinceMs, versionMs: options.versionMs(), own: options.name, names: options.members().map(agent => agent.name) })
    if (serves && nowMs < dueAtMs) return
    if (serves) retiredAtMs ??= nowMs
    const mode = serves ? Switching.loadMode(report.activeCount, nowMs - (retiredAtMs ?? nowMs), options.isResumable()) : 'afterRunning'
    if (mode === undefined) return
    stagingPending = true
    try {
      if (!await verifyStaged(volume)) return
      startedAtMs = clock()
      const answer = await engine.start(goal.model, goal.version, mode)
      log('weights', 'Engine told to load.', { model: goal.model, version: goal.version, mode, answer, activeCount: report.activeCount, sinceNamedMs: Switching.sinceNamedMs(goal.namedAtMs, startedAtMs) })
    } finally {
      stagingPending = false
    }
  }
  return {
    adopt,
    advance: async (goals, report) => {
      if (report.bornAtMs !== bornAtMs) {
        bornAtMs = report.bornAtMs
        staged = new Set()
        startedAtMs = -Infinity
        retiredAtMs = undefined
      }
      const newest = goals.at(-1)
      if (newest === undefined) return
      const { model } = newest
      const loaded = (report.weights ?? []).find(held => held.model === model)?.version ?? 0
      options.setServing(loaded > 0)
      if (loaded !== (loadedVersions.get(model) ?? 0)) {
        if (loaded > 0 && startedAtMs !== -Infinity) log('weights', 'Engine loaded.', { model, version: loaded, tookMs: Math.round(clock() - startedAtMs) })
        retiredAtMs = undefined
        loadedVersions.set(model, loaded)
      }
      if (loaded >= newest.version) return
      const progress = options.progressOf(goals, loaded)
      const version = Switching.versionToLoad(progress) ?? Switching.versionToStage(progress)
      const goal = goals.find(other => other.version === version)
      const volume = goal === undefined ? undefined : library.volumeOf(model, goal.version)
      if (goal === undefined || volume === undefined) return
      await stageHeld(volume)
      if (staged.size !== volume.manifest.digests.length || stagedVersion !== goal.version) return
      await start(goal, options.owedSinceMs(model, loaded), volume, report)
    },
    loadedVersionOf: model => loadedVersions.get(model) ?? 0,
    isRetiring: () => retiredAtMs !== undefined
  }
}
