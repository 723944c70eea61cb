/**
 * Shares the time for parsing what clients send among their connections.
 *
 * Answers crowds whose bytes take long to parse: very small chunks, very many header fields, requests sent
 * ahead. Bytes are handed to the parser in small pieces. A connection that has used up its turn is read on
 * only after those that have used less, so that an ordinary request is parsed soon after it has arrived, and
 * what follows on a connection that was closed meanwhile is not parsed at all. This costs some processor time
 * for each read, so connections are taken over only while crowds connect or clients misbehave.
 *
 * @packageDocumentation
 */
import type * as Net from 'node:net'

/** Reads the connections of one server. */
export interface FairReader {
  /** Takes over the reading of a connection of an HTTP server; not to be called while its bytes are being parsed. */
  add: (socket: Net.Socket) => void
  /** Whether bytes of a connection have been received and not yet parsed. */
  hasUnparsed: (socket: Net.Socket) => boolean
}

interface Reading {
  readonly socket: Net.Socket
  /** Hands bytes to the server's parser. */
  readonly parse: (bytes: Buffer) => void
  /** Bytes that were received and not yet parsed. */
  readonly parts: Buffer[]
  usedMs: number
}

/** Size of the pieces that are parsed at once, in bytes: the head of an ordinary request, and some hundred very small chunks. A few short requests that are sent ahead fit in. */
const PIECE_BYTES = 1_024
/** Time for parsing in one turn of the event loop, in milliseconds: the loop accepts about one connection a turn, so an ordinary client waits behind a crowd for as many turns. */
const TURN_MS = 0.5
/** Time for parsing within a window of the given length after which further bytes wait for their turn, in milliseconds. */
const WINDOW_LIMIT_MS = 1
const WINDOW_MS = 8

/**
 * Creates the reader of one server.
 *
 * @param clock - Returns the current time, in milliseconds.
 * @returns The reader.
 */
export function createFairReader (clock: () => number): FairReader {
  /** Connections that wait for their turn. */
  const queue = new Set<Reading>()
  let isScheduled = false
  let windowStartedAtMs = -Infinity
  let windowUsedMs = 0

  /** Parses what a connection has sent, up to the end of its turn. */
  const parseSome = (reading: Reading, startedAtMs: number): void => {
    const { socket, parts } = reading
    let nowMs = startedAtMs
    while (parts.length > 0 && nowMs - startedAtMs < TURN_MS) {
      const [first] = parts as [Buffer]
      if (first.length <= PIECE_BYTES) parts.shift()
      else parts[0] = first.subarray(PIECE_BYTES)
      reading.parse(first.length <= PIECE_BYTES ? first : first.subarray(0, PIECE_BYTES))
      if (socket.destroyed) parts.length = 0
      nowMs = clock()
    }
    reading.usedMs += nowMs - startedAtMs
    windowUsedMs += nowMs - startedAtMs
    if (parts.length > 0) enqueue(reading)
    else if (queue.delete(reading)) socket.resume()
  }
  const enqueue = (reading: Reading): void => {
    // The server may have resumed the connection meanwhile, as it does while it reads a body.
    reading.socket.pause()
    queue.add(reading)
    if (isScheduled) return
    isScheduled = true
    setImmediate(runTurn)
  }
  /** Returns the connection that has used least; of those that have used the same, the one that came last: an ordinary request behind a crowd. */
  const findNext = (): Reading | undefined => {
    let next: Reading | undefined
    for (const reading of queue) {
      if (reading.socket.destroyed) queue.delete(reading)
      else if (next === undefined || reading.usedMs <= next.usedMs) next = reading
    }
    return next
  }
  const runTurn = (): void => {
    isScheduled = false
    const startedAtMs = clock()
    let nowMs = startedAtMs
    for (let next = findNext(); next !== undefined && nowMs - startedAtMs < TURN_MS; next = findNext()) {
      parseSome(next, nowMs)
      nowMs = clock()
    }
    if (queue.size === 0 || isScheduled) return
    isScheduled = true
    setImmediate(runTurn)
  }

  const readings = new WeakMap<Net.Socket, Reading>()
  return {
    hasUnparsed: socket => (readings.get(socket)?.parts.length ?? 0) > 0,
    add: socket => {
      if (readings.has(socket) || socket.destroyed) return
      const [parse] = socket.listeners('data') as Array<(this: Net.Socket, bytes: Buffer) => void>
      if (parse === undefined) return
      const reading: Reading = { socket, parse: parse.bind(socket), parts: [], usedMs: 0 }
      readings.set(socket, reading)
      socket.removeListener('data', parse)
      socket.on('data', (bytes: Buffer) => {
        const nowMs = clock()
        if (nowMs - windowStartedAtMs > WINDOW_MS) {
          windowStartedAtMs = nowMs
          windowUsedMs = 0
        }
        reading.parts.push(bytes)
        if (queue.has(reading) || windowUsedMs > WINDOW_LIMIT_MS) enqueue(reading)
        else parseSome(reading, nowMs)
      })
    }
  }
}
