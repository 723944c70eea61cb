import * as Crypto from 'node:crypto'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Filling from '../src/filling/index.ts'
import * as Pacer from '../src/weights/edge/pacer.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_MS = 5_000
const CHUNK_COUNT = 8
const TICK_MS = 5
const VERSION_MS = 400
const chunkOf = (version: number, index: number): Buffer => Buffer.from(`weights ${version} ${index}`)
const manifestOf = (version: number): Filling.Ports.WeightManifest => ({
  model: 'm',
  version,
  digests: Array.from({ length: CHUNK_COUNT }, (_, index) => Crypto.createHash('sha256').update(chunkOf(version, index)).digest('hex'))
})

interface FillerRun {
  readonly staged: Map<number, Buffer>
  readonly orders: Array<{ readonly version: number, readonly mode: string, readonly staged: string[] }>
  /** Times of the orders by the simulated clock, in milliseconds. */
  readonly orderedAtMs: number[]
  readonly fetchedFromOrigin: number[]
  /** Version that the engine serves; 0 for none. */
  engineVersion: number
  activeCount: number
  /** Bytes that the origin sends once instead of a chunk, by index. */
  readonly wrongChunks: Map<number, Buffer>
  stop: () => void
}

/** Runs a fetcher and a filler against an engine and an origin in memory. */
function startFiller (version: number, changes: { readonly engineVersion?: number, readonly activeCount?: number, readonly beforeOrder?: (run: FillerRun) => void, readonly originHas?: (index: number) => boolean, readonly supersededVersions?: ReadonlyArray<{ readonly version: number, readonly namedAtMs: number }>, readonly namedAtMs?: number } = {}): FillerRun {
  const run: FillerRun = { staged: new Map(), orders: [], orderedAtMs: [], fetchedFromOrigin: [], engineVersion: changes.engineVersion ?? 0, activeCount: changes.activeCount ?? 0, wrongChunks: new Map(), stop: () => { clearInterval(timer) } }
  const report = (): Filling.Ports.EngineReport => ({ activeCount: run.activeCount, queuedCount: 0, pace: 1, loading: false, weights: run.engineVersion === 0 ? [] : [{ model: 'm', version: run.engineVersion }], bornAtMs: 1 })
  let hasTampered = false
  /** Advances with each tick, so that the load of the machine has no effect. */
  let clockMs = 0
  const cache = Filling.ChunkCache.createChunkCache()
  const fetcher = Filling.Fetcher.createFetcher({
    name: 'own',
    region: 'r',
    origin: () => ({
      manifest: async (_model, asked) => Neverthrow.ok(manifestOf(asked)),
      chunk: async (_model, asked, index) => {
        if (changes.originHas?.(index) === false) return Neverthrow.err('absent')
        run.fetchedFromOrigin.push(index)
        const wrong = run.wrongChunks.get(index)
        run.wrongChunks.delete(index)
        return Neverthrow.ok(wrong ?? chunkOf(asked, index))
      }
    }),
    cache,
    members: () => [],
    knowsMembers: () => true,
    sendRollCall: () => {},
    versionMs: () => VERSION_MS,
    download: Pacer.createPacer(Infinity),
    adoptStaged: async chunkSet => { await filler.adoptStaged(chunkSet) },
    announce: () => {},
    clock: () => clockMs,
    random: Core.Random.createRandom(1),
    metrics: Metrics.createMetrics(),
    log: () => {}
  })
  const goals = [...changes.supersededVersions ?? [], { version, namedAtMs: changes.namedAtMs ?? 0 }].map(goal => ({ model: 'm', ...goal }))
  const filler = Filling.Filler.createFiller({
    name: 'own',
    engine: {
      report: async () => report(),
      listStaged: async () => [...run.staged.keys()],
      readStaged: async (_model, index) => {
        if (!hasTampered && run.staged.size === CHUNK_COUNT && changes.beforeOrder !== undefined) {
          hasTampered = true
          changes.beforeOrder(run)
        }
        return run.staged.get(index)
      },
      stage: async (_model, index, bytes) => { run.staged.set(index, bytes); return true },
      loadStaged: async (_model, ordered, mode) => {
        run.orders.push({ version: ordered, mode, staged: [...run.staged].sort((a, b) => a[0] - b[0]).map(([, bytes]) => bytes.toString()) })
        run.orderedAtMs.push(clockMs)
        run.engineVersion = ordered
        return 'accepted'
      }
    },
    cache,
    members: () => [],
    versionMs: () => VERSION_MS,
    isResumable: () => true,
    progressOf: fetcher.progressOf,
    supersededAtMs: () => Math.min(...goals.map(goal => goal.namedAtMs)),
    onServing: () => {},
    clock: () => clockMs,
    log: () => {}
  })
  const timer = setInterval(() => {
    clockMs += TICK_MS
    void filler.advance(goals, report())
    void fetcher.advance(goals, filler.loadedVersionOf('m'))
  }, TICK_MS)
  return run
}

