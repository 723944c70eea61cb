/**
 * HTTP connections to endpoints. An idle connection is reused while it is fresh, and never after it received unexpected bytes.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as ConnectionResets from '../edge/connectionResets.ts'
import * as HttpClient from '../edge/httpClient.ts'
import * as MessageHeads from '../edge/messageHeads.ts'

/** A call to send to an endpoint. */
export interface OutgoingCall {
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  /** A flat list of names and values. */
  readonly rawHeaders: string[]
  readonly body: Buffer | undefined
  /** Maximum idle time of a connection that may carry the call, in milliseconds. */
  readonly maxIdleMs: number
}

/** Stage of an exchange at its failure; `refused` if nothing listens at the address, `outdated` if the connection opened when the call was no longer to be sent. */
export type ExchangeStage = 'connecting' | 'refused' | 'outdated' | 'sent' | 'answering'

/** Handlers for the events of an exchange. Exactly one of `onEnd` and `onFailed` is called, unless the exchange is aborted. */
export interface ExchangeListener {
  /** Called when a new connection has opened, before the call is written to it. Returns whether the call may still be sent; without it, the call is sent. */
  mayStillSend?: () => boolean
  onHead: (status: number, headers: Http.IncomingHttpHeaders, rawHeaders: string[]) => void
  onData: (bytes: Buffer) => void
  /** Called when the answer is complete. */
  onEnd: () => void
  onFailed: (stage: ExchangeStage, reason: string) => void
}

/** A call handed to a connection, and its answer. */
export interface Exchange {
  /** Aborts the exchange; no handler is called afterwards. */
  abort: () => void
  /** Whether the connection was open, so that the endpoint may have received the call and may run it. */
  isSent: () => boolean
  /** Notes on the connection that outlive the exchange; undefined before there is a connection. */
  connectionNotes: () => ConnectionNotes | undefined
  pause: () => void
  resume: () => void
}

/** What is known of a connection over all of its exchanges. */
export interface ConnectionNotes {
  /** Ids of the last calls that were refused as not run on the connection. */
  readonly refusedCallIds: Set<string>
  /** Returns whether the connection ended with a reset. */
  readonly wasReset: () => boolean
}

/** Connections to all endpoints. */
export interface Upstream {
  send: (outgoing: OutgoingCall, listener: ExchangeListener) => Exchange
  /** Closes the idle connections to an endpoint. */
  closeIdle: (host: string, port: number) => void
  close: () => void
}

/** Time after which a connection attempt fails, in milliseconds: many round trips between regions, but less than the first retransmission of a lost SYN. */
const CONNECT_TIMEOUT_MS = 400
/** Time after which an idle connection is closed, in milliseconds: below the keep-alive timeouts that endpoints announce. */
const IDLE_TIMEOUT_MS = 8_000
/** Maximum number of idle connections for each endpoint. */
const IDLE_CONNECTION_LIMIT_COUNT = 24

/** Maximum number of interim responses (1xx) before an answer. */
const INTERIM_RESPONSE_LIMIT_COUNT = 16

/** Hooks of Node's `Http.Agent` that its type declarations leave out. */
interface AgentHooks {
  keepSocketAlive: (socket: Net.Socket) => boolean
  reuseSocket: (socket: Net.Socket, request: Http.ClientRequest) => void
}

/**
 * Creates the connection pools of all endpoints.
 *
 * @returns The pools, without a connection yet.
 */
export function createUpstream (): Upstream {
  const agent = new Http.Agent({ keepAlive: true, maxFreeSockets: IDLE_CONNECTION_LIMIT_COUNT, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MS, noDelay: true })
  const idleSinceMs = new WeakMap<Net.Socket, number>()
  closeOnUnexpectedBytes(agent as unknown as AgentHooks, idleSinceMs)
  const closeIdleFor = (host: string, port: number, maxIdleMs: number): void => {
    const nowMs = performance.now()
    for (const socket of [...agent.freeSockets[agent.getName({ host, port })] ?? []]) {
      if (nowMs - (idleSinceMs.get(socket) ?? 0) > maxIdleMs || socket.destroyed) socket.destroy()
    }
  }
  return {
    send: (outgoing, listener) => {
      closeIdleFor(outgoing.host, outgoing.port, outgoing.maxIdleMs)
      try {
        return startExchange(agent, outgoing, listener)
      } catch (error) {
        return failExchange(listener, (error as Error).message)
      }
    },
    closeIdle: (host, port) => { closeIdleFor(host, port, -1) },
    close: () => { agent.destroy() }
  }
}

const notesBySocket = new WeakMap<Net.Socket, ConnectionNotes>()

