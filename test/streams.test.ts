import { after, before, describe, it } from 'node:test'
import * as Events from 'node:events'
import * as Http from 'node:http'
import { expect } from 'earl'
import * as Answers from '../src/agent/answers.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Exchange from '../src/gateway/exchange.ts'
import * as Streams from '../src/gateway/streams.ts'
import * as StandIns from '../standins/index.ts'
import * as TestKit from '../testkit/index.ts'

const ENGINE_SHAPE: TestKit.Shapes.Shape = {
  ...TestKit.Shapes.CONSORTIUM,
  services: TestKit.Shapes.CONSORTIUM.services.slice(0, 1).map(service => ({ ...service, runnerCount: 3 }))
}
const expectedTokens = (prompt: string, count: number): string[] => Array.from({ length: count }, (_, index) => StandIns.Engine.tokenOf('v1', prompt, index))

/** Relays the parts of a stream and returns what the caller received. */
function relayParts (parts: readonly string[], nextIndex = 0, isEnded = true) {
  const written: string[] = []
  const response = Object.assign(new Events.EventEmitter(), { headersSent: false, writableNeedDrain: false, writeHead: () => {}, flushHeaders: () => {}, write: (text: string) => { written.push(text); return true } })
  const incoming = Object.assign(new Events.EventEmitter(), { setEncoding: () => {}, paused: false, pause () { incoming.paused = true }, resume () { incoming.paused = false } })
  const exchange = Exchange.createExchange('call', Buffer.alloc(0), response as never, true, false)
  exchange.nextIndex = nextIndex
  exchange.version = nextIndex > 0 ? 'v1' : undefined
  const attempt: Exchange.Attempt = { attemptId: 'a', target: { host: '', port: 0 }, request: undefined as never, heardAtMs: 0, paused: false, readsBody: false }
  const ends: Array<string | undefined> = []
  Streams.relayStream({ exchange, attempt, incoming: incoming as never, modelVersion: 'v1', clock: () => 0, onBegin: () => {}, onEnd: problem => { ends.push(problem) } })
  for (const part of parts) incoming.emit('data', part)
  if (isEnded) incoming.emit('end')
  return { written, ends, attempt, incoming, response }
}

const tokenEvent = (index: number): string => `event: token\ndata: {"index":${index},"text":"t${index}"}\n\n`
const endMark = (tokenCount: number, modelVersion = 'v1'): string => `event: end\ndata: {"tokenCount":${tokenCount},"modelVersion":"${modelVersion}"}\n\n`

describe('relayStream', () => {
  it('relays each token once, however the stream is split into parts, and ends at the end mark', () => {
    const text = tokenEvent(0) + tokenEvent(1) + tokenEvent(2) + endMark(3)
    const { written, ends } = relayParts([...text])
    expect([written.join(''), ends]).toEqual([text, [undefined]])
  })

  it('drops tokens that the caller has already received', () => {
    expect(relayParts([tokenEvent(1), tokenEvent(2), tokenEvent(3), endMark(4)], 3).written.join('')).toEqual(tokenEvent(3) + endMark(4))
  })

  it('never completes a stream with a missing token, a wrong count, another version or no end mark', () => {
    const brokenRelays = [[tokenEvent(0), tokenEvent(2)], [tokenEvent(0), endMark(2)], [tokenEvent(0), endMark(1, 'v2')], [tokenEvent(0)], ['event: token\ndata: {"index":']].map(parts => relayParts(parts))
    expect(brokenRelays.map(({ ends }) => ends.length === 1 && ends[0] !== undefined)).toEqual([true, true, true, true, true])
    expect(brokenRelays.some(({ written }) => written.join('').includes('event: end'))).toEqual(false)
  })

  it('pauses reading until a slow caller has caught up', () => {
    const { attempt, incoming, response } = relayParts([], 0, false)
    response.writableNeedDrain = true
    incoming.emit('data', tokenEvent(0))
    expect([incoming.paused, attempt.paused]).toEqual([true, true])
    response.writableNeedDrain = false
    response.emit('drain')
    expect([incoming.paused, attempt.paused]).toEqual([false, false])
  })
})

describe('findMismatch', () => {
  const envelope = { callId: 'c1', modelVersion: 'v1' } as Schemas.Calls.CallEnvelope

  it('reports an answer to another call and an answer from another version', () => {
    expect(Answers.findMismatch(envelope, { 'x-fescue-call-id': 'c2' }) === undefined).toEqual(false)
    expect(Answers.findMismatch(envelope, { 'x-fescue-call-id': 'c1', 'x-model-version': 'v2' }) === undefined).toEqual(false)
    expect(Answers.findMismatch(envelope, { 'x-fescue-call-id': 'c1', 'x-model-version': 'v1' })).toEqual(undefined)
  })
})

describe('isWithoutModel', () => {
  const envelope = { idempotent: true, modelVersion: 'v1' } as Schemas.Calls.CallEnvelope
  const refusal = { statusCode: 503, headers: {} }

  it('accepts the refusal of an engine, but not for a call that must not run twice or a service without a model', () => {
    expect(Answers.isWithoutModel(envelope, refusal)).toEqual(true)
    expect(Answers.isWithoutModel({ ...envelope, modelVersion: undefined }, refusal)).toEqual(false)
    expect(Answers.isWithoutModel({ ...envelope, idempotent: false }, refusal)).toEqual(false)
  })
})

