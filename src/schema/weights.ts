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

/** What an agent tells a peer about one set of weights; chunk indices are bitmaps in base64. */
export const SwarmNews = Schema.Struct({
  instanceId: Schema.String,
  /** The digest of the weight manifest. */
  digest: Manifest.Digest,
  /** The chunks that it can serve. */
  held: Schema.String,
  /** The chunks that are held somewhere in its region, as far as it knows. */
  present: Schema.String,
  /** The chunks that it is fetching into its region. */
  seeding: Schema.String,
  /** Chunk requests that wait for its upload link. */
  queuedCount: Manifest.Count
})
/** What an agent tells a peer about one set of weights. */
export type SwarmNews = typeof SwarmNews.Type

/** A question for a peer's news, with the news of the one who asks. */
export const SwarmExchange = Schema.Struct({ news: Schema.Array(SwarmNews) })
/** News about sets of weights. */
export type SwarmExchange = typeof SwarmExchange.Type
