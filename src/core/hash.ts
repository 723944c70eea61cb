/**
 * Digests and rendezvous hashing.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'

/**
 * Computes the SHA-256 digest of some bytes.
 *
 * @param data - Bytes, or text taken as UTF-8.
 * @returns The digest in lower-case hexadecimal.
 */
export function sha256 (data: Uint8Array | string): string {
  return Crypto.createHash('sha256').update(data).digest('hex')
}

/**
 * Computes a 32-bit FNV-1a hash with a final mix, for ranking only.
 *
 * @param text - The text to hash.
 * @returns An unsigned 32-bit number.
 */
export function rankOf (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  return mix(hash)
}

/**
 * Mixes the bits of a number, for ranking only.
 *
 * @param value - The number, of which the lowest 32 bits count.
 * @returns An unsigned 32-bit number.
 */
export function mix (value: number): number {
  let hash = value
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Orders nodes by rendezvous hash: every process computes the same order from the same list.
 *
 * @param subject - What is being placed.
 * @param nodes - The identifiers of the candidates.
 * @returns The candidates, the first choice first.
 */
export function rendezvous (subject: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({ node, rank: rankOf(`${subject}\n${node}`) }))
    .sort((a, b) => b.rank - a.rank || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node)
}
