/**
 * The systems of an agent, in order.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'
import * as Admission from './admission.ts'
import * as Drain from './drain.ts'
import * as Endpoint from './endpoint.ts'
import * as Fencing from './fencing.ts'
import * as Placement from './placement.ts'

/** The systems of an agent in the order in which they run. */
export const SYSTEMS: readonly Tables.System[] = [
  Drain.drainSystem,
  Endpoint.endpointSystem,
  Placement.placementSystem,
  Fencing.fencingSystem,
  Admission.admissionSystem
]
