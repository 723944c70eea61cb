import * as Dgram from 'node:dgram'
import * as Http from 'node:http'
import * as Net from 'node:net'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Runner from '../standins/runner.ts'
import * as Direct from '../testkit/direct.ts'
import * as Program from '../testkit/program.ts'
import * as TestKit from '../testkit/index.ts'

const READY_LIMIT_MS = 15_000
/** Time for which an address is taken, in milliseconds. */
const TAKEN_MS = 1_500
/** Time for which the store answers without end, in milliseconds, and what it sends at a time. */
const ENDLESS_MS = 5_000
const ENDLESS_PIECE = Buffer.from('1\r\nx\r\n'.repeat(10_000))
const CALL_COUNT = 12
const WORK_MS = 2_500
/** Clients that rest, how long one comes after the other, in milliseconds, and the fields of the request of each. */
const RESTING_COUNT = 450
const RESTING_INTERVAL_MS = 8
const FIELD_COUNT = 2_400
const TEST_TIMEOUT_MS = 60_000

/** News of another process, and the interval at which they are sent, in milliseconds. */
const NEWS = JSON.stringify({ sender: 'other', revisions: { op: 7, servers: 7 }, callsPerSecond: 1 })
const NEWS_INTERVAL_MS = 20

/** Takes an address, and returns a function that frees it. */
type Take = (ports: Program.GatewayPorts) => Promise<() => void>

async function takeTcp (port: number): Promise<() => void> {
  const server = Net.createServer()
  await new Promise<void>(resolve => { server.listen(port, '127.0.0.1', resolve) })
  return () => { server.close() }
}

const ADDRESSES: Readonly<Record<string, Take>> = {
  callers: async ports => await takeTcp(ports.callers),
  'readiness probes': async ports => await takeTcp(ports.readiness),
  'other processes': async ports => await takeTcp(ports.peers),
  news: async ports => {
    const socket = Dgram.createSocket('udp4')
    await new Promise<void>(resolve => { socket.bind(ports.peers, '127.0.0.1', resolve) })
    return () => { socket.close() }
  }
}

