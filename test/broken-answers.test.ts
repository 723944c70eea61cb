import { afterEach, beforeEach, describe, it } from 'node:test'
import * as Net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as ScriptedEndpoints from '../testkit/scriptedEndpoints.ts'

/** Time after which a play counts as failed, in milliseconds: without an answer a caller waits for ever. */
const PLAY_TIMEOUT_MS = 15_000
/** Time for which an endpoint that refused a call gets no other one, with a margin, in milliseconds. */
const LEFT_OUT_MS = 400

describe('an endpoint that breaks its answers', () => {
  let stage: Direct.DirectStage
  let endpoints: readonly ScriptedEndpoints.ScriptedEndpoint[] = []
  const start = async (service: 'plain' | 'llm', ...scripts: readonly ScriptedEndpoints.Script[]): Promise<void> => { endpoints = await ScriptedEndpoints.replaceEndpoint(stage, service, scripts) }
  const ranCount = (id: string): number => endpoints.flatMap(({ arrived }) => arrived).filter(each => each === id).length

  beforeEach(async () => { stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }, { instanceId: 'engine', service: 'llm' }]) })
  afterEach(async () => {
    await stage.stop()
    await Promise.all(endpoints.map(async endpoint => { await endpoint.close() }))
  })

  for (const { name, secondId } of [{ name: 'of an earlier call', secondId: 'second' }, { name: 'of an earlier call with the same id', secondId: 'first' }]) {
    for (const path of ['/read/1', '/book/1']) {
      it(`is not believed when it repeats a refusal ${name} on a kept connection, on ${path}`, async () => {
        await start('plain', (socket, id, count) => { socket.write(count === 0 ? ScriptedEndpoints.refusalOf(id) : ScriptedEndpoints.refusalOf('first')) })
        const refused = await stage.call({ path, id: 'first' })
        await sleep(LEFT_OUT_MS)
        const second = await stage.call({ path, id: secondId })
        expect([refused.status, second.status === 503 || second.status === 421, endpoints[0]?.arrived]).toEqual([503, false, ['first', secondId]])
      })
    }
  }

  for (const [name, script] of Object.entries<ScriptedEndpoints.Script>({
    'a failure': (socket, id) => { socket.write(ScriptedEndpoints.headOf('500 Internal Server Error', id, `${ScriptedEndpoints.SEAL}Content-Length: 7\r\n\r\nforeign`)) },
    'a refusal': (socket, id) => { socket.write(ScriptedEndpoints.refusalOf(id)) },
    'a misdirected call': (socket, id) => { socket.write(ScriptedEndpoints.headOf('421 Misdirected Request', id, 'Content-Length: 7\r\n\r\nforeign')) },
    'bytes that are no answer': socket => { socket.write('foreign\r\n\r\nforeign') },
    'an answer that is no stream': (socket, id) => { socket.write(ScriptedEndpoints.headOf('200 OK', id, `${ScriptedEndpoints.SEAL}Content-Length: 7\r\n\r\nforeign`)) },
    'half a head': (socket, id) => { socket.end(ScriptedEndpoints.headOf('200 OK', id).slice(0, -10)) },
    'a stream without a length and without an event': (socket, id) => { socket.end(ScriptedEndpoints.unframedStreamOf(id)) }
  })) {
    for (const delayMs of [0, 30]) {
      it(`leaves a stream that broke off incomplete and without foreign text if the next endpoint answers with ${name}, ${delayMs} ms later`, async () => {
        const answer: ScriptedEndpoints.Script = (socket, id) => {
          if (ranCount(id) > 1) { setTimeout(() => { script(socket, id, 1) }, delayMs); return }
          socket.write(ScriptedEndpoints.streamOf(id) + ScriptedEndpoints.chunkOf(ScriptedEndpoints.eventOf(1)))
          setTimeout(() => { socket.destroy() }, 20)
        }
        await start('llm', answer, answer)
        const got = await stage.call({ path: '/stream/1', id: 'broken' })
        expect([ranCount('broken'), got.status, got.text, got.whole]).toEqual([2, 200, ScriptedEndpoints.eventOf(1), false])
      })
    }
  }

  const head = ScriptedEndpoints.headOf('200 OK', 'cut', `${ScriptedEndpoints.SEAL}Content-Length: 5\r\n\r\n`)
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
        setTimeout(() => { socket.write(isSpoilt ? ScriptedEndpoints.headOf(status, id, `${ScriptedEndpoints.SEAL}${more}Content-Length: 5\r\n\r\nwhole`) : ScriptedEndpoints.answerOf(id)) }, isSpoilt ? 50 : 200)
      })
      const [spoilt, ...others] = await Promise.all(['spoilt', 'other-1', 'other-2'].map(async id => await stage.call({ path: '/book/1', id })))
      expect([spoilt?.status, ...others.map(answer => answer.text)]).toEqual([502, 'whole', 'whole'])
      expect((await stage.metrics()).includes('unexpected_errors_total')).toEqual(false)
    })

    it(`has its call repeated elsewhere if it has a ${name} and the call may run twice`, { timeout: PLAY_TIMEOUT_MS }, async () => {
      const answerOnSecondRun: ScriptedEndpoints.Script = (socket, id) => { socket.write(ranCount(id) === 1 ? ScriptedEndpoints.headOf(status, id, `${ScriptedEndpoints.SEAL}${more}Content-Length: 5\r\n\r\nwrong`) : ScriptedEndpoints.answerOf(id)) }
      await start('plain', answerOnSecondRun, answerOnSecondRun)
      expect((await stage.call({ path: '/read/1', id: 'spoilt' })).text).toEqual('whole')
    })
  }

  describe('without a length', () => {
    it('has its stream passed on whole', async () => {
      await start('llm', (socket, id) => { socket.end(ScriptedEndpoints.unframedStreamOf(id) + ScriptedEndpoints.eventOf(1) + ScriptedEndpoints.eventOf(2)) })
      const got = await stage.call({ path: '/stream/1', id: 'whole' })
      expect([got.status, got.text, got.whole]).toEqual([200, ScriptedEndpoints.eventOf(1) + ScriptedEndpoints.eventOf(2), true])
    })

    for (const [name, bytes] of Object.entries({ 'inside an event': `${ScriptedEndpoints.eventOf(1)}id: 2\nda`, 'before its first event': '' })) {
      it(`has its stream resumed elsewhere if it ends ${name}`, async () => {
        const answer: ScriptedEndpoints.Script = (socket, id) => {
          if (ranCount(id) === 1) socket.end(ScriptedEndpoints.unframedStreamOf(id) + bytes)
          else socket.write(ScriptedEndpoints.streamOf(id) + ScriptedEndpoints.chunkOf(bytes === '' ? ScriptedEndpoints.eventOf(1) + ScriptedEndpoints.eventOf(2) : ScriptedEndpoints.eventOf(2)) + '0\r\n\r\n')
        }
        await start('llm', answer, answer)
        const got = await stage.call({ path: '/stream/1', id: 'resumed' })
        expect([ranCount('resumed'), got.status, got.text, got.whole]).toEqual([2, 200, ScriptedEndpoints.eventOf(1) + ScriptedEndpoints.eventOf(2), true])
      })
    }

    it('has no whole answer if the connection is reset together with its last bytes', async () => {
      await start('plain', (socket, id) => { socket.write(ScriptedEndpoints.headOf('200 OK', id, `${ScriptedEndpoints.SEAL}\r\nhalf`), () => { socket.resetAndDestroy() }) })
      expect((await stage.call({ path: '/book/1', id: 'reset' })).status).toEqual(502)
    })

    it('has its whole answers passed on', async () => {
      await start('plain', (socket, id) => { socket.write(ScriptedEndpoints.answerOf(id)) })
      expect((await stage.call({ path: '/book/1', id: 'sound' })).text).toEqual('whole')
    })
  })
})
