import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as NoticeModel from '../testkit/noticeModel.ts'

const SEED_COUNT = Number(process.env.NOTICE_SEEDS ?? 20)

for (const gatewayCount of [3, 12]) {
  describe(`endpoints that leave or want no calls, with ${gatewayCount} gateways that restart or freeze and have stale lists`, () => {
    const runs = Array.from({ length: SEED_COUNT }, (_, seed) => ({ seed, ...NoticeModel.play(seed, gatewayCount) }))

    it('get no calls that the platform does not allow', t => {
      t.diagnostic(`${SEED_COUNT} seeds, ${runs.reduce((sum, { callCount }) => sum + callCount, 0)} calls, ${runs.reduce((sum, { toldCount }) => sum + toldCount, 0)} notices`)
      expect(runs.every(({ toldCount }) => toldCount > 0)).toEqual(true)
      expect(runs.filter(({ leavingCount, quietCount }) => leavingCount > 0 || quietCount > 0)).toEqual([])
    })

    it('do not keep calls from healthy endpoints', () => {
      expect(runs.filter(({ refusedCount }) => refusedCount > 0)).toEqual([])
    })
  })
}
