/**
 * Digests and rendezvous hashing.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'

/**
 * Computes a SHA-256 digest.
 *
 * @param data - Bytes, or text that is encoded as UTF-8.
 * @returns The digest in lower-case hexadecimal.
 */
export function sha256 (data: Uint8Array | string): string {
  return Crypto.createHash('sha256').update(data).digest('hex')
}

/**
 * Computes a 32-bit FNV-1a hash followed by a bit mixer. Not cryptographic: for ranking only.
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
 * Mixes the bits of a number. Not cryptographic: for ranking only.
 *
 * @param value - The number; only its lowest 32 bits are used.
 * @returns An unsigned 32-bit number.
 */
export function mix (value: number): number {
  let hash = value
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Orders nodes by rendezvous hashing: every process computes the same order for the same subject and nodes.
 *
 * @param subject - Key for which a node is chosen.
 * @param nodes - Identifiers of the candidate nodes.
 * @returns The identifiers, the preferred node first.
 */
export function rendezvous (subject: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({ node, rank: rankOf(`${subject}\n${node}`) }))
    .sort((a, b) => b.rank - a.rank || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node)
}
