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
  /** When the orders were given, in milliseconds. */
  readonly orderedAtMs: number[]
  readonly fetchedFromOrigin: number[]
  /** The version that the engine holds; 0 for none. */
  engineVersion: number
  activeCount: number
  /** Bytes that the origin sends in place of a chunk, once each. */
  readonly wrongChunks: Map<number, Buffer>
  stop: () => void
}

/** Runs a filler against an engine and an origin in memory. */
function startFiller (version: number, changes: { readonly engineVersion?: number, readonly activeCount?: number, readonly beforeOrder?: (stage: FillerRun) => void, readonly originHas?: (index: number) => boolean, readonly supersededVersions?: ReadonlyArray<{ readonly version: number, readonly namedAtMs: number }>, readonly namedAtMs?: number } = {}): FillerRun {
  const stage: FillerRun = { staged: new Map(), orders: [], orderedAtMs: [], fetchedFromOrigin: [], engineVersion: changes.engineVersion ?? 0, activeCount: changes.activeCount ?? 0, wrongChunks: new Map(), stop: () => { clearInterval(timer) } }
  const report = (): Filling.Ports.EngineReport => ({ activeCount: stage.activeCount, queuedCount: 0, pace: 1, loading: false, weights: stage.engineVersion === 0 ? [] : [{ model: 'm', version: stage.engineVersion }], bornAtMs: 1 })
  let hasTampered = false
  /** Moves with the ticks, so that a busy machine changes nothing. */
  let clockMs = 0
  const cache = Filling.Library.createChunkCache()
  const fetcher = Filling.Fetcher.createFetcher({
    name: 'own',
    region: 'r',
    origin: () => ({
      manifest: async (_model, asked) => Neverthrow.ok(manifestOf(asked)),
      chunk: async (_model, asked, index) => {
        if (changes.originHas?.(index) === false) return Neverthrow.err('absent')
        stage.fetchedFromOrigin.push(index)
        const wrong = stage.wrongChunks.get(index)
        stage.wrongChunks.delete(index)
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
      listStaged: async () => [...stage.staged.keys()],
      readStaged: async (_model, index) => {
        if (!hasTampered && stage.staged.size === CHUNK_COUNT && changes.beforeOrder !== undefined) {
          hasTampered = true
          changes.beforeOrder(stage)
        }
        return stage.staged.get(index)
      },
      stage: async (_model, index, bytes) => { stage.staged.set(index, bytes); return true },
      loadStaged: async (_model, ordered, mode) => {
        stage.orders.push({ version: ordered, mode, staged: [...stage.staged].sort((a, b) => a[0] - b[0]).map(([, bytes]) => bytes.toString()) })
        stage.orderedAtMs.push(clockMs)
        stage.engineVersion = ordered
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
  return stage
}

const allChunksOf = (version: number): string[] => Array.from({ length: CHUNK_COUNT }, (_, index) => chunkOf(version, index).toString())

describe('Filler', () => {
  it('fills an empty engine and orders it once', async () => {
    const stage = startFiller(1)
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    await TestKit.Wait.sleep(50)
    stage.stop()
    expect(stage.orders).toEqual([{ version: 1, mode: 'afterRunning', staged: allChunksOf(1) }])
  })

  it('never stages a chunk with a wrong digest', async () => {
    const stage = startFiller(1)
    stage.wrongChunks.set(3, Buffer.from('spoilt'))
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    stage.stop()
    expect([stage.orders[0]?.staged, stage.fetchedFromOrigin.filter(index => index === 3).length]).toEqual([allChunksOf(1), 2])
  })

  it('orders nothing while a staged chunk is spoilt or of another version', async () => {
    const stage = startFiller(2, { beforeOrder: seen => { seen.staged.set(5, chunkOf(1, 5)); seen.staged.set(6, Buffer.from('rotten')) } })
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    stage.stop()
    expect(stage.orders.map(order => order.staged)).toEqual([allChunksOf(2)])
  })

  it('stages chunks while others are still to come, so that a restart finds them', async () => {
    const stage = startFiller(1, { originHas: index => index < 5 })
    await TestKit.Wait.until('the chunks that the origin gives', LIMIT_MS, () => stage.staged.size === 5)
    await TestKit.Wait.sleep(50)
    stage.stop()
    expect(stage.orders).toEqual([])
  })

  it('takes the chunks of the version from among others that lie at the engine', async () => {
    const stage = startFiller(2)
    for (let index = 0; index < CHUNK_COUNT; index++) stage.staged.set(index, chunkOf(index % 2 === 0 ? 1 : 2, index))
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    stage.stop()
    expect([stage.orders.map(order => order.staged), stage.fetchedFromOrigin.every(index => index % 2 === 0)]).toEqual([[allChunksOf(2)], true])
  })

  it('draws nothing that already lies at the engine', async () => {
    const stage = startFiller(1)
    for (let index = 0; index < CHUNK_COUNT; index++) stage.staged.set(index, chunkOf(1, index))
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    stage.stop()
    expect(stage.fetchedFromOrigin).toEqual([])
  })

  it('lets a serving engine end what runs before it is told to cut', async () => {
    const stage = startFiller(2, { engineVersion: 1, activeCount: 6 })
    await TestKit.Wait.until('all is staged', LIMIT_MS, () => stage.staged.size === CHUNK_COUNT)
    await TestKit.Wait.sleep(250)
    expect(stage.orders).toEqual([])
    stage.activeCount = 2
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    stage.stop()
    expect(stage.orders.map(order => order.mode)).toEqual(['cutting'])
  })

  it('leaves an old version in the time of the first version that followed it, also where that one was superseded', async () => {
    const namedAtMs = 0.3 * VERSION_MS
    const stage = startFiller(3, { engineVersion: 1, supersededVersions: [{ version: 2, namedAtMs: 0 }], namedAtMs })
    await TestKit.Wait.until('the order', LIMIT_MS, () => stage.orders.length > 0)
    stage.stop()
    const soonestMs = Filling.Switching.switchAtMs({ model: 'm', version: 3, supersededAtMs: 0, versionMs: VERSION_MS, ownName: 'own', agentNames: [] })
    expect([stage.orders[0]?.version, (stage.orderedAtMs[0] ?? 0) >= soonestMs, (stage.orderedAtMs[0] ?? 0) < soonestMs + namedAtMs]).toEqual([3, true, true])
  })
})
