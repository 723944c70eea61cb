/**
 * The procedure by which a gateway reports of itself to the system's other processes.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'

/**
 * Makes the procedure.
 *
 * @param report - Makes the report.
 * @returns The procedure, as part of the gateway's router.
 */
export function createProcedures (report: () => Schemas.Control.GatewayReport) {
  return { report: Edge.Rpc.peerProcedure.mutation(() => report()) }
}

/** The type of a router with the procedure alone, for whoever asks for reports. */
export type ReportingRouter = ReturnType<typeof Edge.Rpc.router<ReturnType<typeof createProcedures>>>
