/**
 * The manifest: which model versions, adapters and roles are to be live, and where.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'

/** A short identifier. */
export const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,63}$/, { expected: 'a name of 1 to 64 lower-case letters, digits, dots, dashes or underscores' }))
/** A SHA-256 digest in hexadecimal. */
export const Digest = Schema.String.check(Schema.isPattern(/^[0-9a-f]{64}$/, { expected: 'a digest of 64 hexadecimal digits' }))
/** A whole number of at least zero. */
export const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 2 ** 40 }))
/** A whole number of at least one. */
export const PositiveCount = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 2 ** 40 }))

/** An availability zone and its region. */
export const Zone = Schema.Struct({ name: Name, region: Name })
/** An availability zone and its region. */
export type Zone = typeof Zone.Type

/** A version of a model, named by the digest of its weight manifest. */
export const Model = Schema.Struct({
  name: Name,
  version: Name,
  digest: Digest,
  sizeBytes: PositiveCount,
  priority: Schema.optional(Count)
})
/** A version of a model. */
export type Model = typeof Model.Type

/** An adapter of a model. */
export const Adapter = Schema.Struct({
  name: Name,
  model: Name,
  version: Name,
  digest: Digest,
  sizeBytes: PositiveCount,
  priority: Schema.optional(Count)
})
/** An adapter of a model. */
export type Adapter = typeof Adapter.Type

/** A path of a service and whether its calls may be repeated. */
export const Route = Schema.Struct({
  path: Schema.String.check(Schema.isPattern(/^\/[A-Za-z0-9/_.-]{0,200}$/, { expected: 'a path that starts with /' })),
  method: Schema.Literals(['GET', 'POST', 'PUT', 'DELETE']),
  idempotent: Schema.Boolean
})
/** A path of a service and whether its calls may be repeated. */
export type Route = typeof Route.Type

/** What an endpoint of a service does for a call. */
export const Role = Schema.Literals(['mixed', 'prefill', 'decode'])
/** What an endpoint of a service does for a call. */
export type Role = typeof Role.Type

/** How many replicas are to be live in an availability zone. */
export const Placement = Schema.Struct({ zone: Name, replicaCount: Count, role: Schema.optional(Role) })
/** How many replicas are to be live in an availability zone. */
export type Placement = typeof Placement.Type

/** A service: a model engine or a plain service behind its endpoints. */
export const Service = Schema.Struct({
  name: Name,
  kind: Schema.Literals(['engine', 'plain']),
  model: Schema.optional(Name),
  adapters: Schema.optional(Schema.Array(Name)),
  reportsLoad: Schema.Boolean,
  /** The most calls that one warm endpoint may run at once. */
  maxConcurrentCount: PositiveCount,
  placements: Schema.Array(Placement),
  routes: Schema.Array(Route)
})
/** A service. */
export type Service = typeof Service.Type

/** A workspace and its share of what endpoints bear. */
export const Workspace = Schema.Struct({
  name: Name,
  weight: PositiveCount,
  priority: Schema.optional(Count)
})
/** A workspace. */
export type Workspace = typeof Workspace.Type

/** What operators commit. */
export const Manifest = Schema.Struct({
  name: Name,
  zones: Schema.Array(Zone).check(Schema.isMinLength(1)),
  models: Schema.Array(Model),
  adapters: Schema.Array(Adapter),
  services: Schema.Array(Service).check(Schema.isMinLength(1)),
  workspaces: Schema.Array(Workspace).check(Schema.isMinLength(1))
})
/** What operators commit. */
export type Manifest = typeof Manifest.Type
