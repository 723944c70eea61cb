/**
 * What operators read: status, history and single versions.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as OperatorOptions from './operatorOptions.ts'
import * as Survey from './survey.ts'

/** A manifest and its version. */
export interface VersionedManifest {
  readonly version: number
  readonly manifest: Schemas.Manifest.Manifest | undefined
}

const HISTORY_SCAN_COUNT = 10_000
const decodeManifest = Schemas.Decode.lenient(Schemas.Manifest.Manifest)

/**
 * Asks every process and tells who has which version.
 *
 * @param options - What the procedures need.
 * @returns Reports, drains, and who lags or is silent.
 */
export async function readStatus (options: OperatorOptions.OperatorOptions) {
  const { agents, gateways, silentInstanceIds } = await Survey.survey(options.node.instances(), options.peerKey)
  const newest = Math.max(options.node.held.versions().manifest, ...[...agents, ...gateways].map(report => report.versions.manifest))
  return {
    gateway: options.report(),
    gateways,
    endpoints: agents,
    /** The manifest from which the plan in force was made; 0 without a plan. */
    plannedManifestVersion: options.node.held.placement()?.manifestVersion ?? 0,
    assigned: assignedOf(options, agents),
    silentInstanceIds,
    laggingInstanceIds: [...agents, ...gateways].filter(report => report.versions.manifest < newest).map(report => report.instanceId),
    drains: options.node.held.drains(),
    members: options.node.members()
  }
}

/** Tells of each assigned instance whether it holds what the plan in force wants. */
function assignedOf (options: OperatorOptions.OperatorOptions, agents: readonly Schemas.Control.AgentReport[]): Array<{ instanceId: string, state: string, upToDate: boolean }> {
  const { placement, versions } = options.node.held
  const plan = placement()
  return (plan?.assignments ?? []).map(assignment => {
    const report = agents.find(candidate => candidate.instanceId === assignment.instanceId)
    const holds = assignment.model === undefined || report?.modelVersion === assignment.model.version
    return { instanceId: assignment.instanceId, state: report?.state ?? 'silent', upToDate: holds && plan?.manifestVersion === versions().manifest }
  })
}

/**
 * Lists accepted manifests, the oldest first.
 *
 * @param options - What the procedures need.
 * @param limitCount - The most versions listed.
 * @returns Versions and names.
 * @throws When the table service does not answer.
 */
export async function readHistory (options: OperatorOptions.OperatorOptions, limitCount: number): Promise<Array<{ version: number, name: string }>> {
  const rows = await options.tables.scan(Control.Commits.HISTORY_TABLE, '', HISTORY_SCAN_COUNT)
  if (rows.isErr()) throw new Error(rows.error.message)
  return rows.value.slice(-limitCount).map(row => {
    const stored = row.value as { version: number, body: { name: string } }
    return { version: stored.version, name: stored.body.name }
  })
}

/**
 * Reads the newest manifest from the table service, or the one held here while the service is down.
 *
 * @param options - What the procedures need.
 * @returns The manifest and its version.
 */
export async function readNewest (options: OperatorOptions.OperatorOptions): Promise<VersionedManifest> {
  const documents = await Control.Commits.readDocuments(options.tables)
  if (documents.isOk()) documents.value.forEach(options.node.adopt)
  return { version: options.node.held.versions().manifest, manifest: options.node.held.manifest() }
}

/**
 * Reads an accepted manifest.
 *
 * @param options - What the procedures need.
 * @param version - The version.
 * @returns The manifest; undefined for a version that is not in the history.
 * @throws When the table service does not answer.
 */
export async function readVersion (options: OperatorOptions.OperatorOptions, version: number): Promise<VersionedManifest> {
  const rows = await options.tables.read([{ table: Control.Commits.HISTORY_TABLE, key: Control.Commits.historyKeyOf(version) }])
  if (rows.isErr()) throw new Error(rows.error.message)
  const stored = rows.value[0]?.value as { body?: unknown } | undefined
  const manifest = decodeManifest(stored?.body)
  return { version, manifest: manifest.isOk() ? manifest.value : undefined }
}
