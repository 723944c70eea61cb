/**
 * The byte path of a gateway: takes callers' requests and relays attempts to agents.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Attempts from './attempts.ts'
import * as Exchange from './exchange.ts'
import type * as Messages from './messages.ts'

/** Settings of the byte path. */
export interface CallersOptions {
  readonly maxBodyBytes: number
  readonly bodyTimeoutMs: number
  readonly defaultDeadlineMs: number
  readonly maxDeadlineMs: number
  readonly peerKey: () => string
  readonly makeId: () => string
  readonly push: (input: Messages.Input) => void
}

/** The byte path of a gateway. */
export interface Callers {
  readonly handle: Edge.HttpServer.Handler
  dispatch: (dispatch: Messages.Dispatch) => void
  cancelAttempt: (callId: string) => void
  deliver: (callId: string) => void
  replay: (callId: string, outcome: Schemas.Calls.Outcome) => void
  finish: (callId: string, code: Core.Codes.CodeName, details: Edge.HttpServer.RefusalDetails) => void
  activeCount: () => number
  stop: () => void
}

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/
const SWEEP_MS = 250
/** A begun stream that is quiet for so long gets a comment, so that callers see that it lives, in milliseconds. */
const COMMENT_AFTER_MS = 5_000
/** The start of a body that names its prefix, in bytes. */
const PREFIX_BYTES = 256
const MIN_PREFIX_BYTES = 64

/**
 * Creates the byte path.
 *
 * @param options - Limits and the loop.
 * @returns The handler of requests and the handlers of commands.
 */
export function createCallers (options: CallersOptions): Callers {
  const exchanges = new Map<string, Exchange.Exchange>()
  const clock = (): number => performance.now()
  const attempts = Attempts.createAttempts({ peerKey: options.peerKey, push: options.push, clock })

  const handle: Edge.HttpServer.Handler = async (request, response, path) => {
    const callId = options.makeId()
    const body = await Edge.HttpServer.readBody(request, response, options.maxBodyBytes, options.bodyTimeoutMs)
    if (body.isErr()) { Edge.HttpServer.sendCode(response, body.error, { callId }); return }
    const call = arrivedCall(options, callId, request, path, body.value)
    if (typeof call === 'string') { Edge.HttpServer.sendCode(response, 'badRequest', { callId, reason: call }); return }
    exchanges.set(callId, Exchange.createExchange(callId, body.value, response, call.stream, call.idempotencyKey !== undefined))
    response.once('close', () => {
      if (exchanges.has(callId)) options.push({ kind: 'callerGone', callId })
    })
    options.push({ kind: 'callArrived', call })
  }
  const sweep = (): void => {
    const nowMs = clock()
    for (const exchange of exchanges.values()) {
      attempts.sweep(exchange, nowMs)
      const { response } = exchange
      if (!response.headersSent || response.destroyed || nowMs - exchange.wroteAtMs < COMMENT_AFTER_MS) continue
      response.write(':\n\n')
      exchange.wroteAtMs = nowMs
    }
  }
  const sweepTimer = setInterval(sweep, SWEEP_MS)
  const close = (callId: string): Exchange.Exchange | undefined => {
    const exchange = exchanges.get(callId)
    exchanges.delete(callId)
    if (exchange !== undefined) attempts.cancel(exchange)
    return exchange
  }
  return {
    handle,
    dispatch: command => {
      const exchange = exchanges.get(command.callId)
      if (exchange !== undefined) attempts.dispatch(exchange, command)
    },
    cancelAttempt: callId => {
      const exchange = exchanges.get(callId)
      if (exchange !== undefined) attempts.cancel(exchange)
    },
    deliver: callId => {
      const exchange = close(callId)
      if (exchange === undefined) return
      if (exchange.answer === undefined) { exchange.response.end(); return }
      sendAnswer(exchange, exchange.answer)
    },
    replay: (callId, outcome) => {
      const exchange = close(callId)
      if (exchange === undefined) return
      if (!Edge.MessageHeads.isFinalStatus(outcome.httpStatus)) { Edge.HttpServer.sendCode(exchange.response, 'answerLost', { callId }); return }
      sendAnswer(exchange, { status: outcome.httpStatus, contentType: outcome.contentType, body: Buffer.from(outcome.bodyBase64, 'base64') }, true)
    },
    finish: (callId, code, details) => {
      const exchange = close(callId)
      if (exchange === undefined) return
      if (!exchange.response.headersSent) { Edge.HttpServer.sendCode(exchange.response, code, details); return }
      const row = Core.Codes.CODES[code]
      exchange.response.end(`event: error\ndata: ${JSON.stringify({ code: row.code, name: code, run: row.run, message: row.text, ...details })}\n\n`)
    },
    activeCount: () => exchanges.size,
    stop: () => { clearInterval(sweepTimer) }
  }
}

function sendAnswer (exchange: Exchange.Exchange, answer: Exchange.WholeAnswer, replayed = false): void {
  const { response } = exchange
  if (response.destroyed) return
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    ...(Edge.MessageHeads.isBodiless(response.req.method, answer.status) ? {} : { 'content-length': answer.body.length }),
    'x-fescue-call-id': exchange.callId,
    'x-fescue-code': '0',
    'x-fescue-run': 'ran',
    ...(replayed ? { 'x-fescue-replayed': 'true' } : {})
  })
  response.end(answer.body)
}

function arrivedCall (options: CallersOptions, callId: string, request: Http.IncomingMessage, path: string, body: Buffer): Messages.ArrivedCall | string {
  const header = (name: string): string | undefined => {
    const value = request.headers[name]
    return typeof value === 'string' ? value : undefined
  }
  const deadline = header('x-fescue-deadline-ms')
  const deadlineMs = deadline === undefined ? options.defaultDeadlineMs : Number(deadline)
  if (!Number.isFinite(deadlineMs) || deadlineMs <= 0) return 'x-fescue-deadline-ms: a positive number of milliseconds is needed'
  const priority = header('x-fescue-priority')
  if (priority !== undefined && !/^\d{1,3}$/.test(priority)) return 'x-fescue-priority: a whole number from 0 to 999 is needed'
  const idempotencyKey = header('idempotency-key')
  if (idempotencyKey !== undefined && !KEY_PATTERN.test(idempotencyKey)) return 'idempotency-key: 1 to 200 printable characters are needed'
  const method = request.method ?? 'GET'
  return {
    callId,
    workspace: header('x-fescue-workspace') ?? '',
    method,
    path,
    contentType: header('content-type'),
    digest: Core.Hash.sha256(Buffer.concat([Buffer.from(`${method} ${path}\n`), body])),
    idempotencyKey,
    stream: header('accept')?.includes('text/event-stream') === true,
    adapter: header('x-fescue-adapter'),
    priority: priority === undefined ? undefined : Number(priority),
    prefixKey: body.length < MIN_PREFIX_BYTES ? undefined : Core.Hash.rankOf(body.toString('latin1', 0, PREFIX_BYTES)).toString(36),
    timeLeftMs: Math.min(deadlineMs, options.maxDeadlineMs)
  }
}
