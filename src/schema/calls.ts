/**
 * What gateways and agents say to one another about calls, and claims as stored.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Manifest from './manifest.ts'

/** What a gateway tells an agent about a call, in a header beside the body. */
export const CallEnvelope = Schema.Struct({
  /** Names the caller's call through all its attempts. */
  callId: Schema.String,
  /** Names this attempt. */
  attemptId: Schema.String,
  gatewayId: Schema.String,
  workspace: Manifest.Name,
  service: Manifest.Name,
  method: Schema.String,
  path: Schema.String,
  contentType: Schema.optional(Schema.String),
  modelVersion: Schema.optional(Schema.String),
  adapter: Schema.optional(Schema.String),
  /** Time left until the caller's deadline in milliseconds. */
  timeLeftMs: Schema.Number,
  priority: Manifest.Count,
  idempotent: Schema.Boolean,
  stream: Schema.Boolean,
  /** The first token still wanted of a stream that is being resumed. */
  resumeFromIndex: Manifest.Count,
  /** The digest of route and body. */
  digest: Manifest.Digest,
  /** The key of the claim that covers the attempt. */
  claimKey: Schema.optional(Schema.String),
  /** The idempotency key handed on to the endpoint. */
  idempotencyKey: Schema.optional(Schema.String),
  /** The incarnation of the agent that the attempt is meant for. */
  agentIncarnation: Schema.String,
  /** Whether the call was in flight when an endpoint crashed; an agent runs one such call at a time. */
  suspect: Schema.optional(Schema.Boolean),
  /** The attempt of the same call that this one takes the place of. */
  supersedes: Schema.optional(Schema.String),
  /** Names the start of the body, under which an engine caches it. */
  prefixKey: Schema.optional(Schema.String),
  /** The agent's own clock reading, in milliseconds, from which on it must not admit the attempt. */
  expiresAtMs: Schema.optional(Schema.Number)
})
/** What a gateway tells an agent about a call. */
export type CallEnvelope = typeof CallEnvelope.Type

/** What an agent tells a gateway about an attempt, in a header of the answer. */
export const CallResult = Schema.Struct({
  callId: Schema.String,
  attemptId: Schema.String,
  code: Schema.Int,
  run: Schema.Literals(['notRun', 'ran', 'unknown']),
  agentIncarnation: Schema.String,
  /** The incarnation of the endpoint that the attempt was given to. */
  endpointIncarnation: Schema.optional(Schema.String),
  limitCount: Manifest.Count,
  activeCount: Manifest.Count,
  queuedCount: Manifest.Count,
  modelVersion: Schema.optional(Schema.String),
  /** The workspace's share of the limit at a refusal. */
  shareCount: Schema.optional(Schema.Number),
  retryAfterMs: Schema.optional(Schema.Number),
  reason: Schema.optional(Schema.String)
})
/** What an agent tells a gateway about an attempt. */
export type CallResult = typeof CallResult.Type

/** A finished call's answer, its body carried inline. */
export const Outcome = Schema.Struct({
  httpStatus: Schema.Int,
  contentType: Schema.String,
  /** The body in base64. */
  bodyBase64: Schema.String
})
/** A finished call's answer, its body carried inline. */
export type Outcome = typeof Outcome.Type

/** A finished call's answer whose body is in the object store. */
export const StoredOutcome = Schema.Struct({
  httpStatus: Schema.Int,
  contentType: Schema.String,
  objectName: Schema.String,
  sizeBytes: Manifest.Count,
  bodyDigest: Manifest.Digest
})
/** A finished call's answer whose body is in the object store. */
export type StoredOutcome = typeof StoredOutcome.Type

/** A finished call's answer, as saved with its claim. */
export const SavedOutcome = Schema.Union([Outcome, StoredOutcome])
/** A finished call's answer, as saved with its claim. */
export type SavedOutcome = typeof SavedOutcome.Type

/** A claim of an idempotency key, as stored. */
export const ClaimRecord = Schema.Struct({
  /** Written by the claimant, so that a lost answer can be settled by reading back. */
  nonce: Schema.String,
  digest: Manifest.Digest,
  gatewayId: Schema.String,
  callId: Schema.String,
  attemptId: Schema.String,
  agentId: Schema.String,
  agentIncarnation: Schema.String,
  /** The agent's own clock reading, in milliseconds, from which on it does not admit the attempt. */
  attemptExpiresAtMs: Schema.optional(Schema.Number),
  /**
   * `claimed`: may be under way. `released`: proved not run, the key is free.
   * `done`: run to its end. `unknown`: may have been run, and nobody can tell.
   */
  state: Schema.Literals(['claimed', 'released', 'done', 'unknown']),
  /** Wall-clock time in milliseconds since 1970. */
  claimedAtMs: Schema.Number,
  /** Wall-clock time in milliseconds since 1970 after which the row may be deleted. */
  expiresAtMs: Schema.Number,
  /** The answer of a call that is done, where it could be saved. */
  outcome: Schema.optional(SavedOutcome)
})
/** A claim of an idempotency key, as stored. */
export type ClaimRecord = typeof ClaimRecord.Type

/** A question about an attempt whose outcome is not known to the asker. */
export const FenceQuestion = Schema.Struct({
  attemptId: Schema.String,
  agentIncarnation: Schema.String,
  /** The agent's own clock reading, in milliseconds, from which on it does not admit the attempt. */
  expiresAtMs: Schema.optional(Schema.Number),
  /** Whether the agent is to promise never to run an attempt that it has not seen. */
  fence: Schema.Boolean
})
/** A question about an attempt whose outcome is not known to the asker. */
export type FenceQuestion = typeof FenceQuestion.Type

/**
 * What the agent knows of an attempt. `neverRun` is a promise never to run it; `unseen` promises
 * nothing; `unknown` means that the agent can never tell; `running` includes waiting in its queue.
 */
export const FenceAnswer = Schema.Struct({
  state: Schema.Literals(['done', 'running', 'neverRun', 'unseen', 'unknown']),
  /** The answer of an attempt that is done, while the agent still keeps it. */
  outcome: Schema.optional(Outcome)
})
/** What the agent knows of an attempt. */
export type FenceAnswer = typeof FenceAnswer.Type
