/**
 * What fetches have in common: which chunks may be fetched, from whom, and starting one.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'

/** From where a chunk is fetched. */
export interface FetchSource {
  readonly sourceId: string
  readonly address: Messages.Address
  readonly crossesBorder: boolean
  readonly isSeed: boolean
  /** The usual time of a chunk from there in milliseconds; 0 when not known. */
  readonly meanChunkMs: number
}

/** A fetch without a byte for so long is stalled, in milliseconds. */
const MIN_STALL_MS = 4_000
/** A fetch may stand still for so many usual times of a chunk. */
const STALL_FACTOR = 6

/**
 * Orders the sets that are being fetched.
 *
 * @param tables - The swarm's tables.
 * @returns The sets: by priority, then the smaller first.
 */
export function byPriority (tables: Tables.Tables): Tables.SetRow[] {
  return [...tables.sets.rows()]
    .filter(set => set.wanted && set.state === 'fetching')
    .sort((a, b) => b.spec.priority - a.spec.priority || a.spec.sizeBytes - b.spec.sizeBytes || (a.spec.digest < b.spec.digest ? -1 : 1))
}

/**
 * Tells whether a chunk may be fetched now: it is missing, not on its way, and there is room for it.
 *
 * @param tables - The swarm's tables.
 * @param set - The set.
 * @param chunks - Its chunks.
 * @param index - The chunk.
 * @returns Whether it may.
 */
export function canFetch (tables: Tables.Tables, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  if (Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index)) return false
  for (const fetch of tables.fetches.rows()) if (fetch.digest === set.spec.digest && fetch.index === index) return false
  return hasRoom(tables, set, chunks, index)
}

/**
 * Tells whether memory has room for a chunk.
 *
 * @param tables - The swarm's tables.
 * @param set - The set.
 * @param chunks - Its chunks.
 * @param index - The chunk.
 * @returns Whether it has. A set over the bound is taken in order, within a window.
 */
export function hasRoom (tables: Tables.Tables, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  const { chunkSizeBytes } = chunks.manifest
  const { memoryBytes } = tables.identity
  if (set.spec.sizeBytes > memoryBytes) {
    const windowCount = Math.max(1, Math.floor(memoryBytes / chunkSizeBytes / 2))
    if (index >= set.hashedCount + windowCount) return false
  }
  return tables.usedBytes + (tables.fetches.count() + 1) * chunkSizeBytes <= memoryBytes
}

/**
 * Finds the peers of the region that told of a set.
 *
 * @param tables - The swarm's tables.
 * @param set - The set.
 * @param nowMs - The time.
 * @returns The peers that are not left alone for a fault.
 */
export function localPeers (tables: Tables.Tables, set: Tables.SetRow, nowMs: number): Tables.PeerRow[] {
  return [...tables.peers.rows()].filter(peer =>
    peer.member.region === tables.identity.region && peer.health.backOffUntilMs <= nowMs && peer.holdings.has(set.spec.digest))
}

/**
 * Tells whether a peer holds a chunk.
 *
 * @param peer - The peer.
 * @param set - The set.
 * @param index - The chunk.
 * @returns Whether it said so last.
 */
export function holds (peer: Tables.PeerRow, set: Tables.SetRow, index: number): boolean {
  const held = peer.holdings.get(set.spec.digest)?.held
  return held !== undefined && Bitmap.has(held, index)
}

/**
 * Starts a fetch.
 *
 * @param tables - The swarm's tables.
 * @param tick - The tick.
 * @param set - The set.
 * @param index - The chunk.
 * @param source - From where.
 */
export function startFetch (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, index: number, source: FetchSource): void {
  const chunkDigest = set.chunks?.manifest.chunks[index]
  if (chunkDigest === undefined) return
  const fetchId = String(++tables.fetchCount)
  tables.fetches.set(fetchId, { fetchId, digest: set.spec.digest, index, sourceId: source.sourceId, startedAtMs: tick.nowMs, isSeed: source.isSeed })
  tick.emit({
    kind: 'fetchChunk',
    fetchId,
    digest: set.spec.digest,
    index,
    chunkDigest,
    sourceId: source.sourceId,
    address: source.address,
    crossesBorder: source.crossesBorder,
    stallMs: Math.max(MIN_STALL_MS, source.meanChunkMs * STALL_FACTOR)
  })
}
