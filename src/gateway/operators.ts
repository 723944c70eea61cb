/**
 * Procedures that a gateway serves to operators and to the system's other processes.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Control from '../control/index.ts'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
import * as Changes from './changes.ts'
import type * as OperatorOptions from './operatorOptions.ts'
import * as Reads from './reads.ts'
import * as Reporting from './reporting.ts'
import * as Survey from './survey.ts'

const CommitInput = Schema.Struct({ manifest: Schema.Unknown, expectedVersion: Schema.optional(Schema.Int) })
const ShowInput = Schema.Struct({ version: Schema.optional(Schema.Int) })
const DrainInput = Schema.Struct({ what: Schema.Literals(['zone', 'instance']), name: Schema.String, drained: Schema.Boolean, force: Schema.Boolean })
const ExplainInput = Schema.Struct({ service: Schema.optional(Schema.String) })
const LiftInput = Schema.Struct({ digest: Schema.String })
const HistoryInput = Schema.Struct({ limitCount: Schema.Int })

/**
 * Makes the gateway's router.
 *
 * @param options - What the procedures need.
 * @returns The router.
 */
export function createProcedures (options: OperatorOptions.OperatorOptions) {
  const { operatorProcedure } = Edge.Rpc
  return Edge.Rpc.router({
    ...Reporting.createProcedures(options.report),
    ...Control.Peers.createProcedures(options.node),
    commit: operatorProcedure
      .input(Schemas.Decode.parser(CommitInput))
      .mutation(async ({ input }) => await Changes.commitManifest(options, input.manifest, input.expectedVersion)),
    newest: operatorProcedure.mutation(async () => await Reads.readNewest(options)),
    show: operatorProcedure
      .input(Schemas.Decode.parser(ShowInput))
      .mutation(async ({ input }) => input.version === undefined
        ? { version: options.node.held.versions().manifest, manifest: options.node.held.manifest() }
        : await Reads.readVersion(options, input.version)),
    history: operatorProcedure
      .input(Schemas.Decode.parser(HistoryInput))
      .mutation(async ({ input }) => await Reads.readHistory(options, input.limitCount)),
    drain: operatorProcedure
      .input(Schemas.Decode.parser(DrainInput))
      .mutation(async ({ input }) => await Changes.changeDrain(options, input)),
    explain: operatorProcedure
      .input(Schemas.Decode.parser(ExplainInput))
      .mutation(async ({ input }) => await Survey.explain(options.node.instances(), input.service, options.peerKey)),
    quarantine: operatorProcedure.mutation(() => ({ version: options.node.held.versions().quarantine, entries: options.node.held.quarantine().entries })),
    liftQuarantine: operatorProcedure
      .input(Schemas.Decode.parser(LiftInput))
      .mutation(async ({ input }) => await Changes.liftQuarantine(options, input.digest)),
    status: operatorProcedure.mutation(async () => await Reads.readStatus(options))
  })
}

/** The type of the gateway's router. */
export type GatewayRouter = ReturnType<typeof createProcedures>
