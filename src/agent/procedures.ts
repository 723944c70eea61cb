/**
 * RPC procedures that an agent serves to the other processes of the system.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'

/** Handlers behind the procedures. */
export interface ProcedureOptions {
  readonly node: Control.Node.ControlNode
  readonly report: () => Schemas.Control.AgentReport
  /** Answers a peer's exchange of weight availability. */
  readonly exchangeWeights: (request: Schemas.Weights.SwarmExchange) => Schemas.Weights.SwarmExchange
  readonly explain: () => Schemas.Explain.EndpointExplanation
  /** Returns the state of an attempt; the question may also fence the attempt. */
  readonly fence: (question: Schemas.Calls.FenceQuestion) => Promise<Schemas.Calls.FenceAnswer>
}

/**
 * Creates the agent's RPC router.
 *
 * @param options - Handlers behind the procedures.
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
