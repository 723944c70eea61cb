import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 10_000
/** Longer than any silence after which an answer counts as lost or an endpoint is left out, in milliseconds. */
const STANDSTILL_MS = 3_000
const LEFT_OUT_SENTENCE = 'Endpoint left out.'

describe('a gateway that stood still', () => {
  let stage: Direct.DirectStage
  const isSent = (id: string): boolean => stage.lines.some(line => line.sentence === 'Call sent.' && line.fields.callId === id)
  const leftOutCount = (): number => stage.lines.filter(line => line.sentence === LEFT_OUT_SENTENCE).length

  beforeEach(async () => {
    stage = await Direct.startDirectStage([
      { instanceId: 'e1', service: 'llm', eventMs: 150, eventCount: 6 },
      { instanceId: 'e2', service: 'llm', eventMs: 150, eventCount: 6 }
    ])
    const deployment = Direct.deploymentOf({ origin: '127.0.0.1:1' }) as { readonly routes: readonly object[] }
    stage.deploy({ ...deployment, version: 2, routes: deployment.routes.map(route => ({ ...route, timeout_ms: 60_000 })) })
    await TestKit.Wait.until('the deployment is in force', WAIT_TIMEOUT_MS, () => stage.lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === 2))
    await TestKit.Wait.until('both endpoints are listed', WAIT_TIMEOUT_MS, () => stage.lines.filter(line => line.sentence === 'Endpoint listed.').length === 2)
  })
  afterEach(async () => { await stage.stop() })

  it('does not count the time as silence of endpoints', async () => {
    const ids = ['one', 'two', 'three', 'four']
    const answers = ids.map(async id => await stage.call({ id, deadlineMs: 60_000 }))
    await TestKit.Wait.until('the streams have begun', WAIT_TIMEOUT_MS, () => stage.runners.reduce((sum, runner) => sum + runner.ran.length, 0) === ids.length)
    stage.pass(STANDSTILL_MS)
    expect((await Promise.all(answers)).map(answer => [answer.status, answer.whole])).toEqual(ids.map(() => [200, true]))
    expect([leftOutCount(), stage.lines.filter(line => line.sentence === 'Attempt ended.').length]).toEqual([0, 0])
  })

  it('sends calls that arrive before anything has come from endpoints again', async () => {
    const answers: Array<Promise<Direct.CallAnswer>> = []
    await TestKit.Wait.until('streams run at both endpoints', WAIT_TIMEOUT_MS, () => {
      answers.push(stage.call({ deadlineMs: 60_000 }))
      return stage.runners.every(runner => runner.ran.length > 0)
    })
    stage.pass(STANDSTILL_MS)
    answers.push(stage.call({ id: 'next', deadlineMs: 60_000 }))
    await TestKit.Wait.until('the call is sent or refused', WAIT_TIMEOUT_MS, () => stage.lines.some(line => line.fields.callId === 'next'))
    expect(isSent('next')).toEqual(true)
    await Promise.all(answers)
  })

  it('still leaves out an endpoint that stays silent afterwards', async () => {
    stage.runners.forEach(runner => { runner.faults.dark = true })
    const answer = stage.call({ id: 'dark' })
    await TestKit.Wait.until('the call is sent', WAIT_TIMEOUT_MS, () => isSent('dark'))
    stage.pass(STANDSTILL_MS)
    await TestKit.Wait.until('the endpoint is left out', WAIT_TIMEOUT_MS, () => leftOutCount() > 0)
    await answer
  })
})
