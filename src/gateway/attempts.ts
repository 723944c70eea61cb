/**
 * Sends attempts to agents and takes their answers.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as CallWire from '../schema/callWire.ts'
import * as Schemas from '../schema/index.ts'
import type * as Exchange from './exchange.ts'
import type * as Messages from './messages.ts'
import * as Streams from './streams.ts'

/** Settings of the attempts' side of the byte path. */
export interface AttemptOptions {
  readonly peerKey: () => string
  readonly push: (input: Messages.Input) => void
  readonly clock: () => number
}

/** The attempts' side of the byte path. */
export interface Attempts {
  dispatch: (exchange: Exchange.Exchange, dispatch: Messages.Dispatch) => void
  /** Drops every attempt of an exchange, down to the engine. */
  cancel: (exchange: Exchange.Exchange) => void
  /** Ends attempts whose connection has gone silent. */
  sweep: (exchange: Exchange.Exchange, nowMs: number) => void
}

const MAX_ANSWER_BYTES = 16 * 1024 * 1024
/** The largest answer that is saved for repeats, in bytes. */
const MAX_SAVED_ANSWER_BYTES = 4 * 1024 * 1024
/** A connection over which no sign of life came for so long is given up, in milliseconds. */
const SILENT_MS = 4 * CallWire.HEARTBEAT_MS
/** The same while a whole answer is being read, in milliseconds. */
const SILENT_BODY_MS = 15_000
const decodeResult = Schemas.Decode.json(Schemas.Calls.CallResult)

/**
 * Creates the attempts' side of the byte path.
 *
 * @param options - Key, loop and clock.
 * @returns The handlers.
 */
