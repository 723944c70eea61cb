/**
 * Outgoing HTTP over Node's own client, with connection reuse and time limits.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Zlib from 'node:zlib'
import * as ByteCollector from './byteCollector.ts'
import * as MessageHeads from './messageHeads.ts'
import * as Traffic from './traffic.ts'

/** A server to talk to. */
export interface Target {
  readonly host: string
  readonly port: number
}

/** An outgoing request whose answer is read whole. */
export interface Request {
  readonly target: Target
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array | string
  /** Time for the whole exchange in milliseconds. */
  readonly timeoutMs: number
  /** Whether to open a connection of its own, past the pool. */
  readonly fresh?: boolean
  /** The largest answer taken, in bytes. */
  readonly maxAnswerBytes?: number
  /** Time for the head of the answer in milliseconds, where it is shorter. */
  readonly headMs?: number
  /** Past its time, the exchange goes on while bytes of the answer come with no longer pause than this, in milliseconds. */
  readonly arrivingMs?: number
  /** Called with the number of bytes whenever bytes of the answer arrive. */
  readonly onArriving?: (sizeBytes: number) => void
  /** Gives the exchange up when it is aborted. */
  readonly signal?: AbortSignal
}

/** A whole answer. */
export interface Answer {
  readonly status: number
  readonly headers: Http.IncomingHttpHeaders
  readonly body: Buffer
}

/** Why there is no answer, and whether the request may have reached the server. */
export class TransportError extends Error {
  constructor (message: string, readonly reachedServer: boolean, readonly timedOut = false) {
    super(message)
    this.name = 'TransportError'
  }
}

const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024
const CONNECTION_IDLE_MS = 15_000
/** A connection is not used again after this time, in milliseconds. */
const CONNECTION_MAX_AGE_MS = 120_000

/** The process's pool of connections. */
export const pool = createPool()

/**
 * Closes the idle connections to a server, because one to it may have gone silent.
 *
 * @param target - The server.
 */
export function dropIdle (target: Target): void {
  const name = pool.getName({ host: target.host, port: target.port })
  for (const socket of pool.freeSockets[name] ?? []) socket.destroy()
}

/**
 * Parses `host:port`.
 *
 * @param text - The address.
 * @returns The target.
 */
export function targetOf (text: string): Target {
  const at = text.lastIndexOf(':')
  return { host: text.slice(0, at), port: Number(text.slice(at + 1)) }
}

/**
 * Sends a request and reads the whole answer.
 *
 * @param request - The request.
 * @returns The answer, of any status that HTTP defines for one.
 * @throws TransportError when there is no whole answer in time.
 */
export async function send (request: Request): Promise<Answer> {
  return await new Promise((resolve, reject) => {
    const maxAnswerBytes = request.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES
    const outgoing = Http.request({
      host: request.target.host,
      port: request.target.port,
      method: request.method,
      path: request.path,
      headers: { ...request.headers, 'content-length': String(request.body === undefined ? 0 : Buffer.byteLength(request.body)) },
      agent: request.fresh === true ? false : pool,
      ...(request.signal === undefined ? {} : { signal: request.signal })
    })
    let arrivedMs = -Infinity
    const fail = (message: string, timedOut = false): void => {
      clearTimeout(timer)
      clearTimeout(headTimer)
      Traffic.count(outgoing.socket, 'client', request.path)
      outgoing.destroy()
      reject(new TransportError(`${request.method} ${request.path}: ${message}`, connected(), timedOut))
    }
    const expire = (): void => {
      const leftMs = (request.arrivingMs ?? 0) - (performance.now() - arrivedMs)
      if (leftMs > 0) { timer = setTimeout(expire, leftMs); return }
      dropIdle(request.target)
      fail('timed out', true)
    }
    let timer = setTimeout(expire, request.timeoutMs)
    const headTimer = request.headMs === undefined ? undefined : setTimeout(expire, request.headMs)
    const arrive = (partBytes: number): void => {
      arrivedMs = performance.now()
      request.onArriving?.(partBytes)
    }
    const connected = trackConnect(outgoing)
    outgoing.on('error', error => { fail(error.message) })
    onUnaskedUpgrade(outgoing, fail)
    outgoing.on('response', incoming => {
      const body = ByteCollector.createByteCollector()
      const status = incoming.statusCode ?? 0
      clearTimeout(headTimer)
      if (!MessageHeads.isFinalStatus(status)) { fail(`malformed answer: status ${status}`); return }
      incoming.on('data', (part: Buffer) => {
        arrive(part.length)
        if (body.sizeBytes() + part.length > maxAnswerBytes) { fail('answer too large'); return }
        body.push(part)
      })
      incoming.on('error', error => { fail(error.message) })
      incoming.on('end', () => {
        if (!incoming.complete) { fail('answer cut short'); return }
        clearTimeout(timer)
        Traffic.count(outgoing.socket, 'client', request.path)
        resolve({ status, headers: incoming.headers, body: body.take() })
      })
    })
    outgoing.end(request.body)
  })
}

