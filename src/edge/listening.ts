/**
 * Binds servers and sockets to their addresses.
 *
 * An address may be taken for a moment when a process starts: by the process before it, or, as a port, by
 * an outgoing connection of the same host. An address of the balancer may come to an instance a little later.
 *
 * @packageDocumentation
 */
import type * as Events from 'node:events'

/** Dependencies of `bind`. */
export interface BindOptions {
  /** Called once with the reason when an address is not free yet. */
  readonly onWaiting?: (reason: string) => void
  /** Called with each error of the bound server or socket, such as a connection that could not be accepted. */
  readonly onError: (error: Error) => void
  /** Maximum time that is waited for the address, in milliseconds; `BIND_PATIENCE_MS` if undefined. */
  readonly patienceMs?: number
}

/** Errors that pass when the address becomes free. */
const PASSING_ERROR_CODES: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])
/** Maximum time that is waited for an address, in milliseconds: longer than a process may take to stop, so that the next one can take its place. */
export const BIND_PATIENCE_MS = 30_000
/** Interval between attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 100

/**
 * Binds a server or socket, and tries again while its address is not free.
 *
 * @param target - The server or socket.
 * @param start - Starts to bind it. The end is a `listening` event, or an `error` event.
 * @param options - Who is told of delays and errors.
 * @throws The error of the last attempt, if the address does not become free in time or the error does not pass.
 */
export async function bind (target: Events.EventEmitter, start: () => void, options: BindOptions): Promise<void> {
  const { onWaiting, onError, patienceMs = BIND_PATIENCE_MS } = options
  const endMs = performance.now() + patienceMs
  for (let attemptCount = 1; ; attemptCount++) {
    const error = await attempt(target, start)
    if (error === undefined) break
    if (!PASSING_ERROR_CODES.has(error.code ?? '') || performance.now() >= endMs) throw error
    if (attemptCount === 1) onWaiting?.(error.message)
    await new Promise(resolve => { setTimeout(resolve, RETRY_INTERVAL_MS) })
  }
  target.on('error', onError)
}

async function attempt (target: Events.EventEmitter, start: () => void): Promise<NodeJS.ErrnoException | undefined> {
  return await new Promise(resolve => {
    const settle = (error?: NodeJS.ErrnoException): void => {
      target.off('error', settle)
      target.off('listening', settle)
      resolve(error)
    }
    target.on('error', settle)
    target.on('listening', settle)
    start()
  })
}
