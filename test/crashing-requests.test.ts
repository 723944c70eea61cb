import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import type * as Runner from '../standins/runner.ts'
import * as CrashPlay from '../testkit/crashPlay.ts'
import * as Crashes from '../testkit/crashes.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const GATEWAY_COUNT = 4
const RUNNER_COUNT = 8
const WAIT_TIMEOUT_MS = 5_000
/** Time after which any gateway probes a quarantined request, in milliseconds. */
const PROBE_AFTER_MS = 20_000
/** Time after a probe after which any gateway sends the next one, in milliseconds. */
const NEXT_PROBE_AFTER_MS = 120_000

for (const path of ['/stream/1', '/read/1', '/book/1']) {
  describe(`a request to ${path} that crashes each endpoint that runs it`, () => {
    let stage: Direct.DirectStage
    let played: CrashPlay.Played

    before(async () => {
      const started = await CrashPlay.startCrashPlay({ path, gatewayCount: GATEWAY_COUNT, runnerCount: RUNNER_COUNT })
      stage = started.stage
      played = await started.play(Crashes.STABLE_MS)
    })
    after(async () => { await stage.stop() })

    it('is quarantined once it has crashed three endpoints', t => {
      const fromMs = Crashes.countedFromMs(stage.runners)
      const count = Crashes.arrivalsSince(stage.runners, CrashPlay.CRASHING, fromMs)
      t.diagnostic(`${stage.runners.flatMap(runner => runner.crashedAtMs).length} crashes, ${count} sends later than ${Crashes.STABLE_MS} ms after the third`)
      expect([Number.isFinite(fromMs), count <= Crashes.ALLOWED_COUNT]).toEqual([true, true])
    })

    it('affects no other caller from then on, not even those that share a body', () => {
      const { others, popular } = played
      expect([others.length > 0, popular.length > 0]).toEqual([true, true])
      expect([...others, ...popular].filter(answer => answer.status !== 200 || !answer.whole)).toEqual([])
    })

    it('is refused only where it did not run, with a time to retry', () => {
      const ran = new Set(stage.runners.flatMap(runner => runner.ran))
      const refused = played.crashing.filter(answer => answer.status === 503)
      expect([refused.length > 0, refused.every(answer => Number(answer.headers['retry-after']) > 0 && !ran.has(String(answer.headers['x-fescuespread-attempt-id'])))]).toEqual([true, true])
    })
  })
}

describe('a quarantined request', () => {
  let stage: Direct.DirectStage
  let gateways: Direct.StartedGateway[] = []
  const path = '/read/1'
  const crashCount = (): number => stage.runners.flatMap(runner => runner.crashedAtMs).length
  const callCrashing = async (gateway: Direct.StartedGateway): Promise<Direct.CallAnswer> => await gateway.call({ path, body: CrashPlay.CRASHING })
  const isQuarantined = async (gateway: Direct.StartedGateway): Promise<boolean> => (await callCrashing(gateway)).text.includes('quarantined')

  beforeEach(async () => {
    stage = await Direct.startDirectStage(Array.from({ length: 6 }, (_, at) => ({ instanceId: `e${at}`, service: 'plain' })))
    gateways = [stage.first, await stage.addGateway('g2')]
    for (const gateway of gateways) await TestKit.Wait.until(`${gateway.name} serves calls`, WAIT_TIMEOUT_MS, async () => (await gateway.call({ path })).status === 200)
    await sleep(1_500)
    for (const runner of stage.runners) runner.faults.crashBody = CrashPlay.CRASHING
    for (let at = 0; at < 2 * Crashes.FREE_CRASH_COUNT && crashCount() < Crashes.FREE_CRASH_COUNT; at++) await callCrashing(gateways[at % 2] as Direct.StartedGateway)
    await TestKit.Wait.until('it is quarantined at both gateways', WAIT_TIMEOUT_MS, async () => await isQuarantined(stage.first) && await isQuarantined(gateways[1] as Direct.StartedGateway))
  })
  afterEach(async () => { await stage.stop() })

  it('is known to a gateway that starts later', async () => {
    const late = await stage.addGateway('late')
    await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await late.call({ path })).status === 200)
    await sleep(Crashes.STABLE_MS)
    const before = crashCount()
    expect([await isQuarantined(late), crashCount() - before]).toEqual([true, 0])
  })

  it('is still known after all gateways were replaced', async () => {
    await sleep(Crashes.STABLE_MS)
    for (const gateway of gateways) await gateway.stop()
    const restarted = await stage.addGateway('anew')
    await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await restarted.call({ path })).status === 200)
    const before = crashCount()
    expect([await isQuarantined(restarted), crashCount() - before]).toEqual([true, 0])
  })

  it('is probed once after a while, and released at all gateways when it gets a complete answer', async () => {
    for (const runner of stage.runners) runner.faults.crashBody = undefined
    stage.pass(PROBE_AFTER_MS)
    expect([(await callCrashing(stage.first)).status, (await callCrashing(stage.first)).status]).toEqual([200, 200])
    await TestKit.Wait.until('the other gateway has released it', WAIT_TIMEOUT_MS, async () => (await callCrashing(gateways[1] as Direct.StartedGateway)).status === 200)
    await TestKit.Wait.until('its row is removed', WAIT_TIMEOUT_MS, async () => stage.store.rows('fescue_requests').length === 0)
  })

  it('crashes one more endpoint if the probe crashes too, and the probe is not retried', async () => {
    await TestKit.Wait.until('crashed endpoints are back', WAIT_TIMEOUT_MS, async () => stage.store.rows('servers').filter(({ value }) => (value as { born: number }).born > 1).length === crashCount())
    stage.pass(PROBE_AFTER_MS)
    const before = crashCount()
    const answer = await callCrashing(stage.first)
    expect([answer.status, crashCount() - before, await isQuarantined(stage.first), await isQuarantined(gateways[1] as Direct.StartedGateway), crashCount() - before]).toEqual([502, 1, true, true, 1])
  })
})

