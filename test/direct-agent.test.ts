import { after, describe, it } from 'node:test'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Filling from '../src/filling/index.ts'
import * as Operators from '../platform/operators.ts'
import * as Store from '../platform/store.ts'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_MS = 5_000
const stops: Array<() => Promise<void>> = []

describe('Agent', () => {
  after(async () => { for (const stop of stops.reverse()) await stop() })

  it('fetches its share of a version from the origin while its engine does not answer', async () => {
    const store = await PlatformStore.startPlatformStore()
    stops.push(store.close)
    store.put('op', 'config', Direct.deploymentOf({ origin: '127.0.0.1:1' }))
    store.put('op', 'version/m', { model: 'm', version: 2 })
    let fetchedCount = 0
    const agent = await Filling.Agent.open({
      name: 'a1',
      host: '127.0.0.1',
      port: await Direct.freePort(),
      zone: 'a',
      region: 'ra',
      seeds: () => [],
      store: Store.createRowSource(() => ({ host: '127.0.0.1', port: store.port })),
      clock: () => performance.now(),
      random: Core.Random.createRandom(1),
      metrics: Metrics.createMetrics(),
      log: () => {},
      endpoint: { host: '127.0.0.1', port: 1 },
      service: 'llm',
      bounds: () => ({ versionMs: 8_000, linkBitsPerSecond: 1e9 }),
      engine: { report: async () => undefined, listStaged: async () => undefined, readStaged: async () => undefined, stage: async () => false, loadStaged: async () => 'lost', unload: async () => 'lost' },
      originAt: () => ({
        manifest: async (model, version) => Neverthrow.ok({ model, version, digests: ['0', '1', '2', '3'] }),
        chunk: async () => { fetchedCount++; return Neverthrow.err('not needed') }
      }),
      changeOf: Operators.changeOf,
      agentPartOf: Operators.agentPartOf,
      operatorsTable: Operators.OPERATORS_TABLE
    })
    stops.push(agent.stop)
    await TestKit.Wait.until('a chunk is fetched', LIMIT_MS, () => fetchedCount > 0)
  })
})
