/**
 * Inputs and commands of an agent's loop.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'

/** What an endpoint tells of itself when asked. */
export interface EndpointLoad {
  readonly incarnation: string
  readonly modelName?: string
  readonly modelVersion?: string
  readonly modelDigest?: string
  readonly role?: string
  readonly activeCount: number
  readonly queuedCount: number
  readonly capacityCount: number
  readonly cold: boolean
}

/** How the endpoint's part of an attempt ended. */
export type Ending = 'whole' | 'failed' | 'cancelled' | 'neverSent'

/** What arrives at an agent's loop. */
export type Input =
  | { readonly kind: 'document', readonly document: Schemas.Control.Document }
  | { readonly kind: 'endpointSeen', readonly load: EndpointLoad | undefined }
  | { readonly kind: 'callOffered', readonly envelope: Schemas.Calls.CallEnvelope }
  | { readonly kind: 'callAnswering', readonly attemptId: string }
  | { readonly kind: 'callEnded', readonly attemptId: string, readonly ending: Ending, readonly outcome?: Schemas.Calls.Outcome }
  | { readonly kind: 'callerGone', readonly attemptId: string }
  | { readonly kind: 'fenceAsked', readonly askId: string, readonly question: Schemas.Calls.FenceQuestion }
  | { readonly kind: 'weightsProgress', readonly digest: string, readonly heldCount: number, readonly wantedCount: number, readonly whole: boolean }
  | { readonly kind: 'orderAnswered', readonly accepted: boolean, readonly reason?: string }
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
  | { readonly kind: 'admit', readonly attemptId: string }
  | { readonly kind: 'refuse', readonly attemptId: string, readonly refusal: Refusal }
  | { readonly kind: 'cancel', readonly attemptId: string }
  | { readonly kind: 'answerFence', readonly askId: string, readonly answer: Schemas.Calls.FenceAnswer }
  | { readonly kind: 'fetchWeights', readonly digests: readonly string[] }
  | { readonly kind: 'order', readonly assignment: Schemas.Control.Assignment, readonly fencingNumber: number, readonly load: boolean }
