/**
 * The tables of a gateway.
 *
 * @packageDocumentation
 */
import type * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Budgets from './budgets.ts'
import type * as Messages from './messages.ts'

/** An endpoint as this gateway sees it. */
export interface EndpointRow {
  readonly endpointId: string
  readonly service: string
  readonly zone: string
  readonly region: string
  host: string
  port: number
  listedState: 'live' | 'leaving'
  report: Schemas.Control.AgentReport | undefined
  reportedAtMs: number
  /** When a report or an answer of the agent came last. */
  heardAtMs: number
  /** When the agent was asked last for its report. */
  polledAtMs: number
  /** Whether the endpoint is in this gateway's subset. */
  member: boolean
  /** The prefixes that the endpoint's cache held at its last report. */
  prefixKeys: ReadonlySet<string>
  /** Failures in a row. */
  failureCount: number
  /** Ejections in a row. */
  ejectionCount: number
  /** Attempts of this gateway that are not finished. */
  outstandingCount: number
  /** The same for each workspace that has any. */
  readonly outstandingCounts: Map<string, number>
  /** Time until which the endpoint is not chosen, in milliseconds. */
  avoidUntilMs: number
}

/** An attempt that a call has under way. */
export interface CurrentAttempt {
  readonly attemptId: string
  readonly endpointId: string
  readonly agentIncarnation: string
  readonly modelVersion: string | undefined
  /** The incarnation of the endpoint, as last reported. */
  readonly endpointIncarnation?: string
  /** The agent's own clock reading, in milliseconds, from which on it does not admit the attempt. */
  expiresAtMs?: number
}

/** A claim as found in the table service. */
export interface HeldClaim {
  readonly revision: number
  readonly record: Schemas.Calls.ClaimRecord
}

/** A question to an agent that is under way. */
export interface AskState {
  /** The answer was lost, the connection is silent, or another call has claimed the key. */
  readonly purpose: 'answerLost' | 'silent' | 'repeat'
  readonly attempt: CurrentAttempt
  /** The other call's claim, for a repeat. */
  readonly held: HeldClaim | undefined
  /** Whether the agent is to promise never to run an attempt that it has not seen. */
  fence: boolean
  askCount: number
  nextAtMs: number
  pending: boolean
  /** What the agent answered last. */
  lastState: Schemas.Calls.FenceAnswer['state'] | undefined
}

/** An agent's clock relative to the gateway's. */
export interface ClockRow {
  readonly endpointId: string
  readonly incarnation: string
  readonly offsetMs: number
}

/** A caller's call that has no final answer yet. */
export interface CallRow {
  readonly call: Messages.ArrivedCall
  readonly service: string
  readonly idempotent: boolean
  readonly priority: number
  readonly arrivedAtMs: number
  deadlineMs: number
  state: 'routing' | 'claiming' | 'running' | 'asking'
  current: CurrentAttempt | undefined
  attemptCount: number
  /** Endpoints that refused this call. */
  readonly refusedBy: Set<string>
  lastEnd: Messages.AttemptEnd | undefined
  /** A second attempt of an idempotent call whose first one is slow. */
  hedge: CurrentAttempt | undefined
  /** Whether the answer has begun. */
  answering: boolean
  sentAtMs: number
  /** Attempts that ended because the endpoint failed. */
  failureCount: number
  /** Whether the call was in flight when an endpoint failed. */
  suspect: boolean
  /** Whether a silent connection to an endpoint was replaced already. */
  reconnected: boolean
  /** The endpoint to be asked again over a new connection, and the attempt left behind there. */
  again: { readonly endpointId: string, readonly attemptId: string } | undefined
  backOffCount: number
  /** Time before which the call is not routed again, in milliseconds. */
  notBeforeMs: number
  /** The first token that the caller has not got. */
  nextIndex: number
  /** The version that a begun stream must go on with. */
  pinnedVersion: string | undefined
  /** The revision that the row of the key must have for the call's next claim; 0 for absent. */
  claimRevision: number
  /** The claim as granted. */
  claimRecord: Schemas.Calls.ClaimRecord | undefined
  /** The attempt that the call's own claim names, while there is one. */
  claimedAttemptId: string | undefined
  /** Attempts that were sent and are not proved never run. */
  readonly openAttempts: Set<string>
  ask: AskState | undefined
  /** How long the current attempt may be silent before its agent is asked, in milliseconds. */
  silentAfterMs: number
  silentAtMs: number
  /** Whether the caller was answered or is gone, and the call is followed only to save its end. */
  detached: boolean
}

