/**
 * Brings a fetched version into the agent's engine: stages its chunks, reads them back, orders the engine to load them, and shows that it took sound ones.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Follow from '../follow/index.ts'
import type * as ChunkCache from './chunkCache.ts'
import type * as Fetcher from './fetcher.ts'
import * as LoadProof from './loadProof.ts'
import type * as Ports from './ports.ts'
import * as Staging from './staging.ts'
import * as Switching from './switching.ts'

/** Options of a filler. */
export interface FillerOptions {
  readonly name: string
  readonly engine: Ports.Engine
  readonly cache: ChunkCache.ChunkCache
  /** The other agents. */
  readonly members: () => readonly Follow.Members.Member[]
  /** Whether a gateway is known that the load reports go to. */
  readonly knowsGateways: () => boolean
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
  /** Stages chunks and orders the engine to load when that is due. The goals are ordered from the oldest to the newest; has to be called with each report of the engine, and with the time at which it was requested, in milliseconds. */
  advance: (goals: readonly Fetcher.Goal[], report: Ports.EngineReport, askedAtMs: number) => Promise<void>
  /** Returns the version of a model that the engine had loaded at its last report; 0 for none. */
  loadedVersionOf: (model: string) => number
  /** Returns whether the engine should get no new calls because it is about to load. */
  isRetiring: () => boolean
  /** Returns the number of orders up to which the loads of the engine's present start are known to be sound; undefined if the last load is not. */
  provenOrderCount: () => number | undefined
  /** Records that the loads of a start of the engine were shown to be sound before this process started. */
  adoptProof: (state: Follow.News.ProofNews) => void
  /** Sends no further orders. Returns whether the engine's loads are known to be sound and none can follow. */
  stop: () => boolean
}

/** Time after which a load order without effect is repeated, in milliseconds; the engine is on the same machine, so its reports are recent. */
const LOAD_RETRY_MS = 1_500
/** Time for reading chunks back before an order, and with one report after it, in milliseconds. Those of a slower engine are read after it has loaded, so that the version arrives in time. */
const CHECK_LIMIT_MS = 1_000
/** Time for which gateways may tell that a load was shown to be sound before this process started, in milliseconds, once this process knows them: they answer load reports, but have to read its entry first, from a store that may be slow. */
const EARLIER_PROOF_WAIT_MS = 4_000
/** Maximum time for that if no gateway becomes known, in milliseconds. */
const EARLIER_PROOF_LIMIT_MS = 8_000

/**
 * Creates a filler.
 *
 * @param options - The engine, the cache and further dependencies.
 * @returns The filler.
 */
