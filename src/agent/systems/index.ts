/**
 * Systems of an agent.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'
import * as Admission from './admission.ts'
import * as Crashes from './crashes.ts'
import * as Drain from './drain.ts'
import * as Endpoint from './endpoint.ts'
import * as Fencing from './fencing.ts'
import * as Limits from './limits.ts'
import * as Placement from './placement.ts'
import * as Weights from './weights.ts'
import * as PrefixCache from './prefixCache.ts'

/** Systems of an agent, in the order in which they run. */
export const SYSTEMS: readonly Tables.System[] = [
  Crashes.crashesSystem,
  PrefixCache.prefixCacheSystem,
  Drain.drainSystem,
  Endpoint.endpointSystem,
  Limits.limitsSystem,
  Weights.weightsSystem,
  Placement.placementSystem,
  Fencing.fencingSystem,
  Admission.admissionSystem
]
