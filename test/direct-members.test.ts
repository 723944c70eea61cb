import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Follow from '../src/follow/index.ts'
import * as Store from '../platform/store.ts'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

/** Shorter than any wait of a read of the list, in milliseconds: a hanging read has to be noticed before its wait ends. */
const TIMEOUT_MS = 6_000
const MEMBERS_READ_WAIT_MS = 20_000

describe('the list of processes', () => {
  let store: PlatformStore.PlatformStore
  let nodes: Follow.Node.Node[] = []

  /** Starts a process; the first `silentCount` of its reads that wait for changes are never answered. */
  const start = async (name: string, silentCount: number): Promise<Follow.Node.Node> => {
    const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: store.port }))
    let readCount = 0
    const node = await Follow.Node.open({
      name,
      host: '127.0.0.1',
      port: await Direct.freePort(),
      zone: 'a',
      region: 'ra',
      seeds: () => [],
      store: { ...source, readSince: async (...args) => ++readCount <= silentCount ? await new Promise<never>(() => {}) : await source.readSince(...args) },
      clock: () => performance.now(),
      random: Core.Random.createRandom(1),
      metrics: Metrics.createMetrics(),
      log: () => {}
    }, { kind: 'gateway' })
    node.followMembers(MEMBERS_READ_WAIT_MS)
    nodes.push(node)
    return node
  }
  const knows = (node: Follow.Node.Node, name: string): boolean => node.members().some(member => member.name === name)
  const join = async (silentCount: number): Promise<{ readonly first: Follow.Node.Node, readonly joined: Follow.Node.Node }> => {
    const first = await start('p1', silentCount)
    await TestKit.Wait.until('the entry of the first process', TIMEOUT_MS, () => store.rows(Follow.Members.MEMBERS_TABLE).length === 1)
    const joined = await start('p2', 0)
    await TestKit.Wait.until('the second process knows the first', TIMEOUT_MS, () => knows(joined, 'p1'))
    return { first, joined }
  }

  beforeEach(async () => { store = await PlatformStore.startPlatformStore() })
  afterEach(async () => {
    for (const node of nodes) await node.close()
    nodes = []
    await store.close()
  })

  it('includes a process that joins', async () => {
    const { first } = await join(0)
    await TestKit.Wait.until('the first process knows the second', TIMEOUT_MS, () => knows(first, 'p2'))
    expect(first.members().map(member => member.name)).toEqual(['p2'])
  })

  it('includes a process that joins and sends news while the read of the list hangs', async () => {
    const { first, joined } = await join(1)
    const newsTimer = setInterval(() => { joined.sendNews({ revisions: {} }, 'gateway') }, 100)
    try {
      await TestKit.Wait.until('the first process knows the second', TIMEOUT_MS, () => knows(first, 'p2'))
    } finally {
      clearInterval(newsTimer)
    }
  })
})
