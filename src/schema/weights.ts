/**
 * Weight manifests and what agents tell one another about chunks.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Manifest from './manifest.ts'

/** The chunks of one set of weights, in order. Its own digest names it. */
export const WeightManifest = Schema.Struct({
  sizeBytes: Manifest.PositiveCount,
  chunkSizeBytes: Manifest.PositiveCount,
  /** The digest of the whole. */
  wholeDigest: Manifest.Digest,
  /** The digest of each chunk. */
  chunks: Schema.Array(Manifest.Digest)
})
/** The chunks of one set of weights, in order. */
export type WeightManifest = typeof WeightManifest.Type