describe('a probe of a quarantined request', () => {
  let stage: Direct.DirectStage
  const path = '/read/1'
  const ended = (): readonly Runner.Runner[] => stage.runners.slice(0, Crashes.FREE_CRASH_COUNT)
  const others = (): readonly Runner.Runner[] => stage.runners.slice(Crashes.FREE_CRASH_COUNT)
  const callCrashing = async (): Promise<Direct.CallAnswer> => await stage.call({ path, body: CrashPlay.CRASHING })
  const sendCount = (): number => others().flatMap(runner => runner.arrivedBodies.filter(body => body === CrashPlay.CRASHING)).length

  // The endpoints that it ended stay listed under the ids of their ended starts, before the others.
  beforeEach(async () => {
    stage = await Direct.startDirectStage(Array.from({ length: 6 }, (_, at) => ({ instanceId: `e${at}`, service: 'plain' })))
    for (const runner of others()) stage.store.drop('servers', runner.instanceId)
    await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path })).status === 200)
    await sleep(1_500)
    for (const runner of ended()) Object.assign(runner, { onBack: () => {} }).faults.crashBody = CrashPlay.CRASHING
    await TestKit.Wait.until('it is quarantined', WAIT_TIMEOUT_MS, async () => (await callCrashing()).text.includes('quarantined'))
    for (const runner of ended()) runner.faults.crashBody = undefined
    for (const runner of others()) stage.list(runner)
    await TestKit.Wait.until('the others serve calls', WAIT_TIMEOUT_MS, async () => {
      await stage.call({ path })
      return others().every(runner => runner.arrived.length > 0)
    })
  })
  afterEach(async () => { await stage.stop() })

  it('is not sent to a start of an endpoint that the request ended', async () => {
    stage.pass(PROBE_AFTER_MS)
    expect([(await callCrashing()).status, sendCount()]).toEqual([200, 1])
  })

  it('is repeated at another endpoint when one turned it away', async () => {
    const [first] = others() as [Runner.Runner]
    first.faults.full = true
    stage.pass(PROBE_AFTER_MS)
    expect([(await callCrashing()).status, sendCount()]).toEqual([200, 2])
  })

  it('is repeated when an endpoint could not be reached, which leaves the next one', async () => {
    const [first] = others() as [Runner.Runner]
    await first.close()
    for (const runner of others()) runner.faults.crashBody = CrashPlay.CRASHING
    stage.pass(PROBE_AFTER_MS)
    expect([(await callCrashing()).status, sendCount()]).toEqual([502, 1])
    for (const runner of others()) runner.faults.crashBody = undefined
    stage.pass(NEXT_PROBE_AFTER_MS)
    expect([(await callCrashing()).status, sendCount()]).toEqual([200, 2])
  })

  it('reaches no more endpoints that turn it away than there are probes', async () => {
    for (const runner of others()) runner.faults.full = true
    stage.pass(PROBE_AFTER_MS)
    expect([(await callCrashing()).status, sendCount()]).toEqual([503, 2])
    for (const runner of others()) runner.faults.full = false
    stage.pass(NEXT_PROBE_AFTER_MS)
    expect([(await callCrashing()).status, sendCount()]).toEqual([503, 2])
  })
})
