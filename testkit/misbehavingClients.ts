/**
 * Clients that do not behave: they open connections to a process, keep them busy and leave when told to.
 * As the file of a worker thread, it lets crowds press that the starting thread asks for, without delaying
 * the ordinary calls of that thread.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'
import * as WorkerThreads from 'node:worker_threads'

/** Where the clients connect and what they send. */
export interface Target {
  readonly port: number
  readonly path: string
  /** Header lines of a proper call, without its length. */
  readonly headerLines: string
  readonly maxBodyBytes: number
}

/** Acts on one connection until it is closed. */
type Behaviour = (socket: Net.Socket, target: Target) => void

/** Bytes that a body stops short of its announced end. */
const MISSING_BYTES = 32
const PIECE_BYTES = 1_024
const SLOW_MS = 100
const SENT_AHEAD_COUNT = 4_000
const FIELDS_SENT_AHEAD_COUNT = 40
const FIELD_COUNT = 1_400
/** Size of what is written at once, so that the clients' own process holds little. */
const WRITE_BYTES = 64 * 1024
/** Bytes per millisecond that all clients together send: over twice the fastest link of a gateway's instance. */
const RATE_BYTES_PER_MS = 40_000
const PACE_INTERVAL_MS = 5
/** Time after which a client whose connection was closed comes again, in milliseconds. */
const RETURN_MS = 1_000

/** The kinds of clients by name. */
export const BEHAVIOURS: Readonly<Record<string, Behaviour>> = {
  bodyNotFinished: (socket, target) => {
    socket.write(headOf(target, `content-length: ${target.maxBodyBytes}`))
    writeRepeatedly(socket, Buffer.alloc(WRITE_BYTES, 'x'), target.maxBodyBytes - MISSING_BYTES)
  },
  bodyInPieces: (socket, target) => {
    socket.write(headOf(target, `content-length: ${target.maxBodyBytes}`))
    writeRepeatedly(socket, Buffer.alloc(PIECE_BYTES, 'x'), target.maxBodyBytes - MISSING_BYTES)
  },
  chunksNotFinished: (socket, target) => {
    socket.write(headOf(target, 'transfer-encoding: chunked'))
    const chunk = Buffer.concat([Buffer.from(`${PIECE_BYTES.toString(16)}\r\n`), Buffer.alloc(PIECE_BYTES, 'x'), Buffer.from('\r\n')])
    writeRepeatedly(socket, chunk, chunk.length * Math.floor((target.maxBodyBytes - MISSING_BYTES) / PIECE_BYTES))
  },
  chunksOfOneByte: (socket, target) => {
    socket.write(headOf(target, 'transfer-encoding: chunked'))
    const chunk = '1\r\nx\r\n'
    writeRepeatedly(socket, Buffer.from(chunk.repeat(Math.floor(WRITE_BYTES / chunk.length))), chunk.length * (target.maxBodyBytes - MISSING_BYTES))
  },
  bodyOverLimit: (socket, target) => {
    socket.write(headOf(target, `content-length: ${target.maxBodyBytes * 16}`))
    writeRepeatedly(socket, Buffer.alloc(WRITE_BYTES, 'x'), target.maxBodyBytes * 16)
  },
  chunksOverLimit: (socket, target) => {
    socket.write(headOf(target, 'transfer-encoding: chunked'))
    writeRepeatedly(socket, Buffer.concat([Buffer.from(`${WRITE_BYTES.toString(16)}\r\n`), Buffer.alloc(WRITE_BYTES, 'x'), Buffer.from('\r\n')]), target.maxBodyBytes * 16)
  },
  manyFields: (socket, target) => {
    const fields = Array.from({ length: FIELD_COUNT }, (_, index) => `f${index.toString(36)}: 1`).join('\r\n')
    socket.pause()
    socket.write(headOf(target, `${fields}\r\ncontent-length: 0`).repeat(FIELDS_SENT_AHEAD_COUNT))
  },
  requestsSentAhead: (socket, target) => {
    socket.pause()
    socket.write(headOf(target, 'content-length: 0').repeat(SENT_AHEAD_COUNT))
  },
  headByteByByte: (socket, target) => { writeSlowly(socket, Buffer.from(headOf(target, 'content-length: 0'))) },
  headNotFinished: (socket, target) => { socket.write(headOf(target, `x-long: ${'x'.repeat(8_000)}`).slice(0, -2)) },
  bodyByteByByte: (socket, target) => {
    socket.write(headOf(target, `content-length: ${target.maxBodyBytes}`))
    writeSlowly(socket, Buffer.alloc(target.maxBodyBytes, 'x'))
  },
  answersNotRead: (socket, target) => {
    socket.pause()
    socket.write(headOf(target, `content-length: ${target.maxBodyBytes / 4}`))
    writeRepeatedly(socket, Buffer.alloc(WRITE_BYTES, 'x'), target.maxBodyBytes / 4)
  }
}

