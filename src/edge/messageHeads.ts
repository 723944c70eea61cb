/**
 * Checks the heads of HTTP messages that were received from outside before they are passed on.
 *
 * Node's parser accepts some heads that Node refuses to write: writing them throws.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'

/** Statuses of answers that are not interim ones (RFC 9110, section 15). Node's parser accepts any three digits. */
const FINAL_STATUS_MIN = 200
const FINAL_STATUS_MAX = 599
/** Statuses of answers without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])
/** Transfer codings of which the plain bytes are read; `identity` is obsolete and names none. */
const READABLE_CODINGS: ReadonlySet<string> = new Set(['chunked', 'identity'])
/** Characters that a request target may consist of. */
const TARGET_PATTERN = /^[\u0021-\u00ff]+$/

/**
 * Tells whether a number is the status of an answer that is not an interim one.
 *
 * @param status - The number.
 * @returns Whether an answer may have it.
 */
export function isFinalStatus (status: number): boolean {
  return Number.isInteger(status) && status >= FINAL_STATUS_MIN && status <= FINAL_STATUS_MAX
}

/**
 * Tells whether an answer ends with its head, whatever its headers say.
 *
 * @param method - The method of the request.
 * @param status - The status of the answer.
 * @returns Whether the answer has no body.
 */
export function isBodiless (method: string | undefined, status: number): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status)
}

/**
 * Finds what makes the head of an answer malformed.
 *
 * @param status - The status of the answer.
 * @param rawHeaders - A flat list of names and values, as received.
 * @returns A description of the first problem; undefined if the head can be passed on.
 */
export function problemOfAnswer (status: number, rawHeaders: readonly string[]): string | undefined {
  return isFinalStatus(status) ? problemOfFields(rawHeaders) ?? problemOfCoding(rawHeaders) : `status ${status}`
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

/** Transfer codings end at each connection. Node decodes chunks only: the bytes of another coding would be passed on without its name. */
function problemOfCoding (rawHeaders: readonly string[]): string | undefined {
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const value = rawHeaders[at + 1] ?? ''
    if (rawHeaders[at]?.toLowerCase() === 'transfer-encoding' && !READABLE_CODINGS.has(value.trim().toLowerCase())) return `transfer coding ${value}`
  }
  return undefined
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
