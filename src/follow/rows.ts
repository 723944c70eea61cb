/**
 * Rows of the platform's store, and this process's mirror of them.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import * as Positions from './positions.ts'

/** A row at one revision. Here and wherever rows are followed, a revision is a position in the store's history (`Positions`). */
export interface Row {
  readonly key: string
  /** The store's position after the last write of the row; rises with each write to the store, also across eras. */
  readonly revision: number
  /** The decoded value; undefined for a deleted row and for one that cannot be read. */
  readonly value: unknown
  readonly deleted: boolean
}

/** Rows as of a revision. */
export interface Page {
  readonly rows: readonly Row[]
  readonly revision: number
  /** Time at which the store made the page, by its monotonic clock in milliseconds; undefined if unknown. */
  readonly madeAtMs?: number | undefined
}

/** Why rows could not be read: the source no longer has the changes since the revision, is unavailable or refuses, limits the rate of reads, or does not answer in time. */
export type ReadFailure = { readonly kind: 'historyGone' } | { readonly kind: 'unavailable' | 'limited' | 'silent', readonly reason: string }

/** Why a row was not written: the write failed, or the row did not have the expected revision; `row` is then its current state, undefined if it does not exist. */
export type WriteFailure = ReadFailure | { readonly kind: 'changed', readonly row: Row | undefined }

/** Reads and writes rows. */
export interface RowSource {
  /** Reads a whole table as of one moment; `onArriving` is called when bytes of the answer arrive. */
  readAll: (table: string, onArriving?: () => void) => Promise<Neverthrow.Result<Page, ReadFailure>>
  /** Reads the rows that changed after a revision, and waits up to `waitMs` milliseconds for a change; `onArriving` is called when bytes of the answer arrive. */
  readSince: (table: string, revision: number, waitMs: number, onArriving?: () => void) => Promise<Neverthrow.Result<Page, ReadFailure>>
  /** Writes one row if it still has the given revision, 0 meaning that it does not exist. Returns its new revision, or a later one if others wrote at the same time. A write without an answer may still be carried out later. */
  write: (table: string, key: string, value: unknown, revision: number) => Promise<Neverthrow.Result<number, WriteFailure>>
  /** Removes one row if it still has the given revision. */
  remove: (table: string, key: string, revision: number) => Promise<Neverthrow.Result<number, WriteFailure>>
}

/** The rows of a table as far as this process has read them. */
export interface Mirror {
  /** The revision up to which the store's rows have been read. */
  readonly revision: () => number
  /** The newest revision of any row of the table; writes to other tables do not raise it. */
  readonly rowRevision: () => number
  /** The revision since which all removals are known: that of the last snapshot of the whole table; Infinity before the first. */
  readonly snapshotRevision: () => number
  /** Time as of which the rows are complete, by the store's clock in milliseconds; undefined if unknown. */
  readonly madeAtMs: () => number | undefined
  /** Applies changed rows; returns those that are newer than the rows held. */
  apply: (page: Page) => Row[]
  /** Applies a snapshot of the whole table: rows that it lacks are deleted. Returns the rows that changed, deleted ones included. */
  applySnapshot: (page: Page) => Row[]
  /** Returns the rows changed after a revision, deleted ones included. */
  since: (revision: number) => Page
  /** Returns all rows by key, deleted ones included. */
  all: () => ReadonlyMap<string, Row>
  /** Returns the rows that are not deleted. */
  live: () => Row[]
  /** Registers a listener that is called for each page with rows; returns a function that removes it. */
  onChange: (listener: () => void) => () => void
}

/**
 * Leaves out rows of a page that must not be served yet. The revision of the page is lowered to just before the first of them, so that readers get them later.
 *
 * @param page - The page.
 * @param isWithheld - Whether to leave out a row.
 * @returns The page without these rows.
 */
export function withhold (page: Page, isWithheld: (row: Row) => boolean): Page {
  const withheld = page.rows.filter(isWithheld)
  if (withheld.length === 0) return page
  return { ...page, rows: page.rows.filter(row => !withheld.includes(row)), revision: Math.min(page.revision, ...withheld.map(row => row.revision - 1)) }
}

/**
 * Creates an empty mirror. A row is never replaced by one of a lower revision, and no row is taken from an era before that of the last snapshot: the store may have lost it.
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
  const isOfSnapshotEra = (row: Row): boolean => Positions.eraOf(row.revision) >= Positions.eraOf(latestSnapshotRevision ?? 0)
  const applyPage = (page: Page): Row[] => {
    const changed = page.rows.filter(row => isOfSnapshotEra(row) && row.revision > (rows.get(row.key)?.revision ?? 0))
    for (const row of changed) rows.set(row.key, row)
    latestRevision = Math.max(latestRevision, page.revision)
    if (page.madeAtMs !== undefined) madeAtMs = Math.max(madeAtMs ?? -Infinity, page.madeAtMs)
    if (page.rows.length > 0) for (const listener of [...listeners]) listener()
    return changed
  }
  const raiseRowRevision = (page: Page): void => {
    for (const row of page.rows) if (isOfSnapshotEra(row)) latestRowRevision = Math.max(latestRowRevision, row.revision)
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
    all: () => rows,
    live: () => [...rows.values()].filter(row => !row.deleted),
    onChange: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
