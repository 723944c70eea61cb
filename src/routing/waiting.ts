/**
 * Queue of calls that wait for a slot, which absorbs short bursts.
 *
 * Streams that have begun go first, since their callers are already reading. After them, calls of a more
 * urgent rank go before others, also late ones. Without ranks and within a rank, calls that can still be
 * answered on time go before late ones, then calls with a higher priority go before others, then calls that
 * arrived earlier go first.
 *
 * @packageDocumentation
 */
import type * as Ranks from './ranks.ts'

/** The properties of a waiting call that determine its order. */
export interface WaitingCall {
  readonly service: string
  readonly resuming: boolean
  readonly late: boolean
  /** Undefined if calls of the service have no ranks. */
  readonly rank: Ranks.Rank | undefined
  /** 0 is the highest. */
  readonly priority: number
  readonly arrivedAtMs: number
}

/** The waiting calls of one gateway. */
export interface WaitingQueue<Entry extends WaitingCall> {
  add: (entry: Entry) => void
  remove: (entry: Entry) => boolean
  /** Returns the calls of all services in the order in which they get slots. */
  inOrder: () => Entry[]
  /** Returns the number of calls of the same service that would get a slot before this one. */
  aheadCount: (entry: WaitingCall) => number
  count: () => number
}

/**
 * Compares two waiting calls.
 *
 * @param a - One call.
 * @param b - The other call.
 * @returns A negative number if the first call goes first, a positive number if the second does.
 */
export function compare (a: WaitingCall, b: WaitingCall): number {
  return Number(b.resuming) - Number(a.resuming) ||
    (a.rank?.index ?? 0) - (b.rank?.index ?? 0) ||
    Number(a.late) - Number(b.late) ||
    a.priority - b.priority ||
    a.arrivedAtMs - b.arrivedAtMs
}

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export function createWaitingQueue<Entry extends WaitingCall> (): WaitingQueue<Entry> {
  const entries = new Set<Entry>()
  return {
    add: entry => { entries.add(entry) },
    remove: entry => entries.delete(entry),
    inOrder: () => [...entries].sort(compare),
    aheadCount: entry => {
      let count = 0
      for (const other of entries) if (other.service === entry.service && other !== entry && compare(other, entry) < 0) count++
      return count
    },
    count: () => entries.size
  }
}
