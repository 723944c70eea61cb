import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Filling from '../src/filling/index.ts'

const agents = Array.from({ length: 15 }, (_, index) => ({ name: `agent-${index}`, region: `r${index % 3}`, isThere: true }))
const VERSION = 'm/2'
const COUNT = 64
const chunks = Array.from({ length: COUNT }, (_, index) => ({ version: VERSION, index }))
const rings: Filling.Sources.Rings = new Map()
const lines = Filling.Sources.createLines(agents, rings)
const isDrawn = (all: Filling.Sources.Lines, chunk: Filling.Sources.Chunk, own: string): boolean => all.sourcesOf(chunk, own)[0]?.kind === 'origin'

describe('Sources', () => {
  it('has each chunk drawn from the origin once, and an even part of them by each agent', () => {
    const drawnBy = chunks.map(chunk => agents.filter(agent => isDrawn(lines, chunk, agent.name)).length)
    expect(new Set(drawnBy)).toEqual(new Set([1]))
    const parts = agents.map(agent => chunks.filter(chunk => isDrawn(lines, chunk, agent.name)).length)
    expect([Math.min(...parts), Math.max(...parts)]).toEqual([4, 5])
  })

  it('crosses each region border once for a chunk', () => {
    const regionOf = new Map(agents.map(agent => [agent.name, agent.region]))
    for (const chunk of chunks) {
      const crossing = agents.filter(agent => {
        const [first] = lines.sourcesOf(chunk, agent.name)
        return first?.kind === 'agent' && regionOf.get(first.name) !== agent.region
      })
      expect(crossing.length).toEqual(2)
    }
  })

  it('lets every agent be told of each chunk by some agent', () => {
    for (const chunk of chunks) {
      const told = new Set(agents.flatMap(agent => lines.receiversOf(chunk, agent.name)))
      expect(told.size).toEqual(agents.length)
    }
  })

  it('fetches first what others wait for', () => {
    const own = 'agent-0'
    const order = lines.fetchOrder(VERSION, COUNT, own)
    const drawn = order.map(index => isDrawn(lines, { version: VERSION, index }, own))
    const drawnCount = drawn.filter(Boolean).length
    expect(drawn.slice(0, drawnCount).every(Boolean)).toEqual(true)
  })

  it('gives the chunks of an agent that is gone to others and leaves the rest as it is', () => {
    const without = Filling.Sources.createLines(agents.filter(agent => agent.name !== 'agent-3'), rings)
    const left = agents.filter(agent => agent.name !== 'agent-3')
    for (const chunk of chunks) {
      const before = agents.find(agent => isDrawn(lines, chunk, agent.name))?.name
      const now = left.filter(agent => isDrawn(without, chunk, agent.name)).map(agent => agent.name)
      expect(now.length).toEqual(1)
      if (before !== 'agent-3') expect(now).toEqual([before ?? ''])
    }
  })
})

describe('Switching', () => {
  const names = agents.map(agent => agent.name)
  const timeOf = (own: string): number => Filling.Switching.startAtMs({ model: 'm', version: 2, namedAtMs: 1_000, versionMs: 8_000, own, names })

  it('spreads the changes of all endpoints over the time, the last one before its end', () => {
    const times = names.map(timeOf).sort((a, b) => a - b)
    const gaps = times.slice(1).map((time, at) => time - (times[at] ?? 0))
    expect([Math.min(...gaps) > 150, (times.at(-1) ?? 0) < 1_000 + 8_000]).toEqual([true, true])
  })

  it('skips a version that the next one follows at once, and finishes one that is nearly everywhere', () => {
    const named = (gapMs: number): Filling.Switching.Progress[] => [{ version: 2, namedAtMs: 0, heldShare: 0.3 }, { version: 3, namedAtMs: gapMs, heldShare: 0 }]
    expect([Filling.Switching.versionToFetch(named(2_000), 8_000, 2_100), Filling.Switching.versionToFetch(named(4_000), 8_000, 4_100)]).toEqual([3, 2])
  })

  it('gives up a version whose time has passed', () => {
    const named = [{ version: 2, namedAtMs: 0, heldShare: 0.9 }, { version: 3, namedAtMs: 4_000, heldShare: 0 }]
    expect(Filling.Switching.versionToFetch(named, 8_000, 8_500)).toEqual(3)
  })

  it('cuts off the last answers of a batch where they can go on elsewhere, and never others', () => {
    const { loadMode } = Filling.Switching
    expect([loadMode(10, 0, true), loadMode(10, 1_400, true), loadMode(1, 0, true), loadMode(0, 0, true)]).toEqual([undefined, 'cutting', 'cutting', 'afterRunning'])
    expect([loadMode(10, 0, false), loadMode(1, 5_000, false)]).toEqual(['afterRunning', 'afterRunning'])
  })

  it('loads the newest version that is whole', () => {
    expect(Filling.Switching.versionToLoad([{ version: 2, namedAtMs: 0, heldShare: 1 }, { version: 3, namedAtMs: 1, heldShare: 0.9 }])).toEqual(2)
  })
})

describe('Library', () => {
  it('takes only the bytes that the manifest names', () => {
    const library = Filling.Library.createLibrary()
    const digest = '2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824'
    const volume = library.open({ model: 'm', version: 2, digests: [digest] })
    expect([library.put(volume, 0, Buffer.from('hellp')), library.put(volume, 0, Buffer.from('hello')), volume.heldCount]).toEqual([false, true, 1])
  })
})
