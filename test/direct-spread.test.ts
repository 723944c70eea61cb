import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Filling from '../src/filling/index.ts'
import * as Follow from '../src/follow/index.ts'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Direct from '../testkit/direct.ts'
import * as Fleet from '../testkit/fleet.ts'
import * as TestKit from '../testkit/index.ts'

const MODEL = 'm'
const CHUNK_COUNT = 64
const CHUNK_BYTES = 2_048
/** The transfer of a version takes 0.26 s on such a link. */
const LINK_BITS_PER_SECOND = 4_000_000
const VERSION_MS = 8_000
const LIMIT_MS = 6_000
/** Time for which the added agent cannot read the members table, in milliseconds: several of its report intervals. */
const MEMBERS_DELAY_MS = 1_000
const stops: Array<() => Promise<void>> = []

async function createFleet (isOriginUp: () => boolean = () => true): Promise<{ fleet: Fleet.Fleet, store: PlatformStore.PlatformStore }> {
  const store = await PlatformStore.startPlatformStore()
  stops.push(store.close)
  store.put('op', 'config', Direct.deploymentOf({ origin: '127.0.0.1:1', chunkCount: CHUNK_COUNT }))
  const fleet = Fleet.createFleet({ store, model: MODEL, chunkCount: CHUNK_COUNT, chunkBytes: CHUNK_BYTES, linkBitsPerSecond: LINK_BITS_PER_SECOND, versionMs: VERSION_MS, isOriginUp })
  return { fleet, store }
}

