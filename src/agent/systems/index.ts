/**
 * The systems of an agent, in order.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'
import * as Admission from './admission.ts'
import * as Endpoint from './endpoint.ts'
import * as Fencing from './fencing.ts'
import * as Placement from './placement.ts'
import * as Weights from './weights.ts'

/** The systems of an agent in the order in which they run. */
export const SYSTEMS: readonly Tables.System[] = [
  Endpoint.endpointSystem,
  Weights.weightsSystem,
  Placement.placementSystem,
  Fencing.fencingSystem,
  Admission.admissionSystem
]
