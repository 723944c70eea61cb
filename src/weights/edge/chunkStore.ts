/**
 * In-memory store of chunks and weight manifests; computes the digests of whole sets.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Schemas from '../../schema/index.ts'

/** Verified chunks by digest, and the weight manifests of sets. */
export interface ChunkStore {
  get: (chunkDigest: string) => Buffer | undefined
  put: (chunkDigest: string, chunk: Buffer) => void
  remove: (chunkDigest: string) => void
  manifestOf: (digest: string) => Schemas.Weights.WeightManifest | undefined
  manifestBytesOf: (digest: string) => Buffer | undefined
  addManifest: (digest: string, manifest: Schemas.Weights.WeightManifest, bytes: Buffer) => void
  /** Removes a weight manifest and the progress of the digest of its set. */
  removeManifest: (digest: string) => void
}

/** Called when the digest of a whole set has advanced; `wholeMatches` is undefined until all chunks are hashed. */
export type OnHashed = (digest: string, hashedCount: number, wholeMatches: boolean | undefined) => void

interface SetEntry {
  readonly manifest: Schemas.Weights.WeightManifest
  readonly bytes: Buffer
  readonly hash: Crypto.Hash
  hashedCount: number
}

/**
 * Creates an empty store.
 *
 * @param onHashed - Called when the digest of a whole set has advanced.
 * @returns The store.
 */
export function createChunkStore (onHashed: OnHashed): ChunkStore {
  const chunks = new Map<string, Buffer>()
  const sets = new Map<string, SetEntry>()

  const advanceHash = (digest: string, entry: SetEntry): void => {
    const before = entry.hashedCount
    const { manifest } = entry
    while (entry.hashedCount < manifest.chunks.length) {
      const chunk = chunks.get(manifest.chunks[entry.hashedCount] ?? '')
      if (chunk === undefined) break
      entry.hash.update(chunk)
      entry.hashedCount++
    }
    if (entry.hashedCount === before) return
    const ended = entry.hashedCount === manifest.chunks.length
    onHashed(digest, entry.hashedCount, ended ? entry.hash.digest('hex') === manifest.wholeDigest : undefined)
  }
  return {
    get: chunkDigest => chunks.get(chunkDigest),
    put: (chunkDigest, chunk) => {
      chunks.set(chunkDigest, chunk)
      for (const [digest, entry] of sets) advanceHash(digest, entry)
    },
    remove: chunkDigest => { chunks.delete(chunkDigest) },
    manifestOf: digest => sets.get(digest)?.manifest,
    manifestBytesOf: digest => sets.get(digest)?.bytes,
    addManifest: (digest, manifest, bytes) => {
      if (sets.has(digest)) return
      const entry = { manifest, bytes, hash: Crypto.createHash('sha256'), hashedCount: 0 }
      sets.set(digest, entry)
      advanceHash(digest, entry)
    },
    removeManifest: digest => { sets.delete(digest) }
  }
}
