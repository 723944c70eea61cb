import * as Net from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 10_000
/** Time that passes between a decision and its effect, in milliseconds: an instance freezes for so long. */
const STANDSTILL_MS = 5_000
const DEADLINE_MS = 60_000
/** Real time for which the event loop is blocked, in milliseconds: longer than the delays of a busy process. */
const BLOCKED_MS = 600
const SETTLED_MS = 300

/** Blocks the process for a time, as a standstill does. */
function blockEventLoop (forMs: number): void {
  const untilMs = performance.now() + forMs
  while (performance.now() < untilMs);
}

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

describe('a call that arrived while the gateway stood still', () => {
  let stage: Direct.DirectStage
  const requestOf = (id: string): string => `POST /read/1 HTTP/1.1\r\nHost: h\r\nX-Fescuespread-Attempt-Id: ${id}\r\nX-Fescuespread-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nx`
  const arrivedIds = (): unknown[] => stage.runners.flatMap(runner => runner.arrived).map(headers => headers['x-fescuespread-attempt-id'])
  /** Connects a caller, whose requests are written at once. */
  const connect = async (): Promise<Net.Socket> => {
    const socket = Net.connect(stage.port, '127.0.0.1')
    socket.on('error', () => {})
    await new Promise<void>(resolve => { socket.once('connect', resolve) })
    await TestKit.Wait.sleep(SETTLED_MS)
    return socket
  }

  beforeEach(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'plain' }])
    // Leaves a connection to the endpoint open, on which a call is written as soon as it is sent.
    await TestKit.Wait.until('a call is served', WAIT_TIMEOUT_MS, async () => (await stage.call({ path: '/read/1' })).status === 200)
  })
  afterEach(async () => { await stage.stop() })

  it('does not reach an endpoint if its caller has left meanwhile', async () => {
    const socket = await connect()
    socket.write(requestOf('left'))
    socket.destroy()
    blockEventLoop(BLOCKED_MS)
    await TestKit.Wait.sleep(SETTLED_MS)
    expect(arrivedIds().includes('left')).toEqual(false)
  })
  it('does not reach an endpoint of a zone that was taken out of service meanwhile', async () => {
    const socket = await connect()
    let answer = ''
    socket.on('data', bytes => { answer += bytes.toString() })
    socket.write(requestOf('late'))
    stage.store.put('op', 'evacuate/a', {})
    blockEventLoop(BLOCKED_MS)
    await TestKit.Wait.until('the call is answered', WAIT_TIMEOUT_MS, () => answer !== '')
    expect([answer.split('\r\n', 1), arrivedIds().includes('late')]).toEqual([['HTTP/1.1 503 Service Unavailable'], false])
    socket.destroy()
  })
  it('is served if its caller still waits', async () => {
    const socket = await connect()
    let answer = ''
    socket.on('data', bytes => { answer += bytes.toString() })
    socket.write(requestOf('waits'))
    blockEventLoop(BLOCKED_MS)
    await TestKit.Wait.until('the call is answered', WAIT_TIMEOUT_MS, () => answer !== '')
    expect(answer.split('\r\n', 1)).toEqual(['HTTP/1.1 200 OK'])
    socket.destroy()
  })
})

describe('an answer that arrived while the gateway stood still', () => {
  let stage: Direct.DirectStage
  const TIMEOUT_MS = 400

  beforeEach(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'plain' }])
    const deployment = Direct.deploymentOf({ origin: '127.0.0.1:1' }) as { readonly routes: readonly object[] }
    stage.deploy({ ...deployment, version: 2, routes: deployment.routes.map(route => ({ ...route, timeout_ms: TIMEOUT_MS })) })
    await TestKit.Wait.until('the deployment is in force', WAIT_TIMEOUT_MS, () => stage.lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === 2))
    await TestKit.Wait.until('a call is served', WAIT_TIMEOUT_MS, async () => (await stage.call({ path: '/read/1' })).status === 200)
  })
  afterEach(async () => { await stage.stop() })

  for (const path of ['/read/1', '/book/1']) {
    it(`is passed on, although the route's timeout has passed: ${path}`, async () => {
      const [runner] = stage.runners
      if (runner === undefined) throw new Error('no runner')
      const push = runner.ran.push.bind(runner.ran)
      // The endpoint has answered by then, and the gateway has not read the answer yet.
      runner.ran.push = (...ids) => {
        setImmediate(() => { blockEventLoop(BLOCKED_MS) })
        return push(...ids)
      }
      const answer = await stage.call({ path, deadlineMs: DEADLINE_MS })
      expect([answer.status, answer.text]).toEqual([200, 'answer to prompt'])
    })
  }
})
