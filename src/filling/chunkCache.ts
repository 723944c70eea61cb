/**
 * In-memory cache of verified chunks.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Ports from './ports.ts'

/** Manifest of a version and the chunks that are in memory. */
export interface ChunkSet {
  readonly manifest: Ports.WeightManifest
  readonly chunks: Array<Buffer | undefined>
  heldCount: number
}

/** Cache of chunk sets, keyed by model and version. */
export interface ChunkCache {
  chunkSetOf: (model: string, version: number) => ChunkSet | undefined
  chunkSets: () => readonly ChunkSet[]
  /** Adds an empty chunk set and evicts the model's versions beyond those that are kept. */
  open: (manifest: Ports.WeightManifest) => ChunkSet
  /** Stores a chunk if its digest matches the manifest; returns whether it did. */
  put: (chunkSet: ChunkSet, index: number, bytes: Buffer) => boolean
  /** Removes a chunk set, for instance one whose manifest turned out wrong. */
  discard: (chunkSet: ChunkSet) => void
}

/** Number of versions kept per model: the current one and the previous one, which endpoints still serve. */
const KEPT_VERSION_COUNT = 2

/**
 * Creates an empty cache.
 *
 * @returns The cache.
 */
export function createChunkCache (): ChunkCache {
  const chunkSetsByKey = new Map<string, ChunkSet>()
  const keyOf = (model: string, version: number): string => `${model}/${version}`
  return {
    chunkSetOf: (model, version) => chunkSetsByKey.get(keyOf(model, version)),
    chunkSets: () => [...chunkSetsByKey.values()],
    open: manifest => {
      const chunkSet: ChunkSet = { manifest, chunks: new Array(manifest.digests.length).fill(undefined), heldCount: 0 }
      chunkSetsByKey.set(keyOf(manifest.model, manifest.version), chunkSet)
      const versions = [...chunkSetsByKey.values()].filter(other => other.manifest.model === manifest.model).map(other => other.manifest.version).sort((a, b) => b - a)
      for (const version of versions.slice(KEPT_VERSION_COUNT)) chunkSetsByKey.delete(keyOf(manifest.model, version))
      return chunkSet
    },
    put: (chunkSet, index, bytes) => {
      if (Core.Hash.sha256(bytes) !== chunkSet.manifest.digests[index]) return false
      if (chunkSet.chunks[index] === undefined) chunkSet.heldCount++
      chunkSet.chunks[index] = bytes
      return true
    },
    discard: chunkSet => { chunkSetsByKey.delete(keyOf(chunkSet.manifest.model, chunkSet.manifest.version)) }
  }
}
