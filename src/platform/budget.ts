/**
 * Rate limit on calls to the table service, so that no single process can overload it.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as TableClient from './tableClient.ts'

/** Options of a budget. */
export interface BudgetOptions {
  /** Rate of reads and scans, in calls per second. */
  readonly readsPerSecond: number
  /** Rate of transactions, in calls per second. */
  readonly writesPerSecond: number
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Called with the kind and the result of each call. */
  readonly count: (kind: 'read' | 'write', result: 'answered' | 'failed' | 'overBudget') => void
}

/** Size of a burst, as the time in which the rate allows as many calls, in milliseconds. */
const BURST_MS = 4_000

/**
 * Wraps a client with a rate limit. A call over the budget fails at once, with `maybeApplied` false.
 *
 * @param tables - The client.
 * @param options - Rates, clock and callback.
 * @returns The client with the rate limit.
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

/** Creates a token bucket that starts full. Each call takes a token, and returns false if there is none. */
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
