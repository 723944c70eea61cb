import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Filling from '../src/filling/index.ts'

const agents = Array.from({ length: 15 }, (_, index) => ({ name: `agent-${index}`, region: `r${index % 3}`, isReachable: true }))
const VERSION = 'm/2'
const CHUNK_COUNT = 64
const chunks = Array.from({ length: CHUNK_COUNT }, (_, index) => ({ version: VERSION, index }))
const rotations: Filling.Sources.OriginRotations = new Map()
const plan = Filling.Sources.createFetchPlan(agents, rotations)
const fetchesFromOrigin = (fetchPlan: Filling.Sources.FetchPlan, chunk: Filling.Sources.Chunk, own: string): boolean => fetchPlan.sourcesOf(chunk, own)[0]?.kind === 'origin'

describe('Sources', () => {
  it('assigns each chunk to one agent that fetches it from the origin, in equal shares', () => {
    const originFetcherCounts = chunks.map(chunk => agents.filter(agent => fetchesFromOrigin(plan, chunk, agent.name)).length)
    expect(new Set(originFetcherCounts)).toEqual(new Set([1]))
    const shares = agents.map(agent => chunks.filter(chunk => fetchesFromOrigin(plan, chunk, agent.name)).length)
    expect([Math.min(...shares), Math.max(...shares)]).toEqual([4, 5])
  })

  it('lets no more agents fetch a version from the origin at once than it takes connections', () => {
    const fleet = Array.from({ length: 144 }, (_, at) => ({ name: `agent-${at}`, region: `r${at % 5}`, isReachable: true }))
    const fleetPlan = Filling.Sources.createFetchPlan(fleet, new Map())
    const shares = fleet.map(agent => chunks.filter(chunk => fetchesFromOrigin(fleetPlan, chunk, agent.name)).length).filter(count => count > 0)
    expect([shares.length, shares.reduce((sum, count) => sum + count, 0)]).toEqual([Filling.Sources.DRAWER_LIMIT_COUNT, CHUNK_COUNT])
  })

  it('makes the same plan from the orders of an earlier one, with other agents reachable', () => {
    const orders = Filling.Sources.createChunkOrders()
    Filling.Sources.createFetchPlan(agents, rotations, orders)
    const changed = agents.map(agent => ({ ...agent, isReachable: agent.name !== 'agent-2' }))
    const [reused, fresh] = [orders, undefined].map(cache => Filling.Sources.createFetchPlan(changed, rotations, cache))
    for (const chunk of chunks) for (const { name } of agents) expect(reused?.sourcesOf(chunk, name)).toEqual(fresh?.sourcesOf(chunk, name) ?? [])
  })

  it('crosses each region border once for a chunk', () => {
    const regionOf = new Map(agents.map(agent => [agent.name, agent.region]))
    for (const chunk of chunks) {
      const crossing = agents.filter(agent => {
        const [first] = plan.sourcesOf(chunk, agent.name)
        return first?.kind === 'agent' && regionOf.get(first.name) !== agent.region
      })
      expect(crossing.length).toEqual(2)
    }
  })

  it('announces each chunk to every agent', () => {
    for (const chunk of chunks) {
      const receivers = new Set(agents.flatMap(agent => plan.receiversOf(chunk, agent.name)))
      expect(receivers.size).toEqual(agents.length)
    }
  })

  it('fetches the chunks from the origin first, since others wait for them', () => {
    const own = 'agent-0'
    const order = plan.fetchOrder(VERSION, CHUNK_COUNT, own)
    const isFromOrigin = order.map(index => fetchesFromOrigin(plan, { version: VERSION, index }, own))
    const fromOriginCount = isFromOrigin.filter(Boolean).length
    expect(isFromOrigin.slice(0, fromOriginCount).every(Boolean)).toEqual(true)
  })

  it('reassigns only the chunks of an agent that is gone', () => {
    const planWithout = Filling.Sources.createFetchPlan(agents.filter(agent => agent.name !== 'agent-3'), rotations)
    const remaining = agents.filter(agent => agent.name !== 'agent-3')
    for (const chunk of chunks) {
      const before = agents.find(agent => fetchesFromOrigin(plan, chunk, agent.name))?.name
      const now = remaining.filter(agent => fetchesFromOrigin(planWithout, chunk, agent.name)).map(agent => agent.name)
      expect(now.length).toEqual(1)
      if (before !== 'agent-3') expect(now).toEqual([before ?? ''])
    }
  })
})

describe('chooseManifestSource', () => {
  const input = { isDrawer: false, hasHolder: false, elapsedMs: 100 }
  const cases: ReadonlyArray<readonly [string, Partial<Filling.Choosing.ManifestInput>, ReturnType<typeof Filling.Choosing.chooseManifestSource>]> = [
    ['asks the origin as an agent that draws chunks', { isDrawer: true }, 'origin'],
    ['waits for a holder otherwise', {}, 'wait'],
    ['asks agents once one has announced a chunk', { hasHolder: true }, 'agents'],
    ['asks the origin if none has after a while', { elapsedMs: 1_500 }, 'origin']
  ]
  for (const [title, changes, expected] of cases) it(title, () => { expect(Filling.Choosing.chooseManifestSource({ ...input, ...changes })).toEqual(expected) })
})

