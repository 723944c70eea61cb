/**
 * The tables of an agent.
 *
 * @packageDocumentation
 */
import type * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Weights from '../weights/index.ts'
import * as Attempts from './attempts.ts'
import * as Limiter from './limiter.ts'
import type * as Messages from './messages.ts'

/** An attempt that was offered to this agent and is not finished. */
export type AttemptRow = Attempts.AttemptRow

/** An attempt that is finished or fenced, kept for questions about its claim. */
export interface FinishedRow {
  readonly attemptId: string
  readonly state: 'done' | 'fenced' | 'unknown' | 'neverRun'
  /** The whole answer, while it is kept. */
  outcome: Schemas.Calls.Outcome | undefined
  readonly finishedAtMs: number
  /** When a late arrival is refused by its age alone, in milliseconds. */
  readonly expiresAtMs: number
}

/** An answer that is kept for questions. */
export interface KeptAnswerRow {
  readonly attemptId: string
  readonly sizeBytes: number
}

/** What the agent has kept and forgotten of finished attempts. */
export interface RetentionRow {
  keptBytes: number
  /** Nothing is known of attempts that expired by this time, in milliseconds. */
  forgottenBeforeMs: number
  nextSweepAtMs: number
  /** The time of the latest tick, in milliseconds. */
  nowMs: number
}

/** The endpoint beside the agent. */
export interface EndpointRow {
  incarnation: string
  reachable: boolean
  modelName: string | undefined
  modelVersion: string | undefined
  modelDigest: string | undefined
  adapterDigests: readonly string[]
  role: Schemas.Manifest.Role
  coldReported: boolean
  limitCount: number
  /** The limit while the endpoint is warm. */
  warmLimitCount: number
  lastSeenMs: number
  /** An order is on its way; the next one waits for its answer. */
  orderPending: boolean
  orderedAtMs: number
  /** When the last order was answered; what the endpoint told before it is out of date. */
  orderAnsweredAtMs: number
  /** The next order waits until then. */
  nextOrderAtMs: number
  /** Since when admission waits for the endpoint's switch to another version; undefined for no switch. */
  switchingSinceMs: number | undefined
}

/** A crash of the endpoint and the calls that it ran. */
export interface CrashRow extends Schemas.Control.Crash {
  readonly atMs: number
}

/** An attempt that the endpoint failed, kept until it is known whether the endpoint crashed. */
export interface FailureRow {
  readonly digest: string
  readonly atMs: number
}

/** The prefixes that the endpoint holds in its cache, as its late and gapped events tell. */
export interface PrefixCacheRow {
  readonly keys: Set<string>
  /** The sequence number of the newest event that was taken; -1 for none. */
  lastSequence: number
}

/** Who the agent is and what it was set to. */
export interface AgentIdentity extends Control.Node.Identity {
  readonly service: string
}

/** Why an endpoint takes no new work. */
export type DrainReason = 'the agent is stopping' | 'an operator took it out of service' | 'the platform lists it as leaving'

/** The clock that the workspaces' virtual clocks are compared with. */
export interface FairnessRow {
  /** The start time of the attempt that was admitted last, in virtual milliseconds. */
  virtualMs: number
  /** The mean time that the endpoint takes for an attempt, in milliseconds; 0 while unknown. */
  meanServiceMs: number
}

/** Everything that an agent's systems decide from. */
export interface Tables {
  readonly identity: AgentIdentity
  readonly held: Control.Documents.Held
  readonly attempts: Attempts.AttemptTable
  readonly finished: Core.Table.Table<FinishedRow>
  /** Kept answers, the oldest first. */
  readonly keptAnswers: Core.Table.Table<KeptAnswerRow>
  readonly retention: RetentionRow
  readonly weights: Weights.Tables.Tables
  /** What the wanted weights were last derived from. */
  wantedWeightsKey: string
  readonly endpoint: EndpointRow
  /** Returns wall-clock time in milliseconds since 1970. */
  readonly wallClock: () => number
  readonly limiter: Limiter.LimiterRow
  readonly fairness: FairnessRow
  /** What the endpoint reported last. */
  lastReportedLoad: Messages.EndpointLoad | undefined
  /** The newest crashes of the endpoint. */
  readonly crashes: CrashRow[]
  /** The newest failures of the endpoint. */
  readonly failures: FailureRow[]
  readonly prefixCache: PrefixCacheRow
  /** The highest fencing number that the agent has acted on. */
  fencingNumber: number
  /** Why the endpoint takes no new work; undefined while it does. */
  drainReason: DrainReason | undefined
  /** Whether the platform's list says that the instance is leaving. */
  listedLeaving: boolean
  stopping: boolean
}

/** A system of an agent. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of an agent. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

const servicesByName = Core.Memo.byIdentity((manifest: Schemas.Manifest.Manifest) => new Map(manifest.services.map(service => [service.name, service])))
const assignmentsByInstanceId = Core.Memo.byIdentity((plan: Schemas.Control.PlacementPlan) => new Map(plan.assignments.map(assignment => [assignment.instanceId, assignment])))

/**
 * Creates the tables of an agent that has just started.
 *
 * @param identity - Who the agent is.
 * @param held - The documents it holds.
 * @param weights - The swarm's tables; unbounded and without sources unless given.
 * @param wallClock - Returns wall-clock time in milliseconds since 1970.
 * @returns The tables.
 */
