/**
 * Data path of an agent: receives attempts from gateways and relays them to the endpoint.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as CallWire from '../schema/callWire.ts'
import * as Schemas from '../schema/index.ts'
import * as Answers from './answers.ts'
import type * as Messages from './messages.ts'
import * as Pace from './pace.ts'
import * as Fencing from './systems/fencing.ts'
import * as Tables from './tables.ts'

/** Options of the relay. */
export interface RelayOptions {
  readonly endpoint: Edge.HttpClient.Target
  readonly maxBodyBytes: number
  readonly guard: Edge.Auth.Guard
  readonly onRefused: (path: string, reason: string) => void
  readonly tables: Tables.Tables
  readonly push: (input: Messages.Input) => void
  readonly log: Edge.Log.Log
}

/** Relay of attempts from gateways to the endpoint. */
export interface Relay {
  readonly route: Edge.HttpServer.Route
  admit: (attemptId: string) => void
  refuse: (attemptId: string, refusal: Messages.Refusal) => void
  cancel: (attemptId: string) => void
  /** Returns the pace of the running streams since the previous call; undefined if no stream runs. */
  collectPace: () => Messages.StreamPace | undefined
  stop: () => void
}

interface Exchange {
  readonly envelope: Schemas.Calls.CallEnvelope
  readonly body: Buffer
  readonly response: Http.ServerResponse
  readonly deadlineMs: number
  upstream: Http.ClientRequest | undefined
  meter: Pace.StreamMeter | undefined
  answer: Answers.RelayedAnswer | undefined
  cancelled: boolean
  ended: boolean
}

const BODY_TIMEOUT_MS = 10_000
/** Maximum size of an answer that is retained for queries about its claim, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 1024 * 1024
/** Time without data from the endpoint after which a stream is ended as failed, in milliseconds. */
const STREAM_IDLE_TIMEOUT_MS = 15_000
/** Time after its deadline at which an attempt is cancelled if its gateway has not cancelled it, in milliseconds. */
const DEADLINE_GRACE_MS = 1_000
/** Time between cancelling an attempt and freeing its slot, in which the endpoint detects the cancellation, in milliseconds. */
const CANCEL_GRACE_MS = 20
const decodeEnvelope = Schemas.Decode.json(Schemas.Calls.CallEnvelope)

/**
 * Creates the relay of an agent.
 *
 * @param options - Endpoint, limits and loop.
 * @returns The HTTP route for gateways, and the handlers of the loop's commands.
 */
