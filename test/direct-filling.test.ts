import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Filling from '../src/filling/index.ts'

const agents = Array.from({ length: 15 }, (_, index) => ({ name: `agent-${index}`, region: `r${index % 3}` }))
const subjects = Array.from({ length: 64 }, (_, index) => `m/2/${index}`)

describe('Sources', () => {
  it('has each chunk drawn from the origin once, whoever works it out', () => {
    const drawnBy = subjects.map(subject => agents.filter(agent => Filling.Sources.sourcesOf(subject, agent, agents)[0]?.kind === 'origin').length)
    expect(new Set(drawnBy)).toEqual(new Set([1]))
  })

  it('crosses each region border once for a chunk', () => {
    for (const subject of subjects) {
      const regionOf = new Map(agents.map(agent => [agent.name, agent.region]))
      const crossing = agents.filter(agent => {
        const [first] = Filling.Sources.sourcesOf(subject, agent, agents)
        return first?.kind === 'agent' && regionOf.get(first.name) !== agent.region
      })
      expect(crossing.length).toEqual(2)
    }
  })

  it('lets every agent be told of each chunk by some agent', () => {
    for (const subject of subjects) {
      const told = new Set(agents.flatMap(agent => Filling.Sources.receiversOf(subject, agent, agents)))
      expect(told.size).toEqual(agents.length)
    }
  })

  it('fetches first what others wait for', () => {
    const [own] = agents
    if (own === undefined) return
    const order = Filling.Sources.fetchOrder(subjects, own, agents)
    const isDrawn = (index: number): boolean => Filling.Sources.sourcesOf(subjects[index] ?? '', own, agents)[0]?.kind === 'origin'
    const drawnCount = order.filter(isDrawn).length
    expect(order.slice(0, drawnCount).every(isDrawn)).toEqual(true)
  })

  it('gives the chunks of an agent that is gone to others', () => {
    const without = agents.slice(1)
    const drawers = subjects.map(subject => without.filter(agent => Filling.Sources.sourcesOf(subject, agent, without)[0]?.kind === 'origin').length)
    expect(new Set(drawers)).toEqual(new Set([1]))
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
