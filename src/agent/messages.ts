/**
 * Inputs and commands of an agent's decision loop.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Weights from '../weights/index.ts'

/** Load report of an endpoint. */
export interface EndpointLoad {
  readonly incarnation: string
  readonly modelName?: string
  readonly modelVersion?: string
  readonly modelDigest?: string
  /** Digests of the adapters that are loaded with the model. */
  readonly adapterDigests?: readonly string[]
  /** Highest fencing number of an order that the endpoint has accepted. */
  readonly fencingNumber?: number
  readonly role?: string
  readonly activeCount: number
  readonly queuedCount: number
  readonly capacityCount: number
  readonly cold: boolean
}

/** How an attempt ended at the endpoint: whole answer, failure, cancellation, or not executed. */
export type Ending = 'whole' | 'failed' | 'cancelled' | 'neverSent'

/** Placement order to the endpoint. */
export type Order =
  | { readonly kind: 'load', readonly fencingNumber: number, readonly model: Schemas.Manifest.Model, readonly adapters: readonly Schemas.Manifest.Adapter[] }
  | { readonly kind: 'adapters', readonly fencingNumber: number, readonly adapters: readonly Schemas.Manifest.Adapter[] }
  | { readonly kind: 'role', readonly fencingNumber: number, readonly role: Schemas.Manifest.Role }
  | { readonly kind: 'unload', readonly fencingNumber: number }

/** Endpoint's answer to an order; `lost` if there was no answer. */
export type OrderAnswer = 'accepted' | 'stale' | 'notWhole' | 'refused' | 'lost'

/** Pace of the streams that the endpoint runs, since the previous measurement. */
export interface StreamPace {
  /** Sum of the gaps between parts over all streams, in milliseconds. */
  readonly gapSumMs: number
  readonly gapCount: number
  /** Longest time since the last part of a stream that is still running, in milliseconds. */
  readonly quietMs: number
}

/** Change of the endpoint's prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly prefixKey: string
}

/** Input of an agent's loop. */
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

/** Refusal of an attempt of which nothing has been sent to the endpoint. */
export interface Refusal {
  readonly code: Core.Codes.CodeName
  readonly reason: string
  readonly limitCount?: number
  readonly shareCount?: number
  readonly retryAfterMs?: number
}

/** Command of an agent's loop to its I/O. */
export type Command =
  | { readonly kind: 'admit', readonly attemptId: string, readonly workspace: string, readonly queuedMs: number }
  | { readonly kind: 'refuse', readonly attemptId: string, readonly refusal: Refusal, readonly workspace?: string }
  | { readonly kind: 'cancel', readonly attemptId: string }
  | { readonly kind: 'answerFence', readonly askId: string, readonly answer: Schemas.Calls.FenceAnswer }
  | { readonly kind: 'weights', readonly command: Weights.Messages.Command }
  | { readonly kind: 'order', readonly order: Order }
