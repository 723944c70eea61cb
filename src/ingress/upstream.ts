/**
 * Connections to endpoints: reused while fresh, never after an answer that was not asked for.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'

/** A call on its way to an endpoint. */
export interface OutgoingCall {
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly rawHeaders: string[]
  readonly body: Buffer | undefined
  /** Connections that were idle for longer are not used, in milliseconds. */
  readonly maxIdleMs: number
}

/** How far a call had come when its exchange failed; refused where nothing listens at the address. */
export type ExchangeStage = 'connecting' | 'refused' | 'sent' | 'answering'

/** Takes what happens to a call. */
export interface ExchangeListener {
  onHead: (status: number, headers: Http.IncomingHttpHeaders, rawHeaders: string[]) => void
  onData: (bytes: Buffer) => void
  /** The answer is whole. */
  onEnd: () => void
  onFailed: (stage: ExchangeStage, reason: string) => void
}

/** A call that was sent. */
export interface Exchange {
  /** Breaks the exchange off; the listener hears nothing more. */
  abort: () => void
  /** Whether the call was sent, so that the endpoint may run it. */
  isSent: () => boolean
  pause: () => void
  resume: () => void
}

/** Connections to all endpoints. */
export interface Upstream {
  send: (outgoing: OutgoingCall, listener: ExchangeListener) => Exchange
  /** Closes the idle connections to an endpoint. */
  closeIdle: (host: string, port: number) => void
  close: () => void
}

/** A connection that is not open after so long is given up, in milliseconds: many round trips between regions, less than the first repeat of a lost opening packet. */
const CONNECT_TIMEOUT_MS = 400
/** Idle connections are closed after so long, in milliseconds: below the timeouts that endpoints announce. */
const IDLE_TIMEOUT_MS = 8_000
/** Idle connections kept for each endpoint. */
const IDLE_CONNECTION_LIMIT_COUNT = 24

/** Interim answers (1xx) that may come before an answer. */
const INTERIM_RESPONSE_LIMIT_COUNT = 16

/** Hooks of Node's agent that its types leave out. */
interface AgentHooks {
  keepSocketAlive: (socket: Net.Socket) => boolean
  reuseSocket: (socket: Net.Socket, request: Http.ClientRequest) => void
}

/**
 * Creates the connections.
 *
 * @returns The connections.
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
      return startExchange(agent, outgoing, listener)
    },
    closeIdle: (host, port) => { closeIdleFor(host, port, -1) },
    close: () => { agent.destroy() }
  }
}

function startExchange (agent: Http.Agent, outgoing: OutgoingCall, listener: ExchangeListener): Exchange {
  let stage: ExchangeStage = 'connecting'
  let isSettled = false
  let incoming: Http.IncomingMessage | undefined
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
    // Where the process stood still, the connection may be open without this being read yet.
    setImmediate(() => { if (stage === 'connecting') fail('no connection in time') })
  }, CONNECT_TIMEOUT_MS)
  request.on('socket', socket => {
    const onConnected = (): void => {
      clearTimeout(timer)
      if (stage === 'connecting') stage = 'sent'
    }
    if (socket.connecting) socket.once('connect', onConnected)
    else onConnected()
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (stage === 'connecting' && error.code === 'ECONNREFUSED') stage = 'refused'
    fail(error.message)
  })
  let interimCount = 0
  request.on('information', () => { if (++interimCount > INTERIM_RESPONSE_LIMIT_COUNT) fail('too many interim answers') })
  request.on('response', response => {
    incoming = response
    stage = 'answering'
    if (isSettled) return
    response.on('data', (bytes: Buffer) => { if (!isSettled) listener.onData(bytes) })
    response.on('error', error => { fail(error.message) })
    response.on('aborted', () => { fail('answer cut short') })
    response.on('end', () => {
      if (isSettled) return
      if (!response.complete) { fail('answer cut short'); return }
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
    pause: () => { incoming?.pause() },
    resume: () => { incoming?.resume() }
  }
}

/** Bytes on an idle connection belong to no call: the connection is closed before it carries another. */
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
