/**
 * Asks peers of the region for chunks: rarest first, then the least loaded peer, then the own zone.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import * as Tables from '../tables.ts'
import * as Fetches from './fetches.ts'
import * as Intake from './intake.ts'

/** Chunks that are on their way from peers at once. */
const FETCH_LIMIT_COUNT = 5
/** Chunks that are on their way from one peer at once. */
const PEER_FETCH_LIMIT_COUNT = 2
/** A peer with so many requests waiting is not asked. */
const BUSY_QUEUE_COUNT = 4
/** What a peer told of its queue counts for so long, less and less, in milliseconds. */
const QUEUE_REPORT_LIFETIME_MS = 600
/** What a peer in another zone counts as, in waiting requests. */
const OTHER_ZONE_LOAD = 0.5
/** The end-game begins with so few chunks missing. */
const END_GAME_COUNT = 8
/** A chunk is asked for twice after so many usual times of a chunk. */
const END_GAME_FACTOR = 3
const MIN_END_GAME_MS = 400

/** Asks peers for chunks. */
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
