/**
 * The tables of an agent.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Weights from '../weights/index.ts'
import type * as Messages from './messages.ts'

/** An attempt that was offered to this agent and is not finished. */
export interface AttemptRow {
  readonly envelope: Schemas.Calls.CallEnvelope
  state: 'queued' | 'running'
  readonly offeredAtMs: number
  readonly deadlineMs: number
  admittedAtMs: number
  answeringAtMs: number
}

/** An attempt that is finished or fenced, kept for questions about its claim. */
export interface FinishedRow {
  readonly attemptId: string
  readonly state: 'done' | 'fenced' | 'unknown' | 'neverRun'
  readonly outcome: Schemas.Calls.Outcome | undefined
  readonly finishedAtMs: number
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
  answeredAtMs: number
  /** The next order waits until then. */
  orderAfterMs: number
  /** Since when admission waits for the endpoint's switch to another version; undefined for no switch. */
  switchingSinceMs: number | undefined
}

/** Who the agent is and what it was set to. */
export interface AgentIdentity extends Control.Node.Identity {
  readonly service: string
}

/** Everything that an agent's systems decide from. */
export interface Tables {
  readonly identity: AgentIdentity
  readonly held: Control.Documents.Held
  readonly attempts: Core.Table.Table<AttemptRow>
  readonly finished: Core.Table.Table<FinishedRow>
  readonly weights: Weights.Tables.Tables
  /** What the wanted weights were last derived from. */
  wantedFrom: string
  readonly endpoint: EndpointRow
  /** The highest fencing number that the agent has acted on. */
  fencingNumber: number
  stopping: boolean
}

/** A system of an agent. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of an agent. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

/**
 * Creates the tables of an agent that has just started.
 *
 * @param identity - Who the agent is.
 * @param held - The documents it holds.
 * @param weights - The swarm's tables.
 * @returns The tables.
 */
export function createTables (identity: AgentIdentity, held: Control.Documents.Held, weights: Weights.Tables.Tables): Tables {
  return {
    identity,
    held,
    attempts: Core.Table.createTable('attempts'),
    finished: Core.Table.createTable('finished'),
    weights,
    wantedFrom: '',
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
      answeredAtMs: -Infinity,
      orderAfterMs: 0,
      switchingSinceMs: undefined
    },
    fencingNumber: 0,
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
  return tables.held.manifest()?.services.find(service => service.name === tables.identity.service)
}

/**
 * Finds what the plan in force assigns to this instance.
 *
 * @param tables - The agent's tables.
 * @returns The assignment, if there is one.
 */
export function assignmentOf (tables: Tables): Schemas.Control.Assignment | undefined {
  return tables.held.placement()?.assignments.find(assignment => assignment.instanceId === tables.identity.instanceId)
}

/**
 * Counts the attempts that the endpoint runs now.
 *
 * @param tables - The agent's tables.
 * @returns The count.
 */
export function runningCount (tables: Tables): number {
  let count = 0
  for (const attempt of tables.attempts.rows()) if (attempt.state === 'running') count++
  return count
}

/**
 * Tells whether the endpoint can serve calls now.
 *
 * @param tables - The agent's tables.
 * @returns The endpoint's state as reported to gateways.
 */
export function stateOf (tables: Tables): Schemas.Control.AgentReport['state'] {
  const { identity, endpoint } = tables
  if (tables.stopping || Control.Documents.isDrained(tables.held.drains(), identity.instanceId, identity.zone)) return 'draining'
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
    queuedCount: tables.attempts.count() - activeCount,
    cold: endpoint.limitCount < endpoint.warmLimitCount,
    versions: tables.held.versions()
  }
}
