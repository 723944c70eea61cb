/**
 * Decides what a table means after the store came back from an older copy.
 *
 * The copy lacks what was written after it was made. Operators and endpoints write that again, within
 * about two seconds. Until then a row of the copy may be older than what this process knows, so a change
 * that could break a promise is put off: the row takes effect only if nothing newer replaces it meanwhile.
 * Rows that the copy has unchanged cause no change at all.
 *
 * @packageDocumentation
 */
import type * as Rows from './rows.ts'

/** Time for which a doubtful row is put off, in milliseconds: what still lives has been written again by then. */
export const RESTORE_GRACE_MS = 2_500

/** The rows of a restored table that differ from those in force. */
export interface Settlement {
  /** Rows that take effect at once. */
  readonly immediate: readonly Rows.Row[]
  /** Rows that take effect only if they are still current after `RESTORE_GRACE_MS`. */
  readonly deferred: readonly Rows.Row[]
}

/** Decides whether the copy's state of a row may be older than the one in force, so that it is put off. */
export type Doubt = (inForce: Rows.Row, found: Rows.Row) => boolean

/** Tells which rows are in force, also while some of them are put off. */
export interface Settler {
  /**
   * Compares the rows of a restored table with those in force.
   *
   * @param before - The rows held before, by key, deleted ones included.
   * @param current - The rows held now, with deleted rows for those that the copy lacks.
   * @returns The rows that differ.
   */
  settle: (before: ReadonlyMap<string, Rows.Row>, current: ReadonlyMap<string, Rows.Row>) => Settlement
  /** Records rows that took effect because the store wrote them since; what was put off for them is void. */
  recordChanges: (rows: readonly Rows.Row[]) => void
  /** Returns those of the rows put off that are still current; they take effect now. */
  release: (deferred: readonly Rows.Row[], current: ReadonlyMap<string, Rows.Row>) => readonly Rows.Row[]
}

/**
 * Doubts that a row which the copy lacks is gone.
 *
 * @param _inForce - The row in force.
 * @param found - The row as the copy has it.
 * @returns Whether the copy lacks the row.
 */
export const doubtRemovals: Doubt = (_inForce, found) => found.deleted

/**
 * Creates a settler.
 *
 * @param isDoubtful - Decides which rows are put off.
 * @returns The settler.
 */
export function createSettler (isDoubtful: Doubt): Settler {
  /** The rows in force whose replacement is put off, by key. */
  const heldRows = new Map<string, Rows.Row>()
  return {
    settle: (before, current) => {
      const immediate: Rows.Row[] = []
      const deferred: Rows.Row[] = []
      for (const [key, found] of current) {
        const inForce = heldRows.get(key) ?? before.get(key)
        heldRows.delete(key)
        if (isSameState(inForce, found)) continue
        if (inForce === undefined || !isDoubtful(inForce, found)) {
          immediate.push(found)
          continue
        }
        heldRows.set(key, inForce)
        deferred.push(found)
      }
      return { immediate, deferred }
    },
    recordChanges: rows => { for (const { key } of rows) heldRows.delete(key) },
    release: (deferred, current) => {
      const released = deferred.filter(row => heldRows.has(row.key) && current.get(row.key)?.revision === row.revision)
      for (const { key } of released) heldRows.delete(key)
      return released
    }
  }
}

function isSameState (inForce: Rows.Row | undefined, found: Rows.Row): boolean {
  if (inForce === undefined || inForce.deleted) return found.deleted
  return !found.deleted && (inForce.value === found.value || JSON.stringify(inForce.value) === JSON.stringify(found.value))
}
