/**
 * Fetches chunks from peers of the region: the rarest chunk first, from the least loaded peer, with a preference for the
 * own zone.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import * as Tables from '../tables.ts'
import * as Fetches from './fetches.ts'
import * as Intake from './intake.ts'

/** Maximum number of chunks in flight from peers. */
const FETCH_LIMIT_COUNT = 5
/** Maximum number of chunks in flight from one peer. */
const PEER_FETCH_LIMIT_COUNT = 2
/** Queue length from which a peer gets no further requests. */
const BUSY_QUEUE_COUNT = 4
/** Time over which the queue length that a peer reported loses its weight, linearly, in milliseconds. */
const QUEUE_REPORT_LIFETIME_MS = 600
/** Load added to a peer in another zone, in queued requests. */
const OTHER_ZONE_LOAD = 0.5
/** Number of missing chunks from which the end game starts: late chunks are also requested from a second peer. */
const END_GAME_COUNT = 8
/** Duration of a fetch after which the chunk is requested a second time, as a multiple of the mean over peers. */
const END_GAME_FACTOR = 3
/** Minimum duration of a fetch before the chunk is requested a second time, in milliseconds. */
const MIN_END_GAME_MS = 400

/** Fetches chunks from peers. */
export const requestsSystem: Tables.System = {
  name: 'requests',
  run: (tables, tick) => {
    cancelUnwanted(tables, tick)
    for (const set of Fetches.byPriority(tables)) {
      if (set.chunks === undefined) continue
      requestChunks(tables, tick, set, set.chunks)
      endGame(tables, tick, set, set.chunks)
    }
  }
}

function cancelUnwanted (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const fetch of [...tables.fetches.rows()]) {
    if (tables.sets.get(fetch.digest)?.wanted !== true) Intake.cancelFetch(tables, tick, fetch)
  }
}

function requestChunks (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks): void {
  let freeCount = FETCH_LIMIT_COUNT - inFlightCount(tables)
  if (freeCount <= 0) return
  const peers = Fetches.localPeers(tables, set, tick.nowMs)
  if (!peers.some(peer => peer.outstandingCount < PEER_FETCH_LIMIT_COUNT)) return
  for (const { index } of rarestFirst(tables, tick, set, chunks, peers)) {
    const peer = choosePeer(tables, tick, set, index, peers)
    if (peer === undefined) continue
    fetchFromPeer(tables, tick, set, index, peer)
    if (--freeCount === 0) return
  }
}

function rarestFirst (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, peers: readonly Tables.PeerRow[]): Array<{ index: number, rarity: number }> {
  const inFlightIndices = new Set<number>()
  for (const fetch of tables.fetches.rows()) if (fetch.digest === set.spec.digest) inFlightIndices.add(fetch.index)
  const candidates: Array<{ index: number, rarity: number }> = []
  for (let index = 0; index < chunks.held.sizeCount; index++) {
    if (Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index) || inFlightIndices.has(index)) continue
    let holderCount = 0
    for (const peer of peers) if (Fetches.holds(peer, set, index)) holderCount++
    if (holderCount === 0 || !Fetches.hasRoom(tables, set, chunks, index)) continue
    candidates.push({ index, rarity: holderCount + tick.random.next() })
  }
  return candidates.sort((a, b) => a.rarity - b.rarity)
}

function choosePeer (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, index: number, peers: readonly Tables.PeerRow[], excludedId?: string): Tables.PeerRow | undefined {
  const queuedAt = (peer: Tables.PeerRow): number => peer.queuedCount * Math.max(0, 1 - (tick.nowMs - peer.lastContactAtMs) / QUEUE_REPORT_LIFETIME_MS)
  const loadOf = (peer: Tables.PeerRow): number =>
    peer.outstandingCount + queuedAt(peer) + (peer.member.zone === tables.identity.zone ? 0 : OTHER_ZONE_LOAD)
  let best: Tables.PeerRow | undefined
  for (const peer of peers) {
    if (peer.outstandingCount >= PEER_FETCH_LIMIT_COUNT || peer.member.instanceId === excludedId || queuedAt(peer) >= BUSY_QUEUE_COUNT || !Fetches.holds(peer, set, index)) continue
    if (best === undefined || loadOf(peer) < loadOf(best)) best = peer
  }
  return best
}

function fetchFromPeer (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, index: number, peer: Tables.PeerRow): void {
  peer.outstandingCount++
  peer.queuedCount++
  Fetches.startFetch(tables, tick, set, index, { sourceId: peer.member.instanceId, address: peer.member, crossesBorder: false, isSeed: false, meanChunkMs: peer.meanChunkMs })
}

function endGame (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks): void {
  const setFetches = [...tables.fetches.rows()].filter(fetch => fetch.digest === set.spec.digest)
  const missingCount = chunks.held.sizeCount - Bitmap.count(chunks.delivered)
  if (missingCount > END_GAME_COUNT || setFetches.length >= FETCH_LIMIT_COUNT) return
  const peers = Fetches.localPeers(tables, set, tick.nowMs)
  const measured = peers.filter(peer => peer.meanChunkMs > 0)
  const meanChunkTimeMs = measured.reduce((sum, peer) => sum + peer.meanChunkMs, 0) / Math.max(1, measured.length)
  for (const fetch of setFetches) {
    if (tick.nowMs - fetch.startedAtMs < Math.max(MIN_END_GAME_MS, meanChunkTimeMs * END_GAME_FACTOR)) continue
    if (setFetches.some(other => other !== fetch && other.index === fetch.index)) continue
    const peer = choosePeer(tables, tick, set, fetch.index, peers, fetch.sourceId)
    if (peer !== undefined) fetchFromPeer(tables, tick, set, fetch.index, peer)
  }
}

function inFlightCount (tables: Tables.Tables): number {
  let count = 0
  for (const fetch of tables.fetches.rows()) if (!fetch.isSeed) count++
  return count
}
