import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Budget from '../src/platform/budget.ts'
import * as TestKit from '../testkit/index.ts'

describe('Budget', () => {
  describe('limitCalls', () => {
    const create = () => {
      const clock = { nowMs: 0 }
      const counts: Record<string, number> = {}
      const memory = TestKit.Tables.createMemoryTables()
      const tables = Budget.limitCalls(memory, {
        readsPerSecond: 5,
        writesPerSecond: 1,
        clock: () => clock.nowMs,
        count: (kind, result) => { counts[`${kind} ${result}`] = (counts[`${kind} ${result}`] ?? 0) + 1 }
      })
      return { clock, counts, memory, tables }
    }

    it('passes on no more calls than the burst and the rate allow', async () => {
      const { clock, counts, tables } = create()
      for (let step = 0; step < 1_000; step++) {
        clock.nowMs += 10
        await tables.scan('control', '', 1)
      }
      expect(counts).toEqual({ 'read answered': 5 * 4 + 5 * 10 - 1, 'read overBudget': 1_000 - 69 })
    })

    it('refuses a write over the budget and reports it as not applied', async () => {
      const { tables } = create()
      const write = async (key: string) => await tables.transact({ conditions: [], writes: [{ table: 't', key, value: 1 }] })
      for (const key of ['a', 'b', 'c', 'd']) expect((await write(key)).isOk()).toEqual(true)
      expect((await write('e'))._unsafeUnwrapErr().maybeApplied).toEqual(false)
      expect((await tables.read([{ table: 't', key: 'e' }]))._unsafeUnwrap()).toEqual([])
    })

    it('counts calls that fail', async () => {
      const { counts, memory, tables } = create()
      memory.setReadsDown(true)
      await tables.read([])
      expect(counts).toEqual({ 'read failed': 1 })
    })
  })
})
