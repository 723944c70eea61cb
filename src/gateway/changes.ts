/**
 * Changes that operators make: manifests, drains and the quarantine.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Neverthrow from 'neverthrow'
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as OperatorOptions from './operatorOptions.ts'
import * as Survey from './survey.ts'

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

/** A change of the drains, and whether to go on although calls would be refused. */
export interface DrainRequest extends Control.DrainCheck.DrainChange {
  readonly force: boolean
}

/** The drains on which a check is based. */
interface BaseDrains {
  readonly version: number
  readonly drains: Schemas.Control.Drains
}

/** Maximum number of checks of one change while others change the drains. */
const MAX_DRAIN_CHECK_COUNT = 4
const NO_DRAINS: Schemas.Control.Drains = { zones: [], instanceIds: [] }
const decodeManifest = Schemas.Decode.strict(Schemas.Manifest.Manifest)

/**
 * Commits a manifest after checking it whole.
 *
 * @param options - What the procedures need.
 * @param data - The manifest as it came.
 * @param expectedVersion - Refuses unless this version is in force.
 * @returns The answer.
 */
export async function commitManifest (options: OperatorOptions.OperatorOptions, data: unknown, expectedVersion: number | undefined): Promise<ChangeAnswer> {
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

/**
 * Takes a zone or an instance out of service or brings it back.
 *
 * @param options - What the procedures need.
 * @param input - What to change.
 * @returns The answer; without force it refuses what would make callers be refused.
 */
export async function changeDrain (options: OperatorOptions.OperatorOptions, input: DrainRequest): Promise<ChangeAnswer> {
  const manifest = options.node.held.manifest()
  if (manifest === undefined) return refused('notReady', 'no manifest is in force here')
  if (!isKnown(options, manifest, input)) return refused('notFound', `there is no ${input.what} "${input.name}"`)
  let base: BaseDrains = { version: options.node.held.versions().drains, drains: options.node.held.drains() }
  for (let checkCount = 1; ; checkCount++) {
    const drains = Control.DrainCheck.applyChange(base.drains, input)
    const shortfalls = input.drained
      ? Control.DrainCheck.findShortfalls({ manifest, drains, reports: (await Survey.survey(options.node.instances(), options.peerKey)).agents })
      : []
    if (shortfalls.length > 0 && !input.force) return { ...refused('wouldRefuse', ''), shortfalls }
    const isConditional = input.drained && !input.force
    const committed = await Control.Commits.commit(options.tables, {
      kind: 'drains',
      nonce: Crypto.randomUUID(),
      change: body => Control.DrainCheck.applyChange((body ?? NO_DRAINS) as Schemas.Control.Drains, input),
      ...(isConditional ? { expectedVersion: base.version } : {})
    })
    const hasChanged = committed.isErr() && committed.error.code === 'versionConflict'
    if (!isConditional || !hasChanged || checkCount >= MAX_DRAIN_CHECK_COUNT) return { ...conclude(options, committed), shortfalls }
    const { current } = committed.error
    options.log.info('control', 'Drain is checked again.', { checkedVersion: base.version, version: current?.version ?? 0, reason: 'the drains changed since the check' })
    base = current?.kind === 'drains' ? { version: current.version, drains: current.body } : { version: 0, drains: NO_DRAINS }
  }
}

/**
 * Lifts one entry, or all of them, of the quarantine.
 *
 * @param options - What the procedures need.
 * @param digest - The start of an entry's digest, or `all`.
 * @returns The answer.
 */
export async function liftQuarantine (options: OperatorOptions.OperatorOptions, digest: string): Promise<ChangeAnswer> {
  const known = options.node.held.quarantine().entries.map(entry => entry.digest)
  const lift = digest === 'all' ? known : known.filter(entry => entry.startsWith(digest))
  if (lift.length === 0 || digest === '') return refused('notFound', `no entry starts with "${digest}"`)
  return conclude(options, await Control.Quarantines.commit(options.tables, { put: [], lift }))
}

function isKnown (options: OperatorOptions.OperatorOptions, manifest: Schemas.Manifest.Manifest, input: DrainRequest): boolean {
  const names = input.what === 'zone' ? manifest.zones.map(zone => zone.name) : options.node.instances().map(instance => instance.instanceId)
  return !input.drained || names.includes(input.name)
}

function conclude (options: OperatorOptions.OperatorOptions, committed: Neverthrow.Result<Schemas.Control.Document, Control.Commits.CommitFailure>): ChangeAnswer {
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
