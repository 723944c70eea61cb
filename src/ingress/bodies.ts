/**
 * Reads the bodies of calls, and ends answers without a length.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as Routing from '../routing/index.ts'

/** Result of reading a call's body: the body, undefined for a call without one, or why there is none. */
export type BodyResult = Buffer | undefined | 'tooLarge' | 'gone'

/**
 * Reads a call's body, up to the operators' size limit.
 *
 * @param request - The call.
 * @param limits - The limits.
 * @param onBody - Called once with the body, or with `tooLarge` or `gone` (the caller disconnected).
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
 * Makes the end of the connection the end of the answer, since its endpoint sent neither a length nor chunked encoding: nothing proves that the answer is complete.
 *
 * @param response - The answer, before its head is written.
 */
export function useCloseDelimitedBody (response: Http.ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/**
 * Aborts an incomplete answer so that its caller can tell. An answer that ends with its connection needs a reset: after an orderly close it would look complete.
 *
 * @param response - The answer, after its head was written.
 */
export function abortResponse (response: Http.ServerResponse): void {
  if (response.useChunkedEncodingByDefault) response.destroy()
  else response.socket?.resetAndDestroy()
}