export function createAttempts (options: AttemptOptions): Attempts {
  const end = (exchange: Exchange.Exchange, attempt: Exchange.Attempt, outcome: Messages.AttemptEnd): void => {
    if (!exchange.attempts.delete(attempt.attemptId)) return
    if (exchange.winnerId === attempt.attemptId) exchange.winnerId = ''
    if (exchange.nextIndex > 0) options.push({ kind: 'streamProgress', callId: exchange.callId, attemptId: attempt.attemptId, nextIndex: exchange.nextIndex })
    options.push({ kind: 'attemptEnded', callId: exchange.callId, attemptId: attempt.attemptId, end: outcome })
  }
  const cut = (exchange: Exchange.Exchange, attempt: Exchange.Attempt, reason: string): void => {
    end(exchange, attempt, { run: 'unknown', code: 'streamCut', reason })
    attempt.request.destroy()
  }
  const dispatch = (exchange: Exchange.Exchange, command: Messages.Dispatch): void => {
    const { envelope, target } = command
    const envelopeText = JSON.stringify(envelope)
    const request = Http.request({
      host: target.host,
      port: target.port,
      method: 'POST',
      path: CallWire.CALL_PATH,
      agent: Edge.HttpClient.pool,
      headers: {
        authorization: Edge.Auth.sign(options.peerKey(), { method: 'POST', path: CallWire.CALL_PATH, body: exchange.body, covered: envelopeText }),
        [CallWire.ENVELOPE_HEADER]: envelopeText,
        'content-length': exchange.body.length
      }
    })
    const attempt: Exchange.Attempt = { attemptId: envelope.attemptId, target, request, heardAtMs: options.clock(), paused: false, readsBody: false }
    exchange.attempts.set(attempt.attemptId, attempt)
    const connected = Edge.HttpClient.trackConnect(request)
    const failMalformed = (reason: string): void => { end(exchange, attempt, { run: 'unknown', code: 'outcomeUnknown', reason }) }
    Edge.HttpClient.onUnaskedUpgrade(request, failMalformed)
    request.on('information', () => { attempt.heardAtMs = options.clock() })
    request.on('error', error => {
      end(exchange, attempt, connected()
        ? { run: 'unknown', code: 'outcomeUnknown', reason: error.message }
        : { run: 'notRun', code: 'endpointUnreachable', reason: error.message })
    })
    request.on('response', incoming => {
      const problem = Edge.MessageHeads.problemOfAnswer(incoming.statusCode ?? 0, incoming.rawHeaders)
      if (problem !== undefined) {
        failMalformed(`malformed answer: ${problem}`)
        incoming.destroy()
        return
      }
      incoming.on('data', () => { attempt.heardAtMs = options.clock() })
      take(exchange, attempt, command, incoming)
    })
    request.end(exchange.body)
  }
  const take = (exchange: Exchange.Exchange, attempt: Exchange.Attempt, command: Messages.Dispatch, incoming: Http.IncomingMessage): void => {
    const { callId, modelVersion } = command.envelope
    const result = decodeResult(String(incoming.headers[CallWire.RESULT_HEADER] ?? ''))
    if (result.isErr() || result.value.callId !== callId || result.value.attemptId !== attempt.attemptId) {
      end(exchange, attempt, { run: 'unknown', code: 'outcomeUnknown', reason: 'The answer does not belong to the attempt.' })
      incoming.destroy()
      return
    }
    if (!exchange.attempts.has(attempt.attemptId)) { incoming.destroy(); return }
    options.push({ kind: 'callLoad', endpointId: command.endpointId, result: result.value })
    if (result.value.code !== Core.Codes.CODES.ok.code) {
      incoming.resume()
      const { run, code, reason, retryAfterMs, shareCount, limitCount } = result.value
      end(exchange, attempt, { run, code: Core.Codes.nameOf(code) ?? 'outcomeUnknown', reason, retryAfterMs, shareCount, limitCount })
      return
    }
    win(exchange, attempt)
    const isStream = String(incoming.headers['content-type']).startsWith('text/event-stream')
    if (exchange.stream && isStream) relay(exchange, attempt, incoming, modelVersion)
    else collect(exchange, attempt, incoming)
  }
  /** The first answer that begins is taken; the other attempts are cancelled. */
  const win = (exchange: Exchange.Exchange, attempt: Exchange.Attempt): void => {
    exchange.winnerId = attempt.attemptId
    options.push({ kind: 'attemptWon', callId: exchange.callId, attemptId: attempt.attemptId })
    for (const other of exchange.attempts.values()) {
      if (other === attempt) continue
      exchange.attempts.delete(other.attemptId)
      other.request.destroy()
    }
  }
  const relay = (exchange: Exchange.Exchange, attempt: Exchange.Attempt, incoming: Http.IncomingMessage, modelVersion: string | undefined): void => {
    Streams.relayStream({
      exchange,
      attempt,
      incoming,
      modelVersion,
      clock: options.clock,
      onBegin: () => { options.push({ kind: 'streamProgress', callId: exchange.callId, attemptId: attempt.attemptId, nextIndex: exchange.nextIndex }) },
      onEnd: problem => {
        if (problem !== undefined) { cut(exchange, attempt, problem); return }
        end(exchange, attempt, { run: 'ran', code: 'ok' })
      }
    })
  }
  const collect = (exchange: Exchange.Exchange, attempt: Exchange.Attempt, incoming: Http.IncomingMessage): void => {
    const body = Edge.ByteCollector.createByteCollector()
    attempt.readsBody = true
    incoming.on('data', (part: Buffer) => {
      if (body.sizeBytes() + part.length > MAX_ANSWER_BYTES) { incoming.destroy(new Error('answer too large')); return }
      body.push(part)
    })
    incoming.on('error', error => { cut(exchange, attempt, error.message) })
    incoming.on('end', () => {
      if (!incoming.complete) { cut(exchange, attempt, 'The answer was cut short.'); return }
      const answer: Exchange.WholeAnswer = { status: incoming.statusCode ?? 502, contentType: String(incoming.headers['content-type'] ?? 'application/octet-stream'), body: body.take() }
      if (exchange.attempts.has(attempt.attemptId)) exchange.answer = answer
      end(exchange, attempt, { run: 'ran', code: 'ok', outcome: exchange.saves ? outcomeOf(answer) : undefined })
    })
  }
  return {
    dispatch,
    cancel: exchange => {
      const attempts = [...exchange.attempts.values()]
      exchange.attempts.clear()
      exchange.winnerId = ''
      for (const attempt of attempts) attempt.request.destroy()
    },
    sweep: (exchange, nowMs) => {
      for (const attempt of exchange.attempts.values()) {
        if (attempt.paused || nowMs - attempt.heardAtMs <= (attempt.readsBody ? SILENT_BODY_MS : SILENT_MS)) continue
        const code = exchange.winnerId === attempt.attemptId && exchange.nextIndex > 0 ? 'streamCut' : 'outcomeUnknown'
        Edge.HttpClient.dropIdle(attempt.target)
        end(exchange, attempt, { run: 'unknown', code, reason: 'The connection went silent.', silent: true })
        attempt.request.destroy()
      }
    }
  }
}

function outcomeOf (answer: Exchange.WholeAnswer): Schemas.Calls.Outcome | undefined {
  if (answer.body.length > MAX_SAVED_ANSWER_BYTES) return undefined
  return { httpStatus: answer.status, contentType: answer.contentType, bodyBase64: answer.body.toString('base64') }
}
