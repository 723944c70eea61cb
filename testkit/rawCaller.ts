/**
 * A caller that reads answers byte by byte and tells by RFC 9112 whether they are complete.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'

/** A call. */
export interface RawCall {
  readonly port: number
  readonly path: string
  readonly id?: string
  readonly method?: string
  readonly version?: '1.0' | '1.1'
  /** Further headers, each with its line end. */
  readonly moreHeaders?: string
  /** Called with each part that arrives. */
  readonly onPart?: (textSoFar: string) => void
  /** Reads nothing until it is resolved. */
  readonly readsAfter?: Promise<unknown>
}

/** How the end of a body is recognised. */
export type Framing = 'none' | 'length' | 'chunked' | 'connection'

/** What a caller got. */
export interface RawAnswer {
  readonly status: number
  /** Headers by name in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly framing: Framing
  readonly body: string
  readonly isComplete: boolean
}

const DEADLINE_MS = 8_000
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])
const HEAD_END = '\r\n\r\n'

/** A body as far as it was read. */
type Body = Pick<RawAnswer, 'body' | 'isComplete'>

/** Readers of bodies by framing; `hasEnded` tells that the connection ended in order. */
const BODY_READERS: Readonly<Record<Framing, (text: string, headers: RawAnswer['headers'], hasEnded: boolean) => Body>> = {
  none: body => ({ body, isComplete: body === '' }),
  length: (body, headers) => ({ body, isComplete: body.length === Number(headers['content-length']) }),
  chunked: readChunks,
  connection: (body, _headers, hasEnded) => ({ body, isComplete: hasEnded })
}

/**
 * Sends a call on a new connection and reads until the answer is complete or the connection ends.
 *
 * @param call - The call.
 * @returns The answer; status 0 if there was none.
 */
export async function send (call: RawCall): Promise<RawAnswer> {
  const { port, path, id = 'call', method = 'POST', version = '1.1', moreHeaders = '', onPart = () => {}, readsAfter } = call
  return await new Promise(resolve => {
    let text = ''
    let hasEnded = false
    const socket = Net.connect({ host: '127.0.0.1', port })
    const answer = (): RawAnswer => parse(text, method, hasEnded)
    if (readsAfter !== undefined) {
      socket.pause()
      void readsAfter.finally(() => { socket.resume() })
    }
    socket.setEncoding('latin1')
    socket.on('data', (part: string) => {
      text += part
      onPart(text)
      if (answer().isComplete) socket.end()
    })
    socket.on('end', () => { hasEnded = true })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(answer()) })
    const body = method === 'HEAD' ? '' : 'prompt'
    socket.write(`${method} ${path} HTTP/${version}\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Fescuespread-Attempt-Id: ${id}\r\nX-Fescuespread-Deadline-Ms: ${DEADLINE_MS}\r\nX-Fescuespread-Model: m\r\nX-Fescuespread-Token-Usage: 100,50\r\n${moreHeaders}${body === '' ? '' : `Content-Length: ${body.length}\r\n`}\r\n${body}`)
  })
}

function parse (text: string, method: string, hasEnded: boolean): RawAnswer {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd === -1) return { status: 0, headers: {}, framing: 'none', body: '', isComplete: false }
  const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n')
  const status = Number(statusLine.split(' ')[1])
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const framing = framingOf(method, status, headers)
  return { status, headers, framing, ...BODY_READERS[framing](text.slice(headEnd + HEAD_END.length), headers, hasEnded) }
}

function framingOf (method: string, status: number, headers: RawAnswer['headers']): Framing {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'none'
  if (headers['transfer-encoding'] !== undefined) return 'chunked'
  return headers['content-length'] === undefined ? 'connection' : 'length'
}

function readChunks (text: string): Body {
  let body = ''
  let at = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at)
    const sizeBytes = lineEnd === -1 ? NaN : parseInt(text.slice(at, lineEnd), 16)
    const from = lineEnd + '\r\n'.length
    if (Number.isNaN(sizeBytes) || text.length < from + sizeBytes + '\r\n'.length) return { body, isComplete: false }
    if (sizeBytes === 0) return { body, isComplete: true }
    body += text.slice(from, from + sizeBytes)
    at = from + sizeBytes + '\r\n'.length
  }
}
