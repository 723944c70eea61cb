import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as CrashModel from '../testkit/crashModel.ts'
import * as Crashes from '../testkit/crashes.ts'

const SEED_COUNT = Number(process.env.CRASH_SEEDS ?? 60)

for (const { name, options } of [{ name: 'crash', options: {} }, { name: 'are left by their callers and crash', options: { isLeaving: true } }]) {
  describe(`requests that ${name} endpoints, among gateways that hear of one another late or not at all`, () => {
    const plays = Array.from({ length: SEED_COUNT }, (_, seed) => ({ seed, ...CrashModel.play(seed, options) }))

    it('are kept from endpoints as the platform allows', t => {
      t.diagnostic(`${SEED_COUNT} seeds, most late sends ${Math.max(...plays.map(({ lateSendCount }) => lateSendCount))}, crashes ${plays.reduce((sum, { crashCount }) => sum + crashCount, 0)}`)
      expect(plays.filter(({ lateSendCount }) => lateSendCount > Crashes.ALLOWED_COUNT)).toEqual([])
    })

    it('lock out no request that crashes nothing', t => {
      const [kept, all] = [plays.reduce((sum, { keptBackCount }) => sum + keptBackCount, 0), plays.reduce((sum, { otherCount }) => sum + otherCount, 0)]
      t.diagnostic(`${kept} of ${all} other calls kept back`)
      expect(plays.filter(({ lockedOut }) => lockedOut.length > 0)).toEqual([])
    })
  })
}
