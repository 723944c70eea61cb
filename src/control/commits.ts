/**
 * Commits of control documents to the table service.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as Core from '../core/index.ts'
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'

/** The table that holds the newest document of each kind. */
export const CONTROL_TABLE = 'control'
/** The table that holds every accepted manifest by version. */
export const HISTORY_TABLE = 'manifestHistory'

/** A commit that did not succeed. */
export interface CommitFailure {
  readonly code: Core.Codes.CodeName
  readonly message: string
  /** The document that is in force instead, at a conflict. */
  readonly current?: Schemas.Control.Document
}

/** How a commit changes a document. */
export interface Change {
  readonly kind: Schemas.Control.DocumentKind
  /** Refuses unless this version is in force. */
  readonly expectedVersion?: number
  /** Makes the new body from the one in force. */
  readonly change: (body: unknown) => unknown
  /** Names this commit, so that a lost answer can be settled. */
  readonly nonce: string
  /** Further conditions and writes of the same transaction. */
  readonly conditions?: readonly Schemas.Platform.Condition[]
}

interface StoredDocument {
  readonly version: number
  readonly nonce: string
  readonly body: unknown
}

const CONFLICT_RETRY_COUNT = 5
const READ_BACK_COUNT = 5
const decodeDocument = Schemas.Decode.lenient(Schemas.Control.Document)

/**
 * Reads the newest documents from the table service.
 *
 * @param tables - The client.
 * @returns The documents, or why there are none.
 */
export async function readDocuments (tables: Platform.TableClient.TableClient): Promise<Neverthrow.Result<Schemas.Control.Document[], string>> {
  const rows = await tables.scan(CONTROL_TABLE, '', Schemas.Control.DOCUMENT_KINDS.length)
  return rows.map(found => found.flatMap(documentOf)).mapErr(failure => failure.message)
}

/**
 * Commits a change with a strictly rising version.
 *
 * @param tables - The client.
 * @param change - What to change.
 * @returns The document in force after the commit, or why there is none.
 */
export async function commit (tables: Platform.TableClient.TableClient, change: Change): Promise<Neverthrow.Result<Schemas.Control.Document, CommitFailure>> {
  for (let attempt = 0; attempt < CONFLICT_RETRY_COUNT; attempt++) {
    const read = await tables.read([{ table: CONTROL_TABLE, key: change.kind }])
    if (read.isErr()) return Neverthrow.err({ code: 'storeUnavailable', message: read.error.message })
    const row = read.value[0]
    const stored = row?.value as StoredDocument | undefined
    const version = stored?.version ?? 0
    if (change.expectedVersion !== undefined && change.expectedVersion !== version) return Neverthrow.err(conflict(change, row))
    const next: StoredDocument = { version: version + 1, nonce: change.nonce, body: change.change(stored?.body) }
    const answer = await tables.transact({
      conditions: [{ table: CONTROL_TABLE, key: change.kind, revision: row?.revision ?? 0 }, ...(change.conditions ?? [])],
      writes: [{ table: CONTROL_TABLE, key: change.kind, value: next }, ...historyOf(change, next)]
    })
    if (answer.isErr()) return answer.error.maybeApplied ? await settle(tables, change) : Neverthrow.err({ code: 'storeUnavailable', message: answer.error.message })
    if (answer.value.committed) return Neverthrow.ok({ kind: change.kind, version: next.version, body: next.body } as Schemas.Control.Document)
    const others = answer.value.conflicts.filter(found => found.table !== CONTROL_TABLE)
    if (others.length > 0) return Neverthrow.err({ code: 'staleFencing', message: 'a condition of the commit no longer holds' })
    if (change.expectedVersion !== undefined) return Neverthrow.err(conflict(change, answer.value.conflicts[0]))
  }
  return Neverthrow.err({ code: 'versionConflict', message: 'too many commits at once' })
}

/** Settles a commit whose answer was lost, by reading its nonce back. */
async function settle (tables: Platform.TableClient.TableClient, change: Change): Promise<Neverthrow.Result<Schemas.Control.Document, CommitFailure>> {
  for (let attempt = 0; attempt < READ_BACK_COUNT; attempt++) {
    const read = await tables.read([{ table: CONTROL_TABLE, key: change.kind }])
    if (read.isErr()) continue
    const row = read.value[0]
    const stored = row?.value as StoredDocument | undefined
    if (stored?.nonce === change.nonce) return Neverthrow.ok({ kind: change.kind, version: stored.version, body: stored.body } as Schemas.Control.Document)
    return Neverthrow.err({ code: 'acceptedUnknown', message: 'the answer was lost and another document is in force; look at the history before committing again' })
  }
  return Neverthrow.err({ code: 'acceptedUnknown', message: 'the answer was lost and the table service does not answer' })
}

function historyOf (change: Change, next: StoredDocument): Schemas.Platform.Write[] {
  if (change.kind !== 'manifest') return []
  return [{ table: HISTORY_TABLE, key: String(next.version).padStart(10, '0'), value: next }]
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