describe('Spread of a version', () => {
  afterEach(async () => {
    await Promise.all(stops.splice(1).map(async stop => { await stop() }))
    for (const stop of stops.splice(0)) await stop()
  })

  describe('after all instances restarted', () => {
    it('fills a region without any holder from the other regions', async () => {
      const { fleet, store } = await createFleet()
      store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 })
      const full = (): Map<number, Buffer> => new Map(Array.from({ length: CHUNK_COUNT }, (_, index) => [index, fleet.chunkOf(2, index)]))
      const agents = await Promise.all([
        ...['a1', 'a2', 'a3'].map(async name => await fleet.start(name, 'ra', { staged: full() })),
        ...['b1', 'b2', 'b3'].map(async name => await fleet.start(name, 'rb', {}))
      ])
      stops.push(...agents.map(agent => agent.stop))
      await TestKit.Wait.until('every engine serves the version', LIMIT_MS, () => agents.every(agent => agent.version === 2))
      const drawnCount = [...fleet.drawnCounts.values()].reduce((sum, count) => sum + count, 0)
      expect(drawnCount <= CHUNK_COUNT / 4).toEqual(true)
    })
  })

  describe('that the others hold', () => {
    it('reaches an instance that is added, without the origin', async () => {
      const { fleet, store } = await createFleet()
      store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 })
      const full = (): Map<number, Buffer> => new Map(Array.from({ length: CHUNK_COUNT }, (_, index) => [index, fleet.chunkOf(2, index)]))
      const agents = await Promise.all(['a1', 'a2', 'a3'].map(async name => await fleet.start(name, 'ra', { staged: full() })))
      stops.push(...agents.map(agent => agent.stop))
      await TestKit.Wait.until('the others serve the version', LIMIT_MS, () => agents.every(agent => agent.version === 2))
      await TestKit.Wait.sleep(2_000)
      const added = await fleet.start('b1', 'rb', {})
      stops.push(added.stop)
      await TestKit.Wait.until('the added engine serves the version', LIMIT_MS, () => added.version === 2)
      expect(fleet.drawnCounts.size).toEqual(0)
    })

    it('reaches an instance that is added and learns of the others late, without the origin', async () => {
      const { fleet, store } = await createFleet()
      store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 })
      const full = (): Map<number, Buffer> => new Map(Array.from({ length: CHUNK_COUNT }, (_, index) => [index, fleet.chunkOf(2, index)]))
      const agents = await Promise.all(['a1', 'a2', 'a3'].map(async name => await fleet.start(name, 'ra', { staged: full() })))
      stops.push(...agents.map(agent => agent.stop))
      await TestKit.Wait.until('the others serve the version', LIMIT_MS, () => agents.every(agent => agent.version === 2))
      let refusedTable: string | undefined = Follow.Members.MEMBERS_TABLE
      const added = await fleet.start('b1', 'rb', {}, { refusedTable: () => refusedTable })
      stops.push(added.stop)
      await TestKit.Wait.until('the version is named', LIMIT_MS, () => added.lines.some(line => line.sentence === 'Version named.'))
      await TestKit.Wait.sleep(MEMBERS_DELAY_MS)
      refusedTable = undefined
      await TestKit.Wait.until('the added engine serves the version', LIMIT_MS, () => added.version === 2)
      expect(fleet.drawnCounts.size).toEqual(0)
    })
  })

  describe('that was just named', () => {
    it('leaves the origin to the agents that draw chunks, also for its manifest', async () => {
      const { fleet, store } = await createFleet()
      const names = Array.from({ length: Filling.Sources.DRAWER_LIMIT_COUNT + 8 }, (_, at) => `a${at}`)
      const agents = await Promise.all(names.map(async (name, at) => await fleet.start(name, at % 2 === 0 ? 'ra' : 'rb', { version: 1 })))
      stops.push(...agents.map(agent => agent.stop))
      await TestKit.Wait.until('the agents know one another', LIMIT_MS, () => store.rows(Follow.Members.MEMBERS_TABLE).length === names.length)
      await TestKit.Wait.sleep(4_000)
      store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 })
      await TestKit.Wait.until('every engine serves the version', 2 * VERSION_MS, () => agents.every(agent => agent.version === 2))
      expect(fleet.manifestCounts.get(2)).toEqual(Filling.Sources.DRAWER_LIMIT_COUNT)
    })

    it('draws each chunk from the origin once, also while an engine is gone', async () => {
      const { fleet, store } = await createFleet()
      const names = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3']
      const agents = await Promise.all(names.map(async name => await fleet.start(name, name.startsWith('a') ? 'ra' : 'rb', { version: 1, isEngineUp: name !== 'b3' })))
      stops.push(...agents.map(agent => agent.stop))
      await TestKit.Wait.sleep(4_000)
      store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 })
      await TestKit.Wait.until('every running engine serves the version', VERSION_MS, () => agents.every(agent => agent.version === 2 || !agent.isEngineUp))
      const counts = [...fleet.drawnCounts].flatMap(([chunk, count]) => chunk.startsWith('2/') ? [count] : [])
      expect([counts.length, Math.max(...counts)]).toEqual([CHUNK_COUNT, 1])
    })

    it('is sent with its time, together with the version that it superseded, to an agent that starts afterwards', async () => {
      const { fleet, store } = await createFleet()
      const agents = await Promise.all(['a1', 'a2'].map(async name => await fleet.start(name, 'ra', { version: 1 })))
      stops.push(...agents.map(agent => agent.stop))
      const isNamed = (version: number): boolean => agents.every(agent => agent.lines.some(line => line.sentence === 'Version named.' && line.fields.version === version))
      await TestKit.Wait.until('the agents follow the operators', LIMIT_MS, () => agents.every(agent => agent.lines.some(line => line.sentence === 'Deployment in force.')))
      for (const version of [2, 3]) {
        store.put('op', `version/${MODEL}`, { model: MODEL, version })
        await TestKit.Wait.until('the version is named', LIMIT_MS, () => isNamed(version))
      }
      const late = await fleet.start('a3', 'ra', { version: 1 })
      stops.push(late.stop)
      const isLearned = (version: number): boolean => late.lines.some(line => line.sentence === 'Version told of.' && line.fields.version === version && line.fields.sinceNamedMs !== undefined)
      await TestKit.Wait.until('the late agent knows both versions', LIMIT_MS, () => isLearned(2) && isLearned(3))
    })

    it('reaches an agent whose long poll of the store hangs, through the other agents', async () => {
      const { fleet, store } = await createFleet()
      let isFeedSilent = false
      const agents = await Promise.all(['a1', 'a2', 'a3'].map(async name => await fleet.start(name, 'ra', { version: 1 }, { isFeedSilent: () => isFeedSilent && name === 'a3' })))
      stops.push(...agents.map(agent => agent.stop))
      await TestKit.Wait.sleep(4_000)
      isFeedSilent = true
      store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 })
      await TestKit.Wait.until('the agent without a long poll holds the version', 3_000, () => agents[2]?.lines.some(entry => entry.sentence === 'Version held whole.' && entry.fields.version === 2) === true)
    })
  })
})