/** A crowd of clients. */
export interface Crowd {
  /** Connections that are open now. */
  openCount: () => number
  leave: () => void
}

/**
 * Lets a crowd press a process. A client whose connection is closed comes again.
 *
 * @param behave - What each client does.
 * @param target - Where.
 * @param clientCount - Number of clients.
 * @returns The crowd.
 */
export function press (behave: Behaviour, target: Target, clientCount: number): Crowd {
  const sockets = new Set<Net.Socket>()
  let hasLeft = false
  const connect = (): void => {
    if (hasLeft) return
    const socket = Net.connect(target.port, '127.0.0.1', () => {
      connectedCount++
      behave(socket, target)
    })
    sockets.add(socket)
    socket.resume()
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      sentBytes += socket.bytesWritten
      setTimeout(connect, RETURN_MS)
    })
  }
  for (let index = 0; index < clientCount; index++) connect()
  return {
    openCount: () => sockets.size,
    leave: () => {
      hasLeft = true
      for (const socket of sockets) {
        sentBytes += socket.bytesWritten
        socket.removeAllListeners('close').destroy()
      }
    }
  }
}

function headOf ({ path, headerLines }: Target, lastLines: string): string {
  return `POST ${path} HTTP/1.1\r\n${headerLines}\r\n${lastLines}\r\n\r\n`
}

let connectedCount = 0
let sentBytes = 0
let allowedBytes = 0
const paced: Array<() => void> = []
setInterval(() => {
  allowedBytes = Math.min(RATE_BYTES_PER_MS * PACE_INTERVAL_MS, allowedBytes + RATE_BYTES_PER_MS * PACE_INTERVAL_MS)
  for (let write = paced.shift(); write !== undefined; write = allowedBytes > 0 ? paced.shift() : undefined) write()
}, PACE_INTERVAL_MS).unref()

/** Writes bytes again and again, up to a total, as fast as they are taken and the rate of all clients allows. */
function writeRepeatedly (socket: Net.Socket, bytes: Buffer, totalBytes: number): void {
  let leftBytes = totalBytes
  const writeMore = (): void => {
    if (leftBytes <= 0 || socket.destroyed) return
    const part = bytes.subarray(0, leftBytes)
    leftBytes -= part.length
    allowedBytes -= part.length
    const goOn = (): void => { paced.push(writeMore) }
    if (socket.write(part)) goOn()
    else socket.once('drain', goOn)
  }
  paced.push(writeMore)
}

function writeSlowly (socket: Net.Socket, bytes: Buffer): void {
  let sentCount = 0
  const timer = setInterval(() => { socket.write(bytes.subarray(sentCount, ++sentCount)) }, SLOW_MS)
  socket.once('close', () => { clearInterval(timer) })
}

/** What crowds have done when they leave: connections that were accepted, and bytes that were sent. */
export interface Pressure {
  readonly connectedCount: number
  readonly sentBytes: number
}

/** What the starting thread asks for: crowds of some kinds, or that all leave. */
export type Order = { readonly kinds: readonly string[], readonly target: Target, readonly clientCount: number } | 'leave'

if (!WorkerThreads.isMainThread) {
  const crowds: Crowd[] = []
  // Keeps the thread alive; the interval above does not.
  WorkerThreads.parentPort?.on('message', (order: Order) => {
    if (order === 'leave') {
      for (const crowd of crowds.splice(0)) crowd.leave()
      const pressure: Pressure = { connectedCount, sentBytes }
      WorkerThreads.parentPort?.postMessage(pressure)
      connectedCount = 0
      sentBytes = 0
    } else {
      for (const kind of order.kinds) crowds.push(press(BEHAVIOURS[kind] ?? (() => {}), order.target, order.clientCount))
    }
  })
}