export function createRelay (options: RelayOptions): Relay {
  const exchanges = new Map<string, Exchange>()
  const paceMeter = Pace.createPaceMeter()
  const clock = (): number => performance.now()

  const handleCall: Edge.HttpServer.Handler = async (request, response) => {
    const body = await Edge.HttpServer.readBody(request, response, options.maxBodyBytes, BODY_TIMEOUT_MS)
    if (body.isErr()) { Edge.HttpServer.sendCode(response, body.error); return }
    const envelopeText = String(request.headers[CallWire.ENVELOPE_HEADER] ?? '')
    const caller = options.guard.identify(request, CallWire.CALL_PATH, body.value, envelopeText)
    if (caller.role !== 'peer') {
      options.onRefused(CallWire.CALL_PATH, caller.reason ?? 'wrongRole')
      Edge.HttpServer.sendCode(response, 'unauthorized')
      return
    }
    const envelope = decodeEnvelope(envelopeText)
    if (envelope.isErr()) { Edge.HttpServer.sendCode(response, 'badRequest', { reason: Schemas.Decode.describe(envelope.error) }); return }
    const { attemptId, timeLeftMs } = envelope.value
    if (exchanges.has(attemptId)) { Edge.HttpServer.sendCode(response, 'badRequest', { reason: 'repeated attempt' }); return }
    exchanges.set(attemptId, { envelope: envelope.value, body: body.value, response, deadlineMs: clock() + timeLeftMs, upstream: undefined, meter: undefined, answer: undefined, cancelled: false, ended: false })
    response.once('close', () => {
      if (exchanges.has(attemptId)) options.push({ kind: 'callerGone', attemptId })
    })
    options.push({ kind: 'callOffered', envelope: envelope.value })
  }
  const finish = (exchange: Exchange, ending: Messages.Ending, outcome?: Schemas.Calls.Outcome, httpStatus?: number): void => {
    if (exchange.ended) return
    exchange.ended = true
    exchange.meter?.close()
    exchanges.delete(exchange.envelope.attemptId)
    options.push({ kind: 'callEnded', attemptId: exchange.envelope.attemptId, ending, outcome, httpStatus })
  }
  const sendResult = (exchange: Exchange, code: Core.Codes.CodeName, refusal?: Partial<Messages.Refusal>): void => {
    const result = resultOf(options.tables, exchange.envelope, code, refusal)
    Edge.HttpServer.sendJson(exchange.response, Core.Codes.CODES[code].httpStatus, result, { [CallWire.RESULT_HEADER]: JSON.stringify(result) })
  }
  /** Closes the connection to the endpoint, and ends the attempt after `CANCEL_GRACE_MS`. */
  const cancel = (exchange: Exchange): void => {
    if (exchange.cancelled || exchange.ended) return
    exchange.cancelled = true
    exchange.meter?.close()
    exchange.upstream?.destroy()
    setTimeout(() => { finish(exchange, 'cancelled') }, CANCEL_GRACE_MS)
  }
  const discard = (exchange: Exchange, reason: string): void => {
    options.log.warn('calls', 'Answer discarded.', { attemptId: exchange.envelope.attemptId, reason })
    sendResult(exchange, 'endpointFailed', { reason })
    cancel(exchange)
  }
  const fail = (exchange: Exchange): void => {
    if (exchange.cancelled || exchange.ended) return
    exchange.response.destroy()
    finish(exchange, 'failed')
  }
  const refuseWithoutModel = (exchange: Exchange, incoming: Http.IncomingMessage): void => {
    incoming.resume()
    sendResult(exchange, 'modelNotLoaded', { reason: 'The endpoint holds no model.' })
    finish(exchange, 'neverSent', undefined, incoming.statusCode)
  }
  const relayAnswer = (exchange: Exchange, incoming: Http.IncomingMessage): void => {
    const { response, envelope } = exchange
    const problem = Edge.MessageHeads.problemOfAnswer(incoming.statusCode ?? 0, incoming.rawHeaders)
    if (problem !== undefined) { discard(exchange, `malformed answer: ${problem}`); return }
    const mismatch = Answers.findMismatch(envelope, incoming.headers)
    if (mismatch !== undefined) { discard(exchange, mismatch); return }
    if (Answers.isWithoutModel(envelope, incoming)) { refuseWithoutModel(exchange, incoming); return }
    options.push({ kind: 'callAnswering', attemptId: envelope.attemptId })
    response.writeHead(incoming.statusCode ?? 502, { ...Answers.headersOf(incoming), [CallWire.RESULT_HEADER]: JSON.stringify(resultOf(options.tables, envelope, 'ok')) })
    if (envelope.stream) response.flushHeaders()
    exchange.meter = paceMeter.open(clock())
    exchange.answer = Answers.relayBody({
      incoming,
      response,
      wasReset: Edge.ConnectionResets.follow(incoming.socket),
      meter: exchange.meter,
      maxKeptBytes: Fencing.isEndingRetained(envelope) ? MAX_KEPT_ANSWER_BYTES : 0,
      clock,
      onEnd: (isComplete, outcome) => {
        if (!isComplete) { fail(exchange); return }
        finish(exchange, 'whole', Fencing.isEndingRetained(envelope) ? outcome : undefined, incoming.statusCode)
        response.end()
      }
    })
  }
  const admit = (attemptId: string): void => {
    const exchange = exchanges.get(attemptId)
    if (exchange === undefined) { options.push({ kind: 'callEnded', attemptId, ending: 'neverSent' }); return }
    const { envelope, body } = exchange
    const upstream = Http.request({
      host: options.endpoint.host,
      port: options.endpoint.port,
      method: envelope.method,
      path: envelope.path,
      // On a pooled connection that the endpoint has just closed, the outcome of the attempt would be unknown.
      agent: Fencing.isEndingRetained(envelope) ? false : Edge.HttpClient.pool,
      headers: {
        'content-type': envelope.contentType ?? 'application/json',
        'content-length': body.length,
        'x-fescue-call-id': envelope.callId,
        'x-resume-from-index': String(envelope.resumeFromIndex),
        'x-fescue-priority': String(envelope.priority),
        ...(envelope.prefixKey === undefined ? {} : { 'x-fescue-prefix-key': envelope.prefixKey }),
        ...(envelope.idempotencyKey === undefined ? {} : { 'idempotency-key': envelope.idempotencyKey })
      }
    })
    exchange.upstream = upstream
    const connected = Edge.HttpClient.trackConnect(upstream)
    Edge.HttpClient.onUnaskedUpgrade(upstream, reason => { discard(exchange, reason) })
    upstream.on('response', incoming => { relayAnswer(exchange, incoming) })
    upstream.on('error', () => {
      if (exchange.ended || exchange.cancelled) return
      if (exchange.response.headersSent) exchange.response.destroy()
      else sendResult(exchange, connected() ? 'endpointFailed' : 'endpointUnreachable')
      finish(exchange, connected() ? 'failed' : 'neverSent')
    })
    upstream.end(body)
  }
  /** Cancels attempts past their deadline, ends stalled streams and sends heartbeats for the others. */
  const sweep = (): void => {
    const nowMs = clock()
    for (const exchange of exchanges.values()) {
      if (nowMs > exchange.deadlineMs + DEADLINE_GRACE_MS && exchange.upstream !== undefined && !Fencing.outlivesGateway(exchange.envelope)) cancel(exchange)
      else if (exchange.envelope.stream && exchange.meter !== undefined && exchange.meter.quietMs(nowMs) > STREAM_IDLE_TIMEOUT_MS) { exchange.upstream?.destroy(); fail(exchange) } else sendHeartbeat(exchange, nowMs)
    }
  }
  const sweepTimer = setInterval(sweep, CallWire.HEARTBEAT_MS)
  return {
    route: { method: 'POST', path: CallWire.CALL_PATH, handle: handleCall },
    admit,
    refuse: (attemptId, refusal) => {
      const exchange = exchanges.get(attemptId)
      if (exchange === undefined) return
      exchange.ended = true
      exchanges.delete(attemptId)
      sendResult(exchange, refusal.code, refusal)
    },
    cancel: attemptId => {
      const exchange = exchanges.get(attemptId)
      if (exchange !== undefined) cancel(exchange)
    },
    collectPace: () => paceMeter.collect(clock()),
    stop: () => { clearInterval(sweepTimer) }
  }
}

