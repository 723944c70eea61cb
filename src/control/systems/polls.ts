/**
 * Decides when the process reads the store and the instance list.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import * as Tables from '../tables.ts'

/** Time without a message from any other process after which a process that is not a watcher reads the store, in milliseconds. */
export const ISOLATION_TIMEOUT_MS = 10_000
const MAX_BACKOFF_MS = 5_000
/** Maximum mean network use of reading the instance list, in bytes per second. */
export const MAX_LIST_BYTES_PER_SECOND = { watcher: 12_000, other: 3_000 } as const

/** Schedules reads with jitter, and with exponential backoff while they fail. */
export const pollsSystem: Tables.System = {
  name: 'polls',
  run: (tables, tick) => {
    const { polls } = tables
    for (const input of tick.inputs) {
      if (input.kind === 'storeRead') endStoreRead(tables, tick, false)
      if (input.kind === 'storeFailed') endStoreRead(tables, tick, true)
      if (input.kind === 'listRead') {
        polls.listSizeBytes = input.sizeBytes
        endListRead(tables, tick, false)
      }
      if (input.kind === 'listFailed') endListRead(tables, tick, true)
    }
    if (!polls.listPending && tick.nowMs >= polls.nextListReadAtMs) {
      polls.listPending = true
      tick.emit({ kind: 'readList' })
    }
    if (polls.storePending || tick.nowMs < polls.nextStoreReadAtMs || !shouldReadStore(tables, tick)) return
    polls.storePending = true
    tick.emit({ kind: 'readStore' })
  }
}

/**
 * Returns whether this process polls the store on behalf of its availability zone.
 *
 * @param tables - The tables.
 * @param nowMs - The time of the tick in milliseconds.
 * @returns Whether this process is a watcher.
 */
export function isWatcher (tables: Tables.Tables, nowMs: number): boolean {
  return Tables.layoutOf(tables, nowMs).watchersOf(tables.identity.zone).includes(tables.identity.instanceId)
}

function shouldReadStore (tables: Tables.Tables, tick: Tables.Tick): boolean {
  const { polls, learning, self } = tables
  if (polls.listReadCount === 0 && polls.listFailureCount === 0) return false
  if (isWatcher(tables, tick.nowMs)) return true
  if (!learning.isComplete) return tick.nowMs - learning.startedAtMs > learning.storeDelayMs
  return tick.nowMs - self.lastPeerMessageAtMs > ISOLATION_TIMEOUT_MS
}

function endStoreRead (tables: Tables.Tables, tick: Tables.Tick, failed: boolean): void {
  const { polls } = tables
  polls.storePending = false
  polls.storeFailureCount = failed ? polls.storeFailureCount + 1 : 0
  polls.nextStoreReadAtMs = tick.nowMs + delayWithBackoff(tick, tables.pollMs, polls.storeFailureCount)
}

function endListRead (tables: Tables.Tables, tick: Tables.Tick, failed: boolean): void {
  const { polls } = tables
  polls.listPending = false
  polls.listFailureCount = failed ? polls.listFailureCount + 1 : 0
  const bytesPerSecond = MAX_LIST_BYTES_PER_SECOND[isWatcher(tables, tick.nowMs) ? 'watcher' : 'other']
  const intervalMs = Math.max(tables.pollMs, polls.listSizeBytes * 1_000 / bytesPerSecond)
  polls.nextListReadAtMs = tick.nowMs + delayWithBackoff(tick, intervalMs, polls.listFailureCount)
}

/** Returns the delay before the next read in milliseconds. */
function delayWithBackoff (tick: Tables.Tick, intervalMs: number, failureCount: number): number {
  const delayMs = Math.max(intervalMs, Math.min(MAX_BACKOFF_MS, intervalMs * 2 ** failureCount))
  return Core.Random.jitter(tick.random, delayMs)
}
