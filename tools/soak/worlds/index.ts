/**
 * The worlds of the soak by name.
 *
 * @packageDocumentation
 */
import type * as Harness from '../harness.ts'
import * as Agent from './agent.ts'
import * as Claims from './claims.ts'
import * as Control from './control.ts'
import * as Gateway from './gateway.ts'

/** Every world. */
export const WORLDS = {
  agent: Agent.createAgentWorld,
  gateway: Gateway.createGatewayWorld,
  claims: Claims.createClaimsWorld,
  control: Control.createControlWorld
} as const satisfies Readonly<Record<string, Harness.WorldFactory>>

/** The name of a world. */
export type WorldName = keyof typeof WORLDS

/** Every name of a world. */
export const WORLD_NAMES = Object.keys(WORLDS) as WorldName[]
