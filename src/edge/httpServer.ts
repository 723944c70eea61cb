/**
 * Incoming HTTP over Node's own server: routes by table, bounded bodies, graceful stop.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import * as ClientConnections from './clientConnections.ts'
import * as ClientMemory from './clientMemory.ts'
import * as Listening from './listening.ts'
import * as RequestBodies from './requestBodies.ts'
import * as Traffic from './traffic.ts'

/** Handles one request. */
export type Handler = (request: Http.IncomingMessage, response: Http.ServerResponse, path: string) => void | Promise<void>

/** A route: a method and an exact path, or a path that ends in `*` for a prefix. */
export interface Route {
  readonly method: string
  readonly path: string
  readonly handle: Handler
}

/** Settings of a server. */
export interface ServerOptions {
  readonly host: string
  /** Port to listen on; 0 for any free one. */
  readonly port: number
  readonly routes: readonly Route[]
  /** Takes what no route matches. */
  readonly fallback?: Handler
  /** Time for the headers to arrive in milliseconds. */
  readonly headersTimeoutMs: number
  /** Called when a connection is closed because its client keeps it from being of use. */
  readonly onClientClosed?: (cause: ClientConnections.ClosedCause) => void
  /** Called with the reason when the address is not free yet. */
  readonly onWaiting?: Listening.BindOptions['onWaiting']
  /** Called with each error of the server, such as a connection that could not be accepted. */
  readonly onError?: Listening.BindOptions['onError']
}

/** A listening server. */
export interface Server {
  readonly port: number
  /** Stops taking connections and waits for the requests in flight. */
  close: (graceMs: number) => Promise<void>
  activeCount: () => number
}

const KEEP_ALIVE_MS = 30_000
const LISTEN_BACKLOG_COUNT = 1_024
/** Memory for the clients of all servers of the process, in bytes: some bodies of the usual maximum size. */
const CLIENT_BUDGET_BYTES = 24 * 1024 * 1024
/** Maximum number of connections of one server. */
const CONNECTION_LIMIT_COUNT = 2_048
/** Result codes of requests whose body could not be read. */
const BODY_CODES: Readonly<Record<RequestBodies.BodyFailure, Core.Codes.CodeName>> = { tooLarge: 'bodyTooLarge', tooSlow: 'bodyTooSlow', noRoom: 'overCapacity', gone: 'callerGone' }
const clientMemory = ClientMemory.createClientMemory(CLIENT_BUDGET_BYTES)
const clock = (): number => performance.now()
/** Stands for the paths of callers where bytes are counted. */
const CALLS_PATH = '/calls'

/**
 * Starts a server.
 *
 * @param options - Where to listen and what to serve.
 * @returns The server, once it listens.
 */
export async function listen (options: ServerOptions): Promise<Server> {
  let activeCount = 0
  let closing = false
  const sockets = new Set<Net.Socket>()
  const server = Http.createServer()
  const connections = ClientConnections.bound(server, (request, response) => {
    activeCount++
    if (closing) response.setHeader('connection', 'close')
    response.once('close', () => {
      activeCount--
      if (closing) setImmediate(() => { server.closeIdleConnections() })
    })
    void serve(options, request, response)
  }, { limitCount: () => CONNECTION_LIMIT_COUNT, memory: clientMemory, clock, onClosed: options.onClientClosed ?? (() => {}) })
  server.headersTimeout = options.headersTimeoutMs
  server.requestTimeout = 0
  server.keepAliveTimeout = KEEP_ALIVE_MS
  server.on('connection', socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.once('close', () => { sockets.delete(socket) })
  })
  server.on('clientError', (_error, socket) => { refuseMalformed(socket as Net.Socket) })
  await Listening.bind(server, () => { server.listen(options.port, options.host, LISTEN_BACKLOG_COUNT) }, { onError: options.onError ?? (() => {}), ...(options.onWaiting === undefined ? {} : { onWaiting: options.onWaiting }) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    activeCount: () => activeCount,
    close: async graceMs => {
      closing = true
      const closed = new Promise<void>(resolve => server.close(() => { resolve() }))
      server.closeIdleConnections()
      const timer = setTimeout(() => { for (const socket of sockets) socket.destroy() }, graceMs)
      await closed
      clearTimeout(timer)
      connections.stop()
    }
  }
}

/**
 * Reads a request body within a size, a time and the memory for clients, which is given back when the answer has been sent.
 *
 * @param request - The request.
 * @param response - Its answer.
 * @param maxBytes - The largest body in bytes.
 * @param timeoutMs - Time for the whole body in milliseconds.
 * @returns The body, or the name of the result code to refuse with.
 */
export async function readBody (request: Http.IncomingMessage, response: Http.ServerResponse, maxBytes: number, timeoutMs: number): Promise<Neverthrow.Result<Buffer, Core.Codes.CodeName>> {
  return await new Promise(resolve => {
    const reading = { limitBytes: maxBytes, deadlineAtMs: clock() + timeoutMs, memory: clientMemory, clock }
    RequestBodies.read(request, reading, (body, holding) => {
      response.once('close', holding.release)
      resolve(typeof body === 'string' ? Neverthrow.err(BODY_CODES[body]) : Neverthrow.ok(body ?? Buffer.alloc(0)))
    })
  })
}

/**
 * Answers with JSON.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param value - The value to write.
 * @param headers - Further headers.
 */
export function sendJson (response: Http.ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
  if (response.headersSent || response.destroyed) return
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}

/** Further details of a refusal. */
export interface RefusalDetails {
  readonly callId?: string
  readonly reason?: string
  readonly retryAfterMs?: number
  readonly limitCount?: number
  readonly shareCount?: number
  readonly workspace?: string
}

/**
 * Answers with a numbered result code.
 *
 * @param response - The response.
 * @param name - The result code.
 * @param details - What else the caller is told.
 */
export function sendCode (response: Http.ServerResponse, name: Core.Codes.CodeName, details: RefusalDetails = {}): void {
  const row = Core.Codes.CODES[name]
  const headers: Record<string, string> = { 'x-fescue-code': String(row.code), 'x-fescue-run': row.run }
  if (details.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(details.retryAfterMs / 1000)))
  if (details.callId !== undefined) headers['x-fescue-call-id'] = details.callId
  if (name === 'bodyTooLarge' || name === 'bodyTooSlow') headers.connection = 'close'
  sendJson(response, row.httpStatus, { code: row.code, name, run: row.run, retryable: row.retryable, message: row.text, ...details }, headers)
}

async function serve (options: ServerOptions, request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
  const path = (request.url ?? '/').split('?', 1)[0] ?? '/'
  const route = options.routes.find(candidate => candidate.method === request.method && matches(candidate.path, path))
  const handle = route?.handle ?? options.fallback
  request.on('error', () => {})
  response.on('error', () => {})
  response.once('close', () => { Traffic.count(request.socket, 'server', route === undefined ? CALLS_PATH : path) })
  if (handle === undefined) { sendCode(response, 'routeUnknown'); return }
  try {
    await handle(request, response, path)
  } catch (error) {
    sendCode(response, 'badRequest', { reason: (error as Error).message })
  }
}

function matches (pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path
}

function refuseMalformed (socket: Net.Socket): void {
  if (!socket.writable) { socket.destroy(); return }
  const row = Core.Codes.CODES.badRequest
  const body = JSON.stringify({ code: row.code, name: 'badRequest', run: row.run, message: row.text })
  socket.end(`HTTP/1.1 400 Bad Request\r\nx-fescue-code: ${row.code}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`)
}
