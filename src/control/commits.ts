/**
 * Reads control documents from the table service and commits changes to them.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as Core from '../core/index.ts'
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'

/** The table that holds the newest document of each kind. */
export const CONTROL_TABLE = 'control'
/** The table that holds the version in force of each kind, so that polls need not read whole documents. */
export const VERSION_TABLE = 'controlVersions'
/** The table that holds every accepted manifest by version. */
export const HISTORY_TABLE = 'manifestHistory'

/** A commit that did not succeed. */
export interface CommitFailure {
  readonly code: Core.Codes.CodeName
  readonly message: string
  /** The document in force, in case of a version conflict. */
  readonly current?: Schemas.Control.Document
}

/** A change to a document. */
export interface Change {
  readonly kind: Schemas.Control.DocumentKind
  /** The version that must be in force; the commit fails with `versionConflict` at any other. */
  readonly expectedVersion?: number
  /** Returns the new body, given the one in force. */
  readonly change: (body: unknown) => unknown
  /** Identifies this commit, so that its outcome can be looked up when the answer is lost. */
  readonly nonce: string
  /** Further conditions of the transaction. */
  readonly conditions?: readonly Schemas.Platform.Condition[]
}

interface StoredDocument {
  readonly version: number
  readonly nonce: string
  readonly body: unknown
  /** The commits before this one, newest first; at most `RECENT_COMMIT_COUNT`. */
  readonly recent?: readonly RecentCommit[]
}

interface RecentCommit {
  readonly version: number
  readonly nonce: string
}

/** A write whose answer was lost. */
interface LostWrite {
  readonly change: Change
  readonly next: StoredDocument
  /** The revision of the row on which the write is conditional. */
  readonly revision: number
}

/** The outcome of a write whose answer was lost. */
type LostWriteOutcome = 'accepted' | 'rejected' | 'unknown'

/** Options of a commit. */
export interface CommitOptions {
  /** Waits for the given time in milliseconds; a timer by default. */
  readonly wait?: (delayMs: number) => Promise<void>
}

const MAX_COMMIT_ATTEMPT_COUNT = 5
/** Maximum number of earlier commits whose nonces a row keeps. */
const RECENT_COMMIT_COUNT = 32
const MAX_RESOLVE_ATTEMPT_COUNT = 6
/** Delay before the second attempt, in milliseconds; doubled for each further attempt. */
const RESOLVE_BASE_DELAY_MS = 150
const decodeDocument = Schemas.Decode.lenient(Schemas.Control.Document)
const sleep = async (delayMs: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, delayMs)) }

/**
 * Reads the newest documents from the table service. A document that cannot be decoded is left out.
 *
 * @param tables - The client of the table service.
 * @param kinds - The kinds to read.
 * @returns The documents, or the message of the failed read.
 */
export async function readDocuments (tables: Platform.TableClient.TableClient, kinds: readonly Schemas.Control.DocumentKind[] = Schemas.Control.DOCUMENT_KINDS): Promise<Neverthrow.Result<Schemas.Control.Document[], string>> {
  const rows = await tables.read(kinds.map(kind => ({ table: CONTROL_TABLE, key: kind })))
  return rows.map(foundRows => foundRows.flatMap(documentOf)).mapErr(failure => failure.message)
}

/**
 * Reads the versions in force, without the documents.
 *
 * @param tables - The client of the table service.
 * @returns The version of each kind, 0 for none, or the message of the failed read.
 */
export async function readVersions (tables: Platform.TableClient.TableClient): Promise<Neverthrow.Result<Schemas.Control.Versions, string>> {
  const rows = await tables.scan(VERSION_TABLE, '', Schemas.Control.DOCUMENT_KINDS.length)
  return rows.mapErr(failure => failure.message).map(versionRows => {
    const versionOf = (kind: Schemas.Control.DocumentKind): number => (versionRows.find(row => row.key === kind)?.value as { version?: number } | undefined)?.version ?? 0
    return { manifest: versionOf('manifest'), placement: versionOf('placement'), drains: versionOf('drains'), quarantine: versionOf('quarantine') }
  })
}

/**
 * Commits a change under the next version. A commit without an expected version is retried after a conflict.
 *
 * @param tables - The client of the table service.
 * @param change - The change.
 * @param options - Options of the commit.
 * @returns The committed document, or the failure; `acceptedUnknown` when the outcome could not be determined.
 */
