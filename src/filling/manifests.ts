/**
 * Checks manifests of weights against what was asked for.
 *
 * The digests of a manifest are all that chunks are verified against, so nothing later reveals a manifest of other weights.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Decode from '../schema/decode.ts'
import type * as Ports from './ports.ts'

/** The weights that a manifest was asked for. */
export interface WantedWeights extends Pick<Ports.WeightManifest, 'model' | 'version'> {
  /** Number of chunks of each version of the model; undefined while it is not known. */
  readonly chunkCount: number | undefined
}

const Manifest = Schema.Struct({ model: Schema.String, version: Schema.Int, digests: Schema.Array(Schema.String) })

/** Decodes a manifest that another agent sent. */
export const decode = Decode.json(Manifest)

/**
 * Finds what makes a manifest unusable for the weights that were asked for.
 *
 * @param manifest - The manifest.
 * @param wanted - What was asked for.
 * @returns A description of the problem; undefined if the manifest is usable.
 */
export function problemOf (manifest: Ports.WeightManifest, wanted: WantedWeights): string | undefined {
  if (manifest.model !== wanted.model || manifest.version !== wanted.version) return `manifest of ${manifest.model}/${manifest.version}`
  const chunkCount = wanted.chunkCount ?? Math.max(1, manifest.digests.length)
  return manifest.digests.length === chunkCount ? undefined : `manifest of ${manifest.digests.length} chunks in place of ${chunkCount}`
}
