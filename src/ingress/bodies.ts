/**
 * Bodies of calls and the ends of answers.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as Routing from '../routing/index.ts'

/** A call's body; undefined for none. */
export type BodyResult = Buffer | undefined | 'tooLarge' | 'gone'

/**
 * Reads a call's body within operators' limits.
 *
 * @param request - The call.
 * @param limits - The limits.
 * @param onBody - Told once: the body, that it is too large, or that the caller is gone.
 */
export function read (request: Http.IncomingMessage, limits: Routing.Deployment.Limits, onBody: (body: BodyResult) => void): void {
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) { onBody('tooLarge'); return }
  const parts: Buffer[] = []
  let sizeBytes = 0
  let isSettled = false
  const settle = (body: BodyResult): void => {
    if (isSettled) return
    isSettled = true
    onBody(body)
  }
  request.on('data', (part: Buffer) => {
    sizeBytes += part.length
    if (sizeBytes > limits.bodyBytes) { settle('tooLarge'); return }
    parts.push(part)
  })
  request.on('end', () => { settle(sizeBytes === 0 ? undefined : Buffer.concat(parts)) })
  request.on('close', () => { if (!request.complete) settle('gone') })
}

/**
 * Lets an answer end with its connection, as its endpoint did: nothing proves that it is whole.
 *
 * @param response - The answer, before its head is written.
 */
export function useCloseDelimitedBody (response: Http.ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/**
 * Ends an answer that is not whole, so that its caller sees that: one that ends with its connection would look whole if the connection were closed in order.
 *
 * @param response - The answer, of which the head is written.
 */
export function abortResponse (response: Http.ServerResponse): void {
  if (response.useChunkedEncodingByDefault) response.destroy()
  else response.socket?.resetAndDestroy()
}
