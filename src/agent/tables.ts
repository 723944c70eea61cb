/**
 * State tables of an agent.
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

/** An attempt that was offered to this agent and has not finished. */
export type AttemptRow = Attempts.AttemptRow

/** An attempt that has finished or was fenced, retained for queries about its claim. */
export interface FinishedRow {
  readonly attemptId: string
  readonly state: 'done' | 'fenced' | 'unknown' | 'neverRun'
  /** Whole answer, while it is retained. */
  outcome: Schemas.Calls.Outcome | undefined
  readonly finishedAtMs: number
  /** Time from which the attempt is refused as expired, whether or not it is still known, in milliseconds. */
  readonly expiresAtMs: number
}

/** Size of an answer that is retained for queries. */
export interface KeptAnswerRow {
  readonly attemptId: string
  readonly sizeBytes: number
}

/** Bounds of what the agent retains of finished attempts. */
export interface RetentionRow {
  /** Total size of the retained answers. */
  keptBytes: number
  /** Latest expiry of an evicted attempt, in milliseconds; the state of attempts that expire by then may be unknown. */
  latestEvictedExpiryMs: number
  nextSweepAtMs: number
  /** Time of the latest tick, in milliseconds. */
  nowMs: number
}

/** Endpoint that the agent serves. */
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
  /** Limit while the endpoint is warm. */
  warmLimitCount: number
  lastSeenMs: number
  /** Whether an order awaits its answer; no other order is sent meanwhile. */
  orderPending: boolean
  orderedAtMs: number
  /** Time of the answer to the last order; load reports requested before it are stale. */
  orderAnsweredAtMs: number
  /** Whether the answer to an order that replaces the model was lost, and no load report requested since then has told which model the endpoint holds. */
  isModelUnconfirmed: boolean
  /** Earliest time of the next order. */
  nextOrderAtMs: number
  /** Time since which admission is paused for a switch to another version; undefined if there is no switch. */
  switchingSinceMs: number | undefined
}

/** Crash of the endpoint, with the digests of the calls that were running. */
export interface CrashRow extends Schemas.Control.Crash {
  readonly atMs: number
}

/** Attempt that failed at the endpoint, retained until it is known whether the endpoint crashed. */
export interface FailureRow {
  readonly digest: string
  readonly atMs: number
}

/** Prefixes in the endpoint's cache, as known from its events, which may arrive late or with gaps. */
export interface PrefixCacheRow {
  readonly keys: Set<string>
  /** Sequence number of the latest applied event; -1 for none. */
  lastSequence: number
}

/** Identity of an agent, and the service of its endpoint. */
export interface AgentIdentity extends Control.Node.Identity {
  readonly service: string
}

/** Reason why the endpoint accepts no new work. */
export type DrainReason = 'the agent is stopping' | 'an operator took it out of service' | 'the platform lists it as leaving'

/** Virtual clock of the endpoint, with which the workspaces' virtual clocks are compared. */
export interface FairnessRow {
  /** Latest virtual start of an admitted attempt, in virtual milliseconds. */
  virtualMs: number
  /** Mean service time of an attempt, in milliseconds; 0 while unknown. */
  meanServiceMs: number
}

/** State that an agent's systems read and change. */
export interface Tables {
  readonly identity: AgentIdentity
  readonly held: Control.Documents.HeldDocuments
  readonly attempts: Attempts.AttemptTable
  readonly finished: Core.Table.Table<FinishedRow>
  /** Retained answers, oldest first. */
  readonly keptAnswers: Core.Table.Table<KeptAnswerRow>
  readonly retention: RetentionRow
  readonly weights: Weights.Tables.Tables
  /** Plan version and endpoint state from which the wanted weights were last computed. */
  wantedWeightsKey: string
  readonly endpoint: EndpointRow
  /** Returns wall-clock time in milliseconds since 1970. */
  readonly wallClock: () => number
  readonly limiter: Limiter.LimiterRow
  readonly fairness: FairnessRow
  /** Latest load report of the endpoint. */
  lastReportedLoad: Messages.EndpointLoad | undefined
  /** Latest crashes of the endpoint, oldest first. */
  readonly crashes: CrashRow[]
  /** Latest failures at the endpoint, oldest first. */
  readonly failures: FailureRow[]
  readonly prefixCache: PrefixCacheRow
  /** Highest fencing number seen by the agent, in its own orders or in the endpoint's load reports. */
  fencingNumber: number
  /** Reason why the endpoint accepts no new work; undefined while it accepts work. */
  drainReason: DrainReason | undefined
  /** Whether the platform's instance list marks this instance as leaving. */
  listedLeaving: boolean
  stopping: boolean
}

/** A system of an agent. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of an agent's loop. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

const servicesByName = Core.Memo.memoizeByIdentity((manifest: Schemas.Manifest.Manifest) => new Map(manifest.services.map(service => [service.name, service])))
const assignmentsByInstanceId = Core.Memo.memoizeByIdentity((plan: Schemas.Control.PlacementPlan) => new Map(plan.assignments.map(assignment => [assignment.instanceId, assignment])))

/**
 * Creates the tables of an agent that has just started.
 *
 * @param identity - The agent's identity.
 * @param held - Control documents that the agent holds.
 * @param weights - Tables of weight distribution; by default without limits and without sources.
 * @param wallClock - Returns wall-clock time in milliseconds since 1970.
 * @returns The tables.
 */
export function createTables (identity: AgentIdentity, held: Control.Documents.HeldDocuments, weights = createWeightTables(identity), wallClock: () => number = Date.now): Tables {
  return {
    wallClock,
    identity,
    held,
    attempts: Attempts.createAttemptTable(),
    finished: Core.Table.createTable('finished'),
    keptAnswers: Core.Table.createTable('keptAnswers'),
    retention: { keptBytes: 0, latestEvictedExpiryMs: -Infinity, nextSweepAtMs: 0, nowMs: 0 },
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
      isModelUnconfirmed: false,
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
 * Finds the service of the agent's endpoint in the current manifest.
 *
 * @param tables - The agent's tables.
 * @returns The service, or undefined if there is no manifest or it does not contain the service.
 */
export function serviceOf (tables: Tables): Schemas.Manifest.Service | undefined {
  const manifest = tables.held.manifest()
  return manifest === undefined ? undefined : servicesByName(manifest).get(tables.identity.service)
}

/**
 * Finds this instance's assignment in the current placement plan.
 *
 * @param tables - The agent's tables.
 * @returns The assignment, or undefined if there is none.
 */
export function assignmentOf (tables: Tables): Schemas.Control.Assignment | undefined {
  const plan = tables.held.placement()
  return plan === undefined ? undefined : assignmentsByInstanceId(plan).get(tables.identity.instanceId)
}

/**
 * Counts the attempts that the endpoint is running.
 *
 * @param tables - The agent's tables.
 * @returns The number of running attempts.
 */
export function runningCount (tables: Tables): number {
  return tables.attempts.runningCount()
}

/**
 * Returns the state of the endpoint, which says whether it can serve calls.
 *
 * @param tables - The agent's tables.
 * @returns The state that is reported to gateways.
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
 * Creates the agent's report to the other processes.
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
