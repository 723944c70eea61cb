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
}

/** A caller's call that has no final answer yet. */
export interface CallRow {
  readonly call: Messages.ArrivedCall
  readonly service: string
  readonly idempotent: boolean
  readonly priority: number
  readonly arrivedAtMs: number
  readonly deadlineMs: number
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
  /** The revision of the call's claim; 0 for none. */
  claimRevision: number
}

/** Who a gateway is. */
export type GatewayIdentity = Control.Node.Identity

/** Everything that a gateway's systems decide from. */
export interface Tables {
  readonly identity: GatewayIdentity
  readonly held: Control.Documents.Held
  readonly endpoints: Core.Table.Table<EndpointRow>
  readonly calls: Core.Table.Table<CallRow>
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
    wallClock,
    makeId,
    stopping: false
  }
}
