/**
 * The verified chunks that an agent keeps in memory.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Ports from './ports.ts'

/** A version's chunks. */
export interface ChunkSet {
  readonly manifest: Ports.WeightManifest
  readonly chunks: Array<Buffer | undefined>
  heldCount: number
}

/** The chunks in memory, by model and version. */
export interface ChunkCache {
  chunkSetOf: (model: string, version: number) => ChunkSet | undefined
  chunkSets: () => readonly ChunkSet[]
  open: (manifest: Ports.WeightManifest) => ChunkSet
  /** Takes a chunk if it is the one that the manifest names. */
  put: (volume: ChunkSet, index: number, bytes: Buffer) => boolean
  /** Forgets a manifest that no chunk fits. */
  discard: (volume: ChunkSet) => void
}

/** Versions of a model that are kept: the one in force and the one before, which endpoints still serve. */
const KEPT_VERSION_COUNT = 2

/**
 * Creates an empty library.
 *
 * @returns The library.
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
