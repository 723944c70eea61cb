import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as ClientConnections from '../src/edge/clientConnections.ts'
import * as ClientMemory from '../src/edge/clientMemory.ts'

const BUDGET_BYTES = 1_000_000
const LARGE_BYTES = 400_000

describe('ClientMemory', () => {
  const receive = (memory: ClientMemory.ClientMemory, evicted: string[], name: string, atMs = 0, deadlineAtMs = Infinity): ClientMemory.Holding =>
    memory.open(atMs, { deadlineAtMs, onEvicted: cause => { evicted.push(`${name} ${cause}`) } })

  it('lets the holder that lags furthest behind give way first, and nobody who makes progress', () => {
    const memory = ClientMemory.createClientMemory(BUDGET_BYTES)
    const evicted: string[] = []
    const stalled = receive(memory, evicted, 'stalled')
    const moving = receive(memory, evicted, 'moving')
    for (const holding of [stalled, moving]) holding.resize(300_000, 0)
    for (let atMs = 0; atMs <= 2_000; atMs += 100) moving.recordProgress(10_000, atMs)
    const newcomer = receive(memory, evicted, 'newcomer', 2_000)
    expect([newcomer.resize(LARGE_BYTES, 2_000), evicted, memory.usedBytes()]).toEqual([true, ['stalled noRoom'], 700_000])
  })

  it('counts a byte now and then as lagging', () => {
    const memory = ClientMemory.createClientMemory(BUDGET_BYTES)
    const evicted: string[] = []
    const trickling = receive(memory, evicted, 'trickling')
    trickling.resize(700_000, 0)
    for (let atMs = 0; atMs <= 2_000; atMs += 100) trickling.recordProgress(1, atMs)
    receive(memory, evicted, 'newcomer', 2_000).resize(LARGE_BYTES, 2_000)
    expect(evicted).toEqual(['trickling noRoom'])
  })

  it('refuses a large newcomer while all others make progress, and still takes a small one', () => {
    const memory = ClientMemory.createClientMemory(BUDGET_BYTES)
    const evicted: string[] = []
    receive(memory, evicted, 'first').resize(700_000, 0)
    expect([receive(memory, evicted, 'large').resize(LARGE_BYTES, 100), receive(memory, evicted, 'small').resize(10_000, 100), evicted]).toEqual([false, true, []])
  })

  it('takes nothing from requests that are complete', () => {
    const memory = ClientMemory.createClientMemory(BUDGET_BYTES)
    const evicted: string[] = []
    const complete = receive(memory, evicted, 'complete')
    complete.resize(700_000, 0)
    complete.settle()
    expect([receive(memory, evicted, 'newcomer', 9_000).resize(LARGE_BYTES, 9_000), evicted]).toEqual([false, []])
  })

  it('evicts those whose deadline has passed', () => {
    const memory = ClientMemory.createClientMemory(BUDGET_BYTES)
    const evicted: string[] = []
    receive(memory, evicted, 'overdue', 0, 500)
    receive(memory, evicted, 'other', 0, 5_000)
    memory.evictOverdue(600)
    expect([evicted, memory.holdingCount()]).toEqual([['overdue tooSlow'], 1])
  })

  it('counts back to zero after every way out', () => {
    const memory = ClientMemory.createClientMemory(BUDGET_BYTES)
    const holdings = Array.from({ length: 20 }, (_, index) => receive(memory, [], String(index), 0, index % 4 === 0 ? 10 : Infinity))
    for (const [index, holding] of holdings.entries()) {
      holding.resize(20_000 + index, 0)
      if (index % 3 === 0) holding.settle()
    }
    memory.evictOverdue(20)
    for (const holding of holdings) { holding.release(); holding.release() }
    expect([memory.usedBytes(), memory.holdingCount(), holdings.some(holding => holding.resize(1, 30))]).toEqual([0, 0, false])
  })

  it('follows the memory of the machine', () => {
    expect([202, 350, 64].map(megabytes => ClientMemory.budgetBytesOf(megabytes * 1_000_000))).toEqual([46_000_000, 64_000_000, 16_000_000])
  })
})

describe('connectionLimitOf', () => {
  it('follows the memory and the descriptors of the machine, and never falls below a minimum', () => {
    const limitOf = (budgetBytes: number, descriptorCount: number | undefined): number => ClientConnections.connectionLimitOf({ budgetBytes, descriptorCount })
    expect([limitOf(46_000_000, 2_069), limitOf(46_000_000, 1_000), limitOf(46_000_000, undefined), limitOf(16_000_000, 100)]).toEqual([467, 300, 467, 64])
  })
})

describe('createPressureLog', () => {
  it('reports the beginning and the end once, not each client', () => {
    let nowMs = 0
    const lines: string[] = []
    const log = ClientConnections.createPressureLog(() => nowMs, (sentence, fields) => { lines.push(`${sentence} ${JSON.stringify(fields)}`) })
    for (let client = 0; client < 100; client++) log.record('notRead')
    log.check()
    nowMs = 6_000
    log.check()
    log.check()
    expect(lines).toEqual(['Clients are cut off. {"reason":"notRead"}', 'Clients keep to the bounds again. {"closedCounts":{"notRead":100}}'])
  })
})
