/**
 * Inputs and commands of a gateway's loop.
 *
 * @packageDocumentation
 */
import type * as Control from '../control/index.ts'
import type * as Core from '../core/index.ts'
import type * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'

/** A caller's call as it arrived. */
export interface ArrivedCall {
  readonly callId: string
  readonly workspace: string
  readonly method: string
  readonly path: string
  readonly contentType: string | undefined
  readonly digest: string
  readonly idempotencyKey: string | undefined
  readonly stream: boolean
  readonly adapter: string | undefined
  readonly priority: number | undefined
  /** Names the start of the body, under which an engine caches it. */
  readonly prefixKey?: string
  /** Time until the caller's deadline in milliseconds. */
  readonly timeLeftMs: number
}

/** How an attempt ended, as the gateway saw it. */
export interface AttemptEnd {
  readonly run: Core.Codes.RunState
  readonly code: Core.Codes.CodeName
  readonly reason?: string
  readonly retryAfterMs?: number
  readonly shareCount?: number
  readonly limitCount?: number
  /** Whether the connection went silent, so that the endpoint is not to blame yet. */
  readonly silent?: boolean
  /** The answer of a call that was run, when it was read whole and is small enough to save. */
  readonly outcome?: Schemas.Calls.Outcome
}

/** What a claim led to. */
export type ClaimResult =
  | { readonly kind: 'granted', readonly revision: number, readonly record: Schemas.Calls.ClaimRecord }
  | { readonly kind: 'held', readonly revision: number, readonly record: Schemas.Calls.ClaimRecord }
  | { readonly kind: 'unavailable' }

/** What arrives at a gateway's loop. */
export type Input =
  | { readonly kind: 'document', readonly document: Schemas.Control.Document }
  | { readonly kind: 'instances', readonly instances: readonly Schemas.Platform.Instance[] }
  | { readonly kind: 'report', readonly endpointId: string, readonly report: Schemas.Control.AgentReport | undefined }
  | { readonly kind: 'callArrived', readonly call: ArrivedCall }
  | { readonly kind: 'callerGone', readonly callId: string }
  | { readonly kind: 'callLoad', readonly endpointId: string, readonly result: Schemas.Calls.CallResult }
  | { readonly kind: 'streamProgress', readonly callId: string, readonly attemptId: string, readonly nextIndex: number }
  | { readonly kind: 'attemptWon', readonly callId: string, readonly attemptId: string }
  | { readonly kind: 'quarantineFailed', readonly change: Control.Quarantines.QuarantineChange }
  | { readonly kind: 'attemptEnded', readonly callId: string, readonly attemptId: string, readonly end: AttemptEnd }
  | { readonly kind: 'claimAnswered', readonly callId: string, readonly claimKey: string, readonly result: ClaimResult }
  | { readonly kind: 'fenceAnswered', readonly callId: string, readonly attemptId: string, readonly answer: Schemas.Calls.FenceAnswer | undefined }
  | { readonly kind: 'stopping' }

/** Where and how an attempt is sent. */
export interface Dispatch {
  readonly callId: string
  readonly target: Edge.HttpClient.Target
  readonly endpointId: string
  readonly envelope: Schemas.Calls.CallEnvelope
}

/** A write of a claim. */
export interface ClaimWrite {
  /** A claim's result is handed back; a save or a release is written some time. */
  readonly kind: 'claim' | 'save' | 'release'
  readonly callId: string
  readonly claimKey: string
  /** The revision that the row must have; 0 for absent. */
  readonly revision: number
  readonly record: Schemas.Calls.ClaimRecord
  /** Whether the row holds an earlier claim of the same call. */
  readonly reclaims: boolean
}

/** What a gateway's loop asks of the edge. */
export type Command =
  | { readonly kind: 'dispatch', readonly dispatch: Dispatch }
  | { readonly kind: 'cancelAttempt', readonly callId: string }
  | { readonly kind: 'commitQuarantine', readonly change: Control.Quarantines.QuarantineChange }
  | { readonly kind: 'deliver', readonly callId: string }
  | { readonly kind: 'replay', readonly callId: string, readonly outcome: Schemas.Calls.SavedOutcome }
  | { readonly kind: 'finish', readonly callId: string, readonly code: Core.Codes.CodeName, readonly details: Edge.HttpServer.RefusalDetails }
  | { readonly kind: 'writeClaim', readonly write: ClaimWrite }
  | { readonly kind: 'abandonClaim', readonly callId: string }
  | { readonly kind: 'askFence', readonly callId: string, readonly target: Edge.HttpClient.Target, readonly question: Schemas.Calls.FenceQuestion }
