import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as TestKit from '../testkit/index.ts'

describe('the load generator', () => {
  describe('arrivalsOf', () => {
    it('gives the same arrivals for a seed', () => {
      const load = { maxRatePerSecond: 50 }
      expect(TestKit.Load.arrivalsOf(load, 7, 2_000)).toEqual(TestKit.Load.arrivalsOf(load, 7, 2_000))
    })

    it('follows the rate and its changes', () => {
      const load = { maxRatePerSecond: 1_000, rateShareAt: (elapsedMs: number) => elapsedMs < 5_000 ? 0.1 : 1 }
      const times = TestKit.Load.arrivalsOf(load, 7, 10_000)
      const slowCount = times.filter(time => time < 5_000).length
      expect(Math.abs(slowCount - 500) < 100).toEqual(true)
      expect(Math.abs(times.length - slowCount - 5_000) < 300).toEqual(true)
    })
  })

  describe('summarise', () => {
    it('counts verdicts and codes', () => {
      const base = { workspace: 'w', dueAtMs: 0, firstByteMs: 2, endMs: 4 }
      const summary = TestKit.Load.summarise([
        { ...base, verdict: 'ok', code: 0 },
        { ...base, verdict: 'refused', code: 202 },
        { ...base, verdict: 'failed', code: -1 }
      ])
      expect([summary.okCount, summary.refusedCount, summary.failedCount]).toEqual([1, 1, 1])
      expect(summary.countByCode).toEqual({ 0: 1, 202: 1, '-1': 1 })
    })
  })
})
