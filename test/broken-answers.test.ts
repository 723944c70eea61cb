import { afterEach, beforeEach, describe, it } from 'node:test'
import * as Net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 5_000
/** Time after which a play counts as failed, in milliseconds: without an answer a caller waits for ever. */
const PLAY_TIMEOUT_MS = 15_000
/** Time for which an endpoint that refused a call gets no other one, with a margin, in milliseconds. */
const LEFT_OUT_MS = 400

/** Answers a call on its socket; `count` is the number of calls before it on the connection. */
type Script = (socket: Net.Socket, id: string, count: number) => void

/** An endpoint that writes what a script says. */
interface ScriptedEndpoint {
  readonly port: number
  /** Ids of the calls that arrived, in order. */
  readonly arrived: string[]
  script: Script
  close: () => Promise<void>
}

async function startEndpoint (script: Script): Promise<ScriptedEndpoint> {
  const sockets = new Set<Net.Socket>()
  const endpoint: ScriptedEndpoint = { port: 0, arrived: [], script, close: async () => {} }
  const server = Net.createServer(socket => {
    let count = 0
    let pending = ''
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      pending += bytes.toString('latin1')
      const id = /x-fescuespread-attempt-id: (\S+)/i.exec(pending)?.[1]
      if (!pending.endsWith('prompt') || id === undefined) return
      pending = ''
      endpoint.arrived.push(id)
      endpoint.script(socket, id, count++)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return Object.assign(endpoint, {
    port: (server.address() as Net.AddressInfo).port,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  })
}

const headOf = (status: string, id: string, more = ''): string => `HTTP/1.1 ${status}\r\nX-Fescuespread-Attempt-Id: ${id}\r\n${more}`
const refusalOf = (id: string): string => headOf('503 Service Unavailable', id, 'X-Fescuespread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
const SEAL = 'X-Fescuespread-Response-Seal: s\r\n'
const answerOf = (id: string): string => headOf('200 OK', id, `${SEAL}Content-Length: 5\r\n\r\nwhole`)
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const eventOf = (id: number): string => `id: ${id}\ndata: piece\n\n`
const streamOf = (id: string): string => headOf('200 OK', id, `${SEAL}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
const unframedStreamOf = (id: string): string => headOf('200 OK', id, `${SEAL}Content-Type: text/event-stream\r\n\r\n`)

describe('an endpoint that breaks its answers', () => {
  let stage: Direct.DirectStage
  let endpoints: ScriptedEndpoint[] = []
  const start = async (service: 'plain' | 'llm', ...scripts: readonly Script[]): Promise<void> => {
    endpoints = await Promise.all(scripts.map(startEndpoint))
    const path = service === 'llm' ? '/stream/1' : '/read/1'
    await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path })).status === 200)
    for (const [at, { port }] of endpoints.entries()) stage.list({ ...stage.runners[service === 'llm' ? 1 : 0], instanceId: `scripted-${at}`, port } as Direct.DirectStage['runners'][number], { backend: service })
    stage.store.drop('servers', service === 'llm' ? 'engine' : 'plain')
    const hasLine = (sentence: string, endpointId: string): boolean => stage.lines.some(line => line.sentence === sentence && line.fields.endpointId === endpointId)
    await TestKit.Wait.until('the gateway knows the endpoints', WAIT_TIMEOUT_MS, () => hasLine('Endpoint no longer listed.', service === 'llm' ? 'engine' : 'plain') && endpoints.every((_, at) => hasLine('Endpoint listed.', `scripted-${at}`)))
    for (const { arrived } of endpoints) arrived.length = 0
  }
  const ranCount = (id: string): number => endpoints.flatMap(({ arrived }) => arrived).filter(each => each === id).length

  beforeEach(async () => { stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }, { instanceId: 'engine', service: 'llm' }]) })
  afterEach(async () => {
    await stage.stop()
    await Promise.all(endpoints.map(async endpoint => { await endpoint.close() }))
  })

  for (const { name, secondId } of [{ name: 'of an earlier call', secondId: 'second' }, { name: 'of an earlier call with the same id', secondId: 'first' }]) {
    for (const path of ['/read/1', '/book/1']) {
      it(`is not believed when it repeats a refusal ${name} on a kept connection, on ${path}`, async () => {
        await start('plain', (socket, id, count) => { socket.write(count === 0 ? refusalOf(id) : refusalOf('first')) })
        const refused = await stage.call({ path, id: 'first' })
        await sleep(LEFT_OUT_MS)
        const second = await stage.call({ path, id: secondId })
        expect([refused.status, second.status === 503 || second.status === 421, endpoints[0]?.arrived]).toEqual([503, false, ['first', secondId]])
      })
    }
  }

  for (const [name, script] of Object.entries<Script>({
    'a failure': (socket, id) => { socket.write(headOf('500 Internal Server Error', id, `${SEAL}Content-Length: 7\r\n\r\nforeign`)) },
    'a refusal': (socket, id) => { socket.write(refusalOf(id)) },
    'a misdirected call': (socket, id) => { socket.write(headOf('421 Misdirected Request', id, 'Content-Length: 7\r\n\r\nforeign')) },
    'bytes that are no answer': socket => { socket.write('foreign\r\n\r\nforeign') },
    'an answer that is no stream': (socket, id) => { socket.write(headOf('200 OK', id, `${SEAL}Content-Length: 7\r\n\r\nforeign`)) },
    'half a head': (socket, id) => { socket.end(headOf('200 OK', id).slice(0, -10)) },
    'a stream without a length and without an event': (socket, id) => { socket.end(unframedStreamOf(id)) }
  })) {
    for (const delayMs of [0, 30]) {
      it(`leaves a stream that broke off incomplete and without foreign text if the next endpoint answers with ${name}, ${delayMs} ms later`, async () => {
        const answer: Script = (socket, id) => {
          if (ranCount(id) > 1) { setTimeout(() => { script(socket, id, 1) }, delayMs); return }
          socket.write(streamOf(id) + chunkOf(eventOf(1)))
          setTimeout(() => { socket.destroy() }, 20)
        }
        await start('llm', answer, answer)
        const got = await stage.call({ path: '/stream/1', id: 'broken' })
        expect([ranCount('broken'), got.status, got.text, got.whole]).toEqual([2, 200, eventOf(1), false])
      })
    }
  }

  const head = headOf('200 OK', 'cut', `${SEAL}Content-Length: 5\r\n\r\n`)
  for (const [where, cutAt] of Object.entries({ 'in its status line': 10, 'after its status line': 17, 'in a header': 40, 'before its last line': head.length - 2 })) {
    for (const [how, close] of Object.entries<(socket: Net.Socket) => void>({ closed: socket => { socket.end() }, reset: socket => { socket.resetAndDestroy() } })) {
      it(`gets no 200 for a head that is cut ${where} and ${how}`, async () => {
        await start('plain', socket => { socket.write(head.slice(0, cutAt), () => { close(socket) }) })
        expect((await stage.call({ path: '/book/1', id: 'cut' })).status).toEqual(502)
      })
    }
  }

  for (const [name, status, more] of [
    ['status of three zeros', '000 OK', ''],
    ['status below 100', '099 OK', ''],
    ['space in the name of a header', '200 OK', 'X-Spoilt name: 1\r\n']
  ] as const) {
    // Guards against an answer whose head Node reads but refuses to write: it ended the gateway with all its calls.
    it(`costs no other caller its answer if it has a ${name}`, { timeout: PLAY_TIMEOUT_MS }, async () => {
      await start('plain', (socket, id) => {
        const isSpoilt = id === 'spoilt'
        setTimeout(() => { socket.write(isSpoilt ? headOf(status, id, `${SEAL}${more}Content-Length: 5\r\n\r\nwhole`) : answerOf(id)) }, isSpoilt ? 50 : 200)
      })
      const [spoilt, ...others] = await Promise.all(['spoilt', 'other-1', 'other-2'].map(async id => await stage.call({ path: '/book/1', id })))
      expect([spoilt?.status, ...others.map(answer => answer.text)]).toEqual([502, 'whole', 'whole'])
      expect((await stage.metrics()).includes('unexpected_errors_total')).toEqual(false)
    })

    it(`has its call repeated elsewhere if it has a ${name} and the call may run twice`, { timeout: PLAY_TIMEOUT_MS }, async () => {
      const answerOnSecondRun: Script = (socket, id) => { socket.write(ranCount(id) === 1 ? headOf(status, id, `${SEAL}${more}Content-Length: 5\r\n\r\nwrong`) : answerOf(id)) }
      await start('plain', answerOnSecondRun, answerOnSecondRun)
      expect((await stage.call({ path: '/read/1', id: 'spoilt' })).text).toEqual('whole')
    })
  }

  describe('without a length', () => {
    it('has its stream passed on whole', async () => {
      await start('llm', (socket, id) => { socket.end(unframedStreamOf(id) + eventOf(1) + eventOf(2)) })
      const got = await stage.call({ path: '/stream/1', id: 'whole' })
      expect([got.status, got.text, got.whole]).toEqual([200, eventOf(1) + eventOf(2), true])
    })

    for (const [name, bytes] of Object.entries({ 'inside an event': `${eventOf(1)}id: 2\nda`, 'before its first event': '' })) {
      it(`has its stream resumed elsewhere if it ends ${name}`, async () => {
        const answer: Script = (socket, id) => {
          if (ranCount(id) === 1) socket.end(unframedStreamOf(id) + bytes)
          else socket.write(streamOf(id) + chunkOf(bytes === '' ? eventOf(1) + eventOf(2) : eventOf(2)) + '0\r\n\r\n')
        }
        await start('llm', answer, answer)
        const got = await stage.call({ path: '/stream/1', id: 'resumed' })
        expect([ranCount('resumed'), got.status, got.text, got.whole]).toEqual([2, 200, eventOf(1) + eventOf(2), true])
      })
    }

    it('has no whole answer if the connection is reset together with its last bytes', async () => {
      await start('plain', (socket, id) => { socket.write(headOf('200 OK', id, `${SEAL}\r\nhalf`), () => { socket.resetAndDestroy() }) })
      expect((await stage.call({ path: '/book/1', id: 'reset' })).status).toEqual(502)
    })

    it('has its whole answers passed on', async () => {
      await start('plain', (socket, id) => { socket.write(answerOf(id)) })
      expect((await stage.call({ path: '/book/1', id: 'sound' })).text).toEqual('whole')
    })
  })
})
