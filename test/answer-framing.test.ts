import { after, before, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Net from 'node:net'
import type * as Edge from '../src/edge/index.ts'
import * as PlatformStore from '../standins/platformStore.ts'
import * as CallRelay from '../testkit/callRelay.ts'
import * as Direct from '../testkit/direct.ts'
import * as Program from '../testkit/program.ts'
import * as RawCaller from '../testkit/rawCaller.ts'
import * as ScriptedEndpoints from '../testkit/scriptedEndpoints.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 15_000
const TEST_TIMEOUT_MS = 60_000
/** Size of an answer of which some still lies in the gateway when its caller reads nothing, in bytes. */
const LARGE_ANSWER_BYTES = 4_190_000
/** Events of a stream that together are larger than what is held for a caller, in bytes. */
const LARGE_EVENT_BYTES = 900_000
const LARGE_EVENT_COUNT = 6
/** Number of events of an endless stream after which the gateway is killed, and the time between events, in milliseconds. */
const KILLED_AFTER_EVENT_COUNT = 4
const EVENT_INTERVAL_MS = 30
/** Time for which an endpoint that broke an answer off gets no other call, with a margin, in milliseconds. */
const LEFT_OUT_MS = 400
/** Time after which a caller that does not read is cut off, with a margin, in milliseconds. */
const UNREAD_MS = 61_000

const { SEAL, LAST_CHUNK, headOf, chunkOf, eventOf, streamOf, unframedStreamOf } = ScriptedEndpoints

/** Writes the beginning of a stream, as an endpoint frames it. */
type Begin = (id: string, ...events: readonly string[]) => string
/** The framings that endpoints choose for a stream, and what ends one of each. */
const STREAM_FRAMINGS: Readonly<Record<string, { readonly begin: Begin, readonly end: string }>> = {
  'ends with its connection': { begin: (id, ...events) => unframedStreamOf(id) + events.join(''), end: '' },
  'is chunked': { begin: (id, ...events) => streamOf(id) + events.map(chunkOf).join(''), end: LAST_CHUNK }
}
/** Writes an answer that is not streamed, as an endpoint frames it. */
const ANSWER_FRAMINGS: Readonly<Record<string, (status: string, id: string, body: string) => string>> = {
  'ends with its connection': (status, id, body) => headOf(status, id, `${SEAL}\r\n${body}`),
  'is chunked': (status, id, body) => headOf(status, id, `${SEAL}Transfer-Encoding: chunked\r\n\r\n${chunkOf(body)}${LAST_CHUNK}`),
  'has a length': (status, id, body) => headOf(status, id, `${SEAL}Content-Length: ${body.length}\r\n\r\n${body}`)
}

describe('the framing of an answer', () => {
  describe('is chosen by the gateway', () => {
    let stage: Direct.DirectStage
    let endpoints: readonly ScriptedEndpoints.ScriptedEndpoint[] = []
    let script: ScriptedEndpoints.Script = socket => { socket.destroy() }
    let callCount = 0
    const runCount = (id: string): number => endpoints.flatMap(({ arrived }) => arrived).filter(each => each === id).length
    const send = async (options: Partial<RawCaller.RawCall> & { readonly path: string }): Promise<RawCaller.RawAnswer> =>
      await RawCaller.send({ port: stage.port, id: `call-${++callCount}`, ...options })

    before(async () => {
      stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }, { instanceId: 'engine', service: 'llm' }])
      const follow: ScriptedEndpoints.Script = (socket, id, count) => { script(socket, id, count) }
      const [engines, plain] = [await ScriptedEndpoints.replaceEndpoint(stage, 'llm', [follow, follow]), await ScriptedEndpoints.replaceEndpoint(stage, 'plain', [follow])]
      endpoints = [...engines, ...plain]
    })
    after(async () => {
      await stage.stop()
      await Promise.all(endpoints.map(async endpoint => { await endpoint.close() }))
    })

    for (const [framing, answerOf] of Object.entries(ANSWER_FRAMINGS)) {
      for (const version of ['1.1', '1.0'] as const) {
        for (const status of ['200 OK', '404 Not Found', '500 Internal Server Error']) {
          // Guards against an answer whose truncated body looks complete, since it has no length.
          it(`for a ${status.slice(0, 3)} that ${framing}, to a caller of HTTP/${version}`, async () => {
            script = (socket, id) => { socket.end(answerOf(status, id, 'body')) }
            const got = await send({ path: '/book/1', version })
            expect([got.status, got.framing, got.headers['content-length'], got.body, got.isComplete]).toEqual([Number(status.slice(0, 3)), 'length', '4', 'body', true])
          })
        }
      }
    }

    for (const path of ['/read/1', '/stream/1']) {
      for (const declaredLength of ['1234', undefined]) {
        // Guards against an answer to HEAD that names a size other than the endpoint's, or that is taken for a stream without an event.
        it(`for a HEAD of ${path} whose answer names ${declaredLength === undefined ? 'no size' : 'a size'}`, async () => {
          script = (socket, id) => { socket.write(headOf('200 OK', id, `${SEAL}${declaredLength === undefined ? '' : `Content-Length: ${declaredLength}\r\n`}\r\n`)) }
          const got = await send({ path, method: 'HEAD' })
          expect([got.status, got.headers['content-length'], got.headers['transfer-encoding'], got.body]).toEqual([200, declaredLength, undefined, ''])
        })
      }

      for (const [status, moreHeaders, declaredLength] of [['204 No Content', '', undefined], ['304 Not Modified', '', undefined], ['304 Not Modified', 'Content-Length: 1234\r\n', '1234']] as const) {
        // Guards against a length or chunks in an answer that has no body, and against a connection that is closed after it.
        it(`for a ${status.slice(0, 3)} of ${path} ${moreHeaders === '' ? 'without' : 'with'} a size`, async () => {
          script = (socket, id) => { socket.write(headOf(status, id, `${SEAL}${moreHeaders}\r\n`)) }
          const got = await send({ path })
          expect([got.status, got.headers['content-length'], got.headers['transfer-encoding'], got.headers.connection, got.body]).toEqual([Number(status.slice(0, 3)), declaredLength, undefined, 'keep-alive', ''])
        })
      }
    }

    for (const [framing, { begin, end }] of Object.entries(STREAM_FRAMINGS)) {
      describe(`for a stream that ${framing}`, () => {
        // Each stream is another request: one that broke off several times would be kept back.
        const sendStream = async (version: '1.0' | '1.1'): Promise<RawCaller.RawAnswer> => await send({ path: `/stream/${callCount}`, version, moreHeaders: 'TE: chunked\r\n' })
        beforeEach(async () => { await TestKit.Wait.sleep(LEFT_OUT_MS) })

        for (const [version, expected] of [['1.1', 'chunked'], ['1.0', 'length']] as const) {
          // Guards against a stream that looks complete when its gateway is killed: it ended with its connection.
          it(`to a caller of HTTP/${version}`, async () => {
            script = (socket, id) => { socket.end(begin(id, eventOf(1), eventOf(2)) + end) }
            const got = await sendStream(version)
            expect([got.status, got.framing, got.body, got.isComplete]).toEqual([200, expected, eventOf(1) + eventOf(2), true])
          })

          for (const [otherFraming, other] of Object.entries(STREAM_FRAMINGS)) {
            // Guards against a stream whose framing changes with the endpoint that continues it.
            it(`and that is resumed by one that ${otherFraming}, to a caller of HTTP/${version}`, async () => {
              script = (socket, id) => {
                if (runCount(id) > 1) socket.end(other.begin(id, eventOf(2)) + other.end)
                else socket.end(begin(id, eventOf(1), 'id: 2\nda'))
              }
              const got = await sendStream(version)
              expect([got.status, got.framing, got.body, got.isComplete]).toEqual([200, expected, eventOf(1) + eventOf(2), true])
            })
          }
        }

        it('and that breaks off for good, to a caller of HTTP/1.1', async () => {
          script = (socket, id) => { socket.end(begin(id, eventOf(1), 'id: 2\nda')) }
          const got = await sendStream('1.1')
          expect([got.status, got.framing, got.body.startsWith(eventOf(1)), got.isComplete]).toEqual([200, 'chunked', true, false])
        })

        it('and that breaks off for good, to a caller of HTTP/1.0, who gets a failure', async () => {
          script = (socket, id) => { socket.end(begin(id, eventOf(1), 'id: 2\nda')) }
          const got = await sendStream('1.0')
          expect([got.status, got.framing, got.isComplete]).toEqual([502, 'length', true])
        })
      })
    }

    describe('for an answer with a transfer coding', () => {
      const answerIn = (coding: string, bytes: string): ScriptedEndpoints.Script => (socket, id) => { socket.end(headOf('200 OK', id, `${SEAL}Transfer-Encoding: ${coding}\r\n\r\n${bytes}`)) }
      // A failed call has its endpoint left out for a while.
      beforeEach(async () => {
        script = (socket, id) => { socket.end(headOf('200 OK', id, `${SEAL}Content-Length: 0\r\n\r\n`)) }
        await TestKit.Wait.until('the endpoint gets calls', WAIT_TIMEOUT_MS, async () => (await send({ path: '/book/1' })).status === 200)
      })

      for (const coding of ['gzip', 'gzip, chunked', 'deflate']) {
        // Guards against coded bytes that are passed on without the name of their coding.
        it(`that is not read, ${coding}, which is a 502`, async () => {
          script = answerIn(coding, chunkOf('body') + LAST_CHUNK)
          const id = `coded-${++callCount}`
          const got = await send({ path: `/book/${callCount}`, id })
          expect([got.status, got.body.includes('body'), runCount(id)]).toEqual([502, false, 1])
        })
      }

      it('that changes nothing', async () => {
        script = answerIn('identity', 'body')
        const got = await send({ path: '/book/1' })
        expect([got.status, got.framing, got.headers['transfer-encoding'], got.body]).toEqual([200, 'length', undefined, 'body'])
      })
    })

    it('for a stream that is too large to be held for a caller of HTTP/1.0, who gets a failure', async () => {
      await TestKit.Wait.sleep(LEFT_OUT_MS)
      script = (socket, id) => { socket.end(unframedStreamOf(id) + `data: ${'x'.repeat(LARGE_EVENT_BYTES)}\n\n`.repeat(LARGE_EVENT_COUNT)) }
      const got = await send({ path: '/stream/large', version: '1.0' })
      expect([got.status, got.framing, got.isComplete]).toEqual([502, 'length', true])
    })

    // Guards against a truncated answer that looks complete to a caller that was cut off since it read nothing.
    it('for an answer that ends with its connection and whose caller is cut off for reading nothing', { timeout: TEST_TIMEOUT_MS }, async () => {
      script = (socket, id) => { socket.end(headOf('200 OK', id, `${SEAL}\r\n${'x'.repeat(LARGE_ANSWER_BYTES)}`)) }
      const isCutOff = (): boolean => stage.lines.some(({ sentence }) => sentence === 'Clients are cut off.')
      const cutOff = TestKit.Wait.until('the gateway has the answer', WAIT_TIMEOUT_MS, () => stage.lines.some(({ sentence, fields }) => sentence === 'Call answered.' && fields.callId === 'unread'))
        .then(async () => {
          await TestKit.Wait.sleep(1_000)
          stage.pass(UNREAD_MS)
          await TestKit.Wait.until('the caller is cut off', WAIT_TIMEOUT_MS, isCutOff)
        })
      const got = await send({ path: '/read/1', id: 'unread', readsAfter: cutOff })
      expect([isCutOff(), got.status, got.framing, got.body.length < LARGE_ANSWER_BYTES, got.isComplete]).toEqual([true, 200, 'length', true, false])
    })
  })

  describe("between the system's own gateway and agent", () => {
    const play = async (answer: string, onWritten: (socket: Net.Socket) => void): Promise<{ readonly answer: Edge.HttpClient.Answer, readonly runCount: number }> => {
      const endpoint = await CallRelay.startFixedServer(answer, onWritten)
      const agent = await CallRelay.startAgent(endpoint.port)
      const gateway = await CallRelay.startGateway(agent.port)
      try {
        return { answer: await gateway.call(), runCount: endpoint.requestCount() }
      } finally {
        await gateway.stop()
        await agent.stop()
        await endpoint.close()
      }
    }

    for (const [when, delayMs] of [['together with its last bytes', 0], ['after its last bytes were read', 50]] as const) {
      // Guards against half an answer that looks complete: Node reports the reset as an orderly end.
      it(`is incomplete if it has no length and is reset ${when}`, async () => {
        const { answer, runCount } = await play('HTTP/1.1 200 OK\r\n\r\nhalf', socket => {
          if (delayMs === 0) socket.resetAndDestroy()
          else setTimeout(() => { socket.resetAndDestroy() }, delayMs)
        })
        expect([answer.status, answer.body.toString().includes('half'), runCount]).toEqual([502, false, 1])
      })
    }

    it('has a length if its endpoint sent none', async () => {
      const { answer } = await play('HTTP/1.1 200 OK\r\n\r\nwhole', socket => { socket.end() })
      expect([answer.status, answer.headers['content-length'], answer.body.toString()]).toEqual([200, '5', 'whole'])
    })

    for (const status of [204, 304]) {
      // Guards against a length in an answer that has no body.
      it(`has no length if its status is ${status}`, async () => {
        const { answer } = await play(`HTTP/1.1 ${status} Without body\r\n\r\n`, () => {})
        expect([answer.status, answer.headers['content-length'], answer.headers['transfer-encoding']]).toEqual([status, undefined, undefined])
      })
    }
  })

  describe('shows that it is cut when its gateway', () => {
    let folder: Program.ProgramFolder
    before(async () => { folder = await Program.build() })
    after(async () => { await folder.close() })

    /** Starts a gateway before an endpoint that never ends its streams, and whose other answers are large. */
    const play = async (signal: NodeJS.Signals): Promise<RawCaller.RawAnswer[]> => {
      const store = await PlatformStore.startPlatformStore()
      const endpoint = await ScriptedEndpoints.startEndpoint((socket, id) => {
        if (!id.startsWith('stream')) { socket.end(headOf('200 OK', id, `${SEAL}\r\n${'x'.repeat(LARGE_ANSWER_BYTES)}`)); return }
        let eventCount = 0
        socket.write(unframedStreamOf(id))
        const timer = setInterval(() => { socket.write(eventOf(++eventCount)) }, EVENT_INTERVAL_MS)
        socket.once('close', () => { clearInterval(timer) })
      })
      store.put('op', 'config', Direct.deploymentOf({ origin: '127.0.0.1:1' }))
      for (const service of ['plain', 'llm']) store.put('servers', service, Direct.endpointEntryOf({ service, port: endpoint.port, version: 1, born: 1 }))
      const program = folder.startGateway({ ports: await Program.freePorts(), storePort: store.port })
      try {
        const port = program.ports.callers
        await TestKit.Wait.until('the gateway is ready', WAIT_TIMEOUT_MS, async () => await Program.isReady(program))
        const begun = new Promise<void>(resolve => {
          void TestKit.Wait.until('the large answer lies in the gateway', WAIT_TIMEOUT_MS, () => program.messages().some(message => message.includes('Call answered.'))).then(() => { resolve() })
        })
        const stream = RawCaller.send({
          port,
          path: '/stream/long/1',
          id: 'stream',
          onPart: text => { if (text.includes(eventOf(KILLED_AFTER_EVENT_COUNT))) void begun.then(() => { program.signal(signal) }) }
        })
        const plain = RawCaller.send({ port, path: '/read/1', id: 'plain', readsAfter: program.ended })
        return await Promise.all([stream, plain])
      } finally {
        if (program.end() === undefined) program.signal('SIGKILL')
        await program.ended
        await Promise.all([endpoint.close(), store.close()])
      }
    }
    for (const [name, signal] of Object.entries({ 'is killed': 'SIGKILL', 'ends after a planned stop': 'SIGTERM' } as const)) {
      // Guards against an answer that looks complete although the process that sent it has ended: the system closes its connections in order.
      it(name, { timeout: TEST_TIMEOUT_MS }, async () => {
        const answers = await play(signal)
        expect(answers.map(({ status, framing, isComplete }) => [status, framing, isComplete])).toEqual([[200, 'chunked', false], [200, 'length', false]])
      })
    }
  })
})
