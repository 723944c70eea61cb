/**
 * Ends answers without a length.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'

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
