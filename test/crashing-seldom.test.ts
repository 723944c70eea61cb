import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import * as Crashes from '../testkit/crashes.ts'
import * as CrashPlay from '../testkit/crashPlay.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 5_000
/** Time after which the caller disconnects, in milliseconds: before the request crashes its endpoint. */
const LEAVES_AFTER_MS = 15

describe('a request abandoned by its caller, at endpoints that get no other call before they are back', () => {
  let stage: Direct.DirectStage
  const crashCount = (): number => stage.runners.flatMap(runner => runner.crashedAtMs).length

  before(async () => {
    stage = await Direct.startDirectStage(Array.from({ length: 3 }, (_, at) => ({ instanceId: `e${at}`, service: 'plain' })))
    await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path: '/read/1' })).status === 200)
    for (const runner of stage.runners) runner.faults.crashBody = CrashPlay.CRASHING
  })
  after(async () => { await stage.stop() })

  it('is quarantined once three endpoints have come back with a new start', async () => {
    for (let count = 1; count <= Crashes.FREE_CRASH_COUNT; count++) {
      const startCount = stage.runners.reduce((sum, runner) => sum + runner.born, 0)
      await stage.call({ path: '/read/1', body: CrashPlay.CRASHING, leavesAfterMs: LEAVES_AFTER_MS })
      await TestKit.Wait.until('the endpoint is back', WAIT_TIMEOUT_MS, async () => stage.runners.reduce((sum, runner) => sum + runner.born, 0) > startCount && stage.store.rows('servers').length === stage.runners.length)
      await TestKit.Wait.until('the gateway has listed the new start', WAIT_TIMEOUT_MS, async () => stage.lines.filter(({ sentence }) => sentence === 'Endpoint listed.').length >= stage.runners.length + count)
    }
    const answer = await stage.call({ path: '/read/1', body: CrashPlay.CRASHING })
    expect([crashCount(), answer.status, answer.text.includes('quarantined')]).toEqual([Crashes.FREE_CRASH_COUNT, 503, true])
  })
})

describe('a call that must not run twice, at endpoints that fall silent and do not come back', () => {
  let stage: Direct.DirectStage
  /** Longer than the silence after which an endpoint may have crashed, in milliseconds. */
  const SILENCE_MS = 1_000

  before(async () => {
    stage = await Direct.startDirectStage(Array.from({ length: 5 }, (_, at) => ({ instanceId: `e${at}`, service: 'plain' })))
    await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path: '/book/1' })).status === 200)
    for (const runner of stage.runners) runner.faults.dark = true
  })
  after(async () => { await stage.stop() })

  it('is quarantined once three endpoints fell silent while they had its request', async () => {
    const arrivalCount = (): number => stage.runners.flatMap(runner => runner.arrivedBodies).filter(body => body === CrashPlay.CRASHING).length
    const pendingAnswers: Array<Promise<Direct.CallAnswer>> = []
    for (let count = 1; count <= Crashes.FREE_CRASH_COUNT; count++) {
      pendingAnswers.push(stage.call({ path: '/book/1', body: CrashPlay.CRASHING }))
      await sleep(SILENCE_MS / 2)
    }
    await sleep(SILENCE_MS)
    const answer = await stage.call({ path: '/book/1', body: CrashPlay.CRASHING })
    await Promise.all(pendingAnswers)
    expect([arrivalCount(), answer.status, answer.text.includes('quarantined')]).toEqual([Crashes.FREE_CRASH_COUNT, 503, true])
  })
})