export async function commit (tables: Platform.TableClient.TableClient, change: Change, options: CommitOptions = {}): Promise<Neverthrow.Result<Schemas.Control.Document, CommitFailure>> {
  for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPT_COUNT; attempt++) {
    const read = await tables.read([{ table: CONTROL_TABLE, key: change.kind }])
    if (read.isErr()) return Neverthrow.err({ code: 'storeUnavailable', message: read.error.message })
    const row = read.value[0]
    const stored = row?.value as StoredDocument | undefined
    const version = stored?.version ?? 0
    if (change.expectedVersion !== undefined && change.expectedVersion !== version) return Neverthrow.err(conflict(change, row))
    const next: StoredDocument = { version: version + 1, nonce: change.nonce, body: change.change(stored?.body ?? undefined), recent: recentOf(stored) }
    const revision = row?.revision ?? 0
    const answer = await tables.transact({
      conditions: [{ table: CONTROL_TABLE, key: change.kind, revision }, ...(change.conditions ?? [])],
      writes: [{ table: CONTROL_TABLE, key: change.kind, value: next }, { table: VERSION_TABLE, key: change.kind, value: { version: next.version } }, ...historyWritesOf(change, next)]
    })
    const accepted = { kind: change.kind, version: next.version, body: next.body } as Schemas.Control.Document
    if (answer.isErr()) {
      if (!answer.error.maybeApplied) return Neverthrow.err({ code: 'storeUnavailable', message: answer.error.message })
      const outcome = await resolveLostWrite(tables, { change, next, revision }, options.wait ?? sleep)
      if (outcome === 'accepted') return Neverthrow.ok(accepted)
      if (outcome === 'unknown') return Neverthrow.err({ code: 'acceptedUnknown', message: `the answer was lost; version ${next.version} may be in force: look at the history before committing again` })
      continue
    }
    if (answer.value.committed) return Neverthrow.ok(accepted)
    const otherConflicts = answer.value.conflicts.filter(conflictingRow => conflictingRow.table !== CONTROL_TABLE)
    if (otherConflicts.length > 0) return Neverthrow.err({ code: 'staleFencing', message: 'a condition of the commit no longer holds' })
    if (change.expectedVersion !== undefined) return Neverthrow.err(conflict(change, answer.value.conflicts[0]))
  }
  return Neverthrow.err({ code: 'versionConflict', message: 'too many commits at once' })
}

/**
 * Determines the outcome of a write whose answer was lost.
 *
 * A write that has not taken effect may still do so later. It is conditional on a revision of the row,
 * so rewriting the row unchanged, which raises the revision, prevents it for good.
 */
async function resolveLostWrite (tables: Platform.TableClient.TableClient, lost: LostWrite, wait: (delayMs: number) => Promise<void>): Promise<LostWriteOutcome> {
  const { change, next, revision } = lost
  for (let attempt = 0; attempt < MAX_RESOLVE_ATTEMPT_COUNT; attempt++) {
    if (attempt > 0) await wait(RESOLVE_BASE_DELAY_MS * 2 ** (attempt - 1))
    const read = await tables.read([{ table: CONTROL_TABLE, key: change.kind }, { table: HISTORY_TABLE, key: historyKeyOf(next.version) }])
    if (read.isErr()) continue
    const row = read.value.find(candidate => candidate.table === CONTROL_TABLE)
    const stored = row?.value as StoredDocument | undefined
    if (isCommitted(change, stored, read.value)) return 'accepted'
    if ((row?.revision ?? 0) !== revision) return isNonceEvicted(change, stored, next.version) ? 'unknown' : 'rejected'
    const unchanged: StoredDocument = stored ?? { version: 0, nonce: '', body: null }
    await tables.transact({
      conditions: [{ table: CONTROL_TABLE, key: change.kind, revision }],
      writes: [{ table: CONTROL_TABLE, key: change.kind, value: unchanged }]
    })
  }
  return 'unknown'
}

function isCommitted (change: Change, stored: StoredDocument | undefined, rows: readonly Schemas.Platform.Row[]): boolean {
  if (stored?.nonce === change.nonce) return true
  if (stored?.recent?.some(commit => commit.nonce === change.nonce) === true) return true
  const history = rows.find(row => row.table === HISTORY_TABLE)?.value as StoredDocument | undefined
  return change.kind === 'manifest' && history?.nonce === change.nonce
}

/** Returns whether more than `RECENT_COMMIT_COUNT` commits followed, so that the row no longer holds the nonce of the given version. */
function isNonceEvicted (change: Change, stored: StoredDocument | undefined, version: number): boolean {
  return change.kind !== 'manifest' && stored !== undefined && stored.version - version > RECENT_COMMIT_COUNT
}

function recentOf (stored: StoredDocument | undefined): RecentCommit[] {
  if (stored === undefined) return []
  return [{ version: stored.version, nonce: stored.nonce }, ...(stored.recent ?? [])].slice(0, RECENT_COMMIT_COUNT)
}

/**
 * Returns the key of a manifest's row in the history table, padded so that keys sort by version.
 *
 * @param version - The manifest's version.
 * @returns The key.
 */
export function historyKeyOf (version: number): string {
  return String(version).padStart(10, '0')
}

function historyWritesOf (change: Change, next: StoredDocument): Schemas.Platform.Write[] {
  if (change.kind !== 'manifest') return []
  return [{ table: HISTORY_TABLE, key: historyKeyOf(next.version), value: { version: next.version, nonce: next.nonce, body: next.body } }]
}

function conflict (change: Change, row: Schemas.Platform.Row | undefined): CommitFailure {
  const current = row === undefined ? [] : documentOf(row)
  return {
    code: 'versionConflict',
    message: `version ${change.expectedVersion ?? 0} was expected, version ${current[0]?.version ?? 0} is in force`,
    current: current[0]
  }
}

function documentOf (row: Schemas.Platform.Row): Schemas.Control.Document[] {
  const stored = row.value as StoredDocument | null
  const decoded = decodeDocument({ kind: row.key, version: stored?.version, body: stored?.body })
  return decoded.isOk() ? [decoded.value] : []
}