function notesOf (socket: Net.Socket): ConnectionNotes {
  const known = notesBySocket.get(socket)
  if (known !== undefined) return known
  const notes: ConnectionNotes = { refusedCallIds: new Set(), wasReset: ConnectionResets.follow(socket) }
  notesBySocket.set(socket, notes)
  return notes
}

function startExchange (agent: Http.Agent, outgoing: OutgoingCall, listener: ExchangeListener): Exchange {
  let stage: ExchangeStage = 'connecting'
  let isSettled = false
  let incoming: Http.IncomingMessage | undefined
  let notes: ConnectionNotes | undefined
  const request = Http.request({
    agent,
    host: outgoing.host,
    port: outgoing.port,
    method: outgoing.method,
    path: outgoing.path,
    headers: outgoing.rawHeaders as unknown as Http.OutgoingHttpHeaders,
    setHost: false
  })
  const fail = (reason: string): void => {
    clearTimeout(timer)
    if (isSettled) return
    isSettled = true
    request.destroy()
    listener.onFailed(stage, reason)
  }
  const timer = setTimeout(() => {
    // After a standstill of the process the connection may be open although its event is still queued: let the event loop process it first.
    setImmediate(() => { if (stage === 'connecting') fail('no connection in time') })
  }, CONNECT_TIMEOUT_MS)
  request.on('socket', socket => {
    notes = notesOf(socket)
    const onConnected = (): void => {
      clearTimeout(timer)
      if (stage === 'connecting') stage = 'sent'
    }
    // Node writes the call only after this listener, which was added first.
    const onOpened = (): void => {
      if (isSettled || listener.mayStillSend?.() !== false) { onConnected(); return }
      stage = 'outdated'
      fail('connection opened too late')
    }
    if (socket.connecting) socket.once('connect', onOpened)
    else onConnected()
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (stage === 'connecting' && error.code === 'ECONNREFUSED') stage = 'refused'
    fail(error.message)
  })
  let interimCount = 0
  request.on('information', () => { if (++interimCount > INTERIM_RESPONSE_LIMIT_COUNT) fail('too many interim answers') })
  HttpClient.onUnaskedUpgrade(request, reason => {
    stage = 'answering'
    fail(reason)
  })
  request.on('response', response => {
    incoming = response
    stage = 'answering'
    if (isSettled) return
    const problem = MessageHeads.problemOfAnswer(response.statusCode ?? 0, response.rawHeaders)
    if (problem !== undefined) { fail(`malformed answer: ${problem}`); return }
    response.on('data', (bytes: Buffer) => { if (!isSettled) listener.onData(bytes) })
    response.on('error', error => { fail(error.message) })
    response.on('aborted', () => { fail('answer cut short') })
    response.on('end', () => {
      if (isSettled) return
      if (!response.complete || notes?.wasReset() === true) { fail('answer cut short'); return }
      isSettled = true
      listener.onEnd()
    })
    listener.onHead(response.statusCode ?? 0, response.headers, response.rawHeaders)
  })
  request.end(outgoing.body)
  return {
    abort: () => {
      clearTimeout(timer)
      isSettled = true
      request.destroy()
    },
    isSent: () => stage === 'sent' || stage === 'answering',
    connectionNotes: () => notes,
    pause: () => { incoming?.pause() },
    resume: () => { incoming?.resume() }
  }
}

/** Returns an exchange that fails soon, since no request could be made. */
function failExchange (listener: ExchangeListener, reason: string): Exchange {
  const timer = setImmediate(() => { listener.onFailed('connecting', reason) })
  return { abort: () => { clearImmediate(timer) }, isSent: () => false, connectionNotes: () => undefined, pause: () => {}, resume: () => {} }
}

/** Closes an idle connection that receives bytes, before it carries another call: the bytes belong to no call. */
function closeOnUnexpectedBytes (hooks: AgentHooks, idleSinceMs: WeakMap<Net.Socket, number>): void {
  const keepSocketAlive = hooks.keepSocketAlive.bind(hooks)
  const reuseSocket = hooks.reuseSocket.bind(hooks)
  const listeners = new WeakMap<Net.Socket, () => void>()
  hooks.keepSocketAlive = socket => {
    const isReusable = keepSocketAlive(socket)
    const destroy = (): void => { socket.destroy() }
    listeners.set(socket, destroy)
    idleSinceMs.set(socket, performance.now())
    socket.once('data', destroy)
    socket.resume()
    return isReusable
  }
  hooks.reuseSocket = (socket, request) => {
    const destroy = listeners.get(socket)
    if (destroy !== undefined) socket.off('data', destroy)
    reuseSocket(socket, request)
  }
}
