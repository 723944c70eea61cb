/**
 * Control documents: what all processes hold in common, each with a version that only rises.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Manifest from './manifest.ts'

/** What one endpoint instance is to hold. */
export const Assignment = Schema.Struct({
  instanceId: Schema.String,
  service: Manifest.Name,
  role: Manifest.Role,
  model: Schema.optional(Manifest.Model),
  adapters: Schema.Array(Manifest.Adapter)
})
/** What one endpoint instance is to hold. */
export type Assignment = typeof Assignment.Type

/** Which instance holds what, decided by the holder of the placement lease. */
export const PlacementPlan = Schema.Struct({
  /** The fencing number of the lease under which the plan was made. */
  fencingNumber: Manifest.Count,
  manifestVersion: Manifest.Count,
  assignments: Schema.Array(Assignment)
})
/** Which instance holds what. */
export type PlacementPlan = typeof PlacementPlan.Type

/** Availability zones and instances that operators took out of service. */
export const Drains = Schema.Struct({
  zones: Schema.Array(Manifest.Name),
  instanceIds: Schema.Array(Schema.String)
})
/** Availability zones and instances out of service. */
export type Drains = typeof Drains.Type

/** A digest of calls that crash endpoints. */
export const QuarantineEntry = Schema.Struct({
  digest: Manifest.Digest,
  service: Manifest.Name,
  crashCount: Manifest.Count,
  /** The incarnations of endpoints that crashed while they ran such a call, the newest last. */
  crashIds: Schema.optional(Schema.Array(Schema.String)),
  /** Whether the call is only suspected: it is run alone instead of refused. */
  suspect: Schema.optional(Schema.Boolean),
  /** Wall-clock time in milliseconds since 1970 at which the entry ends. */
  expiresAtMs: Schema.Number
})
/** A digest of calls that crash endpoints. */
export type QuarantineEntry = typeof QuarantineEntry.Type

/** Crashes that no longer count against a digest. */
export const LiftedEvidence = Schema.Struct({ digest: Manifest.Digest, crashIds: Schema.Array(Schema.String) })
/** Crashes that no longer count against a digest. */
export type LiftedEvidence = typeof LiftedEvidence.Type

/** Digests of calls that are refused. */
export const Quarantine = Schema.Struct({
  entries: Schema.Array(QuarantineEntry),
  /** Crashes that no longer count against a digest, the newest last. */
  lifted: Schema.optional(Schema.Array(LiftedEvidence))
})
/** Digests of calls that are refused. */
export type Quarantine = typeof Quarantine.Type

const version = Manifest.Count

/** A control document with its kind and version. */
export const Document = Schema.Union([
  Schema.Struct({ kind: Schema.Literal('manifest'), version, body: Manifest.Manifest }),
  Schema.Struct({ kind: Schema.Literal('placement'), version, body: PlacementPlan }),
  Schema.Struct({ kind: Schema.Literal('drains'), version, body: Drains }),
  Schema.Struct({ kind: Schema.Literal('quarantine'), version, body: Quarantine })
])
/** A control document with its kind and version. */
export type Document = typeof Document.Type
/** The kind of a control document. */
export type DocumentKind = Document['kind']

/** Every kind of control document. */
export const DOCUMENT_KINDS: readonly DocumentKind[] = ['manifest', 'placement', 'drains', 'quarantine']

/** The versions that a process holds; zero for none. */
export const Versions = Schema.Struct({
  manifest: Manifest.Count,
  placement: Manifest.Count,
  drains: Manifest.Count,
  quarantine: Manifest.Count
})
/** The versions that a process holds. */
export type Versions = typeof Versions.Type

/** The name of a lease and who holds it. */
export const LeaseRecord = Schema.Struct({
  holder: Schema.String,
  nonce: Schema.String,
  fencingNumber: Manifest.Count,
  durationMs: Manifest.PositiveCount
})
/** A lease as stored. */
export type LeaseRecord = typeof LeaseRecord.Type

/** A crash of an endpoint and the calls that it ran. */
export const Crash = Schema.Struct({
  /** The incarnation of the endpoint that ended. */
  crashId: Schema.String,
  digests: Schema.Array(Manifest.Digest)
})
/** A crash of an endpoint and the calls that it ran. */
export type Crash = typeof Crash.Type

/** What an agent reports of itself and its endpoint. */
export const AgentReport = Schema.Struct({
  instanceId: Schema.String,
  service: Manifest.Name,
  zone: Manifest.Name,
  /** Set anew at each start of the agent's process. */
  incarnation: Schema.String,
  endpointIncarnation: Schema.String,
  state: Schema.Literals(['starting', 'live', 'draining', 'unreachable']),
  modelName: Schema.optional(Schema.String),
  modelVersion: Schema.optional(Schema.String),
  role: Manifest.Role,
  heldChunkCount: Manifest.Count,
  wantedChunkCount: Manifest.Count,
  limitCount: Manifest.Count,
  activeCount: Manifest.Count,
  queuedCount: Manifest.Count,
  cold: Schema.Boolean,
  /** The agent's monotonic clock, in milliseconds. */
  clockMs: Schema.optional(Schema.Number),
  versions: Versions,
  /** Crashes of the endpoint within the last minute. */
  crashes: Schema.optional(Schema.Array(Crash)),
  /** The prefixes that the endpoint holds in its cache, the newest last. */
  prefixKeys: Schema.optional(Schema.Array(Schema.String))
})
/** What an agent reports of itself and its endpoint. */
export type AgentReport = typeof AgentReport.Type

/** What a gateway reports of itself. */
export const GatewayReport = Schema.Struct({
  instanceId: Schema.String,
  zone: Manifest.Name,
  incarnation: Schema.String,
  activeCount: Manifest.Count,
  versions: Versions
})
/** What a gateway reports of itself. */
export type GatewayReport = typeof GatewayReport.Type
