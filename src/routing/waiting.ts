/**
 * The calls that wait for a place, and the order in which they get one.
 *
 * Answers short bursts. Streams that have begun go first, since their callers already read; then
 * calls that can still be answered in time before those that are late; then the more urgent; then
 * the one that came first, so that none is passed over for ever.
 *
 * @packageDocumentation
 */

/** What orders a waiting call. */
export interface WaitingCall {
  readonly service: string
  readonly resuming: boolean
  readonly late: boolean
  readonly priority: number
  readonly arrivedAtMs: number
}

/** Waiting calls. */
export interface WaitingQueue<Entry extends WaitingCall> {
  add: (entry: Entry) => void
  remove: (entry: Entry) => boolean
  /** The calls of all services in the order in which they get places. */
  inOrder: () => Entry[]
  /** How many calls would get a place before this one. */
  aheadCount: (entry: WaitingCall) => number
  count: () => number
}

/**
 * Compares two waiting calls.
 *
 * @param a - One call.
 * @param b - The other.
 * @returns A negative number when the first goes first.
 */
export function compare (a: WaitingCall, b: WaitingCall): number {
  return Number(b.resuming) - Number(a.resuming) ||
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
