/**
 * The tables of a gateway.
 *
 * @packageDocumentation
 */
import type * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
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
  /** Attempts of this gateway that are not finished. */
  outstandingCount: number
  /** Time until which the endpoint is not chosen, in milliseconds. */
  avoidUntilMs: number
}

/** An attempt that a call has under way. */
export interface CurrentAttempt {
  readonly attemptId: string
  readonly endpointId: string
  readonly agentIncarnation: string
  readonly modelVersion: string | undefined
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

/** Who a gateway is. */
export type GatewayIdentity = Control.Node.Identity

/** Everything that a gateway's systems decide from. */
export interface Tables {
  readonly identity: GatewayIdentity
  readonly held: Control.Documents.Held
  readonly endpoints: Core.Table.Table<EndpointRow>
  readonly calls: Core.Table.Table<CallRow>
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

/**
 * Creates the tables of a gateway that has just started.
 *
 * @param identity - Who the gateway is.
 * @param held - The documents it holds.
 * @param wallClock - Returns wall-clock time in milliseconds since 1970.
 * @param makeId - Makes unique identifiers.
 * @returns The tables.
 */
export function createTables (identity: GatewayIdentity, held: Control.Documents.Held, wallClock: () => number, makeId: () => string): Tables {
  return {
    identity,
    held,
    endpoints: Core.Table.createTable('endpoints'),
    calls: Core.Table.createTable('calls'),
    clocks: Core.Table.createTable('clocks'),
    firstListedAtMs: undefined,
    wallClock,
    makeId,
    stopping: false
  }
}
