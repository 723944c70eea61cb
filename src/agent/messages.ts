/**
 * Inputs and commands of an agent's loop.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Weights from '../weights/index.ts'

/** What an endpoint tells of itself when asked. */
export interface EndpointLoad {
  readonly incarnation: string
  readonly modelName?: string
  readonly modelVersion?: string
  readonly modelDigest?: string
  /** The digests of the adapters beside the model. */
  readonly adapterDigests?: readonly string[]
  /** The highest fencing number that the endpoint has taken. */
  readonly fencingNumber?: number
  readonly role?: string
  readonly activeCount: number
  readonly queuedCount: number
  readonly capacityCount: number
  readonly cold: boolean
}

/** How the endpoint's part of an attempt ended. */
export type Ending = 'whole' | 'failed' | 'cancelled' | 'neverSent'

/** An order to the endpoint. */
export type Order =
  | { readonly kind: 'load', readonly fencingNumber: number, readonly model: Schemas.Manifest.Model, readonly adapters: readonly Schemas.Manifest.Adapter[] }
  | { readonly kind: 'adapters', readonly fencingNumber: number, readonly adapters: readonly Schemas.Manifest.Adapter[] }
  | { readonly kind: 'role', readonly fencingNumber: number, readonly role: Schemas.Manifest.Role }
  | { readonly kind: 'unload', readonly fencingNumber: number }

/** How the endpoint answered an order; `lost` when there was no answer. */
export type OrderAnswer = 'accepted' | 'stale' | 'notWhole' | 'refused' | 'lost'

/** The pace of the streams that the endpoint runs, since it was asked last. */
export interface StreamPace {
  /** Time between parts, summed over all streams, in milliseconds. */
  readonly gapSumMs: number
  readonly gapCount: number
  /** The longest time for which a stream has been quiet now, in milliseconds. */
  readonly quietMs: number
}

/** A change of the endpoint's prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly prefixKey: string
}

/** What arrives at an agent's loop. */
export type Input =
  | { readonly kind: 'document', readonly document: Schemas.Control.Document }
  | { readonly kind: 'endpointSeen', readonly load: EndpointLoad | undefined, readonly askedAtMs?: number }
  | { readonly kind: 'callOffered', readonly envelope: Schemas.Calls.CallEnvelope }
  | { readonly kind: 'callAnswering', readonly attemptId: string }
  | { readonly kind: 'callEnded', readonly attemptId: string, readonly ending: Ending, readonly outcome?: Schemas.Calls.Outcome, readonly httpStatus?: number }
  | { readonly kind: 'paceSeen', readonly pace: StreamPace }
  | { readonly kind: 'cacheEvents', readonly events: readonly CacheEvent[] }
  | { readonly kind: 'callerGone', readonly attemptId: string }
  | { readonly kind: 'fenceAsked', readonly askId: string, readonly question: Schemas.Calls.FenceQuestion }
  | { readonly kind: 'weights', readonly input: Weights.Messages.Input }
  | { readonly kind: 'membersSeen', readonly members: readonly Weights.Messages.Member[] }
  | { readonly kind: 'orderAnswered', readonly order: Order, readonly answer: OrderAnswer, readonly reason?: string }
  | { readonly kind: 'listed', readonly state: Schemas.Platform.Instance['state'] | undefined }
  | { readonly kind: 'stopping' }

/** Why an attempt is refused before anything reached the endpoint. */
export interface Refusal {
  readonly code: Core.Codes.CodeName
  readonly reason: string
  readonly limitCount?: number
  readonly shareCount?: number
  readonly retryAfterMs?: number
}

/** What an agent's loop asks of the edge. */
export type Command =
  | { readonly kind: 'admit', readonly attemptId: string, readonly workspace: string, readonly queuedMs: number }
  | { readonly kind: 'refuse', readonly attemptId: string, readonly refusal: Refusal, readonly workspace?: string }
  | { readonly kind: 'cancel', readonly attemptId: string }
  | { readonly kind: 'answerFence', readonly askId: string, readonly answer: Schemas.Calls.FenceAnswer }
  | { readonly kind: 'weights', readonly command: Weights.Messages.Command }
  | { readonly kind: 'order', readonly order: Order }
