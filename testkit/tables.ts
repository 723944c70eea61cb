/**
 * The table service in memory, with answers that are lost and writes that arrive late.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as Platform from '../src/platform/index.ts'
import type * as Schemas from '../src/schema/index.ts'

/** What happens to one write. */
export type WriteFate = 'answered' | 'answerLost' | 'lost' | 'late' | 'refused'

/** Tables in memory. */
export interface MemoryTables extends Platform.TableClient.TableClient {
  /** Decides what happens to the following writes; the rest are answered. */
  nextWrites: (fates: readonly WriteFate[]) => void
  /** Applies the writes that are late; tells how many took effect. */
  deliverLate: () => number
  /** Makes every read fail, or work again. */
  setReadsDown: (down: boolean) => void
  peek: (table: string, key: string) => Schemas.Platform.Row | undefined
}

/**
 * Creates empty tables.
 *
 * @returns The tables.
 */
export function createMemoryTables (): MemoryTables {
  const rows = new Map<string, Schemas.Platform.Row>()
  let late: Schemas.Platform.Transaction[] = []
  let fates: WriteFate[] = []
  let readsDown = false
  let revision = 0
  const keyOf = (table: string, key: string): string => `${table}/${key}`
  const failure = (maybeApplied: boolean): Platform.TableClient.StoreFailure => ({ message: 'no answer', maybeApplied })

  const apply = (transaction: Schemas.Platform.Transaction): Schemas.Platform.TransactionAnswer => {
    const conflicts = transaction.conditions
      .filter(condition => (rows.get(keyOf(condition.table, condition.key))?.revision ?? 0) !== condition.revision)
      .map(condition => rows.get(keyOf(condition.table, condition.key)) ?? { table: condition.table, key: condition.key, revision: 0, value: null })
    if (conflicts.length > 0) return { committed: false, revision, conflicts }
    revision++
    for (const write of transaction.writes) {
      if (write.value === null) rows.delete(keyOf(write.table, write.key))
      else rows.set(keyOf(write.table, write.key), JSON.parse(JSON.stringify({ ...write, revision })) as Schemas.Platform.Row)
    }
    return { committed: true, revision, conflicts: [] }
  }
  const outcomes: Readonly<Record<WriteFate, (transaction: Schemas.Platform.Transaction) => Neverthrow.Result<Schemas.Platform.TransactionAnswer, Platform.TableClient.StoreFailure>>> = {
    answered: transaction => Neverthrow.ok(apply(transaction)),
    answerLost: transaction => { apply(transaction); return Neverthrow.err(failure(true)) },
    lost: () => Neverthrow.err(failure(true)),
    late: transaction => { late.push(transaction); return Neverthrow.err(failure(true)) },
    refused: () => Neverthrow.err(failure(false))
  }
  return {
    transact: async transaction => outcomes[fates.shift() ?? 'answered'](transaction),
    read: async wanted => readsDown
      ? Neverthrow.err(failure(false))
      : Neverthrow.ok(wanted.flatMap(row => rows.get(keyOf(row.table, row.key)) ?? [])),
    scan: async (table, prefix, limitCount) => readsDown
      ? Neverthrow.err(failure(false))
      : Neverthrow.ok([...rows.values()].filter(row => row.table === table && row.key.startsWith(prefix)).sort((a, b) => a.key < b.key ? -1 : 1).slice(0, limitCount)),
    nextWrites: next => { fates = [...next] },
    deliverLate: () => {
      const applied = late.filter(transaction => apply(transaction).committed).length
      late = []
      return applied
    },
    setReadsDown: down => { readsDown = down },
    peek: (table, key) => rows.get(keyOf(table, key))
  }
}
