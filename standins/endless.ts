/**
 * A stand-in of an endpoint in trouble: what it sends is no answer and goes on until its caller closes.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'

/** What the endpoint sends without end. */
export type Trouble = 'body' | 'sizedBody' | 'event' | 'trickledEvent' | 'interim' | 'headLine' | 'headFields'

/** A running stand-in. */
export interface EndlessEndpoint {
  readonly port: number
  /** Bytes that callers took, over all connections. */
  takenBytes: () => number
  openCount: () => number
  close: () => Promise<void>
}

const PIECE_BYTES = 65_536
const TRICKLE_MS = 50

/**
 * Starts the stand-in on loopback.
 *
 * @param trouble - What it sends.
 * @returns The endpoint.
 */
export async function startEndlessEndpoint (trouble: Trouble): Promise<EndlessEndpoint> {
  const sockets = new Set<Net.Socket>()
  let closedBytes = 0
  const server = Net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => {
      sockets.delete(socket)
      closedBytes += socket.bytesWritten
    })
    socket.once('data', request => {
      const id = /x-fescuespread-attempt-id: (\S+)/i.exec(request.toString('latin1'))?.[1] ?? ''
      const head = `HTTP/1.1 200 OK\r\nX-Fescuespread-Attempt-Id: ${id}\r\nX-Fescuespread-Response-Seal: s\r\n`
      const starts: Record<Trouble, string> = {
        body: `${head}\r\n`,
        sizedBody: `${head}Content-Length: 100000000000\r\n\r\n`,
        event: `${head}\r\n`,
        trickledEvent: `${head}\r\nid: 1\ndata: whole\n\n`,
        interim: '',
        headLine: 'HTTP/1.1 200 ',
        headFields: head
      }
      const pieces: Partial<Record<Trouble, string>> = {
        interim: 'HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n',
        headFields: 'x-more: 1\r\n'
      }
      socket.write(starts[trouble])
      if (trouble === 'trickledEvent') {
        const timer = setInterval(() => { socket.write('x') }, TRICKLE_MS)
        socket.once('close', () => { clearInterval(timer) })
      } else pour(socket, Buffer.from((pieces[trouble] ?? 'x').repeat(PIECE_BYTES / (pieces[trouble] ?? 'x').length)))
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    takenBytes: () => [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, closedBytes),
    openCount: () => sockets.size,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  }
}

/** Writes as fast as the other side takes it. */
function pour (socket: Net.Socket, piece: Buffer): void {
  const write = (): void => {
    if (socket.destroyed) return
    if (socket.write(piece)) setImmediate(write)
    else socket.once('drain', write)
  }
  write()
}
