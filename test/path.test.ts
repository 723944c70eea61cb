import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as StandIns from '../standins/index.ts'
import * as TestKit from '../testkit/index.ts'

describe('the whole path', () => {
  let deployment: TestKit.Deployment.Deployment
  const port = (index: number): number => deployment.gateways[index]?.process.port ?? 0

  before(async () => {
    deployment = await TestKit.Deployment.createDeployment({ shape: TestKit.Shapes.CONSORTIUM, logLevel: 'info' })
    const committed = await deployment.commit(deployment.makeManifest('v1', 1))
    expect(committed.stdout).toInclude('version 1')
    await deployment.untilLive('v1', 20_000)
  })
  after(async () => { await deployment.stop() })

  describe('a draft', () => {
    it('streams every token once and ends with its end mark', async () => {
      const reply = await TestKit.Caller.send({ port: port(0), path: '/v1/drafts', workspace: 'operator-1', stream: true, body: { prompt: 'ash', maxTokens: 30, stream: true } })
      expect(reply.tokens).toEqual(Array.from({ length: 30 }, (_, index) => StandIns.Engine.tokenOf('v1', 'ash', index)))
      expect(reply.endVersion).toEqual('v1')
    })

    it('is answered whole without streaming', async () => {
      const reply = await TestKit.Caller.send({ port: port(1), path: '/v1/drafts', workspace: 'operator-2', body: { prompt: 'clay', maxTokens: 5 } })
      expect(reply.status).toEqual(200)
      expect(reply.json.text.split(' ').length).toEqual(5)
    })
  })

  describe('a filing sent twice', () => {
    it('is run once and answered twice', async () => {
      const filing = { path: '/filings', workspace: 'operator-1', key: 'return-2026-11', body: { tons: 12 } }
      const first = await TestKit.Caller.send({ port: port(0), ...filing })
      const second = await TestKit.Caller.send({ port: port(1), ...filing })
      expect([first.status, second.status]).toEqual([200, 200])
      expect(second.text).toEqual(first.text)
      const counts = deployment.runners.map(runner => runner.plain?.executions().get('return-2026-11') ?? 0)
      expect(counts.reduce((sum, count) => sum + count, 0)).toEqual(1)
    })

    it('is refused with another body', async () => {
      const reply = await TestKit.Caller.send({ port: port(2), path: '/filings', workspace: 'operator-1', key: 'return-2026-11', body: { tons: 13 } })
      expect([reply.code, reply.run]).toEqual([106, 'notRun'])
    })
  })

  describe('a refusal', () => {
    it('names its code and says that the call was not run', async () => {
      const reply = await TestKit.Caller.send({ port: port(0), path: '/nowhere', workspace: 'operator-1', body: {} })
      expect([reply.status, reply.code, reply.run]).toEqual([404, 103, 'notRun'])
    })
  })

  describe('a drained zone', () => {
    it('gets no work until it is restored', async () => {
      const warned = await deployment.ctl(['zone', 'drain', 'kartli'])
      expect(warned.code).toEqual(1)
      expect(warned.stderr).toInclude('member-portal: no endpoint would be left')
      expect((await deployment.ctl(['zone', 'drain', 'kartli', '--force'])).code).toEqual(0)
      await TestKit.Wait.until('every gateway sees the drain', 3_000, async () => {
        const seen = await Promise.all(deployment.gateways.map(async (_, index) => JSON.parse((await deployment.ctl(['status', '--json'], index)).stdout).drains.zones.length))
        return seen.every(count => count === 1)
      })
      const engines = deployment.runners.filter(runner => runner.place.zone === 'kartli' && runner.engine !== undefined)
      const before = engines.map(runner => runner.engine?.state().maxActiveCount)
      const replies = await Promise.all(Array.from({ length: 12 }, async (_, index) =>
        await TestKit.Caller.send({ port: port(index % 3), path: '/v1/drafts', workspace: 'operator-3', body: { prompt: `p${index}`, maxTokens: 3 } })))
      expect(replies.map(reply => reply.status)).toEqual(replies.map(() => 200))
      expect(engines.map(runner => runner.engine?.state().maxActiveCount)).toEqual(before)
      expect((await deployment.ctl(['zone', 'restore', 'kartli'])).code).toEqual(0)
    })
  })

  describe('SIGTERM', () => {
    it('cuts no request in flight', async () => {
      const gateway = deployment.gateways[2]
      const reply = TestKit.Caller.send({ port: port(2), path: '/v1/drafts', workspace: 'operator-1', stream: true, body: { prompt: 'long', maxTokens: 200, stream: true } })
      await TestKit.Wait.sleep(150)
      expect(await gateway?.process.stop()).toEqual(0)
      expect((await reply).tokens.length).toEqual(200)
    })
  })
})
