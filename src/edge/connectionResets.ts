/**
 * Tells whether a connection was reset.
 *
 * A reset that is read together with the last bytes is reported by Node as an orderly end, and shows only in that
 * the socket has no peer any more. An answer that ends with its connection would look complete.
 *
 * @packageDocumentation
 */
import type * as Net from 'node:net'

const wasResetBySocket = new WeakMap<Net.Socket, () => boolean>()

/**
 * Follows a connection. The peer has to be asked for before Node's own listener closes the socket, and not earlier, since Node keeps the answer.
 *
 * @param socket - The connection, before its end.
 * @returns A function that tells whether the connection has ended with a reset.
 */
export function follow (socket: Net.Socket): () => boolean {
  const known = wasResetBySocket.get(socket)
  if (known !== undefined) return known
  let isReset = false
  const wasReset = (): boolean => isReset
  wasResetBySocket.set(socket, wasReset)
  socket.prependListener('end', () => { isReset = socket.remotePort === undefined })
  return wasReset
}
