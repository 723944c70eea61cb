/**
 * Deadlines by key, grouped into buckets so that setting, removing and expiring one costs the same
 * regardless of how many there are.
 *
 * @packageDocumentation
 */

/** Set of keys, each with the time at which it is due. */
export interface Deadlines {
  /** Sets the deadline of a key, in milliseconds, in place of an earlier one. */
  set: (key: string, dueMs: number) => void
  remove: (key: string) => void
  /** Removes and returns the keys that are due. A key becomes due less than `stepMs` after its deadline. */
  expire: (nowMs: number) => string[]
  count: () => number
}

/**
 * Creates an empty set of deadlines.
 *
 * @param stepMs - Width of a bucket in milliseconds. Deadlines are rounded up to a multiple of it.
 * @returns The set of deadlines.
 */
export function createDeadlines (stepMs: number): Deadlines {
  const buckets = new Map<number, Set<string>>()
  const bucketByKey = new Map<string, number>()
  let firstBucket = Infinity

  const remove = (key: string): void => {
    const bucket = bucketByKey.get(key)
    if (bucket === undefined) return
    bucketByKey.delete(key)
    const keys = buckets.get(bucket)
    keys?.delete(key)
    if (keys?.size === 0) buckets.delete(bucket)
  }
  return {
    set: (key, dueMs) => {
      remove(key)
      const bucket = Math.ceil(dueMs / stepMs)
      const keys = buckets.get(bucket) ?? new Set<string>()
      keys.add(key)
      buckets.set(bucket, keys)
      bucketByKey.set(key, bucket)
      firstBucket = Math.min(firstBucket, bucket)
    },
    remove,
    expire: nowMs => {
      const nowBucket = Math.floor(nowMs / stepMs)
      if (nowBucket < firstBucket) return []
      const due = nowBucket - firstBucket < buckets.size
        ? Array.from({ length: nowBucket - firstBucket + 1 }, (_, offset) => firstBucket + offset)
        : [...buckets.keys()].filter(bucket => bucket <= nowBucket).sort((a, b) => a - b)
      const keys = due.flatMap(bucket => [...buckets.get(bucket) ?? []])
      keys.forEach(remove)
      firstBucket = buckets.size === 0 ? Infinity : nowBucket + 1
      return keys
    },
    count: () => bucketByKey.size
  }
}
