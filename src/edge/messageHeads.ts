/**
 * Checks the heads of HTTP messages that were received from outside before they are passed on.
 *
 * Node's parser accepts some heads that Node refuses to write: writing them throws.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'

/** The lowest status of an answer that is not an interim one. */
const FINAL_STATUS_MIN = 200
/** Characters that a request target may consist of. */
const TARGET_PATTERN = /^[\u0021-\u00ff]+$/

/**
 * Finds what makes the head of an answer malformed.
 *
 * @param status - The status of the answer.
 * @param rawHeaders - A flat list of names and values, as received.
 * @returns A description of the first problem; undefined if the head can be passed on.
 */
export function problemOfAnswer (status: number, rawHeaders: readonly string[]): string | undefined {
  return status < FINAL_STATUS_MIN ? `status ${status}` : problemOfFields(rawHeaders)
}

/**
 * Finds what makes the head of a request malformed.
 *
 * @param target - The request target.
 * @param rawHeaders - A flat list of names and values, as received.
 * @returns A description of the first problem; undefined if the head can be passed on.
 */
export function problemOfRequest (target: string, rawHeaders: readonly string[]): string | undefined {
  return TARGET_PATTERN.test(target) ? problemOfFields(rawHeaders) : 'request target'
}

function problemOfFields (rawHeaders: readonly string[]): string | undefined {
  try {
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
      const name = rawHeaders[at] ?? ''
      Http.validateHeaderName(name)
      Http.validateHeaderValue(name, rawHeaders[at + 1] ?? '')
    }
    return undefined
  } catch (error) {
    return (error as Error).message
  }
}
