import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as CrashModel from '../testkit/crashModel.ts'
import * as Crashes from '../testkit/crashes.ts'

const SEED_COUNT = Number(process.env.CRASH_SEEDS ?? 60)

for (const { name, options } of [{ name: 'crash', options: {} }, { name: 'are left by their callers and crash', options: { isLeaving: true } }]) {
  describe(`requests that ${name} endpoints, among gateways that hear of one another late or not at all`, () => {
    const runs = Array.from({ length: SEED_COUNT }, (_, seed) => ({ seed, ...CrashModel.play(seed, options) }))

    it('are kept from endpoints as the platform allows', t => {
      t.diagnostic(`${SEED_COUNT} seeds, most late sends ${Math.max(...runs.map(({ lateSendCount }) => lateSendCount))}, crashes ${runs.reduce((sum, { crashCount }) => sum + crashCount, 0)}`)
      expect(runs.filter(({ lateSendCount }) => lateSendCount > Crashes.ALLOWED_COUNT)).toEqual([])
    })

    it('lock out no request that crashes nothing', t => {
      const [quarantinedCallCount, otherCallCount] = [runs.reduce((sum, { keptBackCount }) => sum + keptBackCount, 0), runs.reduce((sum, { otherCount }) => sum + otherCount, 0)]
      t.diagnostic(`${quarantinedCallCount} of ${otherCallCount} other calls kept back`)
      expect(runs.filter(({ lockedOut }) => lockedOut.length > 0)).toEqual([])
    })
  })
}
