/**
 * A caller of gateways.
 *
 * @packageDocumentation
 */
import * as EventsourceParser from 'eventsource-parser'
import * as HttpClient from '../src/edge/httpClient.ts'

/** A call to make. */
export interface Call {
  readonly port: number
  readonly method?: string
  readonly path: string
  readonly workspace: string
  readonly body?: unknown
  readonly key?: string
  readonly stream?: boolean
  readonly deadlineMs?: number
  readonly headers?: Readonly<Record<string, string>>
}

/** What came back. */
export interface Reply {
  readonly status: number
  readonly code: number
  readonly run: string
  readonly text: string
  readonly json: any
  readonly headers: Readonly<Record<string, unknown>>
  /** The tokens of a stream. */
  readonly tokens: readonly string[]
  /** The version that the stream's end mark names; undefined without an end mark. */
  readonly endVersion: string | undefined
  readonly error: any
}

const GRACE_MS = 5_000

/**
 * Makes a call and reads the whole answer.
 *
 * @param call - The call.
 * @returns The reply.
 * @throws TransportError when there is no whole answer.
 */
export async function send (call: Call): Promise<Reply> {
  const deadlineMs = call.deadlineMs ?? 10_000
  const answer = await HttpClient.send({
    target: { host: '127.0.0.1', port: call.port },
    method: call.method ?? 'POST',
    path: call.path,
    timeoutMs: deadlineMs + GRACE_MS,
    body: call.body === undefined ? undefined : JSON.stringify(call.body),
    headers: {
      'content-type': 'application/json',
      'x-fescue-workspace': call.workspace,
      'x-fescue-deadline-ms': String(deadlineMs),
      ...(call.key === undefined ? {} : { 'idempotency-key': call.key }),
      ...(call.stream === true ? { accept: 'text/event-stream' } : {}),
      ...call.headers
    }
  })
  const text = answer.body.toString()
  const events = String(answer.headers['content-type']).startsWith('text/event-stream') ? eventsOf(text) : undefined
  const json = events === undefined ? parse(text) : undefined
  const end = events?.find(event => event.event === 'end')
  const error = events?.find(event => event.event === 'error')
  return {
    status: answer.status,
    code: error === undefined ? Number(answer.headers['x-fescue-code'] ?? 0) : Number(parse(error.data)?.code),
    run: String(answer.headers['x-fescue-run'] ?? ''),
    text,
    json,
    headers: answer.headers,
    tokens: events?.filter(event => event.event === 'token').map(event => String(parse(event.data)?.text)) ?? [],
    endVersion: end === undefined ? undefined : String(parse(end.data)?.modelVersion),
    error: error === undefined ? undefined : parse(error.data)
  }
}

function eventsOf (text: string): Array<{ event: string, data: string }> {
  const events: Array<{ event: string, data: string }> = []
  EventsourceParser.createParser({ onEvent: event => { events.push({ event: event.event ?? '', data: event.data }) } }).feed(text)
  return events
}

function parse (text: string): any {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
