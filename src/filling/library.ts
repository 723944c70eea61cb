/**
 * The verified chunks that an agent keeps in memory.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Ports from './ports.ts'

/** A version's chunks. */
export interface Volume {
  readonly manifest: Ports.WeightManifest
  readonly chunks: Array<Buffer | undefined>
  heldCount: number
}

/** The chunks in memory, by model and version. */
export interface Library {
  volumeOf: (model: string, version: number) => Volume | undefined
  volumes: () => readonly Volume[]
  open: (manifest: Ports.WeightManifest) => Volume
  /** Takes a chunk if it is the one that the manifest names. */
  put: (volume: Volume, index: number, bytes: Buffer) => boolean
  /** Forgets a manifest that no chunk fits. */
  discard: (volume: Volume) => void
}

/** Versions of a model that are kept: the one in force and the one before, which endpoints still serve. */
const KEPT_VERSION_COUNT = 2

/**
 * Creates an empty library.
 *
 * @returns The library.
 */
export function createLibrary (): Library {
  const volumes = new Map<string, Volume>()
  const keyOf = (model: string, version: number): string => `${model}/${version}`
  return {
    volumeOf: (model, version) => volumes.get(keyOf(model, version)),
    volumes: () => [...volumes.values()],
    open: manifest => {
      const volume: Volume = { manifest, chunks: new Array(manifest.digests.length).fill(undefined), heldCount: 0 }
      volumes.set(keyOf(manifest.model, manifest.version), volume)
      const versions = [...volumes.values()].filter(other => other.manifest.model === manifest.model).map(other => other.manifest.version).sort((a, b) => b - a)
      for (const version of versions.slice(KEPT_VERSION_COUNT)) volumes.delete(keyOf(manifest.model, version))
      return volume
    },
    put: (volume, index, bytes) => {
      if (Core.Hash.sha256(bytes) !== volume.manifest.digests[index]) return false
      if (volume.chunks[index] === undefined) volume.heldCount++
      volume.chunks[index] = bytes
      return true
    },
    discard: volume => { volumes.delete(keyOf(volume.manifest.model, volume.manifest.version)) }
  }
}
