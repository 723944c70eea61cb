import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'
import type * as Runner from '../standins/runner.ts'

const WAIT_TIMEOUT_MS = 5_000
/** Longer than an endpoint may stay silent in the middle of a stream, in milliseconds. */
const SILENCE_MS = 1_500
/** Time for several of the gateway's checks for silent endpoints, in milliseconds. */
const SETTLE_MS = 300
const CLOCK_STEP_MS = 100
const CHECK_INTERVAL_MS = 25
const EVENTS = [1, 2, 3, 4, 5]
const eventsOf = (text: string): number[] => [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))

describe('a stream whose endpoint sends nothing for a while', () => {
  let stage: Direct.DirectStage
  const start = async (count: number): Promise<void> => {
    stage = await Direct.startDirectStage(Array.from({ length: count }, (_, index) => ({ instanceId: `e${index}`, service: 'llm' })))
    await TestKit.Wait.until('all endpoints are listed', WAIT_TIMEOUT_MS, () => stage.lines.filter(line => line.sentence === 'Endpoint listed.').length === count)
    await TestKit.Wait.until('calls are served', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 200)
  }
  /** Starts a stream that its endpoint stops after two events, and waits until the silence is longer than allowed. */
  const callUntilSilent = async (otherFaults: Partial<Runner.RunnerFaults>): Promise<{ readonly answer: Promise<Direct.CallAnswer>, readonly silent: Runner.Runner }> => {
    for (const runner of stage.runners) runner.faults.stallAfterCount = 2
    const answer = stage.call({ path: '/stream/long/1', id: 'silent', deadlineMs: 8_000 })
    const findRunner = (): Runner.Runner | undefined => stage.runners.find(runner => runner.ran.includes('silent'))
    await TestKit.Wait.until('the stream has begun', WAIT_TIMEOUT_MS, () => findRunner() !== undefined)
    const silent = findRunner() as Runner.Runner
    for (const runner of stage.runners) if (runner !== silent) Object.assign(runner.faults, { stallAfterCount: undefined, ...otherFaults })
    // A larger jump of the clock would count as a standstill of the gateway itself.
    for (let passedMs = 0; passedMs < SILENCE_MS; passedMs += CLOCK_STEP_MS) {
      stage.pass(CLOCK_STEP_MS)
      await TestKit.Wait.sleep(CHECK_INTERVAL_MS)
    }
    await TestKit.Wait.sleep(SETTLE_MS)
    return { answer, silent }
  }

  afterEach(async () => { await stage.stop() })

  describe('without another endpoint', () => {
    beforeEach(async () => { await start(1) })

    it('is kept', async () => {
      const { answer, silent } = await callUntilSilent({})
      silent.faults.stallAfterCount = undefined
      const { status, text, whole } = await answer
      expect([status, eventsOf(text), whole]).toEqual([200, EVENTS, true])
    })
  })

  const arrivedCount = (): number => stage.runners.reduce((sum, runner) => sum + runner.arrived.filter(headers => headers['x-fescuespread-attempt-id'] === 'silent').length, 0)

  describe('with another endpoint', () => {
    beforeEach(async () => { await start(2) })

    it('continues there', async () => {
      const { answer, silent } = await callUntilSilent({})
      const { text, whole } = await answer
      expect([eventsOf(text), whole, stage.runners.every(runner => text.includes(runner.instanceId))]).toEqual([EVENTS, true, true])
      await TestKit.Wait.until('the silent endpoint sees the disconnect', WAIT_TIMEOUT_MS, () => silent.abandoned.includes('silent'))
    })

    it('is kept if that endpoint refuses it', async () => {
      const { answer, silent } = await callUntilSilent({ full: true })
      expect(arrivedCount()).toEqual(2)
      silent.faults.stallAfterCount = undefined
      const { text, whole } = await answer
      expect([eventsOf(text), whole]).toEqual([EVENTS, true])
    })

    it('continues at the silent endpoint if that one sends again before the other begins', async () => {
      const { answer, silent } = await callUntilSilent({ dark: true })
      expect(arrivedCount()).toEqual(2)
      silent.faults.stallAfterCount = undefined
      const { text, whole } = await answer
      expect([eventsOf(text), whole]).toEqual([EVENTS, true])
    })
  })

  describe('with two other endpoints', () => {
    beforeEach(async () => { await start(3) })

    it('counts the attempt at the second endpoint as a run', async () => {
      const { answer, silent } = await callUntilSilent({ dark: true })
      Object.assign(silent.faults, { breakAfterCount: 3, stallAfterCount: undefined })
      expect([(await answer).whole, arrivedCount()]).toEqual([false, 2])
    })
  })
})