export function createFiller (options: FillerOptions): Filler {
  const { engine, cache, clock, log } = options
  const staging = Staging.createStaging(options)
  const proofs = LoadProof.createLoadProofs()
  /** The last report; it changes while requests to the engine are under way. */
  let latest: Ports.EngineReport | undefined
  let reportCount = 0
  let isBusy = false
  let isStopped = false
  /** When this process first knew a gateway, in milliseconds. */
  let knewGatewaysAtMs = Infinity
  let orderedAtMs = -Infinity
  /** When the engine stopped getting new calls, in milliseconds, and with which report. */
  let retired: { readonly atMs: number, readonly reportCount: number } | undefined
  const loadedVersions = new Map<string, number>()

  const isUnchanged = ({ bornAtMs, orderCount }: LoadProof.OrderState): boolean => latest?.bornAtMs === bornAtMs && latest?.orderCount === orderCount
  /** Orders the engine to give up its layers: those of a load that was not sound, or so that it no longer accepts a lost order. */
  const unload = async (model: string, version: number, reason: string): Promise<void> => {
    if (isStopped || clock() - orderedAtMs < LOAD_RETRY_MS || latest === undefined || latest.loading) return
    orderedAtMs = clock()
    const { orderCount } = latest
    const answer = await engine.unload(model, version, orderCount)
    log('weights', 'Engine told to unload.', { model, version, reason, answer, orderCount, tookMs: Math.round(clock() - orderedAtMs) })
    if (answer === 'accepted') orderedAtMs = -Infinity
  }
  /** Judges the last load by its chunks, as they are staged now. Returns whether staging may go on: chunks that were written after a load say nothing about it. */
  const judgeLoad = async (load: LoadProof.UnprovenLoad, newest: Fetcher.Goal): Promise<boolean> => {
    const { model } = newest
    const state = proofs.state()
    const version = load.version ?? (latest?.loading === true ? undefined : loadedVersions.get(model))
    if (version === undefined) return false
    const chunkSet = cache.chunkSetOf(model, version)
    const isOverwritten = staging.version() !== version && version !== newest.version
    if (chunkSet === undefined || isOverwritten) return true
    const startedAtMs = clock()
    const { readCount, spoiltCount, openCount } = await staging.check(chunkSet, load.acceptedByMs - LoadProof.MAX_CHECK_AGE_MS, startedAtMs + CHECK_LIMIT_MS)
    if (!isUnchanged(state)) return false
    if (spoiltCount > 0 || staging.writtenCountAfter(load.acceptedAfterMs) > 0) {
      const isOfEarlierProcess = load.acceptedAfterMs === -Infinity
      const waitUntilMs = Math.min(Math.max(load.acceptedByMs, knewGatewaysAtMs) + EARLIER_PROOF_WAIT_MS, load.acceptedByMs + EARLIER_PROOF_LIMIT_MS)
      if (!isOfEarlierProcess || clock() > waitUntilMs) await unload(model, version, 'its chunks are not known to have been sound when they were taken')
      return false
    }
    if (openCount > 0) return false
    proofs.recordProof(state)
    log('weights', 'Load proven.', { model, version, orderCount: state.orderCount, readCount, checkAgeMs: Math.max(0, Math.round(load.acceptedByMs - staging.oldestCheckAtMs(chunkSet))), tookMs: Math.round(clock() - startedAtMs) })
    return true
  }
  const orderLoadWhenDue = async (goal: Fetcher.Goal, supersededAtMs: number, chunkSet: ChunkCache.ChunkSet, report: Ports.EngineReport): Promise<void> => {
    const nowMs = clock()
    if (nowMs - orderedAtMs < LOAD_RETRY_MS || report.loading) return
    const isServing = (report.weights ?? []).some(held => held.model === goal.model)
    const dueAtMs = Switching.switchAtMs({ model: goal.model, version: goal.version, supersededAtMs, versionMs: options.versionMs(), ownName: options.name, agentNames: options.members().map(agent => agent.name) })
    if (isServing && nowMs < dueAtMs) return
    if (isServing) retired ??= { atMs: nowMs, reportCount }
    // Gateways are told with the next report. Calls that they send until then would begin on layers that are not proven.
    if (isServing && retired?.reportCount === reportCount) return
    const mode = isServing ? Switching.loadMode(report.activeCount, nowMs - (retired?.atMs ?? nowMs), options.isResumable()) : 'afterRunning'
    if (mode === undefined) return
    const { spoiltCount } = await staging.check(chunkSet, nowMs, nowMs + CHECK_LIMIT_MS)
    if (isStopped || spoiltCount > 0 || !isUnchanged(report)) return
    const checkedAtMs = staging.oldestCheckAtMs(chunkSet)
    orderedAtMs = clock()
    proofs.recordOrder(goal.version, orderedAtMs)
    const answer = await engine.loadStaged(goal.model, goal.version, mode, report.orderCount)
    const answeredAtMs = clock()
    proofs.recordAnswer(answer, answeredAtMs)
    log('weights', 'Engine told to load.', { model: goal.model, version: goal.version, mode, answer, activeCount: report.activeCount, orderCount: report.orderCount, checkAgeMs: Number.isFinite(checkedAtMs) ? Math.round(answeredAtMs - checkedAtMs) : undefined, tookMs: Math.round(answeredAtMs - orderedAtMs), sinceNamedMs: Switching.sinceNamedMs(goal.namedAtMs, orderedAtMs) })
  }
  const bringIn = async (goals: readonly Fetcher.Goal[], newest: Fetcher.Goal, report: Ports.EngineReport): Promise<void> => {
    const { model } = newest
    const load = proofs.unprovenLoad()
    if (load !== undefined && !await judgeLoad(load, newest)) return
    const loaded = loadedVersions.get(model) ?? 0
    if (loaded >= newest.version) return
    const progress = options.progressOf(goals, loaded)
    const version = Switching.versionToLoad(progress) ?? Switching.versionToStage(progress)
    const goal = goals.find(other => other.version === version)
    const chunkSet = goal === undefined ? undefined : cache.chunkSetOf(model, goal.version)
    if (goal === undefined || chunkSet === undefined) return
    // A chunk that is written while a lost order may still be accepted would hide what the engine takes.
    if (!proofs.hasPendingOrder()) await staging.stage(chunkSet)
    if (staging.isComplete(chunkSet)) await orderLoadWhenDue(goal, options.supersededAtMs(model, loaded), chunkSet, report)
    else if (proofs.hasPendingOrder()) await unload(model, loaded > 0 ? loaded : goal.version, 'a lost order must not be accepted any more')
  }
  return {
    adoptStaged: staging.adopt,
    advance: async (goals, report, askedAtMs) => {
      if (latest !== undefined && report.bornAtMs !== latest.bornAtMs) {
        staging.reset()
        orderedAtMs = -Infinity
        retired = undefined
      }
      latest = report
      reportCount++
      proofs.observe(report, askedAtMs, clock())
      if (knewGatewaysAtMs === Infinity && options.knowsGateways()) knewGatewaysAtMs = clock()
      const newest = goals.at(-1)
      if (newest === undefined) return
      const { model } = newest
      const loaded = (report.weights ?? []).find(held => held.model === model)?.version ?? 0
      options.onServing(loaded > 0)
      if (loaded !== (loadedVersions.get(model) ?? 0)) {
        if (loaded > 0 && orderedAtMs !== -Infinity) log('weights', 'Engine loaded.', { model, version: loaded, tookMs: Math.round(clock() - orderedAtMs) })
        retired = undefined
        loadedVersions.set(model, loaded)
      }
      if (isBusy) return
      isBusy = true
      await bringIn(goals, newest, report).finally(() => { isBusy = false })
    },
    loadedVersionOf: model => loadedVersions.get(model) ?? 0,
    isRetiring: () => retired !== undefined,
    provenOrderCount: () => proofs.unprovenLoad() === undefined ? proofs.state().orderCount : undefined,
    adoptProof: ({ bornAtMs, orderCount }) => { proofs.recordProof({ bornAtMs, orderCount }) },
    stop: () => {
      isStopped = true
      return proofs.unprovenLoad() === undefined && !proofs.hasOpenOrder()
    }
  }
}
