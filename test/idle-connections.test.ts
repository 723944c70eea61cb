import { after, afterEach, before, describe, it } from 'node:test'
import * as Http from 'node:http'
import * as Net from 'node:net'
import { expect } from 'earl'
import * as ClientConnections from '../src/edge/clientConnections.ts'
import * as ClientMemory from '../src/edge/clientMemory.ts'
import * as TestKit from '../testkit/index.ts'

const BUDGET_BYTES = 64 * 1024 * 1024
/** Size of an answer, in bytes: more than the buffers of the system hold. */
const LARGE_ANSWER_BYTES = 12 * 1024 * 1024
const UNUSED_LIMIT_MS = 500
const TIMEOUT_MS = 5_000
/** Time for bytes to arrive on loopback, or for a connection to be closed, in milliseconds. */
const SETTLE_MS = 100
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n'

describe('closeIdle', () => {
  let passedMs = 0
  let answerBytes = 0
  let server: Http.Server
  let connections: ClientConnections.ClientConnections
  let client: Net.Socket

  before(async () => {
    server = Http.createServer()
    // Each request is answered at once, before its body has arrived.
    connections = ClientConnections.bound(server, (request, response) => {
      request.resume()
      response.end(Buffer.alloc(answerBytes))
    }, { limitCount: () => 10, memory: ClientMemory.createClientMemory(BUDGET_BYTES), clock: () => performance.now() + passedMs, onClosed: () => {} })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  })
  after(async () => {
    connections.stop()
    server.closeAllConnections()
    await new Promise(resolve => { server.close(resolve) })
  })
  afterEach(async () => {
    client.destroy()
    await TestKit.Wait.until('the connection is gone', TIMEOUT_MS, () => connections.count() === 0)
  })

  /** Connects, writes, and tells whether the connection is closed as idle. */
  const isClosedAfter = async (options: { readonly parts: readonly string[], readonly sizeBytes?: number, readonly isRead?: boolean, readonly waitMs?: number }): Promise<boolean> => {
    answerBytes = options.sizeBytes ?? 0
    client = Net.connect({ host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port })
    let isClosed = false
    client.on('error', () => {})
    client.on('end', () => { isClosed = true })
    if (options.isRead === false) client.pause()
    else client.resume()
    await TestKit.Wait.until('the connection is accepted', TIMEOUT_MS, () => connections.count() === 1)
    for (const part of options.parts) {
      client.write(part)
      await TestKit.Wait.sleep(SETTLE_MS)
    }
    passedMs += options.waitMs ?? 0
    connections.closeIdle(UNUSED_LIMIT_MS)
    await TestKit.Wait.sleep(SETTLE_MS)
    client.resume()
    await TestKit.Wait.sleep(SETTLE_MS)
    return isClosed
  }

  it('closes a connection whose request was answered', async () => {
    expect(await isClosedAfter({ parts: [HEAD + 'prompt'] })).toEqual(true)
  })

  // Guards against a connection that counts as in use for good, since the rest of its request came after the answer.
  it('closes a connection whose request was answered before it had arrived in full', async () => {
    expect(await isClosedAfter({ parts: [HEAD, 'prompt'] })).toEqual(true)
  })

  it('closes a connection that was not used for a while', async () => {
    expect(await isClosedAfter({ parts: [], waitMs: UNUSED_LIMIT_MS * 2 })).toEqual(true)
  })

  it('keeps a connection that was just opened', async () => {
    expect(await isClosedAfter({ parts: [] })).toEqual(false)
  })

  it('keeps a connection on which a request is arriving', async () => {
    expect(await isClosedAfter({ parts: [HEAD + 'prompt', HEAD.slice(0, 20)] })).toEqual(false)
  })

  // Guards against an answer that is cut, since it counts as delivered once it is written.
  it('keeps a connection whose answer is not read yet', async () => {
    expect(await isClosedAfter({ parts: [HEAD + 'prompt'], sizeBytes: LARGE_ANSWER_BYTES, isRead: false })).toEqual(false)
  })
})
