import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as TestKit from '../testkit/index.ts'

const WORK_MS = 400
const LARGE_BYTES = 50_000
const SHAPE: TestKit.Shapes.Shape = {
  ...TestKit.Shapes.CONSORTIUM,
  services: [{ name: 'filing-api', kind: 'plain', runnerCount: 2, reportsLoad: true, maxConcurrentCount: 8, routes: [{ path: '/filings', method: 'POST', idempotent: false }] }]
}

describe('keyed calls over real processes', () => {
  let deployment: TestKit.Deployment.Deployment
  const send = async (gateway: number, key: string, fields: Partial<TestKit.Caller.Call> = {}): Promise<TestKit.Caller.Reply> =>
    await TestKit.Caller.send({ port: deployment.gateways[gateway]?.process.port ?? 0, path: '/filings', workspace: 'operator-1', key, body: { key }, ...fields })
  const executionsOf = (key: string): number => deployment.runners.reduce((sum, runner) => sum + (runner.plain?.executions().get(key) ?? 0), 0)
  const runnerOf = (key: string): TestKit.Deployment.Runner | undefined => deployment.runners.find(runner => runner.plain?.executions().has(key))
  const untilExecuted = async (key: string): Promise<void> => { await TestKit.Wait.until(`${key} executed`, 5_000, () => executionsOf(key) > 0) }
  /** Repeats until the first call is no longer in progress. */
  const repeat = async (gateway: number, key: string): Promise<TestKit.Caller.Reply> => {
    for (;;) {
      const reply = await send(gateway, key)
      if (reply.code !== 303 && reply.code !== 306) return reply
      await TestKit.Wait.sleep(100)
    }
  }

  before(async () => {
    deployment = await TestKit.Deployment.createDeployment({ shape: SHAPE, plain: { workMs: WORK_MS } })
    await deployment.commit(deployment.makeManifest('v1', 1))
    await deployment.untilLive('v1', 20_000)
    for (const index of [0, 1, 2]) await TestKit.Wait.until(`gateway ${index} serves`, 10_000, async () => (await send(index, `first-${index}`)).status === 200)
  })
  after(async () => { await deployment.stop() })

  describe('a repeat while the first call is run', () => {
    it('is told so at once, and answered with its outcome afterwards', async () => {
      const first = send(0, 'both')
      await untilExecuted('both')
      expect((await send(1, 'both')).code).toEqual(303)
      expect((await repeat(1, 'both')).text).toEqual((await first).text)
      expect(executionsOf('both')).toEqual(1)
    })
  })

  describe('a large answer', () => {
    it('is given whole to a repeat', async () => {
      const body = { key: 'large', padBytes: LARGE_BYTES }
      const first = await send(0, 'large', { body })
      const second = await send(2, 'large', { body })
      expect(second.json.padding.length).toEqual(LARGE_BYTES)
      expect([second.text === first.text, executionsOf('large')]).toEqual([true, 1])
    })
  })

  describe('a gateway killed while the call is run', () => {
    it('leaves a claim whose outcome a repeat elsewhere gets from the agent', async () => {
      const first = send(0, 'killed').catch(() => undefined)
      await untilExecuted('killed')
      const gateway = deployment.gateways[0]
      if (gateway !== undefined) await deployment.restartGateway(gateway)
      expect(await first).toEqual(undefined)
      const reply = await repeat(1, 'killed')
      expect([reply.status, reply.json.key, executionsOf('killed')]).toEqual([200, 'killed', 1])
    })
  })

  describe('a connection that goes silent', () => {
    it('costs the caller neither the answer nor a second execution', async () => {
      const proxies = await Promise.all(deployment.runners.map(async runner => {
        const proxy = await TestKit.SilentProxy.createSilentProxy(runner.agent.port)
        deployment.instances.put({ ...runner.place, kind: 'agent', host: '127.0.0.1', port: proxy.port, service: runner.service.name, state: 'live' })
        return proxy
      }))
      await TestKit.Wait.sleep(1_000)
      const reply = send(1, 'silent')
      await untilExecuted('silent')
      expect(proxies.reduce((sum, proxy) => sum + proxy.silence(), 0) > 0).toEqual(true)
      expect([(await reply).status, executionsOf('silent')]).toEqual([200, 1])
      for (const runner of deployment.runners) deployment.instances.put({ ...runner.place, kind: 'agent', host: '127.0.0.1', port: runner.agent.port, service: runner.service.name, state: 'live' })
      await Promise.all(proxies.map(async proxy => { await proxy.close() }))
    })
  })

  describe('a table service that is down', () => {
    it('is refused as not run at the deadline, and leaves the key free', async () => {
      deployment.table.setFaults({ down: true })
      const refused = await send(1, 'down', { deadlineMs: 700 })
      deployment.table.setFaults({})
      expect([refused.code, refused.run, executionsOf('down')]).toEqual([207, 'notRun', 0])
      expect([(await repeat(2, 'down')).status, executionsOf('down')]).toEqual([200, 1])
    })
  })

  describe('an agent killed while the call is run', () => {
    it('makes the outcome unknown for ever, and is not run again', async () => {
      const first = send(1, 'lost')
      await untilExecuted('lost')
      const runner = runnerOf('lost')
      if (runner !== undefined) await deployment.restartAgent(runner)
      expect([(await first).code, (await repeat(2, 'lost')).code]).toEqual([301, 301])
      expect(executionsOf('lost')).toEqual(1)
    })
  })
})
