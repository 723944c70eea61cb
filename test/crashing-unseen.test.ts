import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as CrashPlay from '../testkit/crashPlay.ts'
import * as Crashes from '../testkit/crashes.ts'

/** The caller leaves before the request has crashed its endpoint, in milliseconds. */
const LEAVES_AFTER_MS = 15
const CASES = [
  { name: 'is left by its caller before it crashes its endpoint', leavesAfterMs: LEAVES_AFTER_MS },
  { name: 'ends endpoints without closing their connections', crashesSilently: true }
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

        it('is kept from endpoints once it has crashed three', t => {
          const { runners } = started.stage
          const fromMs = Crashes.countedFromMs(runners)
          const count = Crashes.arrivalsSince(runners, CrashPlay.CRASHING, fromMs)
          t.diagnostic(`${runners.flatMap(runner => runner.crashedAtMs).length} crashes, ${count} sends later than ${Crashes.STABLE_MS} ms after the third`)
          expect([Number.isFinite(fromMs), count <= Crashes.ALLOWED_COUNT]).toEqual([true, true])
        })

        it('costs no other caller an answer from then on, one with a popular body included', () => {
          const { others, popular } = played
          expect([others.length > 0, popular.length > 0]).toEqual([true, true])
          expect([...others, ...popular].filter(answer => answer.status !== 200 || !answer.whole)).toEqual([])
        })
      })
    }
  })
}
