/**
 * Tracks the endpoint's prefix cache from events that may arrive late or with gaps.
 *
 * @packageDocumentation
 */
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'

/** Maximum number of prefixes retained and reported. */
const MAX_KEY_COUNT = 32

/** Applies cache events; a gap or a new incarnation clears the known prefixes. */
export const prefixCacheSystem: Tables.System = {
  name: 'prefixCache',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'cacheEvents') input.events.forEach(event => { applyEvent(tables, event) })
      if (input.kind === 'endpointSeen' && input.load !== undefined && input.load.incarnation !== tables.endpoint.incarnation) {
        tables.prefixCache.keys.clear()
        tables.prefixCache.lastSequence = -1
      }
    }
  }
}

function applyEvent (tables: Tables.Tables, event: Messages.CacheEvent): void {
  const { prefixCache } = tables
  if (event.sequence <= prefixCache.lastSequence) return
  if (event.sequence !== prefixCache.lastSequence + 1) prefixCache.keys.clear()
  prefixCache.lastSequence = event.sequence
  prefixCache.keys.delete(event.prefixKey)
  if (event.kind === 'evicted') return
  prefixCache.keys.add(event.prefixKey)
  const oldest = prefixCache.keys.values().next()
  if (prefixCache.keys.size > MAX_KEY_COUNT && oldest.done !== true) prefixCache.keys.delete(oldest.value)
}
