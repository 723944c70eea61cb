import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_MS = 5_000
/** Longer than an endpoint may send nothing in the middle of a stream, in milliseconds. */
const SILENCE_MS = 1_500
/** Several checks for silent endpoints, in milliseconds. */
const BEATS_MS = 300
const EVENTS = [1, 2, 3, 4, 5]
const eventsOf = (text: string): number[] => [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))

/** Starts a stream that its endpoint stops sending after two events, and lets the silence last. */
const callIntoSilence = async (stage: Direct.DirectStage, id: string): Promise<{ readonly answer: Promise<Direct.CallAnswer> }> => {
  for (const runner of stage.runners) runner.faults.stallAfterCount = 2
  const answer = stage.call({ id, deadlineMs: 8_000, path: '/stream/1' })
  await TestKit.Wait.until('the stream has begun', LIMIT_MS, () => stage.runners.some(runner => runner.ran.includes(id)))
  await TestKit.Wait.sleep(100)
  stage.pass(SILENCE_MS)
  await TestKit.Wait.sleep(BEATS_MS)
  return { answer }
}
const goOn = (stage: Direct.DirectStage): void => {
  for (const runner of stage.runners) runner.faults.stallAfterCount = undefined
}

describe('a stream whose endpoint sends nothing for a while', () => {
  let stage: Direct.DirectStage
  before(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'only', service: 'llm' }])
    await TestKit.Wait.until('calls are served', LIMIT_MS, async () => (await stage.call()).status === 200)
  })
  after(async () => { await stage.stop() })

  it('is not cut where no other endpoint could go on with it', async () => {
    const { answer } = await callIntoSilence(stage, 'held')
    goOn(stage)
    const { status, text, whole } = await answer
    expect([status, eventsOf(text), whole]).toEqual([200, EVENTS, true])
  })
})

describe('a stream whose endpoint sends nothing for a while beside another endpoint', () => {
  let stage: Direct.DirectStage
  before(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'first', service: 'llm' }, { instanceId: 'second', service: 'llm' }])
    await TestKit.Wait.until('calls are served', LIMIT_MS, async () => (await stage.call()).status === 200)
  })
  after(async () => { await stage.stop() })

  it('goes on at the other one', async () => {
    const { answer } = await callIntoSilence(stage, 'moved')
    await TestKit.Wait.until('the other endpoint runs it', LIMIT_MS, () => stage.runners.every(runner => runner.ran.includes('moved')))
    goOn(stage)
    const { text, whole } = await answer
    expect([eventsOf(text), whole, stage.runners.every(runner => text.includes(runner.instanceId))]).toEqual([EVENTS, true, true])
  })
})
