/**
 * Digests that identify a request over all its attempts: a caller's repeat has another id but the same digest.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'

/** Length of a digest, in hexadecimal digits (64 bits): the chance that two of a few hundred tracked requests collide is below one in many billions. */
const DIGEST_LENGTH = 16

/**
 * Computes the digest of a request.
 *
 * @param path - The path with the query string.
 * @param workspace - The caller's workspace; empty for a caller without a key.
 * @param body - The body; undefined for none.
 * @returns The digest in lower-case hexadecimal.
 */
export function digestOf (path: string, workspace: string, body: Uint8Array | undefined): string {
  const hash = Crypto.createHash('sha256').update(JSON.stringify([path, workspace]))
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, DIGEST_LENGTH)
}
