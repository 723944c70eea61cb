/**
 * The prefix cache of an engine stand-in, with events that are late and have gaps.
 *
 * @packageDocumentation
 */
import type * as Core from '../src/core/index.ts'

/** Settings of a prefix cache. */
export interface PrefixCacheOptions {
  readonly maxCount: number
  /** How late events can be read, in milliseconds. */
  readonly lagMs: number
  /** Share of events, from 0 to 1, that are lost. */
  readonly loseShare: number
  readonly random: Core.Random.Random
}

/** A change of the cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly prefixKey: string
}

/** A cache of prompt prefixes that evicts the least recently used. */
export interface PrefixCache {
  /** Uses a prefix and stores it; tells whether it was cached. */
  use: (prefixKey: string) => boolean
  /** The events that can be read by now, after a sequence number. */
  eventsAfter: (sequence: number) => CacheEvent[]
  clear: () => void
}

const KEPT_EVENT_COUNT = 1_000

/**
 * Creates an empty cache.
 *
 * @param options - Size, lag and losses.
 * @returns The cache.
 */
export function createPrefixCache (options: PrefixCacheOptions): PrefixCache {
  const keys = new Set<string>()
  let events: Array<{ event: CacheEvent, readableAtMs: number }> = []
  let nextSequence = 0

  const tell = (kind: CacheEvent['kind'], prefixKey: string): void => {
    const event = { sequence: nextSequence++, kind, prefixKey }
    if (options.random.next() < options.loseShare) return
    events.push({ event, readableAtMs: performance.now() + options.lagMs })
    if (events.length > KEPT_EVENT_COUNT) events.shift()
  }
  return {
    use: prefixKey => {
      if (prefixKey === '') return false
      const cached = keys.delete(prefixKey)
      keys.add(prefixKey)
      if (cached) return true
      tell('stored', prefixKey)
      const oldest = keys.values().next()
      if (keys.size > options.maxCount && oldest.done !== true) {
        keys.delete(oldest.value)
        tell('evicted', oldest.value)
      }
      return false
    },
    eventsAfter: sequence => {
      const nowMs = performance.now()
      return events.filter(({ event, readableAtMs }) => event.sequence > sequence && readableAtMs <= nowMs).map(({ event }) => event)
    },
    clear: () => {
      keys.clear()
      events = []
      nextSequence = 0
    }
  }
}
