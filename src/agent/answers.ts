/**
 * Relays an endpoint's answer to the gateway as it arrives.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Pace from './pace.ts'

/** Options of relaying an attempt's answer. */
export interface AnswerOptions {
  readonly incoming: Http.IncomingMessage
  readonly response: Http.ServerResponse
  /** Returns whether the connection to the endpoint was reset. */
  readonly wasReset: () => boolean
  readonly meter: Pace.StreamMeter
  /** Maximum size of an answer that is retained, in bytes; 0 retains none. */
  readonly maxKeptBytes: number
  readonly clock: () => number
  /** Called once, when the endpoint's answer has ended. The outcome is undefined if the answer failed or exceeds `maxKeptBytes`. */
  readonly onEnd: (isComplete: boolean, outcome: Schemas.Calls.Outcome | undefined) => void
}

/** A relayed answer. */
export interface RelayedAnswer {
  /** Returns whether the bytes relayed so far end between two events of a stream, where a comment may be written. */
  isAtEventBoundary: () => boolean
}

const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
const LINE_FEED = 10
/** HTTP status with which an engine answers that it holds no model. */
const NO_MODEL_STATUS = 503

/**
 * Checks that an answer belongs to the attempt and comes from the requested model version.
 *
 * @param envelope - The attempt.
 * @param headers - The answer's headers.
 * @returns A sentence that describes the mismatch, or undefined if there is none.
 */
export function findMismatch (envelope: Schemas.Calls.CallEnvelope, headers: Http.IncomingHttpHeaders): string | undefined {
  const callId = headers['x-fescue-call-id']
  if (callId !== undefined && callId !== envelope.callId) return 'The endpoint answered another call.'
  const version = headers['x-model-version']
  if (version !== undefined && envelope.modelVersion !== undefined && version !== envelope.modelVersion) return `The endpoint answered with version ${String(version)}.`
  return undefined
}

/**
 * Returns whether an engine refused a call because it holds no model, for example after a crash that
 * the agent has not detected yet. Only an idempotent call counts as refused, since it may run twice.
 *
 * @param envelope - The attempt.
 * @param incoming - Status and headers of the answer.
 * @returns Whether the call may be sent to another endpoint.
 */
export function isWithoutModel (envelope: Schemas.Calls.CallEnvelope, incoming: Pick<Http.IncomingMessage, 'statusCode' | 'headers'>): boolean {
  return envelope.idempotent && envelope.modelVersion !== undefined && incoming.statusCode === NO_MODEL_STATUS && incoming.headers['x-model-version'] === undefined
}

/**
 * Relays the body of an answer whose headers have been sent.
 *
 * @param options - Endpoint's answer, gateway's response and meter.
 * @returns The relayed answer.
 */
export function relayBody (options: AnswerOptions): RelayedAnswer {
  const { incoming, response, meter } = options
  const kept = Edge.ByteCollector.createByteCollector()
  let sizeBytes = 0
  let endsAtEventBoundary = true
  incoming.on('data', (part: Buffer) => {
    meter.recordPart(options.clock())
    sizeBytes += part.length
    endsAtEventBoundary = part.length > 1 && part[part.length - 1] === LINE_FEED && part[part.length - 2] === LINE_FEED
    if (sizeBytes <= options.maxKeptBytes) kept.push(part)
    if (response.destroyed || response.write(part)) return
    incoming.pause()
    meter.pauseTiming()
  })
  response.on('drain', () => {
    meter.resumeTiming(options.clock())
    incoming.resume()
  })
  response.on('close', () => { incoming.resume() })
  incoming.on('error', () => { options.onEnd(false, undefined) })
  incoming.on('end', () => {
    const outcome = sizeBytes > options.maxKeptBytes
      ? undefined
      : { httpStatus: incoming.statusCode ?? 502, contentType: incoming.headers['content-type'] ?? DEFAULT_CONTENT_TYPE, bodyBase64: kept.take().toString('base64') }
    options.onEnd(incoming.complete && !options.wasReset(), outcome)
  })
  return { isAtEventBoundary: () => endsAtEventBoundary }
}

/**
 * Selects the headers of an endpoint's answer that are relayed.
 *
 * @param incoming - The endpoint's answer.
 * @returns The headers.
 */
export function headersOf (incoming: Http.IncomingMessage): Http.OutgoingHttpHeaders {
  const headers: Http.OutgoingHttpHeaders = { 'content-type': incoming.headers['content-type'] ?? DEFAULT_CONTENT_TYPE }
  if (incoming.headers['content-length'] !== undefined) headers['content-length'] = incoming.headers['content-length']
  return headers
}
