/**
 * The byte path of a gateway: takes callers' requests and relays attempts to agents.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as EventsourceParser from 'eventsource-parser'
import * as AgentCalls from '../agent/calls.ts'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
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
}

interface Exchange {
  readonly callId: string
  readonly body: Buffer
  readonly response: Http.ServerResponse
  readonly stream: boolean
  attempt: Http.ClientRequest | undefined
  attemptId: string
  /** The whole answer of the attempt that ended last. */
  answer: { status: number, contentType: string, body: Buffer } | undefined
  /** The next token that the caller is to get. */
  nextIndex: number
}

const MAX_ANSWER_BYTES = 16 * 1024 * 1024
/** The largest answer that is saved for repeats, in bytes. */
const MAX_SAVED_ANSWER_BYTES = 4 * 1024 * 1024
/** An attempt that sends nothing for so long is given up, in milliseconds. */
const SILENT_ATTEMPT_MS = 30_000
const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/
const decodeResult = Schemas.Decode.json(Schemas.Calls.CallResult)

/**
 * Creates the byte path.
 *
 * @param options - Limits and the loop.
 * @returns The handler of requests and the handlers of commands.
 */
export function createCallers (options: CallersOptions): Callers {
  const exchanges = new Map<string, Exchange>()

  const handle: Edge.HttpServer.Handler = async (request, response, path) => {
    const callId = options.makeId()
    const body = await Edge.HttpServer.readBody(request, options.maxBodyBytes, options.bodyTimeoutMs)
    if (body.isErr()) { Edge.HttpServer.sendCode(response, body.error, { callId }); return }
    const call = arrivedCall(options, callId, request, path, body.value)
    if (typeof call === 'string') { Edge.HttpServer.sendCode(response, 'badRequest', { callId, reason: call }); return }
    exchanges.set(callId, { callId, body: body.value, response, stream: call.stream, attempt: undefined, attemptId: '', answer: undefined, nextIndex: 0 })
    response.once('close', () => {
      if (exchanges.delete(callId)) options.push({ kind: 'callerGone', callId })
    })
    options.push({ kind: 'callArrived', call })
  }
  const endAttempt = (exchange: Exchange, attemptId: string, end: Messages.AttemptEnd): void => {
    if (exchange.attemptId !== attemptId) return
    exchange.attemptId = ''
    exchange.attempt = undefined
    options.push({ kind: 'attemptEnded', callId: exchange.callId, attemptId, end })
  }

  const dispatch = (command: Messages.Dispatch): void => {
    const exchange = exchanges.get(command.callId)
    if (exchange === undefined) return
    const { envelope, target } = command
    const { attemptId } = envelope
    const envelopeText = JSON.stringify(envelope)
    exchange.attemptId = attemptId
    exchange.answer = undefined
    const attempt = Http.request({
      host: target.host,
      port: target.port,
      method: 'POST',
      path: AgentCalls.CALL_PATH,
      agent: Edge.HttpClient.pool,
      headers: {
        authorization: Edge.Auth.sign(options.peerKey(), { method: 'POST', path: AgentCalls.CALL_PATH, body: exchange.body, covered: envelopeText }),
        [AgentCalls.ENVELOPE_HEADER]: envelopeText,
        'content-length': exchange.body.length
      }
    })
    exchange.attempt = attempt
    attempt.setTimeout(SILENT_ATTEMPT_MS, () => { attempt.destroy(new Error('silent connection')) })
    const connected = Edge.HttpClient.trackConnect(attempt)
    attempt.on('error', error => {
      endAttempt(exchange, attemptId, connected()
        ? { run: 'unknown', code: 'outcomeUnknown', reason: error.message }
        : { run: 'notRun', code: 'endpointUnreachable', reason: error.message })
    })
    attempt.on('response', incoming => { takeAnswer(exchange, command, incoming) })
    attempt.end(exchange.body)
  }
  const takeAnswer = (exchange: Exchange, command: Messages.Dispatch, incoming: Http.IncomingMessage): void => {
    const { attemptId, callId } = command.envelope
    const result = decodeResult(String(incoming.headers[AgentCalls.RESULT_HEADER] ?? ''))
    if (result.isErr() || result.value.callId !== callId || result.value.attemptId !== attemptId) {
      incoming.destroy()
      endAttempt(exchange, attemptId, { run: 'unknown', code: 'outcomeUnknown', reason: 'The answer does not belong to the attempt.' })
      return
    }
    options.push({ kind: 'callLoad', endpointId: command.endpointId, result: result.value })
    if (result.value.code !== Core.Codes.CODES.ok.code) {
      incoming.resume()
      const { run, code, reason, retryAfterMs, shareCount, limitCount } = result.value
      endAttempt(exchange, attemptId, { run, code: Core.Codes.nameOf(code) ?? 'outcomeUnknown', reason, retryAfterMs, shareCount, limitCount })
      return
    }
    const isStream = String(incoming.headers['content-type']).startsWith('text/event-stream')
    if (exchange.stream && isStream) relayStream(exchange, attemptId, incoming)
    else collectAnswer(exchange, attemptId, incoming)
  }
  const cut = (exchange: Exchange, attemptId: string, reason: string): void => {
    endAttempt(exchange, attemptId, { run: 'unknown', code: 'streamCut', reason })
  }
  const collectAnswer = (exchange: Exchange, attemptId: string, incoming: Http.IncomingMessage): void => {
    const parts: Buffer[] = []
    let sizeBytes = 0
    incoming.on('data', (part: Buffer) => {
      sizeBytes += part.length
      if (sizeBytes > MAX_ANSWER_BYTES) { incoming.destroy(new Error('answer too large')); return }
      parts.push(part)
    })
    incoming.on('error', error => { cut(exchange, attemptId, error.message) })
    incoming.on('end', () => {
      if (!incoming.complete) { cut(exchange, attemptId, 'The answer was cut short.'); return }
      const answer = { status: incoming.statusCode ?? 502, contentType: String(incoming.headers['content-type'] ?? 'application/octet-stream'), body: Buffer.concat(parts) }
      exchange.answer = answer
      const outcome = answer.body.length > MAX_SAVED_ANSWER_BYTES
        ? undefined
        : { httpStatus: answer.status, contentType: answer.contentType, bodyBase64: answer.body.toString('base64') }
      endAttempt(exchange, attemptId, { run: 'ran', code: 'ok', outcome })
    })
  }
  const relayStream = (exchange: Exchange, attemptId: string, incoming: Http.IncomingMessage): void => {
    const { response } = exchange
    if (!response.headersSent) {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-fescue-call-id': exchange.callId })
      response.flushHeaders()
    }
    let ended = false
    const parser = EventsourceParser.createParser({
      onEvent: event => {
        if (event.event === 'end') { ended = true; response.write(`event: end\ndata: ${event.data}\n\n`); return }
        if (event.event !== 'token') return
        const index = Number((JSON.parse(event.data) as { index?: unknown }).index)
        if (index < exchange.nextIndex) return
        if (index !== exchange.nextIndex) { incoming.destroy(new Error('a token is missing')); return }
        exchange.nextIndex = index + 1
        response.write(`event: token\ndata: ${event.data}\n\n`)
        options.push({ kind: 'streamProgress', callId: exchange.callId, attemptId, nextIndex: exchange.nextIndex })
      }
    })
    incoming.setEncoding('utf8')
    incoming.on('data', (text: string) => {
      if (exchange.attemptId !== attemptId) return
      parser.feed(text)
      if (response.writableNeedDrain) {
        incoming.pause()
        response.once('drain', () => { incoming.resume() })
      }
    })
    incoming.on('error', error => { cut(exchange, attemptId, error.message) })
    incoming.on('end', () => {
      if (!ended || !incoming.complete) { cut(exchange, attemptId, 'The stream ended without its end mark.'); return }
      endAttempt(exchange, attemptId, { run: 'ran', code: 'ok' })
    })
  }
  const close = (callId: string): Exchange | undefined => {
    const exchange = exchanges.get(callId)
    exchanges.delete(callId)
    return exchange
  }
  return {
    handle,
    dispatch,
    cancelAttempt: callId => {
      const exchange = exchanges.get(callId)
      if (exchange === undefined) return
      exchange.attemptId = ''
      exchange.attempt?.destroy()
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
      sendAnswer(exchange, { status: outcome.httpStatus, contentType: outcome.contentType, body: Buffer.from(outcome.bodyBase64, 'base64') }, true)
    },
    finish: (callId, code, details) => {
      const exchange = close(callId)
      if (exchange === undefined) return
      if (!exchange.response.headersSent) { Edge.HttpServer.sendCode(exchange.response, code, details); return }
      const row = Core.Codes.CODES[code]
      exchange.response.end(`event: error\ndata: ${JSON.stringify({ code: row.code, name: code, run: row.run, message: row.text, ...details })}\n\n`)
    },
    activeCount: () => exchanges.size
  }
}

function sendAnswer (exchange: Exchange, answer: { status: number, contentType: string, body: Buffer }, replayed = false): void {
  const { response } = exchange
  if (response.destroyed) return
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'content-length': answer.body.length,
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
    digest: Core.Hash.sha256(`${method} ${path}\n${body.toString('latin1')}`),
    idempotencyKey,
    stream: header('accept')?.includes('text/event-stream') === true,
    adapter: header('x-fescue-adapter'),
    priority: priority === undefined ? undefined : Number(priority),
    timeLeftMs: Math.min(deadlineMs, options.maxDeadlineMs)
  }
}
