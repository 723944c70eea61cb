/**
 * The systems of a gateway, in order.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'
import * as Asking from './asking.ts'
import * as Calls from './calls.ts'
import * as Claims from './claims.ts'
import * as Clocks from './clocks.ts'
import * as Endpoints from './endpoints.ts'
import * as Routing from './routing.ts'

/** The systems of a gateway in the order in which they run. */
export const SYSTEMS: readonly Tables.System[] = [
  Endpoints.endpointsSystem,
  Clocks.clocksSystem,
  Calls.acceptSystem,
  Calls.settleSystem,
  Claims.claimsSystem,
  Asking.askingSystem,
  Routing.routingSystem,
  Calls.deadlineSystem
]