describe('streams over real processes', () => {
  let deployment: TestKit.Deployment.Deployment
  const port = (index: number): number => deployment.gateways[index]?.process.port ?? 0
  const engines = (): StandIns.Engine.Engine[] => deployment.runners.flatMap(runner => runner.engine ?? [])
  const draft = (prompt: string, maxTokens: number) => ({ path: '/v1/drafts', workspace: 'operator-1', stream: true, body: { prompt, maxTokens, stream: true } })

  before(async () => {
    deployment = await TestKit.Deployment.createDeployment({ shape: ENGINE_SHAPE, engine: { tokenMs: 10, poison: 'BOOM' } })
    await deployment.commit(deployment.makeManifest('v1', 1))
    await deployment.untilLive('v1', 20_000)
    await TestKit.Wait.until('every gateway knows the endpoints', 5_000, async () => (await Promise.all(deployment.gateways.map(async (_, index) => (await TestKit.Caller.send({ port: port(index), ...draft('first', 1) })).status))).every(status => status === 200))
  })
  after(async () => { await deployment.stop() })

  it('are resumed at another endpoint after a crash, with no token duplicated or missing', async () => {
    const reply = TestKit.Caller.send({ port: port(0), ...draft('resumed', 100) })
    await TestKit.Wait.until('an engine runs the stream', 3_000, () => engines().some(engine => engine.state().activeCount > 0))
    await TestKit.Wait.sleep(200)
    engines().find(engine => engine.state().activeCount > 0)?.crash()
    const { tokens, endVersion } = await reply
    expect([tokens, endVersion]).toEqual([expectedTokens('resumed', 100), 'v1'])
    await deployment.untilLive('v1', 20_000)
  })

  it('are cancelled at the engine when the caller disconnects', async () => {
    const cancelledCount = (): number => engines().reduce((sum, engine) => sum + engine.state().cancelledCount, 0)
    const cancelledCountBefore = cancelledCount()
    const request = Http.request({ host: '127.0.0.1', port: port(1), method: 'POST', path: '/v1/drafts', headers: { 'x-fescue-workspace': 'operator-2', accept: 'text/event-stream' } })
    request.on('error', () => {})
    request.on('response', incoming => { incoming.once('data', () => { request.destroy() }) })
    request.end(JSON.stringify(draft('left', 5_000).body))
    await TestKit.Wait.until('the engine stops', 5_000, () => cancelledCount() === cancelledCountBefore + 1)
  })

  it('that crash every endpoint are quarantined after two crashes until the quarantine is lifted, and listed meanwhile', async () => {
    const crashCount = (): number => engines().reduce((sum, engine) => sum + engine.state().crashCount, 0)
    const crashCountBefore = crashCount()
    const poison = draft('BOOM', 5)
    const first = await TestKit.Caller.send({ port: port(0), ...poison })
    expect(first.run).toEqual('unknown')
    await TestKit.Wait.until('the call is quarantined', 5_000, async () => JSON.parse((await deployment.ctl(['quarantine', 'list', '--json'], 1)).stdout).entries.some((entry: Schemas.Control.QuarantineEntry) => entry.suspect !== true))
    const second = await TestKit.Caller.send({ port: port(1), ...poison })
    expect([second.code, second.run, crashCount() - crashCountBefore]).toEqual([208, 'notRun', 2])
    expect((await deployment.ctl(['quarantine', 'lift', 'all'])).code).toEqual(0)
    await TestKit.Wait.until('nothing is quarantined', 5_000, async () => JSON.parse((await deployment.ctl(['quarantine', 'list', '--json'], 1)).stdout).entries.length === 0)
  })
})

describe('a connection between gateway and agent that goes silent', () => {
  it('is replaced, and the caller receives its complete answer', async () => {
    const shape: TestKit.Shapes.Shape = { ...ENGINE_SHAPE, zones: ENGINE_SHAPE.zones.slice(0, 1), services: ENGINE_SHAPE.services.map(service => ({ ...service, runnerCount: 1 })) }
    const deployment = await TestKit.Deployment.createDeployment({ shape, engine: { tokenMs: 10 } })
    const [runner, gateway] = [deployment.runners[0], deployment.gateways[0]]
    if (runner === undefined || gateway === undefined) throw new Error('the deployment started no runner or no gateway')
    const proxy = await TestKit.SilentProxy.createSilentProxy(runner.agent.port)
    try {
      deployment.instances.put({ ...runner.place, kind: 'agent', host: '127.0.0.1', port: proxy.port, service: runner.service.name, state: 'live' })
      await deployment.commit(deployment.makeManifest('v1', 1))
      await deployment.untilLive('v1', 20_000)
      const call = { port: gateway.process.port, path: '/v1/drafts', workspace: 'operator-1', stream: true, body: { prompt: 'quiet', maxTokens: 150, stream: true } }
      const first = async (): Promise<number> => (await TestKit.Caller.send({ ...call, body: { prompt: 'first', maxTokens: 1, stream: true } })).status
      await TestKit.Wait.until('the gateway connects through the proxy', 8_000, async () => await first() === 200 && proxy.silence() > 0)
      const reply = TestKit.Caller.send({ ...call, deadlineMs: 20_000 })
      await TestKit.Wait.until('the stream has begun', 8_000, () => (runner.engine?.state().activeCount ?? 0) > 0)
      await TestKit.Wait.sleep(300)
      expect(proxy.silence() > 0).toEqual(true)
      expect([(await reply).tokens, (await reply).endVersion]).toEqual([expectedTokens('quiet', 150), 'v1'])
    } finally {
      await deployment.stop()
      await proxy.close()
    }
  })
})
