/**
 * A budget of calls to the table service, so that no process alone can overload it.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as TableClient from './tableClient.ts'

/** Settings of a budget. */
export interface BudgetOptions {
  /** Reads and scans that are earned in a second. */
  readonly readsPerSecond: number
  /** Transactions that are earned in a second. */
  readonly writesPerSecond: number
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Told of each call and how it ended. */
  readonly count: (kind: 'read' | 'write', result: 'answered' | 'failed' | 'overBudget') => void
}

/** Unused calls are kept for so long, in milliseconds. */
const BURST_MS = 4_000

/**
 * Wraps a client. A call beyond the budget is refused at once, as not applied.
 *
 * @param tables - The client.
 * @param options - The budget.
 * @returns The wrapped client.
 */
export function limitCalls (tables: TableClient.TableClient, options: BudgetOptions): TableClient.TableClient {
  const buckets = { read: createTokenBucket(options.readsPerSecond, options.clock), write: createTokenBucket(options.writesPerSecond, options.clock) }
  const run = async <T>(kind: 'read' | 'write', call: () => Promise<Neverthrow.Result<T, TableClient.StoreFailure>>): Promise<Neverthrow.Result<T, TableClient.StoreFailure>> => {
    if (!buckets[kind]()) {
      options.count(kind, 'overBudget')
      return Neverthrow.err({ message: 'the budget of calls to the table service is used up', maybeApplied: false })
    }
    const answer = await call()
    options.count(kind, answer.isOk() ? 'answered' : 'failed')
    return answer
  }
  return {
    transact: async transaction => await run('write', async () => await tables.transact(transaction)),
    read: async rows => await run('read', async () => await tables.read(rows)),
    scan: async (table, prefix, limitCount) => await run('read', async () => await tables.scan(table, prefix, limitCount))
  }
}

/** Creates a token bucket that starts full; each call takes a token if there is one. */
function createTokenBucket (perSecond: number, clock: () => number): () => boolean {
  const capacity = perSecond * BURST_MS / 1_000
  let tokens = capacity
  let refilledAtMs = clock()
  return () => {
    const nowMs = clock()
    tokens = Math.min(capacity, tokens + (nowMs - refilledAtMs) * perSecond / 1_000)
    refilledAtMs = nowMs
    if (tokens < 1) return false
    tokens--
    return true
  }
}