const allChunksOf = (version: number): string[] => Array.from({ length: CHUNK_COUNT }, (_, index) => chunkOf(version, index).toString())

describe('Filler', () => {
  it('stages all chunks at an empty engine and orders it to load once', async () => {
    const run = startFiller(1)
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    await TestKit.Wait.sleep(50)
    run.stop()
    expect(run.orders).toEqual([{ version: 1, mode: 'afterRunning', staged: allChunksOf(1) }])
  })

  it('never stages a chunk with a wrong digest', async () => {
    const run = startFiller(1)
    run.wrongChunks.set(3, Buffer.from('spoilt'))
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    run.stop()
    expect([run.orders[0]?.staged, run.fetchedFromOrigin.filter(index => index === 3).length]).toEqual([allChunksOf(1), 2])
  })

  it('orders nothing while a staged chunk is corrupt or of another version', async () => {
    const run = startFiller(2, { beforeOrder: current => { current.staged.set(5, chunkOf(1, 5)); current.staged.set(6, Buffer.from('rotten')) } })
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    run.stop()
    expect(run.orders.map(order => order.staged)).toEqual([allChunksOf(2)])
  })

  it('stages chunks before all have arrived, so that they are found after a restart', async () => {
    const run = startFiller(1, { originHas: index => index < 5 })
    await TestKit.Wait.until('the chunks that the origin has', LIMIT_MS, () => run.staged.size === 5)
    await TestKit.Wait.sleep(50)
    run.stop()
    expect(run.orders).toEqual([])
  })

  it('reuses staged chunks of the version among those of another one', async () => {
    const run = startFiller(2)
    for (let index = 0; index < CHUNK_COUNT; index++) run.staged.set(index, chunkOf(index % 2 === 0 ? 1 : 2, index))
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    run.stop()
    expect([run.orders.map(order => order.staged), run.fetchedFromOrigin.every(index => index % 2 === 0)]).toEqual([[allChunksOf(2)], true])
  })

  it('fetches no chunk that is staged already', async () => {
    const run = startFiller(1)
    for (let index = 0; index < CHUNK_COUNT; index++) run.staged.set(index, chunkOf(1, index))
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    run.stop()
    expect(run.fetchedFromOrigin).toEqual([])
  })

  it('lets a serving engine end its running calls before it orders a load that cuts them off', async () => {
    const run = startFiller(2, { engineVersion: 1, activeCount: 6 })
    await TestKit.Wait.until('all chunks are staged', LIMIT_MS, () => run.staged.size === CHUNK_COUNT)
    await TestKit.Wait.sleep(250)
    expect(run.orders).toEqual([])
    run.activeCount = 2
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    run.stop()
    expect(run.orders.map(order => order.mode)).toEqual(['cutting'])
  })

  it('switches from an old version within the time allowed for its successor, even if that one was superseded', async () => {
    const namedAtMs = 0.3 * VERSION_MS
    const run = startFiller(3, { engineVersion: 1, supersededVersions: [{ version: 2, namedAtMs: 0 }], namedAtMs })
    await TestKit.Wait.until('the order', LIMIT_MS, () => run.orders.length > 0)
    run.stop()
    const earliestMs = Filling.Switching.switchAtMs({ model: 'm', version: 3, supersededAtMs: 0, versionMs: VERSION_MS, ownName: 'own', agentNames: [] })
    expect([run.orders[0]?.version, (run.orderedAtMs[0] ?? 0) >= earliestMs, (run.orderedAtMs[0] ?? 0) < earliestMs + namedAtMs]).toEqual([3, true, true])
  })
})