describe('a process of the platform', () => {
  let folder: Program.ProgramFolder
  let store: PlatformStore.PlatformStore
  before(async () => { folder = await Program.build() })
  after(async () => { await folder.close() })
  beforeEach(async () => {
    store = await PlatformStore.startPlatformStore()
    store.put('op', 'config', Direct.deploymentOf({ origin: '127.0.0.1:1' }))
  })
  afterEach(async () => { await store.close() })
  const untilReady = async (program: Program.Program): Promise<void> => {
    await TestKit.Wait.until('the process is ready or has ended', READY_LIMIT_MS, async () => program.end() !== undefined || await Program.isReady(program))
    expect([program.end(), program.errors()]).toEqual([undefined, ''])
  }

  describe('that starts while an address is taken', () => {
    for (const [name, take] of Object.entries(ADDRESSES)) {
      // Guards against a process that ends for good since the one before it, or an outgoing connection, holds a port for a moment.
      it(`for ${name} waits for it, and is ready soon after it is free`, { timeout: TEST_TIMEOUT_MS }, async () => {
        const ports = await Program.freePorts()
        const free = await take(ports)
        const program = folder.startGateway({ ports, storePort: store.port })
        await TestKit.Wait.sleep(TAKEN_MS)
        expect([program.end(), program.errors()]).toEqual([undefined, ''])
        free()
        await untilReady(program)
        expect(program.messages().includes('process: Address not free yet.')).toEqual(true)
      })
    }

    // Guards against a process that ends since it handles news before what handles them exists.
    it('for other processes waits for it also while news arrive', { timeout: TEST_TIMEOUT_MS }, async () => {
      const ports = await Program.freePorts()
      const free = await takeTcp(ports.peers)
      const sender = Dgram.createSocket('udp4')
      const timer = setInterval(() => { sender.send(NEWS, ports.peers, '127.0.0.1') }, NEWS_INTERVAL_MS)
      try {
        const program = folder.startGateway({ ports, storePort: store.port })
        await TestKit.Wait.sleep(TAKEN_MS)
        expect([program.end(), program.errors()]).toEqual([undefined, ''])
        free()
        await untilReady(program)
        expect(program.messages().some(message => message.includes('Unexpected error'))).toEqual(false)
      } finally {
        clearInterval(timer)
        sender.close()
      }
    })
  })

  describe('whose store answers without end in chunks of one byte', () => {
    // Guards against a heap that is filled by the parts of an answer: each part was a buffer of its own.
    it('runs on, and is ready once the store answers again', { timeout: TEST_TIMEOUT_MS }, async () => {
      let isEndless = true
      const sockets = new Set<Net.Socket>()
      const pour = (socket: Net.Socket): void => {
        while (!socket.destroyed && socket.write(ENDLESS_PIECE)) { /* until its buffer is full */ }
        socket.once('drain', () => { pour(socket) })
      }
      const front = Net.createServer(socket => {
        sockets.add(socket)
        socket.on('error', () => {})
        if (isEndless) {
          socket.once('data', () => {
            socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
            pour(socket)
          })
          return
        }
        const far = Net.connect(store.port, '127.0.0.1')
        far.on('error', () => { socket.destroy() })
        socket.pipe(far).pipe(socket)
      })
      await new Promise<void>(resolve => { front.listen(0, '127.0.0.1', resolve) })
      const program = folder.startGateway({ ports: await Program.freePorts(), storePort: (front.address() as Net.AddressInfo).port })
      await TestKit.Wait.sleep(ENDLESS_MS)
      isEndless = false
      for (const socket of sockets) socket.destroy()
      await untilReady(program)
      for (const socket of sockets) socket.destroy()
      front.close()
    })
  })

  describe('whose clients rest on open connections after a request of very many short fields', () => {
    // Guards against a heap that is filled by requests which were answered long ago.
    it('runs on, and is ready', { timeout: TEST_TIMEOUT_MS }, async () => {
      const program = folder.startGateway({ ports: await Program.freePorts(), storePort: store.port })
      await untilReady(program)
      const fields = Array.from({ length: FIELD_COUNT }, (_, at) => `${at.toString(36)}: `).join('\r\n')
      const head = `POST /read/1 HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1\r\ncontent-length: 0\r\n${fields}\r\n\r\n`
      const sockets: Net.Socket[] = []
      let answeredCount = 0
      for (let count = 0; count < RESTING_COUNT; count++) {
        const socket = Net.connect(program.ports.callers, '127.0.0.1', () => { socket.write(head) })
        socket.on('error', () => {})
        socket.once('data', () => { answeredCount++ })
        sockets.push(socket)
        await TestKit.Wait.sleep(RESTING_INTERVAL_MS)
      }
      await TestKit.Wait.until('the requests are answered', READY_LIMIT_MS, () => program.end() !== undefined || answeredCount === RESTING_COUNT)
      await untilReady(program)
      for (const socket of sockets) socket.destroy()
    })
  })

  describe('that is told to stop several times', () => {
    /** Makes a call on a kept connection; tells its status, 0 without an answer. */
    const call = async (port: number, agent: Http.Agent, id: string): Promise<number> => await new Promise(resolve => {
      const request = Http.request({ host: '127.0.0.1', port, agent, method: 'POST', path: '/slow/1', headers: { host: 'h', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': id, 'X-Fescuespread-Deadline-Ms': '9000', 'X-Fescuespread-Model': 'm', 'X-Fescuespread-Token-Usage': '100,50' } }, response => {
        response.resume()
        response.on('error', () => { resolve(0) })
        response.on('end', () => { resolve(response.complete ? response.statusCode ?? 0 : 0) })
      })
      request.on('error', () => { resolve(0) })
      request.end('prompt')
    })

    // Guards against a second SIGTERM that ends the process at once, with the requests in flight.
    it('answers the requests in flight, and ends with 0', { timeout: TEST_TIMEOUT_MS }, async () => {
      const runner = await Runner.startRunner({ instanceId: 'e', eventMs: WORK_MS / 5, eventCount: 5 })
      store.put('servers', 'e', { backend: 'llm', address: `127.0.0.1:${runner.port}`, zone: 'a', version: 'v1', slots: 16, state: 'ready', cold_remaining_ms: 0, born: runner.born, models: [{ name: 'm', version: runner.version, adapters: [] }], layers: { from: 0, target: 4, version: runner.version } })
      const program = folder.startGateway({ ports: await Program.freePorts(), storePort: store.port })
      await untilReady(program)
      const agent = new Http.Agent({ keepAlive: true })
      const answers = Array.from({ length: CALL_COUNT }, async (_, at) => await call(program.ports.callers, agent, `c${at}`))
      await TestKit.Wait.until('the calls are in flight', READY_LIMIT_MS, () => runner.arrived.length === CALL_COUNT)
      for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
        program.signal(signal)
        await TestKit.Wait.sleep(100)
      }
      expect(await Promise.all(answers)).toEqual(Array.from({ length: CALL_COUNT }, () => 200))
      agent.destroy()
      expect(await program.ended).toEqual({ code: 0, signal: null })
      await runner.close()
    })
  })
})
