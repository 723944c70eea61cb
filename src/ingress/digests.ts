/**
 * Names requests whatever the attempt: a caller's repeat has another id, but the same digest.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'

/** Length of a digest in hexadecimal digits: two of a few hundred requests that are watched share one once in many billions. */
const DIGEST_LENGTH = 16

/**
 * Works out a request's digest.
 *
 * @param path - Its path with the query.
 * @param workspace - Whose it is; empty for a caller without a key.
 * @param body - Its body; undefined for none.
 * @returns The digest in lower-case hexadecimal.
 */
export function digestOf (path: string, workspace: string, body: Uint8Array | undefined): string {
  const hash = Crypto.createHash('sha256').update(JSON.stringify([path, workspace]))
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, DIGEST_LENGTH)
}
