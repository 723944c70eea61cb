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
const LIMIT_COUNT = 5
/** Chunks that are on their way from one peer at once. */
const PEER_LIMIT_COUNT = 2
/** A peer with so many requests waiting is not asked. */
const BUSY_COUNT = 4
/** What a peer told of its queue counts for so long, less and less, in milliseconds. */
const QUEUE_MEMORY_MS = 600
/** What a peer in another zone counts as, in waiting requests. */
const OTHER_ZONE_LOAD = 0.5
/** The end-game begins with so few chunks missing. */
const END_GAME_COUNT = 8
/** A chunk is asked for twice after so many usual times of a chunk. */
const END_GAME_FACTOR = 3
const END_GAME_FLOOR_MS = 400

/** Asks peers for chunks. */
export const requestsSystem: Tables.System = {
  name: 'requests',
  run: (tables, tick) => {
    dropUnwanted(tables, tick)
    for (const set of Fetches.byPriority(tables)) {
      if (set.chunks === undefined) continue
      request(tables, tick, set, set.chunks)
      endGame(tables, tick, set, set.chunks)
    }
  }
}

function dropUnwanted (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const fetch of [...tables.fetches.rows()]) {
    if (tables.sets.get(fetch.digest)?.wanted !== true) Intake.cancelFetch(tables, tick, fetch)
  }
}

function request (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks): void {
  let freeCount = LIMIT_COUNT - inFlightCount(tables)
  if (freeCount <= 0) return
  const peers = Fetches.localPeers(tables, set, tick.nowMs)
  if (!peers.some(peer => peer.outstandingCount < PEER_LIMIT_COUNT)) return
  for (const { index } of rarestFirst(tables, tick, set, chunks, peers)) {
    const peer = choosePeer(tables, tick, set, index, peers)
    if (peer === undefined) continue
    ask(tables, tick, set, index, peer)
    if (--freeCount === 0) return
  }
}

function rarestFirst (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, peers: readonly Tables.PeerRow[]): Array<{ index: number, rarity: number }> {
  const onTheirWay = new Set<number>()
  for (const fetch of tables.fetches.rows()) if (fetch.digest === set.want.digest) onTheirWay.add(fetch.index)
  const candidates: Array<{ index: number, rarity: number }> = []
  for (let index = 0; index < chunks.held.sizeCount; index++) {
    if (Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index) || onTheirWay.has(index)) continue
    let holderCount = 0
    for (const peer of peers) if (Fetches.holds(peer, set, index)) holderCount++
    if (holderCount === 0 || !Fetches.hasRoom(tables, set, chunks, index)) continue
    candidates.push({ index, rarity: holderCount + tick.random.next() })
  }
  return candidates.sort((a, b) => a.rarity - b.rarity)
}

function choosePeer (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, index: number, peers: readonly Tables.PeerRow[], except?: string): Tables.PeerRow | undefined {
  const waitingAt = (peer: Tables.PeerRow): number => peer.queuedCount * Math.max(0, 1 - (tick.nowMs - peer.heardAtMs) / QUEUE_MEMORY_MS)
  const loadOf = (peer: Tables.PeerRow): number =>
    peer.outstandingCount + waitingAt(peer) + (peer.member.zone === tables.identity.zone ? 0 : OTHER_ZONE_LOAD)
  let best: Tables.PeerRow | undefined
  for (const peer of peers) {
    if (peer.outstandingCount >= PEER_LIMIT_COUNT || peer.member.instanceId === except || waitingAt(peer) >= BUSY_COUNT || !Fetches.holds(peer, set, index)) continue
    if (best === undefined || loadOf(peer) < loadOf(best)) best = peer
  }
  return best
}

function ask (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, index: number, peer: Tables.PeerRow): void {
  peer.outstandingCount++
  peer.queuedCount++
  Fetches.start(tables, tick, set, index, { sourceId: peer.member.instanceId, address: peer.member, crossesBorder: false, seeds: false, usualMs: peer.chunkMs })
}

function endGame (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks): void {
  const own = [...tables.fetches.rows()].filter(fetch => fetch.digest === set.want.digest)
  const missingCount = chunks.held.sizeCount - Bitmap.count(chunks.delivered)
  if (missingCount > END_GAME_COUNT || own.length >= LIMIT_COUNT) return
  const peers = Fetches.localPeers(tables, set, tick.nowMs)
  const timed = peers.filter(peer => peer.chunkMs > 0)
  const usualMs = timed.reduce((sum, peer) => sum + peer.chunkMs, 0) / Math.max(1, timed.length)
  for (const fetch of own) {
    if (tick.nowMs - fetch.startedAtMs < Math.max(END_GAME_FLOOR_MS, usualMs * END_GAME_FACTOR)) continue
    if (own.some(other => other !== fetch && other.index === fetch.index)) continue
    const peer = choosePeer(tables, tick, set, fetch.index, peers, fetch.sourceId)
    if (peer !== undefined) ask(tables, tick, set, fetch.index, peer)
  }
}

function inFlightCount (tables: Tables.Tables): number {
  let count = 0
  for (const fetch of tables.fetches.rows()) if (!fetch.seeds) count++
  return count
}
