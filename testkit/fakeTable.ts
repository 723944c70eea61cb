/**
 * An in-memory table service behind the client's interface, for tests under virtual time.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as TableClient from '../src/platform/tableClient.ts'
import type * as Platform from '../src/schema/platform.ts'

/** How the next calls go wrong. */
export type Mishap = 'none' | 'unavailable' | 'lostBefore' | 'lostAfter'

/** A table service in memory. */
export interface FakeTable {
  readonly client: TableClient.TableClient
  /** Chooses what becomes of each transaction. */
  setMishap: (choose: () => Mishap) => void
  rows: (table: string) => Platform.Row[]
  writeCount: () => number
}

/**
 * Creates an empty table service.
 *
 * @returns The service. Its calls take no time.
 */
export function createFakeTable (): FakeTable {
  const rows = new Map<string, Platform.Row>()
  let revision = 0
  let writeCount = 0
  let choose: () => Mishap = () => 'none'
  const nameOf = (row: { table: string, key: string }): string => `${row.table}\n${row.key}`
  const ordered = (table: string): Platform.Row[] => [...rows.values()].filter(row => row.table === table).sort((a, b) => a.key < b.key ? -1 : 1)

  const apply = (transaction: Platform.Transaction): Platform.TransactionAnswer => {
    writeCount++
    const conflicts = transaction.conditions
      .filter(condition => (rows.get(nameOf(condition))?.revision ?? 0) !== condition.revision)
      .map(condition => rows.get(nameOf(condition)) ?? { table: condition.table, key: condition.key, revision: 0, value: null })
    if (conflicts.length > 0) return { committed: false, revision, conflicts }
    revision++
    for (const write of transaction.writes) {
      if (write.value === null) rows.delete(nameOf(write))
      else rows.set(nameOf(write), { ...write, revision })
    }
    return { committed: true, revision, conflicts: [] }
  }
  const failure = (maybeApplied: boolean): Neverthrow.Err<never, TableClient.StoreFailure> => Neverthrow.err({ message: 'no answer', maybeApplied })
  return {
    client: {
      transact: async transaction => {
        const mishap = choose()
        if (mishap === 'unavailable') return failure(false)
        if (mishap === 'lostBefore') return failure(true)
        const answer = apply(transaction)
        return mishap === 'lostAfter' ? failure(true) : Neverthrow.ok(answer)
      },
      read: async wanted => choose() === 'unavailable' ? failure(false) : Neverthrow.ok(wanted.flatMap(row => rows.get(nameOf(row)) ?? [])),
      scan: async (table, prefix, limitCount) => choose() === 'unavailable'
        ? failure(false)
        : Neverthrow.ok(ordered(table).filter(row => row.key.startsWith(prefix)).slice(0, limitCount))
    },
    setMishap: next => { choose = next },
    rows: ordered,
    writeCount: () => writeCount
  }
}