describe('Choosing', () => {
  const input: Filling.Choosing.ChoiceInput = { isOriginFetcher: false, isRegionHead: false, rank: 2, sameRegionHolders: [], otherRegionHolders: [], hasHolder: false, possibleHolders: ['x', 'y'], elapsedMs: 100, wasNamedBeforeStart: false, mayAskPossibleHolders: true, tryCount: 0 }
  const choose = (changes: Partial<Filling.Choosing.ChoiceInput>): string => {
    const choice = Filling.Choosing.choose({ ...input, ...changes }, 0.5)
    return choice.kind === 'agent' ? choice.name : choice.kind
  }

  it('fetches a chunk of a new version from a holder of its region, and waits for one', () => {
    expect([choose({}), choose({ hasHolder: true, sameRegionHolders: ['n1', 'n2', 'n3'], otherRegionHolders: ['f'] }), choose({ isOriginFetcher: true })]).toEqual(['wait', 'n2', 'origin'])
  })

  it('crosses the region border if it is the region head, or once the head is overdue', () => {
    const held = { hasHolder: true, otherRegionHolders: ['f'] }
    expect([choose(held), choose({ ...held, isRegionHead: true }), choose({ ...held, elapsedMs: 1_300 })]).toEqual(['wait', 'f', 'f'])
  })

  it('waits for busy holders instead of asking agents that lack the chunk', () => {
    expect(choose({ hasHolder: true, elapsedMs: 1_300 })).toEqual('wait')
  })

  it('waits for the answers to its roll call before it fetches a version named earlier from the origin', () => {
    const settled = { isOriginFetcher: true, wasNamedBeforeStart: true }
    expect([choose(settled), choose({ ...settled, elapsedMs: 600 }), choose({ ...settled, sameRegionHolders: ['n'], hasHolder: true })]).toEqual(['wait', 'origin', 'n'])
  })

  it('asks one agent after the other if announcements were lost', () => {
    const late = { elapsedMs: 1_300 }
    expect([choose(late), choose({ ...late, tryCount: 1 }), choose({ ...late, mayAskPossibleHolders: false }), choose({ ...late, possibleHolders: [] })]).toEqual(['x', 'y', 'wait', 'origin'])
  })

  it('lets the agents of a region fall back to the origin one after the other', () => {
    const ranks = [1, 2, 3].map(rank => choose({ rank, elapsedMs: 4_500, mayAskPossibleHolders: false }))
    expect(ranks).toEqual(['origin', 'wait', 'wait'])
  })
})

describe('Switching', () => {
  const names = agents.map(agent => agent.name)
  const switchTimeOf = (own: string): number => Filling.Switching.switchAtMs({ model: 'm', version: 2, supersededAtMs: 1_000, versionMs: 8_000, ownName: own, agentNames: names })

  it('spreads the switches of all endpoints over the allowed time, the last one before its end', () => {
    const times = names.map(switchTimeOf).sort((a, b) => a - b)
    const gaps = times.slice(1).map((time, at) => time - (times[at] ?? 0))
    expect([Math.min(...gaps) > 150, (times.at(-1) ?? 0) < 1_000 + 8_000]).toEqual([true, true])
  })

  it('skips a version that is soon followed by the next one, and goes on with one that is followed late', () => {
    const named = (gapMs: number): Filling.Switching.FetchProgress[] => [{ version: 2, namedAtMs: 0, heldShare: 0.3 }, { version: 3, namedAtMs: gapMs, heldShare: 0 }]
    expect([Filling.Switching.versionToFetch(named(2_000), 8_000, 2_100), Filling.Switching.versionToFetch(named(4_000), 8_000, 4_100)]).toEqual([3, 2])
  })

  it('abandons a version whose allowed time has passed', () => {
    const named = [{ version: 2, namedAtMs: 0, heldShare: 0.9 }, { version: 3, namedAtMs: 4_000, heldShare: 0 }]
    expect(Filling.Switching.versionToFetch(named, 8_000, 8_500)).toEqual(3)
  })

  it('cuts off the last answers of a batch only if they can be resumed elsewhere', () => {
    const { loadMode } = Filling.Switching
    expect([loadMode(10, 0, true), loadMode(10, 1_400, true), loadMode(1, 0, true), loadMode(0, 0, true)]).toEqual([undefined, 'cutting', 'cutting', 'afterRunning'])
    expect([loadMode(10, 0, false), loadMode(1, 5_000, false)]).toEqual(['afterRunning', 'afterRunning'])
  })

  it('loads the newest complete version', () => {
    expect(Filling.Switching.versionToLoad([{ version: 2, namedAtMs: 0, heldShare: 1 }, { version: 3, namedAtMs: 1, heldShare: 0.9 }])).toEqual(2)
  })
})

describe('ChunkCache', () => {
  it('stores only chunks that match the manifest', () => {
    const cache = Filling.ChunkCache.createChunkCache()
    const digest = '2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824'
    const chunkSet = cache.open({ model: 'm', version: 2, digests: [digest] })
    expect([cache.put(chunkSet, 0, Buffer.from('hellp')), cache.put(chunkSet, 0, Buffer.from('hello')), chunkSet.heldCount]).toEqual([false, true, 1])
  })
})
