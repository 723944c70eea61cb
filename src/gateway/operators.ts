/**
 * Procedures that a gateway serves to operators and to the system's other processes.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Schema from 'effect/Schema'
import type * as Neverthrow from 'neverthrow'
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'

/** What the procedures need. */
export interface OperatorOptions {
  readonly node: Control.Node.ControlNode
  readonly tables: Platform.TableClient.TableClient
  readonly report: () => Schemas.Control.GatewayReport
  readonly endpointReports: () => readonly Schemas.Control.AgentReport[]
  readonly log: Edge.Log.Log
}

/** The answer to an operator's change. */
export interface ChangeAnswer {
  readonly accepted: boolean
  readonly code: number
  readonly message: string
  readonly version: number
  /** The document in force, at a conflict. */
  readonly current?: Schemas.Control.Document
}

const CommitInput = Schema.Struct({ manifest: Schema.Unknown, expectedVersion: Schema.optional(Schema.Int) })
const DrainInput = Schema.Struct({ what: Schema.Literals(['zone', 'instance']), name: Schema.String, drained: Schema.Boolean })
const HistoryInput = Schema.Struct({ limitCount: Schema.Int })
const decodeManifest = Schemas.Decode.strict(Schemas.Manifest.Manifest)
const HISTORY_SCAN_COUNT = 10_000

/**
 * Makes the gateway's router.
 *
 * @param options - What the procedures need.
 * @returns The router.
 */
export function createProcedures (options: OperatorOptions) {
  const { operatorProcedure, peerProcedure } = Edge.Rpc
  return Edge.Rpc.router({
    report: peerProcedure.mutation(() => options.report()),
    ...Control.Peers.createProcedures(options.node),
    commit: operatorProcedure
      .input(Schemas.Decode.parser(CommitInput))
      .mutation(async ({ input }) => await commitManifest(options, input.manifest, input.expectedVersion)),
    show: operatorProcedure.mutation(() => ({ version: options.node.held.versions().manifest, manifest: options.node.held.manifest() })),
    history: operatorProcedure
      .input(Schemas.Decode.parser(HistoryInput))
      .mutation(async ({ input }) => await readHistory(options, input.limitCount)),
    drain: operatorProcedure
      .input(Schemas.Decode.parser(DrainInput))
      .mutation(async ({ input }) => await changeDrain(options, input)),
    status: operatorProcedure.mutation(() => ({
      gateway: options.report(),
      endpoints: options.endpointReports(),
      drains: options.node.held.drains(),
      instanceCount: options.node.instances().length,
      members: options.node.members()
    }))
  })
}

/** The type of the gateway's router. */
export type GatewayRouter = ReturnType<typeof createProcedures>

async function commitManifest (options: OperatorOptions, data: unknown, expectedVersion: number | undefined): Promise<ChangeAnswer> {
  const manifest = decodeManifest(data)
  if (manifest.isErr()) return refused('manifestInvalid', Schemas.Decode.describe(manifest.error))
  const problems = Control.ManifestRules.check(manifest.value)
  if (problems.length > 0) return refused('manifestInvalid', Schemas.Decode.describe(problems))
  const committed = await Control.Commits.commit(options.tables, {
    kind: 'manifest',
    expectedVersion,
    change: () => manifest.value,
    nonce: Crypto.randomUUID()
  })
  return conclude(options, committed)
}

async function changeDrain (options: OperatorOptions, input: typeof DrainInput.Type): Promise<ChangeAnswer> {
  const edit = (names: readonly string[]): string[] => {
    const others = names.filter(name => name !== input.name)
    return input.drained ? [...others, input.name].sort() : others
  }
  const committed = await Control.Commits.commit(options.tables, {
    kind: 'drains',
    nonce: Crypto.randomUUID(),
    change: body => {
      const drains = (body ?? { zones: [], instanceIds: [] }) as Schemas.Control.Drains
      return input.what === 'zone' ? { ...drains, zones: edit(drains.zones) } : { ...drains, instanceIds: edit(drains.instanceIds) }
    }
  })
  return conclude(options, committed)
}

async function readHistory (options: OperatorOptions, limitCount: number): Promise<Array<{ version: number, name: string }>> {
  const rows = await options.tables.scan(Control.Commits.HISTORY_TABLE, '', HISTORY_SCAN_COUNT)
  if (rows.isErr()) throw new Error(rows.error.message)
  return rows.value.slice(-limitCount).map(row => {
    const stored = row.value as { version: number, body: { name: string } }
    return { version: stored.version, name: stored.body.name }
  })
}

function conclude (options: OperatorOptions, committed: Neverthrow.Result<Schemas.Control.Document, Control.Commits.CommitFailure>): ChangeAnswer {
  if (committed.isErr()) {
    const { code, message, current } = committed.error
    options.log.warn('control', 'Change refused.', { code, reason: message })
    return { ...refused(code, message), current }
  }
  options.node.adopt(committed.value)
  return { accepted: true, code: 0, message: 'accepted', version: committed.value.version }
}

function refused (code: Core.Codes.CodeName, message: string): ChangeAnswer {
  return { accepted: false, code: Core.Codes.CODES[code].code, message: `${Core.Codes.CODES[code].text} ${message}`, version: 0 }
}
