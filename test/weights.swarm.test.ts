import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Weights from '../src/weights/index.ts'
import * as Fake from './weightsFake.ts'

const chunkNames = (count: number): string[] => Array.from({ length: count }, (_, index) => `c${index}`)
const indices = (count: number): number[] => Array.from({ length: count }, (_, index) => index)
const digestOf = (weights: Fake.FakeWeights, index: number): string => weights.manifest.chunks[index] ?? ''

describe('seeding', () => {
  const chunks = chunkNames(60).map(name => Fake.makeWeights(name, ['c']).digest)
  const ids = ['a', 'b', 'c', 'd', 'e']

  it('ranks the same agent first for a chunk regardless of the order of the list', () => {
    const one = Weights.Seeding.createSeeding('east', chunks, ids)
    const other = Weights.Seeding.createSeeding('east', chunks, [...ids].reverse())
    for (const index of indices(60)) {
      expect(other.rankedIds(index)).toEqual([...one.rankedIds(index)])
      expect(ids.filter(id => one.rankOf(index, id) === 0)).toEqual([one.rankedIds(index)[0] ?? ''])
    }
  })

  it('spreads chunks over all agents and orders them differently in another region', () => {
    const east = Weights.Seeding.createSeeding('east', chunks, ids)
    const west = Weights.Seeding.createSeeding('west', chunks, ids)
    expect(new Set(indices(60).map(index => east.rankedIds(index)[0])).size).toEqual(ids.length)
    expect([...east.order]).not.toEqual([...west.order])
  })

  it('reassigns only the chunks of an agent that left', () => {
    const before = Weights.Seeding.createSeeding('east', chunks, ids)
    const after = Weights.Seeding.createSeeding('east', chunks, ids.slice(1))
    for (const index of indices(60)) if (before.rankedIds(index)[0] !== 'a') expect(after.rankedIds(index)[0]).toEqual(before.rankedIds(index)[0])
  })
})