/**
 * Follows whether a request has a connection, so that its bytes may have reached the server.
 *
 * @param outgoing - The request, just made.
 * @returns A function that tells whether it was ever connected.
 */
export function trackConnect (outgoing: Http.ClientRequest): () => boolean {
  let connected = false
  outgoing.on('socket', socket => {
    connected = !socket.connecting
    if (!connected) socket.once('connect', () => { connected = true })
  })
  return () => connected
}

/**
 * Handles an answer that changes the protocol, which no request here asks for. Without a listener, Node closes the connection and reports neither an answer nor an error.
 *
 * @param outgoing - The request, just made.
 * @param onMalformed - Called with what is wrong with the answer, once its connection was closed.
 */
export function onUnaskedUpgrade (outgoing: Http.ClientRequest, onMalformed: (reason: string) => void): void {
  outgoing.on('upgrade', (incoming, socket) => {
    socket.destroy()
    onMalformed(`malformed answer: status ${incoming.statusCode ?? 0}`)
  })
}

/**
 * Sends JSON and reads JSON.
 *
 * @param target - The server.
 * @param method - The HTTP method.
 * @param path - The path.
 * @param value - The value to send, or undefined for none.
 * @param timeoutMs - Time for the whole exchange in milliseconds.
 * @param headers - Further headers.
 * @returns The status and the parsed body.
 * @throws TransportError when there is no whole answer in time.
 */
export async function sendJson (target: Target, method: string, path: string, value: unknown, timeoutMs: number, headers: Readonly<Record<string, string>> = {}): Promise<JsonAnswer> {
  return await sendText({ target, method, path, body: value === undefined ? undefined : JSON.stringify(value), timeoutMs, headers })
}

/** An answer whose body is JSON. */
export interface JsonAnswer {
  readonly status: number
  readonly headers: Http.IncomingHttpHeaders
  /** The parsed body; undefined when it is empty. */
  readonly value: unknown
}

/**
 * Sends JSON that has been written already and reads JSON.
 *
 * @param request - The request.
 * @returns The status and the parsed body.
 * @throws TransportError when there is no whole answer in time.
 */
export async function sendText (request: Request): Promise<JsonAnswer> {
  const { method, path } = request
  const answer = await send({ ...request, headers: { 'content-type': 'application/json', ...request.headers } })
  const text = textOf(answer)
  try {
    return { status: answer.status, headers: answer.headers, value: text === '' ? undefined : JSON.parse(text) }
  } catch {
    throw new TransportError(`${method} ${path}: answer is not JSON`, true)
  }
}

function createPool (): Http.Agent {
  const agent = new Http.Agent({ keepAlive: true, maxFreeSockets: 64, timeout: CONNECTION_IDLE_MS })
  const openedMs = new WeakMap<object, number>()
  const keep = agent as unknown as { keepSocketAlive: (socket: Net.Socket) => boolean }
  const keepSocketAlive = keep.keepSocketAlive.bind(agent)
  keep.keepSocketAlive = socket => {
    const sinceMs = openedMs.get(socket) ?? performance.now()
    openedMs.set(socket, sinceMs)
    return performance.now() - sinceMs < CONNECTION_MAX_AGE_MS && keepSocketAlive(socket)
  }
  return agent
}

function textOf (answer: Answer): string {
  if (answer.headers['content-encoding'] !== 'gzip') return answer.body.toString()
  return Zlib.gunzipSync(answer.body, { maxOutputLength: DEFAULT_MAX_ANSWER_BYTES }).toString()
}