/** A call that was in flight when endpoints crashed. */
export interface SuspectRow {
  readonly digest: string
  readonly service: string
  /** The incarnations of endpoints that crashed with it. */
  readonly crashIds: Set<string>
  quarantined: boolean
}

/** What the gateway has yet to commit to the quarantine. */
export interface QuarantineRow {
  readonly put: Map<string, Schemas.Control.QuarantineEntry>
  /** Crashes by digest that a whole answer has cleared. */
  readonly clear: Map<string, ReadonlySet<string>>
  notBeforeMs: number
  /** Crashes that were counted, the oldest first. */
  readonly seenCrashIds: Set<string>
  /** Digests of the document in force. */
  documented: ReadonlySet<string>
}

/** How long a service's endpoints take until an answer begins. */
export interface LatencyRow {
  meanMs: number
  deviationMs: number
  sampleCount: number
}

/** Who a gateway is. */
export type GatewayIdentity = Control.Node.Identity

/** Everything that a gateway's systems decide from. */
export interface Tables {
  readonly identity: GatewayIdentity
  readonly held: Control.Documents.HeldDocuments
  readonly endpoints: Core.Table.Table<EndpointRow>
  readonly calls: Core.Table.Table<CallRow>
  /** The endpoints of each service that this gateway may choose. */
  readonly members: Map<string, EndpointRow[]>
  /** Every gateway in the platform's list. */
  gateways: ReadonlyArray<{ readonly instanceId: string, readonly zone: string }>
  /** Identifies the lists from which the members were chosen. */
  membersOf: string
  /** Calls that wait for an endpoint. */
  readonly waiting: Set<string>
  /** Deadlines of calls. */
  readonly deadlines: Core.Deadlines.Deadlines
  /** Times at which running calls may be hedged. */
  readonly hedgeTimes: Core.Deadlines.Deadlines
  /** Calls that have a key or must not run twice. */
  readonly covered: Set<string>
  readonly budgets: Budgets.Budgets
  readonly latencies: Core.Table.Table<LatencyRow>
  /** The endpoint that last ran a prefix. */
  readonly affinity: Core.Table.Table<string>
  readonly suspects: Core.Table.Table<SuspectRow>
  /** Times at which suspects are forgotten. */
  readonly suspectTimes: Core.Deadlines.Deadlines
  readonly quarantine: QuarantineRow
  readonly clocks: Core.Table.Table<ClockRow>
  /** When the instance list was first read, in milliseconds. */
  firstListedAtMs: number | undefined
  /** Returns wall-clock time in milliseconds since 1970. */
  readonly wallClock: () => number
  /** Makes an identifier that no other process makes. */
  readonly makeId: () => string
  stopping: boolean
}

/** A system of a gateway. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of a gateway. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

const DEADLINE_STEP_MS = 5
const SUSPECT_STEP_MS = 1_000

/**
 * Creates the tables of a gateway that has just started.
 *
 * @param identity - Who the gateway is.
 * @param held - The documents it holds.
 * @param wallClock - Returns wall-clock time in milliseconds since 1970.
 * @param makeId - Makes unique identifiers.
 * @returns The tables.
 */
export function createTables (identity: GatewayIdentity, held: Control.Documents.HeldDocuments, wallClock: () => number, makeId: () => string): Tables {
  return {
    identity,
    held,
    endpoints: Core.Table.createTable('endpoints'),
    calls: Core.Table.createTable('calls'),
    members: new Map(),
    gateways: [],
    membersOf: '',
    waiting: new Set(),
    deadlines: Core.Deadlines.createDeadlines(DEADLINE_STEP_MS),
    hedgeTimes: Core.Deadlines.createDeadlines(DEADLINE_STEP_MS),
    covered: new Set(),
    budgets: Budgets.createBudgets(),
    latencies: Core.Table.createTable('latencies'),
    affinity: Core.Table.createTable('affinity'),
    suspects: Core.Table.createTable('suspects'),
    suspectTimes: Core.Deadlines.createDeadlines(SUSPECT_STEP_MS),
    quarantine: { put: new Map(), clear: new Map(), notBeforeMs: 0, seenCrashIds: new Set(), documented: new Set() },
    clocks: Core.Table.createTable('clocks'),
    firstListedAtMs: undefined,
    wallClock,
    makeId,
    stopping: false
  }
}
