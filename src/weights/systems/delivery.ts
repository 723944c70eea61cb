/**
 * Delivers verified chunks to the endpoint, detects complete sets, and evicts chunks from memory.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import * as Tables from '../tables.ts'
import * as Fetches from './fetches.ts'

/** Maximum number of concurrent deliveries of chunks of a set. */
const DELIVERY_LIMIT_COUNT = 2
/** Time until a chunk that the endpoint refused is delivered again, in milliseconds. */
const REDELIVERY_DELAY_MS = 1_000
/** Time after which an unanswered delivery counts as failed, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 40_000
/** Time for which the chunks of an unwanted set are kept, in milliseconds. */
const UNWANTED_RETENTION_MS = 60_000
/** Share of the memory limit above which unwanted and delivered chunks are evicted. */
const HIGH_WATER_SHARE = 0.75

/** Delivers chunks to the endpoint and marks sets as whole. */
export const deliverySystem: Tables.System = {
  name: 'delivery',
  run: (tables, tick) => {
    for (const set of Fetches.byPriority(tables)) {
      if (set.chunks === undefined) continue
      deliver(tick, set, set.chunks)
      if (set.wholeMatches !== true || !Bitmap.isFull(set.chunks.delivered)) continue
      set.state = 'whole'
      tick.check('wholeWeights', set.hashedCount === set.chunks.manifest.chunks.length, () => ({ digest: set.spec.digest, hashedCount: set.hashedCount }))
      tick.log('weights', 'Weights complete.', { digest: set.spec.digest, chunkCount: set.hashedCount, tookMs: Math.round(tick.nowMs - set.wantedAtMs) })
    }
  }
}

function deliver (tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks): void {
  let freeCount = DELIVERY_LIMIT_COUNT
  for (const startedAtMs of chunks.deliveryStartedAtMs) if (startedAtMs > 0) freeCount--
  for (let index = 0; index < chunks.held.sizeCount && freeCount > 0; index++) {
    if (!Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index) || chunks.deliveryStartedAtMs[index] !== 0) continue
    chunks.deliveryStartedAtMs[index] = tick.nowMs
    freeCount--
    tick.emit({ kind: 'deliverChunk', digest: set.spec.digest, index, chunkDigest: chunks.manifest.chunks[index] ?? '' })
  }
}

/** Makes chunks available for delivery again after a refusal or a timeout. */
export const redeliverySystem: Tables.System = {
  name: 'redelivery',
  run: (tables, tick) => {
    for (const set of Fetches.byPriority(tables)) {
      set.chunks?.deliveryStartedAtMs.forEach((startedAtMs, index) => {
        if (startedAtMs < 0 && tick.nowMs >= -startedAtMs + REDELIVERY_DELAY_MS) set.chunks?.deliveryStartedAtMs.fill(0, index, index + 1)
        if (startedAtMs > 0 && tick.nowMs >= startedAtMs + DELIVERY_TIMEOUT_MS) set.chunks?.deliveryStartedAtMs.fill(0, index, index + 1)
      })
    }
  }
}

/** Evicts chunks: first those of unwanted sets, then those that the endpoint has accepted, least recently used first. */
export const evictionSystem: Tables.System = {
  name: 'eviction',
  run: (tables, tick) => {
    for (const set of [...tables.sets.rows()]) {
      if (set.wanted || tick.nowMs - set.unwantedAtMs < UNWANTED_RETENTION_MS) continue
      evictSet(tables, tick, set)
    }
    const highWaterBytes = tables.identity.memoryBytes * HIGH_WATER_SHARE
    if (tables.usedBytes <= highWaterBytes) return
    for (const set of [...tables.sets.rows()]) {
      if (!set.wanted && tables.usedBytes > highWaterBytes) evictSet(tables, tick, set)
    }
    const sizes = findEvictable(tables)
    for (const [chunkDigest] of [...tables.chunkLastUsedAtMs].sort((a, b) => a[1] - b[1])) {
      if (tables.usedBytes <= highWaterBytes) return
      const sizeBytes = sizes.get(chunkDigest)
      if (sizeBytes !== undefined) evictChunk(tables, tick, chunkDigest, sizeBytes)
    }
  }
}

function evictSet (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow): void {
  tables.sets.remove(set.spec.digest)
  const kept = new Set([...tables.sets.rows()].flatMap(other => other.chunks?.manifest.chunks ?? []))
  set.chunks?.manifest.chunks.forEach((chunkDigest, index) => {
    if (!kept.has(chunkDigest) && tables.chunkLastUsedAtMs.has(chunkDigest)) evictChunk(tables, tick, chunkDigest, sizeOf(set.chunks as Tables.Chunks, index))
  })
  for (const peer of tables.peers.rows()) peer.holdings.delete(set.spec.digest)
  tick.log('weights', 'Weights evicted.', { digest: set.spec.digest, reason: 'no longer assigned' })
  tick.emit({ kind: 'forgetWeights', digest: set.spec.digest })
}

/** Returns the sizes, by digest, of chunks that no set still needs for delivery or for the digest of the whole set. */
function findEvictable (tables: Tables.Tables): Map<string, number> {
  const sizes = new Map<string, number>()
  const needed = new Set<string>()
  for (const set of tables.sets.rows()) {
    const { chunks } = set
    chunks?.manifest.chunks.forEach((chunkDigest, index) => {
      const used = Bitmap.has(chunks.delivered, index) && index < set.hashedCount
      if (used || set.state === 'invalid') sizes.set(chunkDigest, sizeOf(chunks, index))
      else needed.add(chunkDigest)
    })
  }
  for (const chunkDigest of needed) sizes.delete(chunkDigest)
  return sizes
}

function evictChunk (tables: Tables.Tables, tick: Tables.Tick, chunkDigest: string, sizeBytes: number): void {
  tables.chunkLastUsedAtMs.delete(chunkDigest)
  tables.usedBytes -= sizeBytes
  for (const { chunks } of tables.sets.rows()) {
    chunks?.manifest.chunks.forEach((digest, index) => { if (digest === chunkDigest) Bitmap.remove(chunks.held, index) })
  }
  tick.emit({ kind: 'evictChunk', chunkDigest })
}

function sizeOf (chunks: Tables.Chunks, index: number): number {
  const { sizeBytes, chunkSizeBytes } = chunks.manifest
  return Math.min(chunkSizeBytes, sizeBytes - index * chunkSizeBytes)
}
