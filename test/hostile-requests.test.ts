import * as Net from 'node:net'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as HttpClient from '../src/edge/httpClient.ts'
import * as TestKit from '../testkit/index.ts'

/** Sends raw bytes and returns what the server answers until it closes the connection or the time is over. */
async function sendRaw (port: number, text: string, limitMs: number): Promise<string> {
  return await new Promise(resolve => {
    const socket = Net.connect(port, '127.0.0.1', () => { socket.write(text) })
    let answer = ''
    const finish = (): void => { socket.destroy(); resolve(answer) }
    setTimeout(finish, limitMs).unref()
    socket.on('data', part => { answer += part.toString() })
    socket.on('close', finish)
    socket.on('error', finish)
  })
}

describe('hostile requests', () => {
  const shape: TestKit.Shapes.Shape = { ...TestKit.Shapes.CONSORTIUM, zones: TestKit.Shapes.CONSORTIUM.zones.slice(0, 1), services: TestKit.Shapes.CONSORTIUM.services.slice(2) }
  let deployment: TestKit.Deployment.Deployment
  let ports: Record<'gateway' | 'agent', number>

  before(async () => {
    deployment = await TestKit.Deployment.createDeployment({ shape, gatewaySettings: { bodyTimeoutMs: 300, maxBodyBytes: 1_000 }, agentSettings: { maxBodyBytes: 1_000 } })
    ports = { gateway: deployment.gateways[0]?.process.port ?? 0, agent: deployment.runners[0]?.agent.port ?? 0 }
    await deployment.commit({ ...deployment.makeManifest('v1', 1), models: [] })
    await TestKit.Wait.until('the portal service answers', 10_000, async () => (await portal()).status === 200)
  })
  after(async () => { await deployment.stop() })

  const portal = async (): Promise<TestKit.Caller.Reply> =>
    await TestKit.Caller.send({ port: ports.gateway, method: 'GET', path: '/portal', workspace: 'operator-1' })
  const liveStatuses = async (): Promise<number[]> => await Promise.all(Object.values(ports).map(async port =>
    (await HttpClient.send({ target: { host: '127.0.0.1', port }, method: 'GET', path: '/live', timeoutMs: 2_000 })).status))
  const activeCount = async (): Promise<number> =>
    ((await HttpClient.sendJson({ host: '127.0.0.1', port: ports.gateway }, 'GET', '/ready', undefined, 2_000)).value as { activeCount: number }).activeCount

  for (const program of ['gateway', 'agent'] as const) {
    describe(program, () => {
      it('answers bytes that are not HTTP with a result code', async () => {
        expect(await sendRaw(ports[program], 'fescue\r\n\r\n', 2_000)).toInclude('x-fescue-code: 101')
      })

      it('keeps running after a connection that sends half a request', async () => {
        await sendRaw(ports[program], 'POST /portal HTTP/1.1\r\nhost: x\r\ncontent-len', 100)
        expect(await liveStatuses()).toEqual([200, 200])
      })
    })
  }

  it('refuses a body over the limit', async () => {
    const reply = await TestKit.Caller.send({ port: ports.gateway, method: 'GET', path: '/portal', workspace: 'operator-1', body: 'x'.repeat(2_000) })
    expect([reply.status, reply.code, reply.run]).toEqual([413, 102, 'notRun'])
  })

  it('refuses a body that arrives too slowly', async () => {
    const answer = await sendRaw(ports.gateway, 'GET /portal HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nslow', 3_000)
    expect(answer).toInclude('x-fescue-code: 105')
  })

  it('refuses header values that are out of range', async () => {
    const bad: Array<Record<string, string>> = [{ 'x-fescue-deadline-ms': 'soon' }, { 'x-fescue-deadline-ms': '-1' }, { 'x-fescue-priority': '1e9' }, { 'idempotency-key': 'k'.repeat(300) }]
    const codes = await Promise.all(bad.map(async headers =>
      (await TestKit.Caller.send({ port: ports.gateway, method: 'GET', path: '/portal', workspace: 'operator-1', headers })).code))
    expect(codes).toEqual([101, 101, 101, 101])
  })

  it('refuses an unknown workspace', async () => {
    expect((await TestKit.Caller.send({ port: ports.gateway, method: 'GET', path: '/portal', workspace: 'nobody' })).code).toEqual(104)
  })

  it('refuses operators without the token and attempts without the peer key', async () => {
    const operator = await HttpClient.sendJson({ host: '127.0.0.1', port: ports.gateway }, 'POST', '/rpc/commit', {}, 2_000, { authorization: 'Bearer wrong' })
    const attempt = await HttpClient.send({ target: { host: '127.0.0.1', port: ports.agent }, method: 'POST', path: '/call', timeoutMs: 2_000 })
    expect([operator.status, attempt.status]).toEqual([401, 401])
  })

  it('leaks no call when callers disconnect', async () => {
    await Promise.all(Array.from({ length: 50 }, async () => await sendRaw(ports.gateway, 'GET /portal HTTP/1.1\r\nhost: x\r\nx-fescue-workspace: operator-1\r\ncontent-length: 9\r\n\r\nhalf', 50)))
    await TestKit.Wait.until('no call is in flight', 5_000, async () => await activeCount() === 0)
    expect((await portal()).status).toEqual(200)
  })
})
