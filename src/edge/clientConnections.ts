/**
 * Bounds what the connections of clients may make a server hold.
 *
 * Answers crowds of connections that stay open without progress: heads and bodies that stop half-way,
 * requests sent ahead without reading the answers, and answers that are read slowly or never. Connections
 * without a request in progress are closed before those with one, those without progress for longest first.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import type * as ClientMemory from './clientMemory.ts'
import * as FairReader from './fairReader.ts'

/** Why a client's connection was closed. */
export type ClosedCause = 'connectionLimit' | 'sentAhead' | 'headNotWhole' | 'bodyNotWhole' | 'notRead'

/** Settings of the bounds. */
export interface ConnectionBounds {
  /** Returns the maximum number of connections. */
  readonly limitCount: () => number
  readonly memory: ClientMemory.ClientMemory
  readonly clock: () => number
  /** Called when a connection is closed because of its client. */
  readonly onClosed: (cause: ClosedCause) => void
}

/** The bounded connections of a server. */
export interface ClientConnections {
  count: () => number
  /** Number of requests that have begun and whose answers were not yet handed to the system in full. */
  unansweredCount: () => number
  /** Closes the connections that wait for a request; those that have not been used yet only once they are older than `unusedLimitMs`, in milliseconds. */
  closeIdle: (unusedLimitMs: number) => void
  /** To be called when a request's body arrives in very small parts: its connection is read in turns from now on. */
  handleSmallParts: (socket: Net.Socket) => void
  stop: () => void
}

interface ConnectionState {
  readonly holding: ClientMemory.Holding
  readonly unanswered: Set<Http.ServerResponse>
  /** When a request last began or was answered, in milliseconds. */
  activeAtMs: number
  /** Bytes read when the last request was answered and had arrived in full. */
  readBytesAtIdle: number
  /** When an answered request was first seen that the client had not sent in full, in milliseconds. */
  notWholeSinceMs: number | undefined
  /** The last request until it has been sent in full and answered: with many fields, it takes more memory than a connection is charged for. */
  unfinishedRequest: Http.IncomingMessage | undefined
  /** Bytes of answers that were taken for the connection and not yet sent, those that were sent, and since when there was no progress, in milliseconds. */
  unreadBytes: number
  sentBytes: number
  blockedSinceMs: number | undefined
}

/** Maximum number of requests of one connection whose answers are not complete: the next request may arrive while the end of an answer is still being reported. */
const UNANSWERED_LIMIT_COUNT = 2
/** Number of new connections within a window that counts as a crowd, and the length of the window, in milliseconds. */
const CROWD_COUNT = 8
const CROWD_WINDOW_MS = 50
/** Time after the last sign of a crowd or of misbehaviour for which all connections are read in turns, in milliseconds. */
const STRAINED_MS = 10_000
/** Interval between checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250
/** Time within which the client has to send the rest of a request that was answered early, in milliseconds. */
const REST_TIMEOUT_MS = 1_000
/** Time after which a connection whose client reads nothing is closed, in milliseconds: longer than callers wait for an event of a stream, since an answer that has not ended occupies an endpoint. */
const UNREAD_TIMEOUT_MS = 8_000
/** The same for an answer that has ended, in milliseconds: it takes only memory, and gives way when that is needed. */
const ENDED_UNREAD_TIMEOUT_MS = 60_000
/** Memory of an incomplete head for each of its bytes, in bytes: a head may consist of very short fields. */
const HEAD_FACTOR = 16
/** Memory of a connection that is not used for anything else, in bytes: its socket, its parser and an incomplete head of many fields. */
const CONNECTION_BYTES = 96 * 1024
/** Descriptors that are kept for files, connections to endpoints and to other processes. */
const RESERVED_DESCRIPTOR_COUNT = 400
/** Share of the remaining descriptors that clients may use; each call in flight needs another one to its endpoint. */
const DESCRIPTOR_SHARE = 0.5
/** Time without closed connections after which the pressure counts as ended, in milliseconds. */
const CALM_AFTER_MS = 5_000
/** Minimum limit, for machines whose settings leave less. */
const MIN_LIMIT_COUNT = 64

/** Reports when connections begin to be closed because of their clients, and when that has ended. */
export interface PressureLog {
  record: (cause: ClosedCause) => void
  /** To be called regularly. */
  check: () => void
}

/**
 * Calculates the maximum number of clients' connections.
 *
 * @param limits - Memory for clients, in bytes, and number of descriptors of the process; undefined if they are not limited.
 * @returns The number of connections.
 */
export function connectionLimitOf (limits: { readonly budgetBytes: number, readonly descriptorCount: number | undefined }): number {
  const byDescriptors = ((limits.descriptorCount ?? Infinity) - RESERVED_DESCRIPTOR_COUNT) * DESCRIPTOR_SHARE
  return Math.max(MIN_LIMIT_COUNT, Math.floor(Math.min(byDescriptors, limits.budgetBytes / CONNECTION_BYTES)))
}

