import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import * as CallLimits from '../testkit/callLimits.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_PER_SECOND = 1.5
const GATEWAY_COUNT = 4
/** Interval between calls to each gateway, in milliseconds of simulated time. */
const STEP_MS = 100
const STEP_REAL_MS = 25
/** Time after the first answer with a limit within which all gateways know the limit, in milliseconds. */
const PROPAGATION_MS = 500
const TIMEOUT_MS = 5_000

describe('an endpoint that states a rate limit', () => {
  let stage: Direct.DirectStage
  let gateways: Direct.StartedGateway[] = []
  const limitedRunner = (): Direct.DirectStage['runners'][number] => stage.runners[0] as Direct.DirectStage['runners'][number]

  before(async () => {
    stage = await Direct.startDirectStage(['limited', 'free1', 'free2'].map(instanceId => ({ instanceId, service: 'llm' })))
    gateways = [stage.first]
    for (let count = 2; count <= GATEWAY_COUNT; count++) gateways.push(await stage.addGateway(`g${count}`))
    for (const gateway of gateways) await TestKit.Wait.until(`${gateway.name} serves`, TIMEOUT_MS, async () => (await gateway.call()).status === 200)
    await sleep(1_500)
  })
  after(async () => { await stage.stop() })

  /** Sends calls to every gateway for the given simulated time. Returns their answers and the time of the first answer that stated a limit. */
  const play = async (durationMs: number): Promise<{ readonly answers: readonly Direct.CallAnswer[], readonly namedAtMs: number }> => {
    const calls: Array<Promise<Direct.CallAnswer>> = []
    let namedAtMs = Infinity
    const untilMs = stage.clock() + durationMs
    while (stage.clock() < untilMs) {
      for (const gateway of gateways) {
        calls.push(gateway.call().then(answer => {
          if (answer.headers['server-limit'] !== undefined) namedAtMs = Math.min(namedAtMs, stage.clock())
          return answer
        }))
      }
      await sleep(STEP_REAL_MS)
      stage.pass(STEP_MS - STEP_REAL_MS)
    }
    return { answers: await Promise.all(calls), namedAtMs }
  }
  /** Returns the limits of the endpoint that a gateway has logged, in order; undefined stands for the logged end of a limit. */
  const loggedLimitsOf = (gateway: Direct.StartedGateway): Array<number | undefined> => gateway.lines
    .filter(line => line.fields.endpointId === 'limited' && (line.sentence === 'Endpoint names a limit.' || line.sentence === 'Endpoint names no limit any more.'))
    .map(line => line.fields.limitPerSecond)
  const arrivedSince = (atMs: number): number[] => limitedRunner().arrivedAtMs.filter(arrivalMs => arrivalMs >= atMs)

  it('gets no more calls from all gateways together than the limit allows, while callers are served elsewhere', async t => {
    limitedRunner().faults.limitPerSecond = LIMIT_PER_SECOND
    const { answers, namedAtMs } = await play(10_000)
    const maxInWindow = CallLimits.mostWithin(arrivedSince(namedAtMs + PROPAGATION_MS), CallLimits.WINDOW_MS)
    t.diagnostic(`${maxInWindow} calls in 4 s`)
    expect([maxInWindow > 0, maxInWindow <= CallLimits.allowedCount(LIMIT_PER_SECOND)]).toEqual([true, true])
    expect(answers.every(answer => answer.status === 200)).toEqual(true)
  })

  it('is known as limited to a gateway that never called it', async () => {
    const late = await stage.addGateway('late')
    await TestKit.Wait.until('the limit is known', TIMEOUT_MS, async () => {
      await play(STEP_MS)
      return loggedLimitsOf(late).includes(LIMIT_PER_SECOND)
    })
    expect(late.lines.filter(line => line.sentence === 'Call sent.')).toEqual([])
  })

  it('gets calls without a limit from every gateway again once an answer states no limit', async () => {
    limitedRunner().faults.limitPerSecond = undefined
    await play(6_000)
    await TestKit.Wait.until('every gateway knows', TIMEOUT_MS, async () => gateways.every(gateway => loggedLimitsOf(gateway).at(-1) === undefined))
    const sinceMs = stage.clock()
    await play(2_000)
    expect(arrivedSince(sinceMs).length > CallLimits.allowedCount(LIMIT_PER_SECOND)).toEqual(true)
  })

  it('causes only truthful refusals if all endpoints of its service state limits', async () => {
    for (const runner of stage.runners) runner.faults.limitPerSecond = LIMIT_PER_SECOND
    await play(1_000)
    const sinceMs = stage.clock() + PROPAGATION_MS
    const { answers } = await play(6_000)
    const refused = answers.filter(answer => answer.status === 503)
    const ran = new Set(stage.runners.flatMap(runner => runner.ran))
    expect(answers.every(answer => answer.status === 200 || answer.status === 503)).toEqual(true)
    expect([refused.length > 0, refused.every(answer => answer.headers['retry-after'] !== undefined && !ran.has(String(answer.headers['x-fescuespread-attempt-id'])))]).toEqual([true, true])
    for (const runner of stage.runners) expect(CallLimits.mostWithin(runner.arrivedAtMs.filter(atMs => atMs >= sinceMs), CallLimits.WINDOW_MS) <= CallLimits.allowedCount(LIMIT_PER_SECOND)).toEqual(true)
  })
})
