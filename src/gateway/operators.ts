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
import * as Survey from './survey.ts'

/** What the procedures need. */
export interface OperatorOptions {
  readonly node: Control.Node.ControlNode
  readonly tables: Platform.TableClient.TableClient
  readonly report: () => Schemas.Control.GatewayReport
  readonly peerKey: () => string
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
  /** What the change would refuse or does refuse. */
  readonly shortfalls?: readonly Control.DrainCheck.Shortfall[]
}

const CommitInput = Schema.Struct({ manifest: Schema.Unknown, expectedVersion: Schema.optional(Schema.Int) })
const DrainInput = Schema.Struct({ what: Schema.Literals(['zone', 'instance']), name: Schema.String, drained: Schema.Boolean, force: Schema.Boolean })
const ExplainInput = Schema.Struct({ service: Schema.optional(Schema.String) })
const LiftInput = Schema.Struct({ digest: Schema.String })
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
    explain: operatorProcedure
      .input(Schemas.Decode.parser(ExplainInput))
      .mutation(async ({ input }) => await Survey.explain(options.node.instances(), input.service, options.peerKey)),
    quarantine: operatorProcedure.mutation(() => ({ version: options.node.held.versions().quarantine, entries: options.node.held.quarantine().entries })),
    liftQuarantine: operatorProcedure
      .input(Schemas.Decode.parser(LiftInput))
      .mutation(async ({ input }) => await liftQuarantine(options, input.digest)),
    status: operatorProcedure.mutation(async () => await readStatus(options))
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
  const manifest = options.node.held.manifest()
  if (manifest === undefined) return refused('notReady', 'no manifest is in force here')
  if (!isKnown(options, manifest, input)) return refused('notFound', `there is no ${input.what} "${input.name}"`)
  const drains = Control.DrainCheck.applyChange(options.node.held.drains(), input)
  const shortfalls = input.drained
    ? Control.DrainCheck.findShortfalls({ manifest, drains, reports: (await survey(options)).agents })
    : []
  if (shortfalls.length > 0 && !input.force) return { ...refused('wouldRefuse', ''), shortfalls }
  const committed = await Control.Commits.commit(options.tables, {
    kind: 'drains',
    nonce: Crypto.randomUUID(),
    change: body => Control.DrainCheck.applyChange((body ?? { zones: [], instanceIds: [] }) as Schemas.Control.Drains, input)
  })
  return { ...conclude(options, committed), shortfalls }
}

/** Lifts one entry, or all of them, of the quarantine. */
async function liftQuarantine (options: OperatorOptions, digest: string): Promise<ChangeAnswer> {
  const known = options.node.held.quarantine().entries.map(entry => entry.digest)
  const lift = digest === 'all' ? known : known.filter(entry => entry.startsWith(digest))
  if (lift.length === 0 || digest === '') return refused('notFound', `no entry starts with "${digest}"`)
  return conclude(options, await Control.Quarantines.commit(options.tables, { put: [], lift }))
}

function isKnown (options: OperatorOptions, manifest: Schemas.Manifest.Manifest, input: typeof DrainInput.Type): boolean {
  const names = input.what === 'zone' ? manifest.zones.map(zone => zone.name) : options.node.instances().map(instance => instance.instanceId)
  return !input.drained || names.includes(input.name)
}

async function survey (options: OperatorOptions): Promise<Survey.Survey> {
  return await Survey.survey(options.node.instances(), options.peerKey)
}

async function readStatus (options: OperatorOptions) {
  const { agents, gateways, silentInstanceIds } = await survey(options)
  const newest = Math.max(options.node.held.versions().manifest, ...[...agents, ...gateways].map(report => report.versions.manifest))
  return {
    gateway: options.report(),
    gateways,
    endpoints: agents,
    silentInstanceIds,
    laggingInstanceIds: [...agents, ...gateways].filter(report => report.versions.manifest < newest).map(report => report.instanceId),
    drains: options.node.held.drains(),
    members: options.node.members()
  }
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
