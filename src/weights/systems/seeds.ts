/**
 * Brings chunks into the region: from the weight store, the origin, or over a region border.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import * as Faults from '../faults.ts'
import * as Seeding from '../seeding.ts'
import * as Tables from '../tables.ts'
import * as Fetches from './fetches.ts'
import * as Neighbours from './neighbours.ts'

/** Chunks of the region's order that may be on their way into it at once, at the start and at most. */
const FIRST_WINDOW_COUNT = 4
const WINDOW_COUNT = 12
/** Neighbours that hear at once of a chunk that was brought in. */
const TOLD_COUNT = 3
/** Chunks that one agent brings in at once. */
const OWN_LIMIT_COUNT = 2
/** The next agent in line follows after so long, in milliseconds. */
const FALLBACK_MS = 4_000
/** The next agent in line asks after the first when a chunk has been due for so long, in milliseconds. */
const PROBE_AFTER_MS = 1_000
/** The next agent in line waits for at least so many usual times of a chunk. */
const FALLBACK_FACTOR = 4
/** A chunk said to be present that no peer holds for so long counts as lost, in milliseconds. */
const LOST_AFTER_MS = 6_000
/** Time until another agent over a border is asked for the same chunk, in milliseconds. */
const BORDER_RETRY_MS = 1_500

/** Fetches the chunks that are this agent's to bring into the region. */
export const seedsSystem: Tables.System = {
  name: 'seeds',
  run: (tables, tick) => {
    for (const set of Fetches.byPriority(tables)) {
      if (set.chunks === undefined || set.seeding === undefined) continue
      seed(tables, tick, set, set.chunks, set.seeding)
      tell(tables, tick, set, set.chunks, set.seeding)
    }
  }
}

/** Tells some neighbours of chunks brought in, and the agents whose turn it is next. */
function tell (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, seeding: Seeding.Seeding): void {
  const seededCount = set.seededCount
  if (seededCount === set.toldCount) return
  set.toldCount = seededCount
  const told = new Set<Tables.PeerRow>()
  const next = seeding.order.filter(index => !Bitmap.has(chunks.present, index)).slice(Math.max(0, WINDOW_COUNT - TOLD_COUNT), WINDOW_COUNT + 1)
  for (const index of next) {
    const first = seeding.line(index)[0]
    const peer = first === undefined ? undefined : Tables.peerOf(tables, first)
    if (peer !== undefined) told.add(peer)
  }
  const neighbours = [...tables.peers.rows()].filter(peer => peer.neighbour && peer.member.region === tables.identity.region)
  for (let count = 0; count < TOLD_COUNT && neighbours.length > 0; count++) {
    told.add(neighbours.splice(tick.random.below(neighbours.length), 1)[0] as Tables.PeerRow)
  }
  for (const peer of told) if (peer.standing.backOffUntilMs <= tick.nowMs) Neighbours.exchangeWith(tick, peer)
}

function seed (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, seeding: Seeding.Seeding): void {
  let ownCount = 0
  for (const fetch of tables.fetches.rows()) if (fetch.seeds) ownCount++
  const order = set.want.sizeBytes > tables.identity.memoryBytes ? chunks.manifest.chunks.keys() : seeding.order
  const peers = Fetches.localPeers(tables, set, tick.nowMs)
  const windowCount = Math.min(WINDOW_COUNT, FIRST_WINDOW_COUNT + Bitmap.count(chunks.present))
  let absentCount = 0
  for (const index of order) {
    if (isPresent(tick, set, chunks, index, peers)) continue
    if (++absentCount > windowCount || ownCount >= OWN_LIMIT_COUNT) return
    if (chunks.dueAtMs[index] === 0) chunks.dueAtMs[index] = tick.nowMs
    if (!Fetches.mayFetch(tables, set, chunks, index)) continue
    if (!isTurn(tables, tick, set, chunks, seeding, index)) continue
    if (start(tables, tick, set, chunks, index)) ownCount++
  }
}

