/**
 * Rows of the platform's store as this process has accepted them.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'

/** A row at one revision. */
export interface Row {
  readonly key: string
  /** Rises with each write to the store. */
  readonly revision: number
  /** The decoded value; undefined for a deleted row and for one that cannot be read. */
  readonly value: unknown
  readonly deleted: boolean
}

/** Rows as of a revision. */
export interface Page {
  readonly rows: readonly Row[]
  readonly revision: number
  /** The source's own steady clock when it made the page, in milliseconds, where it tells. */
  readonly madeAtMs?: number | undefined
}

/** Why rows could not be read: the source lacks the history asked for, refuses, refuses since it was asked too often, or does not answer in time. */
export type ReadFailure = { readonly kind: 'historyGone' } | { readonly kind: 'unavailable' | 'limited' | 'silent', readonly reason: string }

/** Why a row was not written: the write failed, or the row was not at the revision expected; it is told as it stands, undefined where it does not exist. */
export type WriteFailure = ReadFailure | { readonly kind: 'changed', readonly row: Row | undefined }

/** Where rows are read and written. */
export interface RowSource {
  /** Reads a whole table as of one moment; the last argument is told of bytes of the answer. */
  readAll: (table: string, onArriving?: () => void) => Promise<Neverthrow.Result<Page, ReadFailure>>
  /** Reads what changed after a revision, and waits for a change; the last argument is told of bytes of the answer. */
  readSince: (table: string, revision: number, waitMs: number, onArriving?: () => void) => Promise<Neverthrow.Result<Page, ReadFailure>>
  /** Writes one row that is still at a revision, 0 for one that does not exist; tells its new revision, or a later one where others wrote at the same time. Without an answer it may be written later. */
  write: (table: string, key: string, value: unknown, revision: number) => Promise<Neverthrow.Result<number, WriteFailure>>
  /** Removes one row that is still at a revision. */
  remove: (table: string, key: string, revision: number) => Promise<Neverthrow.Result<number, WriteFailure>>
}

/** The accepted rows of a table. */
export interface Mirror {
  readonly revision: () => number
  /** The newest revision of any row; other tables do not raise it. */
  readonly rowRevision: () => number
  /** Since which revision each removal is known: that of the last page that was a whole table; Infinity before one. */
  readonly snapshotRevision: () => number
  /** Up to which time of its source the rows are complete, in milliseconds, where the source tells. */
  readonly madeAtMs: () => number | undefined
  /** Takes changed rows; returns those that are newer than what was held. */
  apply: (page: Page) => Row[]
  /** Takes a whole table: rows that it lacks are deleted. */
  applySnapshot: (page: Page) => Row[]
  /** The rows changed after a revision, deleted ones included. */
  since: (revision: number) => Page
  live: () => Row[]
  /** Tells of each page with rows; returns what ends that. */
  onChange: (listener: () => void) => () => void
}

/**
 * Leaves rows out of a page that are not to be handed on yet. The page then claims to be whole only up to the first of them, so that whoever asks for more gets them later.
 *
 * @param page - The page.
 * @param isWithheld - Whether a row is left out.
 * @returns The page without these rows.
 */
export function withhold (page: Page, isWithheld: (row: Row) => boolean): Page {
  const withheld = page.rows.filter(isWithheld)
  if (withheld.length === 0) return page
  return { ...page, rows: page.rows.filter(row => !withheld.includes(row)), revision: Math.min(page.revision, ...withheld.map(row => row.revision - 1)) }
}

/**
 * Creates an empty mirror. No row ever goes back to a lower revision.
 *
 * @returns The mirror.
 */
export function createMirror (): Mirror {
  const rows = new Map<string, Row>()
  let latestRevision = 0
  let latestRowRevision = 0
  let latestSnapshotRevision: number | undefined
  let madeAtMs: number | undefined
  const listeners = new Set<() => void>()
  const applyPage = (page: Page): Row[] => {
    const changed = page.rows.filter(row => row.revision > (rows.get(row.key)?.revision ?? 0))
    for (const row of changed) rows.set(row.key, row)
    latestRevision = Math.max(latestRevision, page.revision)
    if (page.madeAtMs !== undefined) madeAtMs = Math.max(madeAtMs ?? -Infinity, page.madeAtMs)
    if (page.rows.length > 0) for (const listener of [...listeners]) listener()
    return changed
  }
  const raiseRowRevision = (page: Page): void => {
    for (const row of page.rows) latestRowRevision = Math.max(latestRowRevision, row.revision)
  }
  return {
    revision: () => latestRevision,
    rowRevision: () => latestRowRevision,
    snapshotRevision: () => latestSnapshotRevision ?? Infinity,
    madeAtMs: () => madeAtMs,
    apply: page => {
      raiseRowRevision(page)
      return applyPage(page)
    },
    applySnapshot: page => {
      raiseRowRevision(page)
      latestSnapshotRevision = Math.max(latestSnapshotRevision ?? 0, page.revision)
      const presentKeys = new Set(page.rows.map(row => row.key))
      const deletedRows = [...rows.values()]
        .filter(row => !row.deleted && !presentKeys.has(row.key) && row.revision <= page.revision)
        .map(row => ({ key: row.key, revision: page.revision, value: undefined, deleted: true }))
      return applyPage({ ...page, rows: [...page.rows, ...deletedRows] })
    },
    since: revision => ({ rows: [...rows.values()].filter(row => row.revision > revision), revision: latestRevision }),
    live: () => [...rows.values()].filter(row => !row.deleted),
    onChange: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
