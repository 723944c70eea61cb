import * as Http from 'node:http'
import * as Net from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Upstream from '../src/ingress/upstream.ts'

/** Longer than the connection time-out, in milliseconds. */
const STANDSTILL_MS = 600

/** Blocks the process for a time, as a standstill does. */
function blockEventLoop (forMs: number): void {
  const untilMs = performance.now() + forMs
  while (performance.now() < untilMs);
}

describe('Upstream', () => {
  it('keeps a connection that opened while the process stood still', async () => {
    const server = Http.createServer((_request, response) => { response.end('answer') })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const upstream = Upstream.createUpstream()
    const outcome = await new Promise<string>(resolve => {
      upstream.send({ host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port, method: 'GET', path: '/', rawHeaders: ['Host', 'h'], body: undefined, maxIdleMs: 0 }, {
        onHead: status => { resolve(`answered with ${status}`) },
        onData: () => {},
        onEnd: () => {},
        onFailed: (stage, reason) => { resolve(`${stage}: ${reason}`) }
      })
      // The connection attempt has started once the event loop has had a turn.
      setImmediate(() => { blockEventLoop(STANDSTILL_MS) })
    })
    upstream.close()
    server.closeAllConnections()
    server.close()
    expect(outcome).toEqual('answered with 200')
  })

  it('writes nothing to a connection that opened when its call was no longer to be sent', async () => {
    let receivedBytes = 0
    const closed: Array<Promise<void>> = []
    const server = Net.createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', bytes => { receivedBytes += bytes.length })
      closed.push(new Promise(resolve => { socket.once('close', () => { resolve() }) }))
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const upstream = Upstream.createUpstream()
    const outcome = await new Promise<string>(resolve => {
      upstream.send({ host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port, method: 'POST', path: '/', rawHeaders: ['Host', 'h', 'Content-Length', '4'], body: Buffer.from('body'), maxIdleMs: 0 }, {
        mayStillSend: () => false,
        onHead: status => { resolve(`answered with ${status}`) },
        onData: () => {},
        onEnd: () => {},
        onFailed: (stage, reason) => { resolve(`${stage}: ${reason}`) }
      })
    })
    server.close()
    await Promise.all(closed)
    upstream.close()
    expect([outcome, receivedBytes]).toEqual(['outdated: connection opened too late', 0])
  })
})
