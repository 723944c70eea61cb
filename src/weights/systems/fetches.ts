/**
 * Functions that the systems share to choose and start fetches of chunks.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'

/** The peer or source from which a chunk is fetched. */
export interface FetchSource {
  readonly sourceId: string
  readonly address: Messages.Address
  readonly crossesBorder: boolean
  /** Whether the fetch brings the chunk into the region. */
  readonly isSeed: boolean
  /** Mean duration of a chunk fetch from there in milliseconds; 0 if unknown. */
  readonly meanChunkMs: number
}

/** Minimum time without a received byte after which a fetch counts as stalled, in milliseconds. */
const MIN_STALL_MS = 4_000
/** Time without a received byte after which a fetch counts as stalled, as a multiple of the mean duration of a fetch. */
const STALL_FACTOR = 6

/**
 * Returns the sets that are being fetched, in the order in which they are served.
 *
 * @param tables - The swarm's tables.
 * @returns The sets by descending priority, then by ascending size.
 */
export function byPriority (tables: Tables.Tables): Tables.SetRow[] {
  return [...tables.sets.rows()]
    .filter(set => set.wanted && set.state === 'fetching')
    .sort((a, b) => b.spec.priority - a.spec.priority || a.spec.sizeBytes - b.spec.sizeBytes || (a.spec.digest < b.spec.digest ? -1 : 1))
}

/**
 * Returns whether a chunk may be fetched now: it is missing, not being fetched, and fits into memory.
 *
 * @param tables - The swarm's tables.
 * @param set - The set.
 * @param chunks - Its chunks.
 * @param index - Index of the chunk.
 * @returns True if it may be fetched.
 */
export function canFetch (tables: Tables.Tables, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  if (Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index)) return false
  for (const fetch of tables.fetches.rows()) if (fetch.digest === set.spec.digest && fetch.index === index) return false
  return hasRoom(tables, set, chunks, index)
}

/**
 * Returns whether a chunk fits into memory. Chunks of a set larger than the memory limit are admitted in order, within
 * a window.
 *
 * @param tables - The swarm's tables.
 * @param set - The set.
 * @param chunks - Its chunks.
 * @param index - Index of the chunk.
 * @returns True if it fits.
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
 * Returns the peers of the region that have sent news of a set.
 *
 * @param tables - The swarm's tables.
 * @param set - The set.
 * @param nowMs - Current time in milliseconds.
 * @returns The peers that are not in back-off.
 */
export function localPeers (tables: Tables.Tables, set: Tables.SetRow, nowMs: number): Tables.PeerRow[] {
  return [...tables.peers.rows()].filter(peer =>
    peer.member.region === tables.identity.region && peer.health.backOffUntilMs <= nowMs && peer.holdings.has(set.spec.digest))
}

/**
 * Returns whether a peer holds a chunk.
 *
 * @param peer - The peer.
 * @param set - The set.
 * @param index - Index of the chunk.
 * @returns True if the latest news of the peer lists the chunk.
 */
export function holds (peer: Tables.PeerRow, set: Tables.SetRow, index: number): boolean {
  const held = peer.holdings.get(set.spec.digest)?.held
  return held !== undefined && Bitmap.has(held, index)
}

/**
 * Starts a fetch.
 *
 * @param tables - The swarm's tables.
 * @param tick - The current tick.
 * @param set - The set.
 * @param index - Index of the chunk.
 * @param source - The peer or source to fetch from.
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
