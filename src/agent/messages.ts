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

/** What arrives at an agent's loop. */
export type Input =
  | { readonly kind: 'document', readonly document: Schemas.Control.Document }
  | { readonly kind: 'endpointSeen', readonly load: EndpointLoad | undefined, readonly askedAtMs: number }
  | { readonly kind: 'callOffered', readonly envelope: Schemas.Calls.CallEnvelope }
  | { readonly kind: 'callAnswering', readonly attemptId: string }
  | { readonly kind: 'callEnded', readonly attemptId: string, readonly ending: Ending, readonly outcome?: Schemas.Calls.Outcome }
  | { readonly kind: 'callerGone', readonly attemptId: string }
  | { readonly kind: 'fenceAsked', readonly askId: string, readonly question: Schemas.Calls.FenceQuestion }
  | { readonly kind: 'weights', readonly input: Weights.Messages.Input }
  | { readonly kind: 'membersSeen', readonly members: readonly Weights.Messages.Member[] }
  | { readonly kind: 'orderAnswered', readonly order: Order, readonly answer: OrderAnswer, readonly reason?: string }
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
  | { readonly kind: 'admit', readonly attemptId: string }
  | { readonly kind: 'refuse', readonly attemptId: string, readonly refusal: Refusal }
  | { readonly kind: 'cancel', readonly attemptId: string }
  | { readonly kind: 'answerFence', readonly askId: string, readonly answer: Schemas.Calls.FenceAnswer }
  | { readonly kind: 'weights', readonly command: Weights.Messages.Command }
  | { readonly kind: 'order', readonly order: Order }
