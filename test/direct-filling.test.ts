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

describe('Choosing', () => {
  const situation: Filling.Choosing.Situation = { isDrawer: false, isHead: false, rank: 2, nearHolders: [], farHolders: [], isHeld: false, others: ['x', 'y'], sinceMs: 100, isSettled: false, mayAskOthers: true, tryCount: 0 }
  const choose = (changes: Partial<Filling.Choosing.Situation>): string => {
    const choice = Filling.Choosing.choose({ ...situation, ...changes }, 0.5)
    return choice.kind === 'agent' ? choice.name : choice.kind
  }

  it('takes a chunk of a new version from a holder of its region, and waits for one', () => {
    expect([choose({}), choose({ isHeld: true, nearHolders: ['n1', 'n2', 'n3'], farHolders: ['f'] }), choose({ isDrawer: true })]).toEqual(['wait', 'n2', 'origin'])
  })

  it('crosses the border for the region, or once the one that should is overdue', () => {
    const known = { isHeld: true, farHolders: ['f'] }
    expect([choose(known), choose({ ...known, isHead: true }), choose({ ...known, sinceMs: 1_300 })]).toEqual(['wait', 'f', 'f'])
  })

  it('waits for holders that are busy rather than asking agents that lack the chunk', () => {
    expect(choose({ isHeld: true, sinceMs: 1_300 })).toEqual('wait')
  })

  it('hears who holds an older version before it draws', () => {
    const settled = { isDrawer: true, isSettled: true }
    expect([choose(settled), choose({ ...settled, sinceMs: 600 }), choose({ ...settled, nearHolders: ['n'], isHeld: true })]).toEqual(['wait', 'origin', 'n'])
  })

  it('asks one agent after the other when news were lost', () => {
    const late = { sinceMs: 1_300 }
    expect([choose(late), choose({ ...late, tryCount: 1 }), choose({ ...late, mayAskOthers: false }), choose({ ...late, others: [] })]).toEqual(['x', 'y', 'wait', 'origin'])
  })

  it('leaves the origin to one agent of a region after the other', () => {
    const ranks = [1, 2, 3].map(rank => choose({ rank, sinceMs: 4_500, mayAskOthers: false }))
    expect(ranks).toEqual(['origin', 'wait', 'wait'])
  })
})

describe('Switching', () => {
  const names = agents.map(agent => agent.name)
  const timeOf = (own: string): number => Filling.Switching.startAtMs({ model: 'm', version: 2, owedSinceMs: 1_000, versionMs: 8_000, own, names })

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
