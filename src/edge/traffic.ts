/**
 * Counts the bytes of HTTP exchanges by path, in both directions, headers included.
 *
 * @packageDocumentation
 */
import type * as Net from 'node:net'

/** Bytes of one path. */
export interface Traffic {
  /** Whether this process asked or answered. */
  readonly side: 'client' | 'server'
  readonly path: string
  receivedBytes: number
  sentBytes: number
  exchangeCount: number
}

const MAX_PATH_COUNT = 64
const totals = new Map<string, Traffic>()
const counted = new WeakMap<Net.Socket, { read: number, written: number }>()

/**
 * Attributes what a socket has carried since it was last counted.
 *
 * @param socket - The socket, once an exchange on it has ended.
 * @param side - Whether this process asked or answered.
 * @param path - The path of the exchange; only its first parts are kept.
 */
export function count (socket: Net.Socket | null, side: Traffic['side'], path: string): void {
  if (socket === null) return
  const before = counted.get(socket) ?? { read: 0, written: 0 }
  const now = { read: socket.bytesRead, written: socket.bytesWritten }
  counted.set(socket, now)
  const row = find(side, labelOf(path))
  row.receivedBytes += now.read - before.read
  row.sentBytes += now.written - before.written
  row.exchangeCount++
}

/**
 * Lists the bytes counted since the start of the process.
 *
 * @returns One row for each side and path.
 */
export function rows (): readonly Traffic[] {
  return [...totals.values()]
}

function find (side: Traffic['side'], path: string): Traffic {
  const label = totals.size < MAX_PATH_COUNT || totals.has(`${side} ${path}`) ? path : 'other'
  const key = `${side} ${label}`
  const row = totals.get(key) ?? { side, path: label, receivedBytes: 0, sentBytes: 0, exchangeCount: 0 }
  totals.set(key, row)
  return row
}

function labelOf (path: string): string {
  const [, first = '', second = ''] = path.split('/')
  return first === 'rpc' ? `${first}/${second}` : first
}
