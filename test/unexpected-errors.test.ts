import * as Net from 'node:net'
import { EventEmitter } from 'node:events'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Faults from '../src/edge/faults.ts'
import * as Dialect from '../platform/dialect.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000

/** Sends bytes on a connection of their own and returns the status line of what comes back. */
async function statusLineOf (port: number, text: string): Promise<string> {
  return await new Promise(resolve => {
    let received = ''
    const socket = Net.connect(port, '127.0.0.1', () => { socket.write(text, 'latin1') })
    socket.on('data', bytes => {
      received += bytes.toString('latin1')
      socket.destroy()
    })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(received.split('\r\n', 1)[0] ?? '') })
  })
}

describe('an unexpected error', () => {
  let stage: Direct.DirectStage
  beforeEach(async () => { stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }]) })
  afterEach(async () => { await stage.stop() })

  // Guards against an error in the work for one call that ends the gateway, and the calls of everybody else with it.
  it('in the work for one call ends that call alone, and is counted and logged', async () => {
    const dialect = Dialect.createDialect()
    const gateway = await stage.addGateway('faulty', {
      dialect: {
        ...dialect,
        answerHeaders: rawHeaders => {
          if (rawHeaders.includes('faulty')) throw new Error('cannot be translated')
          return dialect.answerHeaders(rawHeaders)
        }
      }
    })
    await TestKit.Wait.until('the gateway serves calls', TIMEOUT_MS, async () => (await gateway.call({ path: '/read/1' })).status === 200)
    const answers = await Promise.all(['other-1', 'faulty', 'other-2'].map(async id => await gateway.call({ path: '/read/1', id })))
    expect(answers.map(({ status }) => status)).toEqual([200, 502, 200])
    expect(gateway.lines.filter(({ sentence }) => sentence === 'Unexpected error.').map(({ fields }) => [fields.work, fields.reason])).toEqual([['call', 'cannot be translated']])
    const metrics = await (await fetch(`http://127.0.0.1:${gateway.peerPort}/metrics`)).text()
    expect(metrics.includes('fescuespread_unexpected_errors_total{work="call"} 1')).toEqual(true)
  })

  describe('that nothing else handles', () => {
    it('is recorded, and later ones too', () => {
      const events = new EventEmitter()
      const lines: unknown[] = []
      const counts: unknown[] = []
      Faults.keepRunning(Faults.createFaults({ metrics: { count: (name, labels) => { counts.push([name, labels]) } }, log: (_prefix, sentence, fields) => { lines.push([sentence, fields?.work, fields?.reason]) } }), events)
      events.emit('uncaughtException', new Error('first'))
      events.emit('unhandledRejection', 'second')
      expect(lines).toEqual([['Unexpected error.', 'event', 'first'], ['Unexpected error.', 'promise', 'second']])
      expect(counts).toEqual([['unexpected_errors_total', { work: 'event' }], ['unexpected_errors_total', { work: 'promise' }]])
    })
  })
})

describe('a request whose head cannot be passed on', () => {
  let stage: Direct.DirectStage
  beforeEach(async () => { stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }]) })
  afterEach(async () => { await stage.stop() })

  for (const [name, target, field] of [['a space in the name of a header', '/read/1', 'X-Odd name: 1'], ['a tab in its target', '/read/\t1', 'X-Odd: 1']] as const) {
    // Guards against endpoints that are left out for the requests of one client: no endpoint can be sent such a request.
    it(`because of ${name} is refused as malformed, and no endpoint is blamed`, async () => {
      await TestKit.Wait.until('calls are answered', TIMEOUT_MS, async () => (await stage.call({ path: '/read/1' })).status === 200)
      const line = await statusLineOf(stage.port, `POST ${target} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Fescuespread-Attempt-Id: odd\r\n${field}\r\nContent-Length: 0\r\n\r\n`)
      expect(line).toEqual('HTTP/1.1 400 Bad Request')
      expect(stage.lines.filter(({ sentence }) => sentence === 'Endpoint left out.')).toEqual([])
      expect((await stage.call({ path: '/read/1' })).status).toEqual(200)
    })
  }
})
