import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 10_000
/** Time that passes between a decision and its effect, in milliseconds: an instance freezes for so long. */
const STANDSTILL_MS = 5_000
const DEADLINE_MS = 60_000

describe('a call whose connection opens long after the endpoint was chosen', () => {
  let stage: Direct.DirectStage
  const leftOutCount = (): number => stage.lines.filter(line => line.sentence === 'Endpoint left out.').length
  /** Lets time pass between the next decision to send a call and the opening of its connection, in milliseconds. */
  const passOnceSent = (ms: number): void => {
    const push = stage.lines.push.bind(stage.lines)
    stage.lines.push = (...entries) => {
      const isSent = entries.some(({ sentence }) => sentence === 'Call sent.')
      if (isSent) stage.lines.push = push
      if (isSent) stage.pass(ms)
      return push(...entries)
    }
  }

  beforeEach(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }, { instanceId: 'e2', service: 'plain' }])
    const deployment = Direct.deploymentOf({ origin: '127.0.0.1:1' }) as { readonly routes: readonly object[] }
    stage.deploy({ ...deployment, version: 2, routes: deployment.routes.map(route => ({ ...route, timeout_ms: DEADLINE_MS })) })
    await TestKit.Wait.until('the deployment is in force', WAIT_TIMEOUT_MS, () => stage.lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === 2))
    await TestKit.Wait.until('both endpoints are listed', WAIT_TIMEOUT_MS, () => stage.lines.filter(line => line.sentence === 'Endpoint listed.').length === 2)
  })
  afterEach(async () => { await stage.stop() })

  for (const path of ['/stream/1', '/read/1', '/book/1']) {
    it(`gives the endpoint only the time that is left then: ${path}`, async () => {
      passOnceSent(STANDSTILL_MS)
      const answer = await stage.call({ path, deadlineMs: DEADLINE_MS })
      const leftMs = stage.runners.flatMap(runner => runner.arrived).map(headers => Number(headers['x-fescuespread-deadline-ms']))
      expect([answer.status, leftMs.length, leftMs.every(ms => ms <= DEADLINE_MS - STANDSTILL_MS)]).toEqual([200, 1, true])
    })
  }
  it('does not reach an endpoint whose version is overdue by then', async () => {
    stage.store.put('op', 'version/m', { model: 'm', version: 2 })
    await TestKit.Wait.until('the version is named', WAIT_TIMEOUT_MS, () => stage.lines.some(line => line.sentence === 'Version named.'))
    passOnceSent(Direct.VERSION_MS)
    const answer = await stage.call({ deadlineMs: DEADLINE_MS })
    expect([answer.status, stage.runners.flatMap(runner => runner.arrived).length]).toEqual([503, 0])
  })
  it('does not leave the endpoint out', async () => {
    passOnceSent(STANDSTILL_MS)
    await stage.call({ path: '/read/1', deadlineMs: DEADLINE_MS })
    expect(leftOutCount()).toEqual(0)
  })
})
