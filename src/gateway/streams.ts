/**
 * Relays the tokens of one attempt to a caller: each token once, in order, from one model version.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as EventsourceParser from 'eventsource-parser'
import type * as Exchange from './exchange.ts'

/** A stream to relay. */
export interface StreamOptions {
  readonly exchange: Exchange.Exchange
  readonly attempt: Exchange.Attempt
  readonly incoming: Http.IncomingMessage
  /** The model version that the attempt was sent to. */
  readonly modelVersion: string | undefined
  readonly clock: () => number
  /** Told once, when the caller has got the first token of any attempt. */
  readonly onBegin: () => void
  /** Told once, at the end mark or with what is wrong. */
  readonly onEnd: (problem: string | undefined) => void
}

interface EndMark {
  readonly tokenCount?: unknown
  readonly modelVersion?: unknown
}

type EventHandler = (data: string) => void

/**
 * Relays a stream until its end mark.
 *
 * @param options - Both ends.
 */
export function relayStream (options: StreamOptions): void {
  const { exchange, attempt, incoming } = options
  const { response } = exchange
  let over = false
  const finish = (problem: string | undefined): void => {
    if (over) return
    over = true
    options.onEnd(problem)
  }
  const write = (name: string, data: string): void => {
    response.write(`event: ${name}\ndata: ${data}\n\n`)
    exchange.wroteAtMs = options.clock()
  }
  const handlers: Readonly<Record<string, EventHandler>> = {
    token: data => {
      const index = Number((JSON.parse(data) as { index?: unknown }).index)
      if (index < exchange.nextIndex) return
      if (index !== exchange.nextIndex) { finish('A token is missing.'); return }
      exchange.nextIndex = index + 1
      write('token', data)
      if (index > 0 && exchange.version !== undefined) return
      exchange.version = options.modelVersion
      options.onBegin()
    },
    end: data => {
      const problem = findEndProblem(exchange, JSON.parse(data) as EndMark)
      if (problem === undefined) write('end', data)
      finish(problem)
    }
  }
  const parser = EventsourceParser.createParser({
    onEvent: event => {
      if (over) return
      handlers[event.event ?? '']?.(event.data)
    }
  })
  writeHead(exchange)
  incoming.setEncoding('utf8')
  incoming.on('data', (text: string) => {
    if (over) return
    feed(parser, text, finish)
    if (response.writableNeedDrain) pause(exchange, attempt, incoming, options.clock)
  })
  incoming.on('error', error => { finish(error.message) })
  incoming.on('end', () => { finish('The stream ended without its end mark.') })
}

/** Finds what an end mark says that the caller did not get. */
function findEndProblem (exchange: Exchange.Exchange, mark: EndMark): string | undefined {
  if (typeof mark.tokenCount === 'number' && mark.tokenCount !== exchange.nextIndex) return `The end mark counts ${mark.tokenCount} tokens; ${exchange.nextIndex} came.`
  if (mark.modelVersion !== undefined && exchange.version !== undefined && mark.modelVersion !== exchange.version) return `The stream ended with version ${String(mark.modelVersion)}.`
  return undefined
}

function feed (parser: EventsourceParser.EventSourceParser, text: string, finish: (problem: string) => void): void {
  try {
    parser.feed(text)
  } catch (error) {
    finish(`The stream is malformed: ${(error as Error).message}`)
  }
}

/** Reads nothing more from the attempt until the caller has caught up. */
function pause (exchange: Exchange.Exchange, attempt: Exchange.Attempt, incoming: Http.IncomingMessage, clock: () => number): void {
  if (attempt.paused) return
  attempt.paused = true
  incoming.pause()
  exchange.response.once('drain', () => {
    attempt.paused = false
    attempt.heardAtMs = clock()
    incoming.resume()
  })
}

function writeHead (exchange: Exchange.Exchange): void {
  if (exchange.response.headersSent) return
  exchange.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-fescue-call-id': exchange.callId })
  exchange.response.flushHeaders()
}