/**
 * Bounds the connections of a server, which must have no request listener of its own: requests of connections that are closed then do not reach the handler.
 *
 * @param server - The server.
 * @param handle - Handles a request that is within the bounds.
 * @param bounds - The bounds.
 * @returns The connections, checked until `stop` is called.
 */
export function bound (server: Http.Server, handle: Http.RequestListener, bounds: ConnectionBounds): ClientConnections {
  const { clock, memory } = bounds
  const states = new Map<Net.Socket, ConnectionState>()
  // Fields beyond Node's default number would be left out without notice; the size of the head bounds their number.
  server.maxHeadersCount = 0

  const close = (socket: Net.Socket, cause: ClosedCause): void => {
    if (!states.has(socket)) return
    forget(socket)
    bounds.onClosed(cause)
    socket.destroy()
  }
  const forget = (socket: Net.Socket): void => {
    const state = states.get(socket)
    if (state === undefined) return
    states.delete(socket)
    state.holding.release()
    // Node reports the end of the connection only to the answer that is being written.
    for (const response of state.unanswered) if (response.socket === null) response.emit('close')
  }
  const isIdle = ({ unanswered }: ConnectionState): boolean => unanswered.size === 0
  /** Finds the connection that is closed first when there are too many. */
  const findDispensable = (): Net.Socket | undefined => {
    let found: { readonly socket: Net.Socket, readonly state: ConnectionState } | undefined
    for (const [socket, state] of states) {
      if (isIdle(state) && (found === undefined || state.activeAtMs < found.state.activeAtMs)) found = { socket, state }
    }
    return found?.socket
  }

  const reader = FairReader.createFairReader(clock)
  /** When the last connections were accepted, in milliseconds. */
  const acceptedAtMs: number[] = []
  let strainedUntilMs = -Infinity
  /** Reads all connections in turns for a while. */
  const strain = (nowMs: number): void => {
    const isNew = nowMs >= strainedUntilMs
    strainedUntilMs = nowMs + STRAINED_MS
    // Bytes of a connection may just be being parsed.
    if (isNew) setImmediate(() => { for (const socket of states.keys()) reader.add(socket) })
  }
  const recordAccepted = (socket: Net.Socket, nowMs: number): void => {
    acceptedAtMs.push(nowMs)
    if (acceptedAtMs.length > CROWD_COUNT && nowMs - (acceptedAtMs.shift() ?? 0) < CROWD_WINDOW_MS) strain(nowMs)
    if (nowMs < strainedUntilMs) reader.add(socket)
  }
  /** Passes a request on once all bytes that came with it are parsed: if they show that further requests were sent ahead, the connection is closed and nothing is done for its client. */
  const pass = (request: Http.IncomingMessage, response: Http.ServerResponse): void => {
    const { socket } = request
    if (!states.has(socket)) return
    if (request.complete && reader.hasUnparsed(socket)) { setImmediate(pass, request, response); return }
    handle(request, response)
  }

  server.on('connection', socket => {
    const nowMs = clock()
    recordAccepted(socket, nowMs)
    states.set(socket, { holding: memory.open(nowMs), unanswered: new Set(), activeAtMs: nowMs, readBytesAtIdle: 0, notWholeSinceMs: undefined, unfinishedRequest: undefined, unreadBytes: 0, sentBytes: 0, blockedSinceMs: undefined })
    socket.once('close', () => { forget(socket) })
    if (states.size > bounds.limitCount()) close(findDispensable() ?? socket, 'connectionLimit')
  })
  server.on('request', (request, response) => {
    const { socket } = request
    const state = states.get(socket)
    if (state === undefined) return
    if (state.unanswered.size >= UNANSWERED_LIMIT_COUNT) {
      strain(clock())
      close(socket, 'sentAhead')
      return
    }
    state.unanswered.add(response)
    state.activeAtMs = clock()
    state.unfinishedRequest = request
    response.once('close', () => {
      state.unanswered.delete(response)
      if (state.unfinishedRequest === request && request.complete) state.unfinishedRequest = undefined
      state.activeAtMs = clock()
      state.readBytesAtIdle = socket.bytesRead
    })
    // The rest of a request that was answered early is not the beginning of the next one.
    request.once('close', () => { if (isIdle(state)) state.readBytesAtIdle = socket.bytesRead })
    process.nextTick(pass, request, response)
  })

  /** Charges what has been read of a head that is not complete yet. */
  const checkHead = (socket: Net.Socket, state: ConnectionState): number => {
    if (!isIdle(state) || state.unfinishedRequest?.complete === false) return 0
    return Math.max(0, socket.bytesRead - state.readBytesAtIdle) * HEAD_FACTOR
  }
  /** Returns whether the client has left the rest of an answered request unsent for too long. */
  const isRestOverdue = (state: ConnectionState, nowMs: number): boolean => {
    if (!isIdle(state)) {
      state.notWholeSinceMs = undefined
      return false
    }
    if (state.unfinishedRequest?.complete !== false) {
      state.unfinishedRequest = undefined
      state.notWholeSinceMs = undefined
      return false
    }
    state.notWholeSinceMs ??= nowMs
    return nowMs - state.notWholeSinceMs > REST_TIMEOUT_MS
  }
  /** Returns whether the client has not read anything of its answers for too long. */
  const isUnreadOverdue = (socket: Net.Socket, state: ConnectionState, nowMs: number): boolean => {
    state.unreadBytes = socket.writableLength
    const sentBytes = sentBytesOf(socket)
    const isBlocked = state.unreadBytes > 0 && sentBytes === state.sentBytes
    state.sentBytes = sentBytes
    if (!isBlocked) {
      state.blockedSinceMs = undefined
      return false
    }
    state.blockedSinceMs ??= nowMs
    const hasEnded = [...state.unanswered].every(response => response.writableEnded)
    return nowMs - state.blockedSinceMs > (hasEnded ? ENDED_UNREAD_TIMEOUT_MS : UNREAD_TIMEOUT_MS)
  }
  /** Closes the connection whose answers were unread for longest; the next check closes another one if that is not enough. */
  const makeRoomForUnread = (): void => {
    const blocked = [...states].filter(([, { blockedSinceMs }]) => blockedSinceMs !== undefined).sort(([, a], [, b]) => (a.blockedSinceMs ?? 0) - (b.blockedSinceMs ?? 0))
    const [longest] = blocked
    if (longest !== undefined) close(longest[0], 'notRead')
  }
  const timer = setInterval(() => {
    const nowMs = clock()
    memory.evictOverdue(nowMs)
    for (const [socket, state] of states) {
      if (isRestOverdue(state, nowMs)) { close(socket, 'bodyNotWhole'); continue }
      if (isUnreadOverdue(socket, state, nowMs)) { close(socket, 'notRead'); continue }
      const headBytes = checkHead(socket, state)
      if (!state.holding.resize(headBytes + state.unreadBytes, nowMs)) {
        if (headBytes > 0) close(socket, 'headNotWhole')
        else makeRoomForUnread()
      }
    }
  }, CHECK_INTERVAL_MS)
  timer.unref()
  /** Returns whether a connection waits for a request, and no byte of one has arrived. */
  const isWaiting = (socket: Net.Socket, state: ConnectionState): boolean => isIdle(state) && socket.writableLength === 0 && socket.bytesRead === state.readBytesAtIdle
  return {
    count: () => states.size,
    unansweredCount: () => [...states.values()].reduce((count, { unanswered }) => count + unanswered.size, 0),
    closeIdle: unusedLimitMs => {
      const nowMs = clock()
      for (const [socket, state] of states) {
        const isFresh = socket.bytesRead === 0 && nowMs - state.activeAtMs <= unusedLimitMs
        if (isWaiting(socket, state) && !isFresh) socket.destroySoon()
      }
    },
    handleSmallParts: socket => {
      strain(clock())
      // Ends the read that is under way: otherwise up to 2 MB of such parts are parsed at once.
      socket.pause()
      setImmediate(() => {
        reader.add(socket)
        socket.resume()
      })
    },
    stop: () => { clearInterval(timer) }
  }
}