/** Signals to the gateway that the attempt is alive: 102 Processing before the answer, a comment between two events of a stream. */
function sendHeartbeat (exchange: Exchange, nowMs: number): void {
  const { response, envelope, meter, answer } = exchange
  if (response.destroyed || exchange.cancelled) return
  if (!response.headersSent) response.writeProcessing()
  else if (envelope.stream && answer?.isAtEventBoundary() === true && (meter?.quietMs(nowMs) ?? 0) >= CallWire.HEARTBEAT_MS) response.write(':\n\n')
}

function resultOf (tables: Tables.Tables, envelope: Schemas.Calls.CallEnvelope, code: Core.Codes.CodeName, refusal?: Partial<Messages.Refusal>): Schemas.Calls.CallResult {
  const { endpoint, attempts, identity } = tables
  return {
    callId: envelope.callId,
    attemptId: envelope.attemptId,
    code: Core.Codes.CODES[code].code,
    run: Core.Codes.CODES[code].run,
    agentIncarnation: identity.incarnation,
    endpointIncarnation: endpoint.incarnation,
    limitCount: endpoint.limitCount,
    activeCount: Tables.runningCount(tables),
    queuedCount: attempts.queuedCount(),
    modelVersion: endpoint.modelVersion,
    shareCount: refusal?.shareCount,
    retryAfterMs: refusal?.retryAfterMs,
    reason: refusal?.reason
  }
}