function isPresent (tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number, peers: readonly Tables.PeerRow[]): boolean {
  if (Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index)) return true
  if (!Bitmap.has(chunks.present, index)) return false
  if (peers.some(peer => Fetches.holds(peer, set, index))) { chunks.unseenSinceMs[index] = 0; return true }
  if (chunks.unseenSinceMs[index] === 0) chunks.unseenSinceMs[index] = tick.nowMs
  return tick.nowMs - (chunks.unseenSinceMs[index] ?? 0) < LOST_AFTER_MS
}

function isTurn (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, seeding: Seeding.Seeding, index: number): boolean {
  const rank = seeding.rankOf(index, tables.identity.instanceId)
  if (rank === 0) return true
  const ahead = seeding.line(index).slice(0, rank).flatMap(id => Tables.peerOf(tables, id) ?? []).filter(peer => !Faults.isAway(peer.standing, tick.nowMs))
  const [first] = ahead
  if (first === undefined) return true
  const dueAtMs = chunks.dueAtMs[index] ?? 0
  if (ahead.length === 1 && first.askedAtMs < dueAtMs && tick.nowMs - dueAtMs > PROBE_AFTER_MS) Neighbours.exchangeWith(tick, first)
  const usualMs = Math.max(...[...tables.sources.rows()].map(source => source.chunkMs), 0)
  const waitMs = Math.max(FALLBACK_MS, usualMs * FALLBACK_FACTOR)
  if (tick.nowMs - dueAtMs < waitMs * ahead.length) return false
  if (first.askedAtMs < dueAtMs + waitMs / 2) { Neighbours.exchangeWith(tick, first); return false }
  if (tick.nowMs - first.heardAtMs > waitMs) return true
  const atWork = first.holdings.get(set.want.digest)?.seeding
  if (atWork !== undefined && Bitmap.has(atWork, index)) { chunks.dueAtMs[index] = tick.nowMs; return false }
  return true
}

function start (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  for (const source of tables.sources.rows()) {
    if (source.standing.backOffUntilMs > tick.nowMs) continue
    source.outstandingCount++
    Fetches.start(tables, tick, set, index, { sourceId: source.sourceId, address: source.address, crossesBorder: source.crossesBorder, seeds: true, usualMs: source.chunkMs })
    return true
  }
  return startOverBorder(tables, tick, set, chunks, index)
}

function startOverBorder (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  if (tick.nowMs < (chunks.borderAfterMs[index] ?? 0)) return false
  const peer = holderOverBorder(tables, tick, set, chunks, index)
  if (peer === undefined) return false
  chunks.borderAfterMs[index] = tick.nowMs + BORDER_RETRY_MS
  peer.outstandingCount++
  tick.log('weights', 'Chunk asked for over a region border.', { digest: set.want.digest, index, peerId: peer.member.instanceId, reason: 'no source answers' })
  Fetches.start(tables, tick, set, index, { sourceId: peer.member.instanceId, address: peer.member, crossesBorder: true, seeds: true, usualMs: peer.chunkMs })
  return true
}

/** Prefers an agent known to hold the chunk, then those that were to bring it into their regions. */
function holderOverBorder (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number): Tables.PeerRow | undefined {
  const remotes = set.want.instanceIds.flatMap(id => tables.members.get(id) ?? []).filter(member => member.region !== tables.identity.region)
  const usable = (peer: Tables.PeerRow | undefined): peer is Tables.PeerRow => peer !== undefined && peer.standing.backOffUntilMs <= tick.nowMs
  const known = [...tables.peers.rows()].filter(peer => {
    const held = peer.holdings.get(set.want.digest)?.held
    return peer.member.region !== tables.identity.region && usable(peer) && held !== undefined && Bitmap.has(held, index)
  })
  if (known.length > 0) return known[tick.random.below(known.length)]
  const chunkDigest = chunks.manifest.chunks[index] ?? ''
  const firsts = [...new Set(remotes.map(member => member.region))].flatMap(region => {
    const ids = remotes.filter(member => member.region === region).map(member => member.instanceId)
    return Seeding.createSeeding(region, [chunkDigest], ids).line(0).slice(0, 2)
  }).map(id => Tables.peerOf(tables, id)).filter(usable)
  return firsts[tick.random.below(Math.max(1, firsts.length))]
}