describe('the swarm', () => {
  describe('fetching from the origin', () => {
    const weights = Fake.makeWeights('w', chunkNames(8))

    it('fetches only the chunks for which the agent ranks first', () => {
      const agents = ['a0', 'a1', 'a2'].map(instanceId => Fake.createAgent({ members: Fake.makeMembers(3), instanceId }))
      const firstFetches = agents.flatMap(agent => {
        agent.want(weights)
        return Fake.of('fetchChunk', agent.learn(weights)).map(fetch => fetch.index)
      })
      expect(new Set(firstFetches).size).toEqual(firstFetches.length)
      expect(firstFetches.length).toBeGreaterThan(0)
    })

    it('takes over when the first-ranked agent fetches nothing, but not while that agent reports that it is fetching', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(2) })
      agent.want(weights)
      agent.learn(weights)
      const seeding = agent.tables.sets.get(weights.digest)?.seeding as Weights.Seeding.Seeding
      const others = indices(8).filter(index => seeding.rankedIds(index)[0] === 'a1').slice(0, 2)
      const fetchedWhileSeeding = indices(16).flatMap(() => {
        agent.hear('a1', weights, [], { seeding: others })
        agent.pass(500)
        return agent.endAll().map(fetch => fetch.index)
      })
      expect(fetchedWhileSeeding.filter(index => others.includes(index))).toEqual([])
      const fetchedAfterSilence = indices(24).flatMap(() => { agent.pass(500); return agent.endAll().map(fetch => fetch.index) })
      expect(others.filter(index => fetchedAfterSilence.includes(index))).toEqual(others)
    })

    it('takes over soon when the first-ranked agent is unreachable', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(2) })
      agent.want(weights)
      agent.learn(weights)
      const seeding = agent.tables.sets.get(weights.digest)?.seeding as Weights.Seeding.Seeding
      const others = indices(8).filter(index => seeding.rankedIds(index)[0] === 'a1').slice(0, 2)
      const fetched = indices(6).flatMap(() => {
        for (const probe of Fake.of('exchange', agent.pass(500))) agent.tick({ kind: 'exchanged', instanceId: probe.instanceId, answered: false, tookMs: 1 })
        return agent.endAll().map(fetch => fetch.index)
      })
      expect(others.filter(index => fetched.includes(index))).toEqual(others)
    })

    it('leaves a chunk to the first-ranked agent although its queue is full', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(2) })
      agent.want(weights)
      agent.learn(weights)
      const seeding = agent.tables.sets.get(weights.digest)?.seeding as Weights.Seeding.Seeding
      const others = indices(8).filter(index => seeding.rankedIds(index)[0] === 'a1')
      const first = Weights.Tables.ensurePeer(agent.tables, 'a1') as Weights.Tables.PeerRow
      const fetched = indices(6).flatMap(() => {
        Weights.Faults.recordFault(first.health, 'throttled', Weights.Faults.PEER_BACK_OFF, agent.nowMs() + 50)
        agent.pass(10)
        return agent.endAll().map(fetch => fetch.index)
      })
      expect(fetched.length).toBeGreaterThan(0)
      expect(others.filter(index => fetched.includes(index))).toEqual([])
    })

    it('fetches a chunk into the region again when its only holder is gone', () => {
      const single = Fake.makeWeights('single', ['c0'])
      const agent = Fake.createAgent({ members: Fake.makeMembers(3) })
      agent.want(single)
      agent.learn(single)
      agent.hear('a1', single, [], { present: [0] })
      for (const fetch of agent.tables.fetches.rows()) agent.tables.fetches.remove(fetch.fetchId)
      expect(Fake.of('fetchChunk', agent.pass(4_000))).toEqual([])
      expect(Fake.of('fetchChunk', agent.pass(20_000)).length).toBeGreaterThan(0)
    })

    it('fetches from another region while the origin is down and from the origin afterwards', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(2, ['east-1', 'west-1']) })
      agent.want(weights)
      agent.learn(weights)
      const asked: string[] = []
      const failAll = (): void => {
        for (const fetch of agent.pending()) {
          asked.push(fetch.sourceId)
          agent.end(fetch, fetch.sourceId === 'origin' ? 'throttled' : 'absent')
        }
      }
      for (let round = 0; round < 12; round++) { failAll(); agent.pass(500) }
      expect(asked.includes('a1')).toEqual(true)
      expect(asked.filter(sourceId => sourceId === 'origin').length).toBeGreaterThan(2)
      for (let round = 0; round < 20; round++) { agent.pass(500); agent.pending().forEach(fetch => { agent.end(fetch, fetch.sourceId === 'origin' ? 'whole' : 'absent') }) }
      expect(agent.tables.chunkLastUsedAtMs.size).toEqual(8)
    })
  })

  describe('fetching from peers', () => {
    const weights = Fake.makeWeights('w', chunkNames(20))
    const start = (members: readonly Weights.Messages.Member[]): Fake.FakeAgent => {
      const agent = Fake.createAgent({ members })
      agent.want(weights)
      agent.learn(weights)
      agent.pass(100)
      return agent
    }

    it('fetches everything from peers and nothing from the origin when it joins late', () => {
      const agent = start(Fake.makeMembers(5))
      for (const fetch of [...agent.tables.fetches.rows()]) agent.tick({ kind: 'chunkFetched', fetchId: fetch.fetchId, chunkDigest: digestOf(weights, fetch.index), ending: 'cancelled', sizeBytes: 0 })
      const sources = new Set<string>()
      for (let round = 0; round < 20; round++) {
        const commands = ['a1', 'a2', 'a3', 'a4'].flatMap(id => agent.hear(id, weights, indices(20)))
        for (const fetch of Fake.of('fetchChunk', commands)) { sources.add(fetch.sourceId); agent.end(fetch, 'whole') }
        agent.pass(50)
      }
      expect(sources.has('origin')).toEqual(false)
      expect(sources.size).toBeGreaterThan(1)
    })

    it('requests the rarest chunk first', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(4) })
      agent.want(weights)
      agent.learn(weights)
      for (const id of ['a1', 'a2', 'a3']) Weights.Tables.ensurePeer(agent.tables, id)
      agent.tables.peers.get('a1')?.holdings.set(weights.digest, holding(20, indices(20)))
      agent.tables.peers.get('a2')?.holdings.set(weights.digest, holding(20, indices(19)))
      agent.tables.peers.get('a3')?.holdings.set(weights.digest, holding(20, indices(19)))
      const first = Fake.of('fetchChunk', agent.tick()).find(fetch => fetch.sourceId !== 'origin')
      expect(first?.index).toEqual(19)
    })

    it('prefers its own zone among equally loaded peers', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(3, ['east-1', 'east-2', 'east-1']) })
      agent.want(weights)
      agent.learn(weights)
      for (const id of ['a1', 'a2']) {
        Weights.Tables.ensurePeer(agent.tables, id)
        agent.tables.peers.get(id)?.holdings.set(weights.digest, holding(20, [3]))
      }
      const fetch = Fake.of('fetchChunk', agent.tick()).find(candidate => candidate.index === 3 && candidate.sourceId !== 'origin')
      expect(fetch?.sourceId).toEqual('a2')
    })

    it('exchanges news with a bounded number of neighbours', () => {
      const agent = start(Fake.makeMembers(400, ['east-1', 'east-2', 'east-3', 'west-1']))
      const asked = new Set(Fake.of('exchange', agent.pass(1_000)).map(command => command.instanceId))
      expect(asked.size).toBeLessThanOrEqual(11)
      expect(asked.size).toBeGreaterThan(4)
    })

    it('requests a chunk twice in the end game and cancels the slower fetch', () => {
      const few = Fake.makeWeights('few', ['c0'])
      const agent = Fake.createAgent({ members: Fake.makeMembers(3), instanceId: 'a0' })
      agent.want(few, { instanceIds: ['a1', 'a2'] })
      agent.learn(few)
      agent.hear('a2', few, [0])
      const commands = [...agent.hear('a1', few, [0]), ...agent.pass(1_500)]
      const fetches = [...agent.tables.fetches.rows()].filter(fetch => fetch.sourceId !== 'origin')
      expect(new Set(fetches.map(fetch => fetch.sourceId)).size).toEqual(2)
      expect(Fake.of('cancelFetch', commands)).toEqual([])
      const ended = agent.tick({ kind: 'chunkFetched', fetchId: fetches[1]?.fetchId ?? '', chunkDigest: digestOf(few, 0), ending: 'whole', sizeBytes: 1_000 })
      expect(Fake.of('cancelFetch', ended).map(command => command.fetchId)).toEqual([fetches[0]?.fetchId ?? ''])
    })
  })

  describe('faults of peers', () => {
    const weights = Fake.makeWeights('w', chunkNames(30))
    const backOffMs = (ending: Weights.Messages.FetchEnding, repeatCount = 1): number => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(2) })
      agent.want(weights, { instanceIds: ['a1'] })
      agent.learn(weights)
      for (let round = 0; round < repeatCount; round++) {
        agent.hear('a1', weights, indices(30))
        const fetch = agent.pending('a1')[0]
        if (fetch === undefined) throw new Error('no fetch from a1 was started')
        agent.end(fetch, ending)
        if (round < repeatCount - 1) agent.pass((agent.tables.peers.get('a1')?.health.backOffUntilMs ?? 0) - agent.nowMs() + 50)
      }
      return (agent.tables.peers.get('a1')?.health.backOffUntilMs ?? 0) - agent.nowMs()
    }

    it('cause a longer back-off after corruption than after a stall, and after a stall than after throttling', () => {
      expect(backOffMs('corrupted')).toBeGreaterThan(backOffMs('stalled'))
      expect(backOffMs('stalled')).toBeGreaterThan(backOffMs('throttled'))
      expect(backOffMs('absent')).toBeLessThanOrEqual(0)
    })

    it('cause a longer back-off with each repetition', () => {
      expect(backOffMs('corrupted', 2)).toBeGreaterThan(3 * backOffMs('corrupted'))
      expect(backOffMs('stalled', 3)).toBeGreaterThan(3 * backOffMs('stalled'))
    })

    it('count against the peer, and the chunk is requested from another peer', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(3) })
      agent.want(weights, { instanceIds: ['a1', 'a2'] })
      agent.learn(weights)
      const fetch = Fake.of('fetchChunk', agent.hear('a1', weights, indices(30))).find(candidate => candidate.sourceId === 'a1')
      if (fetch === undefined) throw new Error('no fetch from a1 was started')
      agent.end(fetch, 'corrupted')
      expect(agent.tables.chunkLastUsedAtMs.has(fetch.chunkDigest)).toEqual(false)
      agent.hear('a2', weights, indices(30))
      const again = agent.endAll().filter(candidate => candidate.index === fetch.index).map(candidate => candidate.sourceId)
      expect(again.filter(sourceId => sourceId !== 'origin')).toEqual(['a2'])
    })

    it('include a fetch that takes many times as long as from the other peers', () => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(4) })
      agent.want(weights, { instanceIds: ['a1', 'a2', 'a3'] })
      agent.learn(weights)
      for (const [id, tookMs] of [['a1', 100], ['a2', 100], ['a3', 3_000]] as const) {
        const fetch = Fake.of('fetchChunk', agent.hear(id, weights, indices(30))).find(candidate => candidate.sourceId === id)
        if (fetch === undefined) throw new Error(`no fetch from ${id} was started`)
        agent.pass(tookMs)
        agent.end(fetch, 'whole')
      }
      expect(agent.tables.peers.get('a3')?.health.faultCounts.slow).toEqual(1)
      expect(agent.tables.peers.get('a1')?.health.faultCounts.slow).toEqual(0)
    })
  })

  describe('several sets', () => {
    it('requests the set of higher priority first and small adapters before a model of the same priority', () => {
      const model = Fake.makeWeights('model', chunkNames(20))
      const urgent = Fake.makeWeights('urgent', chunkNames(20).map(name => `u${name}`))
      const adapter = Fake.makeWeights('adapter', ['x0', 'x1'])
      const agent = Fake.createAgent({ members: Fake.makeMembers(6) })
      const others = { instanceIds: ['a1', 'a2', 'a3', 'a4', 'a5'] }
      agent.want(model, others)
      agent.want(adapter, others)
      agent.want(urgent, { ...others, priority: 5 })
      for (const weights of [model, adapter, urgent]) agent.learn(weights)
      for (const id of others.instanceIds) {
        Weights.Tables.ensurePeer(agent.tables, id)
        for (const weights of [model, adapter, urgent]) agent.tables.peers.get(id)?.holdings.set(weights.digest, holding(weights.manifest.chunks.length, indices(20)))
      }
      const asked = Fake.of('fetchChunk', agent.tick()).filter(fetch => fetch.sourceId !== 'origin').map(fetch => fetch.digest)
      expect(new Set(asked)).toEqual(new Set([urgent.digest]))
      expect([model, adapter, urgent].map(weights => Weights.Tables.isWhole(agent.tables, weights.digest))).toEqual([false, false, false])
    })

    it('cancels the fetches of a superseded version and keeps the chunks that it shares with the new one', () => {
      const old = Fake.makeWeights('v1', ['s0', 's1', 'o2', 'o3'])
      const next = Fake.makeWeights('v2', ['s0', 's1', 'n2', 'n3'])
      const agent = Fake.createAgent({ members: Fake.makeMembers(1) })
      agent.want(old)
      agent.learn(old)
      while (!agent.tables.chunkLastUsedAtMs.has(digestOf(old, 0)) || !agent.tables.chunkLastUsedAtMs.has(digestOf(old, 1))) {
        agent.end(agent.pending()[0] as Weights.Tables.FetchRow, 'whole')
      }
      const pendingCount = agent.pending().length
      Weights.Tables.setWanted(agent.tables, [{ digest: next.digest, sizeBytes: 4_000, priority: 0, instanceIds: ['a0'] }], agent.nowMs())
      const cancelled = Fake.of('cancelFetch', agent.tick()).length
      expect(cancelled).toEqual(pendingCount)
      agent.learn(next)
      expect(agent.endAll().map(fetch => fetch.index).sort()).toEqual([2, 3])
    })
  })

  describe('wholeness', () => {
    const weights = Fake.makeWeights('w', chunkNames(4))
    const fetchAll = (agent: Fake.FakeAgent): void => {
      agent.learn(weights)
      agent.endAll()
    }
    const start = (memoryBytes?: number): Fake.FakeAgent => {
      const agent = Fake.createAgent({ members: Fake.makeMembers(1), memoryBytes })
      agent.want(weights)
      return agent
    }

    it('requires that the endpoint accepted every chunk and that the digest of the whole set matches', () => {
      const agent = start()
      fetchAll(agent)
      agent.deliverAll(weights)
      expect(Weights.Tables.isWhole(agent.tables, weights.digest)).toEqual(false)
      agent.tick({ kind: 'chunksHashed', digest: weights.digest, hashedCount: 4, wholeMatches: true })
      expect(Weights.Tables.isWhole(agent.tables, weights.digest)).toEqual(true)
      expect(agent.violations).toEqual([])
    })

    it('is never reached when the digest of the whole set differs', () => {
      const agent = start()
      fetchAll(agent)
      agent.tick({ kind: 'chunksHashed', digest: weights.digest, hashedCount: 4, wholeMatches: false })
      agent.deliverAll(weights)
      agent.pass(5_000)
      expect(Weights.Tables.isWhole(agent.tables, weights.digest)).toEqual(false)
    })

    it('is restored from memory, without a fetch, after a restart of the endpoint', () => {
      const agent = start()
      fetchAll(agent)
      agent.deliverAll(weights)
      agent.tick({ kind: 'chunksHashed', digest: weights.digest, hashedCount: 4, wholeMatches: true })
      Weights.Tables.forgetDelivered(agent.tables)
      expect(Weights.Tables.isWhole(agent.tables, weights.digest)).toEqual(false)
      agent.tick()
      agent.deliverAll(weights)
      expect(agent.pending()).toEqual([])
      expect(Weights.Tables.isWhole(agent.tables, weights.digest)).toEqual(true)
    })

    it('needs another delivery of a chunk that the endpoint refused', () => {
      const agent = start()
      agent.learn(weights)
      const index = Fake.of('deliverChunk', agent.end(agent.pending()[0] as Weights.Tables.FetchRow, 'whole'))[0]?.index ?? -1
      agent.tick({ kind: 'chunkDelivered', digest: weights.digest, index, accepted: false })
      const delivery = Fake.of('deliverChunk', agent.pass(2_000)).find(command => command.index === index)
      expect(delivery?.index).toEqual(index)
    })
  })

  describe('memory', () => {
    it('stays within its limit for a larger set and evicts only chunks that the endpoint has accepted', () => {
      const weights = Fake.makeWeights('large', chunkNames(40))
      const agent = Fake.createAgent({ members: Fake.makeMembers(1), memoryBytes: 10_000 })
      agent.want(weights)
      agent.learn(weights)
      let hashedCount = 0
      const seen = new Set<number>()
      for (let round = 0; round < 400 && !Weights.Tables.isWhole(agent.tables, weights.digest); round++) {
        const fetch = agent.pending()[0]
        if (fetch !== undefined) { seen.add(fetch.index); agent.end(fetch, 'whole') }
        while (seen.has(hashedCount)) hashedCount++
        agent.tick({ kind: 'chunksHashed', digest: weights.digest, hashedCount, wholeMatches: hashedCount === 40 ? true : undefined })
        agent.deliverAll(weights)
        expect(agent.tables.usedBytes).toBeLessThanOrEqual(10_000)
        agent.pass(50)
      }
      expect(Weights.Tables.isWhole(agent.tables, weights.digest)).toEqual(true)
    })

    it('keeps unwanted weights for a while, then frees them', () => {
      const weights = Fake.makeWeights('w', chunkNames(2))
      const agent = Fake.createAgent({ members: Fake.makeMembers(1) })
      agent.want(weights)
      agent.learn(weights)
      agent.endAll()
      Weights.Tables.setWanted(agent.tables, [], agent.nowMs())
      agent.pass(30_000)
      expect(agent.tables.usedBytes).toBeGreaterThan(0)
      agent.pass(40_000)
      expect([agent.tables.usedBytes, agent.tables.sets.count()]).toEqual([0, 0])
    })
  })
})

describe('the rate control of traffic between regions', () => {
  it('decreases the rate while exchanges queue behind live traffic and increases it again afterwards', () => {
    const pace = Weights.Pace.createBorderPace(1_000_000)
    const observe = (tookMs: number, count: number): number => {
      for (let step = 0; step < count; step++) { nowMs += 300; Weights.Pace.observe(pace, tookMs, nowMs) }
      return pace.bytesPerSecond
    }
    let nowMs = 0
    const idle = observe(5, 20)
    const busy = observe(120, 8)
    expect(busy).toBeLessThan(idle / 5)
    expect(observe(5, 40)).toBeGreaterThan(idle * 0.9)
    expect(pace.bytesPerSecond).toBeLessThanOrEqual(1_000_000)
  })
})

function holding (sizeCount: number, held: readonly number[]): Weights.Tables.Holding {
  const bitmap = Weights.Bitmap.createBitmap(sizeCount)
  held.filter(index => index < sizeCount).forEach(index => { Weights.Bitmap.add(bitmap, index) })
  return { held: bitmap, present: bitmap, seeding: Weights.Bitmap.createBitmap(sizeCount) }
}
