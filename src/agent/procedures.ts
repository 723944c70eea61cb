/**
 * Procedures that an agent serves to the system's other processes.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'

/** What the procedures need. */
export interface ProcedureOptions {
  readonly node: Control.Node.ControlNode
  readonly report: () => Schemas.Control.AgentReport
  /** Exchanges news of weights with a peer. */
  readonly exchangeWeights: (request: Schemas.Weights.SwarmExchange) => Schemas.Weights.SwarmExchange
  readonly explain: () => Schemas.Explain.EndpointExplanation
  readonly fence: (question: Schemas.Calls.FenceQuestion) => Promise<Schemas.Calls.FenceAnswer>
}

/**
 * Makes the agent's router.
 *
 * @param options - What the procedures need.
 * @returns The router.
 */
export function createProcedures (options: ProcedureOptions) {
  return Edge.Rpc.router({
    report: Edge.Rpc.peerProcedure.mutation(() => options.report()),
    explain: Edge.Rpc.peerProcedure.mutation(() => options.explain()),
    ...Control.Peers.createProcedures(options.node),
    exchangeWeights: Edge.Rpc.peerProcedure
      .input(Schemas.Decode.parser(Schemas.Weights.SwarmExchange))
      .mutation(({ input }) => options.exchangeWeights(input)),
    fence: Edge.Rpc.peerProcedure
      .input(Schemas.Decode.parser(Schemas.Calls.FenceQuestion))
      .mutation(async ({ input }) => await options.fence(input))
  })
}

/** The type of the agent's router. */
export type AgentRouter = ReturnType<typeof createProcedures>
