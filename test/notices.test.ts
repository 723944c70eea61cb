import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import type * as Runner from '../standins/runner.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'
import * as Notices from '../testkit/notices.ts'

const GATEWAY_COUNT = 3
const RUNNER_COUNT = 8
const FAULTY_COUNT = 3
const CALL_INTERVAL_MS = 20
const LOAD_DURATION_MS = 4_500
const WAIT_TIMEOUT_MS = 5_000
/** Minimum share of calls that have to be served while most endpoints work. */
const MIN_SERVED_SHARE = 0.99
const CASES: ReadonlyArray<{ readonly name: string, readonly faults: Partial<Runner.RunnerFaults>, readonly count: keyof Notices.Verdict }> = [
  { name: 'announces that it is shutting down, while its entry does not', faults: { leaving: true }, count: 'leavingCount' },
  { name: 'refuses calls and names a time to retry', faults: { full: true, returnAfter: '3' }, count: 'quietCount' }
]

for (const { name, faults, count } of CASES) {
  describe(`an endpoint that ${name}`, () => {
    for (const path of ['/stream/1', '/read/1', '/book/1']) {
      describe(`for calls to ${path}`, () => {
        let stage: Direct.DirectStage
        let answers: readonly Direct.CallAnswer[] = []
        const gatewayOf = new Map<string, string>()

        before(async () => {
          const service = path.startsWith('/stream/') ? 'llm' : 'plain'
          stage = await Direct.startDirectStage(Array.from({ length: RUNNER_COUNT }, (_, at) => ({ instanceId: `e${at}`, service })))
          const gateways = [stage.first]
          for (let at = 2; at <= GATEWAY_COUNT; at++) gateways.push(await stage.addGateway(`g${at}`))
          for (const gateway of gateways) await TestKit.Wait.until(`${gateway.name} serves calls`, WAIT_TIMEOUT_MS, async () => (await gateway.call({ path })).status === 200)
          for (const runner of stage.runners.slice(0, FAULTY_COUNT)) Object.assign(runner.faults, faults)
          const calls: Array<Promise<Direct.CallAnswer>> = []
          const untilMs = stage.clock() + LOAD_DURATION_MS
          for (let step = 0; stage.clock() < untilMs; step++) {
            const gateway = gateways[step % GATEWAY_COUNT] as Direct.StartedGateway
            gatewayOf.set(`played-${step}`, gateway.name)
            calls.push(gateway.call({ path, id: `played-${step}`, body: `body ${step}` }))
            await sleep(CALL_INTERVAL_MS)
          }
          answers = await Promise.all(calls)
        })
        after(async () => { await stage.stop() })

        it('gets no more than allowed from a gateway that received the announcement', t => {
          const verdict = Notices.judge(stage.runners, id => gatewayOf.get(id))
          t.diagnostic(`${stage.runners.flatMap(runner => runner.told).length} answers announced it, ${verdict[count]} calls more than allowed`)
          expect([stage.runners.slice(0, FAULTY_COUNT).every(runner => runner.told.length > 0), verdict[count] <= 0]).toEqual([true, true])
        })

        it('does not affect callers while other endpoints work', () => {
          const servedCount = answers.filter(answer => answer.status === 200 && answer.whole).length
          expect(servedCount >= MIN_SERVED_SHARE * answers.length).toEqual(true)
        })
      })
    }
  })
}
