import * as Http from 'node:http'
import * as Net from 'node:net'
import { after, afterEach, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Direct from '../testkit/direct.ts'
import * as Program from '../testkit/program.ts'
import * as RawCaller from '../testkit/rawCaller.ts'
import * as ScriptedEndpoints from '../testkit/scriptedEndpoints.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000
/** Time after the stop request at which the gateway no longer listens, in milliseconds. */
const LATE_MS = 3_300
/** Time after the stop request at which it still takes new connections, in milliseconds. */
const LATE_CALL_MS = 2_300
/** Size of an answer of which some lies in the gateway while its caller reads nothing, in bytes, and the time for which it does so, in milliseconds: a calm stop takes less. */
const LARGE_ANSWER_BYTES = 4_190_000
const UNREAD_MS = 4_000
const TEST_TIMEOUT_MS = 60_000
const EVENT_MS = 450
const EVENT_COUNT = 9

const closes: Array<() => Promise<void>> = []
afterEach(async () => { for (const close of closes.splice(0).reverse()) await close() })

describe('a call that comes late in a planned stop', () => {
  const start = async (): Promise<Direct.DirectStage> => {
    const stage = await Direct.startDirectStage([{ instanceId: 'slow', service: 'llm', eventMs: EVENT_MS, eventCount: EVENT_COUNT }, { instanceId: 'plain', service: 'plain' }])
    closes.push(stage.stop)
    await TestKit.Wait.until('calls are answered', TIMEOUT_MS, async () => (await stage.call({ path: '/read/1' })).status === 200)
    return stage
  }
  /** Sends a call on a connection of an agent. */
  const callOn = async (agent: Http.Agent, port: number, path: string, id: string, deadlineMs: number): Promise<Direct.CallAnswer> => await new Promise(resolve => {
    const parts: Buffer[] = []
    let answer: Http.IncomingMessage | undefined
    const finish = (whole: boolean): void => { resolve({ status: answer?.statusCode ?? 0, headers: answer?.headers ?? {}, text: Buffer.concat(parts).toString(), whole }) }
    const headers = { host: 'h', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': id, 'X-Fescuespread-Model': 'm', 'X-Fescuespread-Token-Usage': '10,10', 'X-Fescuespread-Deadline-Ms': String(deadlineMs) }
    Http.request({ host: '127.0.0.1', port, method: 'POST', path, agent, headers }, response => {
      answer = response
      response.on('data', (part: Buffer) => { parts.push(part) })
      response.on('error', () => { finish(false) })
      response.on('end', () => { finish(response.complete) })
    }).on('error', () => { finish(false) }).end('prompt')
  })
  const ranIds = (stage: Direct.DirectStage): string[] => stage.runners.flatMap(runner => runner.ran)

  it('is refused as not run on a connection whose answer has just ended, unless it ends within the grace in any case', async () => {
    const stage = await start()
    const agents = [0, 1].map(() => new Http.Agent({ keepAlive: true, maxSockets: 1 }))
    const firsts = Promise.all(agents.map(async (agent, at) => await callOn(agent, stage.port, '/slow/1', `first-${at}`, 9_000)))
    await TestKit.Wait.until('the streams have begun', TIMEOUT_MS, () => ranIds(stage).filter(id => id.startsWith('first')).length === 2)
    // Heads that were sent before the stop do not ask the callers to close.
    await TestKit.Wait.sleep(2 * EVENT_MS)
    const stopped = stage.first.stop()
    // Each agent has one connection and sends its next call as soon as the answer on it has ended.
    const lates = agents.map(async (agent, at) => await callOn(agent, stage.port, at === 0 ? '/slow/2' : '/read/2', `late-${at}`, at === 0 ? 9_000 : 1_000))
    expect((await firsts).map(({ status, whole }) => [status, whole])).toEqual([[200, true], [200, true]])
    const [long, short] = await Promise.all(lates)
    await stopped
    for (const agent of agents) agent.destroy()
    expect([long?.status, long?.whole, long?.headers.connection, ranIds(stage).includes('late-0')]).toEqual([503, true, 'close', false])
    expect([short?.status, short?.whole]).toEqual([200, true])
  })

  it('does not get through on a connection that was opened before and not used', async () => {
    const stage = await start()
    const socket = Net.connect(stage.port, '127.0.0.1')
    closes.push(async () => { socket.destroy() })
    await new Promise<void>(resolve => { socket.once('connect', resolve) })
    let isClosed = false
    socket.on('error', () => {})
    socket.resume().once('close', () => { isClosed = true })
    const stopped = stage.first.stop()
    await TestKit.Wait.sleep(LATE_MS)
    expect(isClosed).toEqual(true)
    await stopped
  })

  it('gets a whole answer at the end of the grace if it is still running', async () => {
    const stage = await start()
    const { routes } = Direct.deploymentOf({ origin: '127.0.0.1:9' }) as { routes: object[] }
    stage.deploy({ version: 2, routes: routes.map(route => ({ ...route, timeout_ms: 60_000 })) })
    await TestKit.Wait.until('the deployment is in force', TIMEOUT_MS, () => stage.lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === 2))
    for (const runner of stage.runners) runner.faults.dark = true
    const running = ['/book/1', '/read/1'].map(async path => await stage.call({ path, deadlineMs: 60_000 }))
    const answers = (await Promise.all([stage.first.stop(), ...running])).slice(1) as Direct.CallAnswer[]
    expect(answers.map(({ whole, status }) => [whole, status >= 500])).toEqual([[true, true], [true, true]])
  })
})

describe('an answer that is still being read in a planned stop', () => {
  let folder: Program.ProgramFolder
  before(async () => { folder = await Program.build() })
  after(async () => { await folder.close() })

  for (const [when, sentAfterMs] of [['before it', undefined], ['late in it', LATE_CALL_MS]] as const) {
    // Guards against a process that ends, or closes the connection, while an answer that has run waits for its caller.
    it(`is sent in full if it was asked for ${when}`, { timeout: TEST_TIMEOUT_MS }, async () => {
      const store = await PlatformStore.startPlatformStore()
      const endpoint = await ScriptedEndpoints.startEndpoint((socket, id) => { socket.end(ScriptedEndpoints.headOf('200 OK', id, `${ScriptedEndpoints.SEAL}Content-Length: ${LARGE_ANSWER_BYTES}\r\n\r\n${'x'.repeat(LARGE_ANSWER_BYTES)}`)) })
      store.put('op', 'config', Direct.deploymentOf({ origin: '127.0.0.1:1' }))
      store.put('servers', 'plain', Direct.endpointEntryOf({ service: 'plain', port: endpoint.port, version: 1, born: 1 }))
      const program = folder.startGateway({ ports: await Program.freePorts(), storePort: store.port })
      closes.push(store.close, endpoint.close)
      const isAnswered = (): boolean => program.messages().some(message => message.includes('Call answered.'))
      await TestKit.Wait.until('the gateway is ready', TIMEOUT_MS, async () => await Program.isReady(program))
      if (sentAfterMs !== undefined) program.signal('SIGTERM')
      await TestKit.Wait.sleep(sentAfterMs ?? 0)
      const readable = TestKit.Wait.until('the gateway has the answer', TIMEOUT_MS, isAnswered).then(async () => {
        if (sentAfterMs === undefined) program.signal('SIGTERM')
        await TestKit.Wait.sleep(UNREAD_MS)
      })
      const got = await RawCaller.send({ port: program.ports.callers, path: '/book/1', readsAfter: readable })
      expect([got.status, got.body.length, got.isComplete]).toEqual([200, LARGE_ANSWER_BYTES, true])
      expect(await program.ended).toEqual({ code: 0, signal: null })
    })
  }
})
