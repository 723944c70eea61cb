/**
 * A TCP proxy that answers pass at a limited rate, shared by all connections.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'
import * as Link from '../standins/link.ts'

/** A running proxy. */
export interface SlowProxy {
  readonly port: number
  /** Connections taken so far. */
  connectionCount: () => number
  /** Bytes of answers passed on so far. */
  passedBytes: () => number
  close: () => Promise<void>
}

const PIECE_BYTES = 4 * 1024

/**
 * Starts a proxy to a port on loopback.
 *
 * @param targetPort - Where connections lead.
 * @param bytesPerSecond - Rate of the answers.
 * @returns The proxy.
 */
export async function createSlowProxy (targetPort: number, bytesPerSecond: number): Promise<SlowProxy> {
  const link = Link.createLink(bytesPerSecond)
  const open = new Set<Net.Socket>()
  let connectionCount = 0
  const server = Net.createServer(near => {
    connectionCount++
    const far = Net.connect(targetPort, '127.0.0.1')
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      open.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => { other.destroy() })
      socket.on('close', () => {
        open.delete(socket)
        other.destroy()
      })
    }
    near.pipe(far)
    far.on('data', bytes => {
      far.pause()
      void passOn(bytes, near, link).then(() => { far.resume() })
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    connectionCount: () => connectionCount,
    passedBytes: link.passedBytes,
    close: async () => {
      for (const socket of open) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

async function passOn (bytes: Buffer, target: Net.Socket, link: Link.Link): Promise<void> {
  for (let at = 0; at < bytes.length && !target.destroyed; at += PIECE_BYTES) {
    const piece = bytes.subarray(at, at + PIECE_BYTES)
    await link.pass(piece.length)
    target.write(piece)
  }
}
