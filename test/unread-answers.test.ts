import { afterEach, describe, it } from 'node:test'
import * as Http from 'node:http'
import * as Net from 'node:net'
import { expect } from 'earl'
import * as ClientConnections from '../src/edge/clientConnections.ts'
import * as ClientMemory from '../src/edge/clientMemory.ts'
import * as TestKit from '../testkit/index.ts'

const BUDGET_BYTES = 64 * 1024 * 1024
/** Size of an answer, in bytes: more than the buffers of the system hold and a slow client reads within a play. */
const ANSWER_BYTES = 24 * 1024 * 1024
const TIMEOUT_MS = 10_000
/** Time between checks of connections, with a margin, in milliseconds. */
const CHECK_MS = 600
/** Bytes that a slow client reads at a time, and the interval, in milliseconds. */
const SLOW_READ_BYTES = 256 * 1024
const SLOW_READ_INTERVAL_MS = 50
/** Steps in which time passes while a client reads: short ones for the client, together longer than the bound. */
const SLOW_STEP_COUNT = 10
const SLOW_STEP_PASSED_MS = 9_000
const SLOW_STEP_MS = 300

/** A server with one answer, a client that reads only what it is told to, and a clock. */
interface Stage {
  readonly closedCauses: readonly ClientConnections.ClosedCause[]
  readonly socket: Net.Socket
  /** Lets time pass and connections be checked; `restMs` is the real time for that, before and after. */
  pass: (ms: number, restMs?: number) => Promise<void>
  close: () => Promise<void>
}

/** Starts the server, and a client that has sent its request and reads nothing. */
async function startStage (answer: (response: Http.ServerResponse) => void, budgetBytes: number): Promise<Stage> {
  let passedMs = 0
  const clock = (): number => performance.now() + passedMs
  const closedCauses: ClientConnections.ClosedCause[] = []
  const server = Http.createServer()
  let isAnswered = false
  const connections = ClientConnections.bound(server, (_request, response) => {
    answer(response)
    isAnswered = true
  }, { limitCount: () => 10, memory: ClientMemory.createClientMemory(budgetBytes), clock, onClosed: cause => { closedCauses.push(cause) } })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const socket = Net.connect({ host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port })
  socket.on('error', () => {})
  socket.pause()
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await TestKit.Wait.until('the answer is written', TIMEOUT_MS, () => isAnswered)
  return {
    closedCauses,
    socket,
    pass: async (ms, restMs = CHECK_MS) => {
      await TestKit.Wait.sleep(restMs)
      passedMs += ms
      await TestKit.Wait.sleep(restMs)
    },
    close: async () => {
      connections.stop()
      socket.destroy()
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
    }
  }
}

const writeEnded = (response: Http.ServerResponse): void => { response.end(Buffer.alloc(ANSWER_BYTES)) }
const writeUnended = (response: Http.ServerResponse): void => { response.write(Buffer.alloc(ANSWER_BYTES)) }

describe('an answer that its client does not read', () => {
  let stage: Stage | undefined
  afterEach(async () => { await stage?.close() })
  const start = async (answer: (response: Http.ServerResponse) => void, budgetBytes = BUDGET_BYTES): Promise<Stage> => {
    stage = await startStage(answer, budgetBytes)
    return stage
  }

  describe('and that has ended', () => {
    // Guards against a client that is cut off although it has time to read on and nobody needs the memory.
    it('is kept for longer than one that has not', async () => {
      const { pass, closedCauses } = await start(writeEnded)
      await pass(10_000)
      await pass(30_000)
      expect(closedCauses).toEqual([])
    })

    it('is cut off after a minute', async () => {
      const { pass, closedCauses } = await start(writeEnded)
      await pass(61_000)
      expect(closedCauses).toEqual(['notRead'])
    })

    it('gives way when its memory is needed', async () => {
      const { pass, closedCauses } = await start(writeEnded, ANSWER_BYTES / 2)
      await pass(1_000)
      expect(closedCauses).toEqual(['notRead'])
    })

    // Guards against a count of sent bytes that does not grow while one large write is being read.
    it('is not cut off while the client reads slowly', async () => {
      const { pass, closedCauses, socket } = await start(writeEnded)
      const timer = setInterval(() => {
        socket.resume()
        let readBytes = 0
        socket.on('data', function count (part: Buffer) {
          readBytes += part.length
          if (readBytes < SLOW_READ_BYTES) return
          socket.off('data', count)
          socket.pause()
        })
      }, SLOW_READ_INTERVAL_MS)
      try {
        for (let at = 0; at < SLOW_STEP_COUNT; at++) await pass(SLOW_STEP_PASSED_MS, SLOW_STEP_MS / 2)
        expect([closedCauses, socket.destroyed]).toEqual([[], false])
      } finally {
        clearInterval(timer)
      }
    })
  })

  describe('and that goes on', () => {
    // Guards against a client that reads nothing of a stream and occupies an endpoint.
    it('is cut off after eight seconds', async () => {
      const { pass, closedCauses } = await start(writeUnended)
      await pass(7_000)
      const before = [...closedCauses]
      await pass(2_000)
      expect([before, closedCauses]).toEqual([[], ['notRead']])
    })
  })
})
