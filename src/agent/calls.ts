/**
 * The byte path of an agent: takes attempts from gateways and relays them to the endpoint.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'
import * as Fencing from './systems/fencing.ts'
import * as Tables from './tables.ts'

/** Where gateways send attempts. */
export const CALL_PATH = '/call'
/** The header that carries the envelope. */
export const ENVELOPE_HEADER = 'x-fescue-envelope'
/** The header that carries the agent's result. */
export const RESULT_HEADER = 'x-fescue-result'

/** Settings of the byte path. */
export interface RelayOptions {
  readonly endpoint: Edge.HttpClient.Target
  readonly maxBodyBytes: number
  readonly guard: Edge.Auth.Guard
  readonly onRefused: (path: string, reason: string) => void
  readonly tables: Tables.Tables
  readonly push: (input: Messages.Input) => void
  readonly log: Edge.Log.Log
}

/** The byte path of an agent. */
export interface Relay {
  readonly route: Edge.HttpServer.Route
  admit: (attemptId: string) => void
  refuse: (attemptId: string, refusal: Messages.Refusal) => void
  cancel: (attemptId: string) => void
}

interface Exchange {
  readonly envelope: Schemas.Calls.CallEnvelope
  readonly body: Buffer
  readonly response: Http.ServerResponse
  upstream: Http.ClientRequest | undefined
  ended: boolean
}

const BODY_TIMEOUT_MS = 10_000
/** The largest answer that is kept for questions about its attempt, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 1024 * 1024
const decodeEnvelope = Schemas.Decode.json(Schemas.Calls.CallEnvelope)

/**
 * Creates the byte path.
 *
 * @param options - Endpoint, limits and the loop.
 * @returns The route and the handlers of commands.
 */
export function createRelay (options: RelayOptions): Relay {
  const exchanges = new Map<string, Exchange>()

  const take: Edge.HttpServer.Handler = async (request, response) => {
    const body = await Edge.HttpServer.readBody(request, options.maxBodyBytes, BODY_TIMEOUT_MS)
    if (body.isErr()) { Edge.HttpServer.sendCode(response, body.error); return }
    const envelopeText = String(request.headers[ENVELOPE_HEADER] ?? '')
    const caller = options.guard.identify(request, CALL_PATH, body.value, envelopeText)
    if (caller.role !== 'peer') {
      options.onRefused(CALL_PATH, caller.reason ?? 'wrongRole')
      Edge.HttpServer.sendCode(response, 'unauthorized')
      return
    }
    const envelope = decodeEnvelope(envelopeText)
    if (envelope.isErr()) { Edge.HttpServer.sendCode(response, 'badRequest', { reason: Schemas.Decode.describe(envelope.error) }); return }
    const { attemptId } = envelope.value
    if (exchanges.has(attemptId)) { Edge.HttpServer.sendCode(response, 'badRequest', { reason: 'repeated attempt' }); return }
    exchanges.set(attemptId, { envelope: envelope.value, body: body.value, response, upstream: undefined, ended: false })
    response.once('close', () => {
      if (exchanges.has(attemptId)) options.push({ kind: 'callerGone', attemptId })
    })
    options.push({ kind: 'callOffered', envelope: envelope.value })
  }
  const end = (exchange: Exchange, ending: Messages.Ending, outcome?: Schemas.Calls.Outcome): void => {
    if (exchange.ended) return
    exchange.ended = true
    exchanges.delete(exchange.envelope.attemptId)
    options.push({ kind: 'callEnded', attemptId: exchange.envelope.attemptId, ending, outcome })
  }
  const resultOf = (envelope: Schemas.Calls.CallEnvelope, code: Core.Codes.CodeName, refusal?: Messages.Refusal): Schemas.Calls.CallResult => {
    const { limitCount, activeCount, queuedCount, modelVersion } = Tables.reportOf(options.tables)
    return {
      callId: envelope.callId,
      attemptId: envelope.attemptId,
      code: Core.Codes.CODES[code].code,
      run: Core.Codes.CODES[code].run,
      agentIncarnation: options.tables.identity.incarnation,
      limitCount,
      activeCount,
      queuedCount,
      modelVersion,
      shareCount: refusal?.shareCount,
      retryAfterMs: refusal?.retryAfterMs,
      reason: refusal?.reason
    }
  }
  const sendResult = (exchange: Exchange, code: Core.Codes.CodeName, refusal?: Messages.Refusal): void => {
    const result = resultOf(exchange.envelope, code, refusal)
    Edge.HttpServer.sendJson(exchange.response, Core.Codes.CODES[code].httpStatus, result, { [RESULT_HEADER]: JSON.stringify(result) })
  }

  const relayAnswer = (exchange: Exchange, incoming: Http.IncomingMessage): void => {
    const { response, envelope } = exchange
    options.push({ kind: 'callAnswering', attemptId: envelope.attemptId })
    const headers: Http.OutgoingHttpHeaders = {
      'content-type': incoming.headers['content-type'] ?? 'application/octet-stream',
      [RESULT_HEADER]: JSON.stringify(resultOf(envelope, 'ok'))
    }
    if (incoming.headers['content-length'] !== undefined) headers['content-length'] = incoming.headers['content-length']
    response.writeHead(incoming.statusCode ?? 502, headers)
    response.flushHeaders()
    const covered = Fencing.isCovered(envelope)
    const kept: Buffer[] = []
    let keptBytes = 0
    incoming.on('data', (part: Buffer) => {
      keptBytes += part.length
      if (covered && keptBytes <= MAX_KEPT_ANSWER_BYTES) kept.push(part)
      if (!response.destroyed && !response.write(part)) incoming.pause()
    })
    response.on('drain', () => { incoming.resume() })
    response.on('close', () => { incoming.resume() })
    const fail = (): void => {
      response.destroy()
      end(exchange, 'failed')
    }
    incoming.on('error', fail)
    incoming.on('end', () => {
      if (!incoming.complete) { fail(); return }
      const outcome = !covered || keptBytes > MAX_KEPT_ANSWER_BYTES
        ? undefined
        : { httpStatus: incoming.statusCode ?? 502, contentType: String(headers['content-type']), bodyBase64: Buffer.concat(kept).toString('base64') }
      end(exchange, 'whole', outcome)
      response.end()
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
      agent: Edge.HttpClient.pool,
      headers: {
        'content-type': envelope.contentType ?? 'application/json',
        'content-length': body.length,
        'x-fescue-call-id': envelope.callId,
        'x-resume-from-index': String(envelope.resumeFromIndex),
        ...(envelope.idempotencyKey === undefined ? {} : { 'idempotency-key': envelope.idempotencyKey })
      }
    })
    exchange.upstream = upstream
    const connected = Edge.HttpClient.trackConnect(upstream)
    upstream.on('response', incoming => { relayAnswer(exchange, incoming) })
    upstream.on('error', () => {
      if (exchange.ended) return
      const code = connected() ? 'endpointFailed' : 'endpointUnreachable'
      if (exchange.response.headersSent) exchange.response.destroy()
      else sendResult(exchange, code)
      end(exchange, connected() ? 'failed' : 'neverSent')
    })
    upstream.end(body)
  }
  return {
    route: { method: 'POST', path: CALL_PATH, handle: take },
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
      if (exchange === undefined) return
      end(exchange, 'cancelled')
      exchange.upstream?.destroy()
    }
  }
}
