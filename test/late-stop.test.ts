import * as Http from 'node:http'
import * as Net from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000
/** Time after the stop request at which the gateway no longer listens, in milliseconds. */
const LATE_MS = 3_300
const EVENT_MS = 450
const EVENT_COUNT = 9

describe('a call that comes late in a planned stop', () => {
  const closes: Array<() => Promise<void>> = []
  afterEach(async () => { for (const close of closes.splice(0).reverse()) await close() })
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
