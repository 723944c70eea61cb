import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as CrashPlay from '../testkit/crashPlay.ts'
import * as Crashes from '../testkit/crashes.ts'

/** Time after which the caller disconnects, in milliseconds: before the request crashes its endpoint. */
const LEAVES_AFTER_MS = 15
const CASES = [
  { name: 'is abandoned by its caller before it crashes its endpoint', leavesAfterMs: LEAVES_AFTER_MS },
  { name: 'crashes endpoints without closing their connections', crashesSilently: true }
]

for (const { name, ...form } of CASES) {
  describe(`a request that ${name}`, () => {
    for (const path of ['/stream/1', '/read/1', '/book/1']) {
      describe(`to ${path}`, () => {
        let started: CrashPlay.CrashPlay
        let played: CrashPlay.Played

        before(async () => {
          started = await CrashPlay.startCrashPlay({ path, gatewayCount: 4, runnerCount: 8, ...form })
          played = await started.play(Crashes.STABLE_MS)
        })
        after(async () => { await started.stage.stop() })

        it('is quarantined once it has crashed three endpoints', t => {
          const { runners } = started.stage
          const fromMs = Crashes.countedFromMs(runners)
          const count = Crashes.arrivalsSince(runners, CrashPlay.CRASHING, fromMs)
          t.diagnostic(`${runners.flatMap(runner => runner.crashedAtMs).length} crashes, ${count} sends later than ${Crashes.STABLE_MS} ms after the third`)
          expect([Number.isFinite(fromMs), count <= Crashes.ALLOWED_COUNT]).toEqual([true, true])
        })

        it('affects no other caller from then on, not even those that share a body', () => {
          const { others, popular } = played
          expect([others.length > 0, popular.length > 0]).toEqual([true, true])
          expect([...others, ...popular].filter(answer => answer.status !== 200 || !answer.whole)).toEqual([])
        })
      })
    }
  })
}
