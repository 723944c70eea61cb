/**
 * Explanations of limits, shares and refusals for operators.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Manifest from './manifest.ts'

/** A workspace's part of an endpoint's limit. */
export const ShareExplanation = Schema.Struct({
  workspace: Manifest.Name,
  weight: Manifest.PositiveCount,
  shareCount: Schema.Number,
  runningCount: Manifest.Count,
  queuedCount: Manifest.Count,
  admittedCount: Manifest.Count,
  /** Refusals by result code since the agent started. */
  refusedCounts: Schema.Record(Schema.String, Manifest.Count),
  lastRefusal: Schema.optional(Schema.Struct({ code: Schema.String, reason: Schema.String, ageMs: Schema.Number }))
})
/** A workspace's part of an endpoint's limit. */
export type ShareExplanation = typeof ShareExplanation.Type

/** An endpoint's limit, why it is so, and who has which share of it. */
export const EndpointExplanation = Schema.Struct({
  instanceId: Schema.String,
  zone: Manifest.Name,
  service: Manifest.Name,
  limitCount: Manifest.Count,
  ceilingCount: Manifest.Count,
  phase: Schema.Literals(['cold', 'ramping', 'warm']),
  limitReason: Schema.String,
  runningCount: Manifest.Count,
  queuedCount: Manifest.Count,
  meanServiceMs: Schema.Number,
  shares: Schema.Array(ShareExplanation)
})
/** An endpoint's limit, why it is so, and who has which share of it. */
export type EndpointExplanation = typeof EndpointExplanation.Type
