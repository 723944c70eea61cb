/**
 * Frames answers for callers.
 *
 * The gateway chooses the framing, whatever that of the endpoint was: each body has a length or is chunked, so that
 * a truncated answer does not look complete, however its connection ends.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as ByteCollector from '../edge/byteCollector.ts'
import * as MessageHeads from '../edge/messageHeads.ts'

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number
  /** Headers for the caller, as a flat list of names and values, without those that frame the body. */
  readonly rawHeaders: readonly string[]
  /** Value of the endpoint's Content-Length, if it sent one. */
  readonly declaredLength: string | undefined
}

/** Result of writing to a stream: `full` if the caller has to read before more is written, `tooLarge` if the stream cannot be sent. */
export type StreamWriteResult = 'written' | 'full' | 'tooLarge'

/** The body of a stream that is sent to a caller. */
export interface StreamBody {
  write: (bytes: Buffer) => StreamWriteResult
  /** Ends the stream as a complete one. */
  end: () => void
}

/** Creates the body of a stream; `limitBytes` bounds what is held of it. */
type StreamBodyFactory = (response: Http.ServerResponse, status: number, rawHeaders: readonly string[], limitBytes: number) => StreamBody

const NO_CONTENT = 204

/**
 * Writes a complete answer.
 *
 * @param response - The answer to the caller.
 * @param head - The head of the endpoint's answer.
 * @param body - The body; empty for an answer that has none.
 */
export function writeWhole (response: Http.ServerResponse, head: AnswerHead, body: Buffer): void {
  response.writeHead(head.status, [...head.rawHeaders, ...lengthFieldsOf(response.req.method, head, body)])
  response.end(body)
}

/** Without a body, Content-Length tells the size that another request would get, which only the endpoint knows. A 204 must not have one. */
function lengthFieldsOf (method: string | undefined, { status, declaredLength }: AnswerHead, body: Buffer): readonly string[] {
  if (!MessageHeads.isBodiless(method, status)) return ['Content-Length', String(body.length)]
  return status === NO_CONTENT || declaredLength === undefined ? [] : ['Content-Length', declaredLength]
}

/**
 * Begins a stream. A caller of HTTP/1.0 cannot read chunks, and gets the stream with its length once it is complete.
 *
 * @param response - The answer to the caller.
 * @param status - The status.
 * @param rawHeaders - The headers, as a flat list of names and values, without those that frame the body.
 * @param limitBytes - Maximum size of a stream that is held until it is complete, in bytes.
 * @returns The body of the stream.
 */
export function beginStream (response: Http.ServerResponse, status: number, rawHeaders: readonly string[], limitBytes: number): StreamBody {
  const { httpVersionMajor, httpVersionMinor } = response.req
  return STREAM_BODIES[httpVersionMajor === 1 && httpVersionMinor > 0 ? 'chunked' : 'held'](response, status, rawHeaders, limitBytes)
}

const STREAM_BODIES: Readonly<Record<'chunked' | 'held', StreamBodyFactory>> = {
  chunked: (response, status, rawHeaders) => {
    response.writeHead(status, [...rawHeaders, 'Transfer-Encoding', 'chunked'])
    return {
      write: bytes => response.write(bytes) ? 'written' : 'full',
      end: () => { response.end() }
    }
  },
  held: (response, status, rawHeaders, limitBytes) => {
    const body = ByteCollector.createByteCollector()
    return {
      write: bytes => {
        body.push(bytes)
        return body.sizeBytes() > limitBytes ? 'tooLarge' : 'written'
      },
      end: () => { writeWhole(response, { status, rawHeaders, declaredLength: undefined }, body.take()) }
    }
  }
}
