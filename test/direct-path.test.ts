import * as Http from 'node:http'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 5_000
let stage: Direct.DirectStage
const runner = (at: number): Direct.DirectStage['runners'][number] => stage.runners[at] as Direct.DirectStage['runners'][number]
const ranCount = (id: string): number => stage.runners.reduce((sum, each) => sum + each.ran.filter(ran => ran === id).length, 0)
const clearFaults = (): void => {
  for (const each of stage.runners) Object.assign(each.faults, { breakAfterCount: undefined, full: false, failing: false, crossed: false, unframedReset: false, dark: false })
}
const eventsOf = (text: string): number[] => [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
/** Waits until a call to the path is served, so that the effects of an earlier fault are over. */
const waitUntilServed = async (path: string): Promise<void> => {
  await TestKit.Wait.until(`${path} is served`, WAIT_TIMEOUT_MS, async () => (await stage.call({ path })).status === 200)
}

/** Repeats calls until the faulty runner gets one of them, and checks every answer. */
const callUntilReached = async (at: number, path: string, check: (answer: Direct.CallAnswer) => void): Promise<void> => {
  const before = runner(at).arrived.length
  await TestKit.Wait.until('the faulty endpoint gets a call', WAIT_TIMEOUT_MS, async () => {
    check(await stage.call({ path }))
    return runner(at).arrived.length > before
  })
}
const expectServed = (answer: Direct.CallAnswer): void => { expect([answer.status, answer.whole, answer.text]).toEqual([200, true, 'answer to prompt']) }

describe('the direct path', () => {
  before(async () => {
    stage = await Direct.startDirectStage([
      { instanceId: 'e1', service: 'llm' },
      { instanceId: 'e2', service: 'llm' },
      { instanceId: 'p1', service: 'plain' },
      { instanceId: 'p2', service: 'plain' }
    ])
    await waitUntilServed('/stream/1')
    await waitUntilServed('/read/1')
  })
  after(async () => { await stage.stop() })

  describe('a call', () => {
    it('reaches an endpoint with its workspace and without its key, and is answered completely', async () => {
      const answer = await stage.call({ id: 'whole' })
      expect([answer.status, answer.whole, eventsOf(answer.text)]).toEqual([200, true, [1, 2, 3, 4, 5]])
      const headers = stage.runners.flatMap(each => each.arrived).find(arrived => arrived['x-fescuespread-attempt-id'] === 'whole')
      expect([headers?.['x-fescuespread-tenant'], headers?.authorization, Number(headers?.['x-fescuespread-deadline-ms']) <= 2_000]).toEqual(['w1', undefined, true])
    })

    it('is denied without a key, on an unknown route and with a body over the limit', async () => {
      const answers = [await stage.call({ key: '' }), await stage.call({ path: '/nowhere/' }), await stage.call({ body: 'x'.repeat(2_000) })]
      expect(answers.map(answer => answer.status)).toEqual([401, 404, 413])
    })

    it('is refused without being sent if no endpoint is in a region that its workspace allows', async () => {
      const answer = await stage.call({ id: 'homeless', key: 'key-2' })
      expect([answer.status, answer.headers['retry-after'] !== undefined, ranCount('homeless')]).toEqual([503, true, 0])
    })
  })

  describe('a stream whose endpoint breaks off in the middle of an event', () => {
    it('continues at another endpoint without missing, duplicate or partial events', async () => {
      runner(0).faults.breakAfterCount = 2
      runner(1).faults.breakAfterCount = undefined
      await TestKit.Wait.until('a stream has broken off and continued', WAIT_TIMEOUT_MS, async () => {
        const answer = await stage.call()
        expect(eventsOf(answer.text)).toEqual([1, 2, 3, 4, 5])
        expect(answer.whole).toEqual(true)
        return answer.text.includes('e1') && answer.text.includes('e2')
      })
      clearFaults()
      await waitUntilServed('/stream/1')
    })

    it('does not look complete if no endpoint continues it', async () => {
      for (const at of [0, 1]) runner(at).faults.breakAfterCount = 1
      const answer = await stage.call()
      expect([answer.whole, eventsOf(answer.text).length < 5]).toEqual([false, true])
      clearFaults()
      await waitUntilServed('/stream/1')
    })
  })

  describe('a call that must not run twice', () => {
    it('is sent elsewhere when an endpoint proves that it did not run it', async () => {
      runner(2).faults.full = true
      const answers = await Promise.all(Array.from({ length: 6 }, async (_, index) => await stage.call({ path: '/book/1', id: `once-${index}` })))
      clearFaults()
      expect(answers.map(answer => answer.status)).toEqual(Array.from({ length: 6 }, () => 200))
      expect(answers.map((_, index) => ranCount(`once-${index}`))).toEqual(Array.from({ length: 6 }, () => 1))
      await waitUntilServed('/book/1')
    })

    it('ends with an unknown outcome, not as refused, when its answer is lost', async () => {
      for (const at of [2, 3]) runner(at).faults.crossed = true
      const answer = await stage.call({ path: '/book/1', id: 'lost' })
      clearFaults()
      expect([answer.status, ranCount('lost')]).toEqual([502, 1])
      await waitUntilServed('/book/1')
    })

    it('is refused when every endpoint proves that it did not run it', async () => {
      for (const at of [2, 3]) runner(at).faults.full = true
      const answer = await stage.call({ path: '/book/1', id: 'never' })
      clearFaults()
      expect([answer.status, ranCount('never')]).toEqual([503, 0])
      await waitUntilServed('/book/1')
    })
  })

  describe('a call that may be repeated', () => {
    it('is repeated after an endpoint\'s failure', async () => {
      runner(2).faults.failing = true
      await callUntilReached(2, '/read/1', expectServed)
      clearFaults()
      await waitUntilServed('/read/1')
    })

    it('is answered with an endpoint\'s failure when all endpoints fail', async () => {
      for (const at of [2, 3]) runner(at).faults.failing = true
      const failed = await stage.call({ path: '/read/1' })
      clearFaults()
      expect([failed.status, failed.headers['x-fescuespread-response-seal']?.toString().startsWith('seal-')]).toEqual([500, true])
      await waitUntilServed('/read/1')
    })

    it('is not answered with an answer without a length that was reset', async () => {
      runner(2).faults.unframedReset = true
      await callUntilReached(2, '/read/1', expectServed)
      clearFaults()
      await waitUntilServed('/read/1')
    })

    it('goes to another endpoint when its endpoint is silent', async () => {
      runner(2).faults.dark = true
      await callUntilReached(2, '/read/1', expectServed)
      clearFaults()
      await waitUntilServed('/read/1')
    })
  })

  describe('a caller that disconnects', () => {
    it('ends the work at the endpoint at once', async () => {
      await stage.call({ id: 'leaves', leavesAtFirstBytes: true })
      await TestKit.Wait.until('the endpoint sees the disconnect', WAIT_TIMEOUT_MS, () => stage.runners.some(each => each.abandoned.includes('leaves')))
    })
  })

  describe('changes of operators', () => {
    it('take effect soon, and older versions are ignored', async () => {
      stage.deploy({ version: 5, routes: [] })
      await TestKit.Wait.until('the routes are gone', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 404)
      stage.deploy({ version: 4 })
      await TestKit.Wait.sleep(200)
      expect((await stage.call()).status).toEqual(404)
      stage.deploy({ version: 6 })
      await waitUntilServed('/stream/1')
    })

    it('stay in force while the store is unreachable, and are followed again after it has dropped its history', async () => {
      stage.store.faults.down = true
      expect((await stage.call()).status).toEqual(200)
      stage.store.faults.historyFrom = Infinity
      stage.store.faults.down = false
      stage.deploy({ version: 7, routes: [] })
      await TestKit.Wait.until('the change is read with the whole table', 10_000, async () => (await stage.call()).status === 404)
      stage.store.faults.historyFrom = 0
      stage.deploy({ version: 8 })
      await waitUntilServed('/stream/1')
    })
  })

  describe('a zone taken out of service', () => {
    it('gets no call until it is back', async () => {
      stage.store.put('op', 'evacuate/a', {})
      await TestKit.Wait.until('calls are refused', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 503)
      const before = stage.runners.map(each => each.arrived.length)
      await stage.call()
      expect(stage.runners.map(each => each.arrived.length)).toEqual(before)
      stage.store.drop('op', 'evacuate/a')
      await waitUntilServed('/stream/1')
    })
  })

  describe('entries of endpoints', () => {
    it('are ignored once they cannot be read', async () => {
      for (const at of [0, 1]) stage.store.put('servers', runner(at).instanceId, Buffer.from('torn'))
      await TestKit.Wait.until('calls are refused', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 503)
      for (const at of [0, 1]) stage.list(runner(at))
      await waitUntilServed('/stream/1')
    })
  })

  describe('a stop', () => {
    it('turns readiness off and still answers new calls for a while', async () => {
      const readinessStatus = async (): Promise<number> => await new Promise(resolve => {
        Http.get({ host: '127.0.0.1', port: stage.readyPort, agent: false }, response => { resolve(response.resume().statusCode ?? 0) }).on('error', () => { resolve(0) })
      })
      expect(await readinessStatus()).toEqual(200)
      const stopped = stage.stop()
      expect(await readinessStatus()).toEqual(503)
      const answer = await stage.call()
      expect([answer.status, answer.whole, answer.headers.connection]).toEqual([200, true, 'close'])
      await stopped
    })
  })
})

describe('a stop while a stream runs on a keep-alive connection', () => {
  it('completes the stream and then closes the connection, so that it carries no further call', async () => {
    const slow = await Direct.startDirectStage([{ instanceId: 'slow', service: 'llm', eventMs: 450, eventCount: 9 }])
    const agent = new Http.Agent({ keepAlive: true })
    await TestKit.Wait.until('the endpoint is listed', WAIT_TIMEOUT_MS, () => slow.lines.some(line => line.sentence === 'Endpoint listed.'))
    await TestKit.Wait.until('the deployment is in force', WAIT_TIMEOUT_MS, () => slow.lines.some(line => line.sentence === 'Deployment in force.'))
    const ended = new Promise<{ text: string, endedAtMs: number, closedAtMs: number }>(resolve => {
      let text = ''
      let endedAtMs = 0
      const headers = { host: 'h', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': 'slow', 'X-Fescuespread-Model': 'm', 'X-Fescuespread-Token-Usage': '10,10', 'X-Fescuespread-Deadline-Ms': '9000' }
      Http.request({ host: '127.0.0.1', port: slow.port, method: 'POST', path: '/slow/1', agent, headers }, response => {
        response.on('data', (part: Buffer) => { text += part.toString() })
        response.on('end', () => { endedAtMs = performance.now() })
        response.socket.once('close', () => { resolve({ text, endedAtMs, closedAtMs: performance.now() }) })
      }).end('prompt')
    })
    await TestKit.Wait.until('the stream has begun', WAIT_TIMEOUT_MS, () => (slow.runners[0]?.ran.length ?? 0) > 0)
    await TestKit.Wait.sleep(1_000)
    const stopped = slow.stop()
    const { text, endedAtMs, closedAtMs } = await ended
    await stopped
    agent.destroy()
    expect([eventsOf(text), endedAtMs > 0 && closedAtMs - endedAtMs < 1_000]).toEqual([[1, 2, 3, 4, 5, 6, 7, 8, 9], true])
  })
})
