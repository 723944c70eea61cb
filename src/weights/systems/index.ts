/**
 * The systems of the swarm.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'
import * as Delivery from './delivery.ts'
import * as Intake from './intake.ts'
import * as Manifests from './manifests.ts'
import * as Neighbours from './neighbours.ts'
import * as Requests from './requests.ts'
import * as Seeds from './seeds.ts'

/** The systems of the swarm in the order in which they run. */
export const SYSTEMS: readonly Tables.System[] = [
  Intake.intakeSystem,
  Manifests.manifestsSystem,
  Neighbours.neighboursSystem,
  Seeds.seedsSystem,
  Requests.requestsSystem,
  Delivery.redeliverySystem,
  Delivery.deliverySystem,
  Delivery.evictionSystem
]

/**
 * Runs the swarm's systems as part of another loop's tick.
 *
 * @param tables - The swarm's tables.
 * @param tick - The tick, with the swarm's inputs.
 */
export function run (tables: Tables.Tables, tick: Tables.Tick): void {
  if (tables.sets.count() === 0 && tick.inputs.length === 0) return
  for (const system of SYSTEMS) system.run(tables, tick)
}