/** Parts of Node's sockets that their type declarations leave out. */
interface SocketHooks {
  /** `bytesWritten` includes the bytes that are queued. */
  readonly _handle?: { readonly bytesWritten?: number, readonly writeQueueSize?: number } | null
}

/** Returns the number of bytes that the system has taken from a socket. The public count includes those that wait for the client to read. */
function sentBytesOf (socket: Net.Socket): number {
  const { _handle: handle } = socket as SocketHooks
  const sentBytes = (handle?.bytesWritten ?? NaN) - (handle?.writeQueueSize ?? NaN)
  return Number.isFinite(sentBytes) ? sentBytes : socket.bytesWritten
}

/**
 * Creates the reports of a process: one when the pressure begins and one when it has ended, not one for each client.
 *
 * @param clock - Returns the current time, in milliseconds.
 * @param log - Writes a report.
 * @returns The reports.
 */
export function createPressureLog (clock: () => number, log: (sentence: string, fields: Readonly<Record<string, unknown>>) => void): PressureLog {
  let counts: Partial<Record<ClosedCause, number>> = {}
  let lastAtMs = -Infinity
  let isPressed = false
  return {
    record: cause => {
      lastAtMs = clock()
      counts[cause] = (counts[cause] ?? 0) + 1
      if (!isPressed) log('Clients are cut off.', { reason: cause })
      isPressed = true
    },
    check: () => {
      if (!isPressed || clock() - lastAtMs < CALM_AFTER_MS) return
      log('Clients keep to the bounds again.', { closedCounts: counts })
      isPressed = false
      counts = {}
    }
  }
}
