import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as CrashModel from '../testkit/crashModel.ts'
import * as Crashes from '../testkit/crashes.ts'

const SEED_COUNT = Number(process.env.CRASH_SEEDS ?? 60)

for (const { name, options } of [{ name: 'crash', options: {} }, { name: 'are abandoned by their callers and crash', options: { isLeaving: true } }]) {
  describe(`requests that ${name} endpoints, with gateways that receive each other's messages late or not at all`, () => {
    const runs = Array.from({ length: SEED_COUNT }, (_, seed) => ({ seed, ...CrashModel.play(seed, options) }))

    it('are sent to endpoints no more often than the platform allows', t => {
      t.diagnostic(`${SEED_COUNT} seeds, most late sends ${Math.max(...runs.map(({ lateSendCount }) => lateSendCount))}, crashes ${runs.reduce((sum, { crashCount }) => sum + crashCount, 0)}`)
      expect(runs.filter(({ lateSendCount }) => lateSendCount > Crashes.ALLOWED_COUNT)).toEqual([])
    })

    it('do not cause a harmless request to be locked out', t => {
      const [quarantinedCallCount, otherCallCount] = [runs.reduce((sum, { keptBackCount }) => sum + keptBackCount, 0), runs.reduce((sum, { otherCount }) => sum + otherCount, 0)]
      t.diagnostic(`${quarantinedCallCount} of ${otherCallCount} other calls quarantined`)
      expect(runs.filter(({ lockedOut }) => lockedOut.length > 0)).toEqual([])
    })
  })
}
