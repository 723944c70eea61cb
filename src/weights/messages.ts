/**
 * Inputs and commands of the swarm.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import type * as Faults from './faults.ts'

/** The address at which a process listens. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** An agent that may hold weights. */
export interface Member extends Address {
  readonly instanceId: string
  readonly zone: string
  readonly region: string
}

/** How the fetch of a chunk ended. */
export type FetchEnding = 'whole' | Faults.FaultKind

/** An event that the swarm handles in its next tick. */
export type Input =
  | { readonly kind: 'manifestFetched', readonly digest: string, readonly manifest: Schemas.Weights.WeightManifest | undefined, readonly sourceId: string, readonly fault?: Faults.FaultKind }
  | { readonly kind: 'chunkFetched', readonly fetchId: string, readonly chunkDigest: string, readonly ending: FetchEnding, readonly sizeBytes: number }
  | { readonly kind: 'newsHeard', readonly news: Schemas.Weights.SwarmNews }
  | { readonly kind: 'exchanged', readonly instanceId: string, readonly answered: boolean, readonly tookMs: number }
  | { readonly kind: 'chunkDelivered', readonly digest: string, readonly index: number, readonly accepted: boolean }
  | { readonly kind: 'chunksHashed', readonly digest: string, readonly hashedCount: number, readonly wholeMatches: boolean | undefined }
  | { readonly kind: 'chunkAsked', readonly chunkDigest: string }

/** An action that the swarm requests of its edge. */
export type Command =
  | { readonly kind: 'fetchManifest', readonly digest: string, readonly sourceId: string, readonly address: Address }
  | { readonly kind: 'fetchChunk', readonly fetchId: string, readonly digest: string, readonly index: number, readonly chunkDigest: string, readonly sourceId: string, readonly address: Address, readonly crossesBorder: boolean, readonly stallMs: number }
  | { readonly kind: 'cancelFetch', readonly fetchId: string }
  | { readonly kind: 'exchange', readonly instanceId: string, readonly address: Address }
  | { readonly kind: 'deliverChunk', readonly digest: string, readonly index: number, readonly chunkDigest: string }
  | { readonly kind: 'evictChunk', readonly chunkDigest: string }
  | { readonly kind: 'forgetWeights', readonly digest: string }
  | { readonly kind: 'setBorderRate', readonly bytesPerSecond: number }