export function createTables (identity: AgentIdentity, held: Control.Documents.Held, weights = createWeightTables(identity), wallClock: () => number = Date.now): Tables {
  return {
    wallClock,
    identity,
    held,
    attempts: Attempts.createAttemptTable(),
    finished: Core.Table.createTable('finished'),
    keptAnswers: Core.Table.createTable('keptAnswers'),
    retention: { keptBytes: 0, forgottenBeforeMs: -Infinity, nextSweepAtMs: 0, nowMs: 0 },
    weights,
    wantedWeightsKey: '',
    endpoint: {
      incarnation: '',
      reachable: false,
      modelName: undefined,
      modelVersion: undefined,
      modelDigest: undefined,
      adapterDigests: [],
      role: 'mixed',
      coldReported: false,
      limitCount: 1,
      warmLimitCount: 1,
      lastSeenMs: 0,
      orderPending: false,
      orderedAtMs: 0,
      orderAnsweredAtMs: -Infinity,
      nextOrderAtMs: 0,
      switchingSinceMs: undefined
    },
    limiter: Limiter.createLimiter(),
    fairness: { virtualMs: 0, meanServiceMs: 0 },
    lastReportedLoad: undefined,
    crashes: [],
    failures: [],
    prefixCache: { keys: new Set(), lastSequence: -1 },
    fencingNumber: 0,
    drainReason: undefined,
    listedLeaving: false,
    stopping: false
  }
}

/**
 * Finds the service that the agent's endpoint belongs to.
 *
 * @param tables - The agent's tables.
 * @returns The service, once a manifest names it.
 */
export function serviceOf (tables: Tables): Schemas.Manifest.Service | undefined {
  const manifest = tables.held.manifest()
  return manifest === undefined ? undefined : servicesByName(manifest).get(tables.identity.service)
}

/**
 * Finds what the plan in force assigns to this instance.
 *
 * @param tables - The agent's tables.
 * @returns The assignment, if there is one.
 */
export function assignmentOf (tables: Tables): Schemas.Control.Assignment | undefined {
  const plan = tables.held.placement()
  return plan === undefined ? undefined : assignmentsByInstanceId(plan).get(tables.identity.instanceId)
}

/**
 * Counts the attempts that the endpoint runs now.
 *
 * @param tables - The agent's tables.
 * @returns The count.
 */
export function runningCount (tables: Tables): number {
  return tables.attempts.runningCount()
}

/**
 * Tells whether the endpoint can serve calls now.
 *
 * @param tables - The agent's tables.
 * @returns The endpoint's state as reported to gateways.
 */
export function stateOf (tables: Tables): Schemas.Control.AgentReport['state'] {
  const { endpoint } = tables
  if (tables.drainReason !== undefined) return 'draining'
  if (!endpoint.reachable) return 'unreachable'
  const assignment = assignmentOf(tables)
  const service = serviceOf(tables)
  if (assignment === undefined || service === undefined) return 'starting'
  return service.kind === 'plain' || endpoint.modelDigest !== undefined ? 'live' : 'starting'
}

/**
 * Makes the agent's report.
 *
 * @param tables - The agent's tables.
 * @returns The report.
 */
export function reportOf (tables: Tables): Schemas.Control.AgentReport {
  const { identity, endpoint } = tables
  const activeCount = runningCount(tables)
  let heldChunkCount = 0
  let wantedChunkCount = 0
  for (const { wanted, chunks } of tables.weights.sets.rows()) {
    if (!wanted || chunks === undefined) continue
    heldChunkCount += Weights.Bitmap.count(chunks.delivered)
    wantedChunkCount += chunks.delivered.sizeCount
  }
  return {
    instanceId: identity.instanceId,
    service: identity.service,
    zone: identity.zone,
    incarnation: identity.incarnation,
    endpointIncarnation: endpoint.incarnation,
    state: stateOf(tables),
    modelName: endpoint.modelName,
    modelVersion: endpoint.modelVersion,
    role: endpoint.role,
    heldChunkCount,
    wantedChunkCount,
    limitCount: endpoint.limitCount,
    activeCount,
    queuedCount: tables.attempts.queuedCount(),
    cold: endpoint.limitCount < endpoint.warmLimitCount,
    clockMs: tables.retention.nowMs,
    versions: tables.held.versions(),
    ...(tables.crashes.length === 0 ? {} : { crashes: tables.crashes.map(({ crashId, digests }) => ({ crashId, digests })) }),
    ...(tables.prefixCache.keys.size === 0 ? {} : { prefixKeys: [...tables.prefixCache.keys] })
  }
}

function createWeightTables (identity: AgentIdentity): Weights.Tables.Tables {
  return Weights.Tables.createTables({ ...identity, memoryBytes: Infinity, borderBytesPerSecond: Infinity }, [])
}
