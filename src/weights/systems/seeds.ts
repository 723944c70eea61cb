/**
 * Fetches chunks into the region from the weight store or the origin, or from another region if neither is available.
 *
 * @packageDocumentation
 */
import * as Bitmap from '../bitmap.ts'
import * as Faults from '../faults.ts'
import * as Seeding from '../seeding.ts'
import * as Tables from '../tables.ts'
import * as Fetches from './fetches.ts'
import * as Neighbours from './neighbours.ts'

/**
 * Number of absent chunks, in the region's order, that may be fetched at the same time while no chunk is present. It grows
 * by one with each chunk present.
 */
const INITIAL_WINDOW_COUNT = 4
/** Maximum number of absent chunks that may be fetched into the region at the same time. */
const MAX_WINDOW_COUNT = 12
/** Number of neighbours with which news is exchanged at once after a chunk was fetched into the region. */
const ANNOUNCE_PEER_COUNT = 3
/** Maximum number of chunks that one agent fetches into the region at the same time. */
const SEED_LIMIT_COUNT = 2
/** Minimum time that an agent waits per available agent ranked before it, in milliseconds. */
const MIN_FALLBACK_MS = 4_000
/** Time for which a chunk is due until the second agent exchanges news with the first, in milliseconds. */
const PROBE_AFTER_MS = 1_000
/**
 * Minimum time that an agent waits per available agent ranked before it, as a multiple of the mean duration of
 * a fetch from the slowest source.
 */
const FALLBACK_FACTOR = 4
/** Time after which a chunk reported as present counts as lost if no known peer holds it, in milliseconds. */
const LOST_AFTER_MS = 6_000
/** Minimum time between two requests for the same chunk to other regions, in milliseconds. */
const BORDER_RETRY_MS = 1_500

/** Fetches chunks into the region when it is this agent's turn. */
export const seedsSystem: Tables.System = {
  name: 'seeds',
  run: (tables, tick) => {
    for (const set of Fetches.byPriority(tables)) {
      if (set.chunks === undefined || set.seeding === undefined) continue
      seed(tables, tick, set, set.chunks, set.seeding)
      announce(tables, tick, set, set.chunks, set.seeding)
    }
  }
}

/** Exchanges news of newly fetched chunks with some neighbours and with the agents that fetch the next chunks. */
function announce (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, seeding: Seeding.Seeding): void {
  const seededCount = set.seededCount
  if (seededCount === set.announcedCount) return
  set.announcedCount = seededCount
  const recipients = new Set<Tables.PeerRow>()
  const upcoming = seeding.order.filter(index => !Bitmap.has(chunks.present, index)).slice(Math.max(0, MAX_WINDOW_COUNT - ANNOUNCE_PEER_COUNT), MAX_WINDOW_COUNT + 1)
  for (const index of upcoming) {
    const first = seeding.rankedIds(index)[0]
    const peer = first === undefined ? undefined : Tables.ensurePeer(tables, first)
    if (peer !== undefined) recipients.add(peer)
  }
  const neighbours = [...tables.peers.rows()].filter(peer => peer.isNeighbour && peer.member.region === tables.identity.region)
  for (let count = 0; count < ANNOUNCE_PEER_COUNT && neighbours.length > 0; count++) {
    recipients.add(neighbours.splice(tick.random.below(neighbours.length), 1)[0] as Tables.PeerRow)
  }
  for (const peer of recipients) if (peer.health.backOffUntilMs <= tick.nowMs) Neighbours.exchangeWith(tick, peer)
}

function seed (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, seeding: Seeding.Seeding): void {
  let inFlightCount = 0
  for (const fetch of tables.fetches.rows()) if (fetch.isSeed) inFlightCount++
  const order = set.spec.sizeBytes > tables.identity.memoryBytes ? chunks.manifest.chunks.keys() : seeding.order
  const peers = Fetches.localPeers(tables, set, tick.nowMs)
  const windowCount = Math.min(MAX_WINDOW_COUNT, INITIAL_WINDOW_COUNT + Bitmap.count(chunks.present))
  let absentCount = 0
  for (const index of order) {
    if (isPresent(tick, set, chunks, index, peers)) continue
    if (++absentCount > windowCount || inFlightCount >= SEED_LIMIT_COUNT) return
    if (chunks.dueAtMs[index] === 0) chunks.dueAtMs[index] = tick.nowMs
    if (!Fetches.canFetch(tables, set, chunks, index)) continue
    if (!isOwnTurn(tables, tick, set, chunks, seeding, index)) continue
    if (startSeed(tables, tick, set, chunks, index)) inFlightCount++
  }
}

function isPresent (tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number, peers: readonly Tables.PeerRow[]): boolean {
  if (Bitmap.has(chunks.held, index) || Bitmap.has(chunks.delivered, index)) return true
  if (!Bitmap.has(chunks.present, index)) return false
  if (peers.some(peer => Fetches.holds(peer, set, index))) { chunks.noHolderSinceMs[index] = 0; return true }
  if (chunks.noHolderSinceMs[index] === 0) chunks.noHolderSinceMs[index] = tick.nowMs
  return tick.nowMs - (chunks.noHolderSinceMs[index] ?? 0) < LOST_AFTER_MS
}

function isOwnTurn (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, seeding: Seeding.Seeding, index: number): boolean {
  const rank = seeding.rankOf(index, tables.identity.instanceId)
  if (rank === 0) return true
  const ahead = seeding.rankedIds(index).slice(0, rank).flatMap(id => Tables.ensurePeer(tables, id) ?? []).filter(peer => !Faults.isUnavailable(peer.health, tick.nowMs))
  const [first] = ahead
  if (first === undefined) return true
  const dueAtMs = chunks.dueAtMs[index] ?? 0
  if (ahead.length === 1 && first.exchangeStartedAtMs < dueAtMs && tick.nowMs - dueAtMs > PROBE_AFTER_MS) Neighbours.exchangeWith(tick, first)
  const slowestMeanMs = Math.max(...[...tables.sources.rows()].map(source => source.meanChunkMs), 0)
  const waitMs = Math.max(MIN_FALLBACK_MS, slowestMeanMs * FALLBACK_FACTOR)
  if (tick.nowMs - dueAtMs < waitMs * ahead.length) return false
  if (first.exchangeStartedAtMs < dueAtMs + waitMs / 2) { Neighbours.exchangeWith(tick, first); return false }
  if (tick.nowMs - first.lastContactAtMs > waitMs) return true
  const peerSeeding = first.holdings.get(set.spec.digest)?.seeding
  if (peerSeeding !== undefined && Bitmap.has(peerSeeding, index)) { chunks.dueAtMs[index] = tick.nowMs; return false }
  return true
}

function startSeed (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  for (const source of tables.sources.rows()) {
    if (source.health.backOffUntilMs > tick.nowMs) continue
    source.outstandingCount++
    Fetches.startFetch(tables, tick, set, index, { sourceId: source.sourceId, address: source.address, crossesBorder: source.crossesBorder, isSeed: true, meanChunkMs: source.meanChunkMs })
    return true
  }
  return startBorderSeed(tables, tick, set, chunks, index)
}

function startBorderSeed (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number): boolean {
  if (tick.nowMs < (chunks.borderRetryAtMs[index] ?? 0)) return false
  const peer = chooseRemotePeer(tables, tick, set, chunks, index)
  if (peer === undefined) return false
  chunks.borderRetryAtMs[index] = tick.nowMs + BORDER_RETRY_MS
  peer.outstandingCount++
  tick.log('weights', 'Chunk requested from another region.', { digest: set.spec.digest, index, peerId: peer.member.instanceId, reason: 'no source is available' })
  Fetches.startFetch(tables, tick, set, index, { sourceId: peer.member.instanceId, address: peer.member, crossesBorder: true, isSeed: true, meanChunkMs: peer.meanChunkMs })
  return true
}

/** Prefers agents known to hold the chunk, then the first two agents of each region's ranking for it. */
function chooseRemotePeer (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow, chunks: Tables.Chunks, index: number): Tables.PeerRow | undefined {
  const remotes = set.spec.instanceIds.flatMap(id => tables.members.get(id) ?? []).filter(member => member.region !== tables.identity.region)
  const usable = (peer: Tables.PeerRow | undefined): peer is Tables.PeerRow => peer !== undefined && peer.health.backOffUntilMs <= tick.nowMs
  const holders = [...tables.peers.rows()].filter(peer => {
    const held = peer.holdings.get(set.spec.digest)?.held
    return peer.member.region !== tables.identity.region && usable(peer) && held !== undefined && Bitmap.has(held, index)
  })
  if (holders.length > 0) return holders[tick.random.below(holders.length)]
  const chunkDigest = chunks.manifest.chunks[index] ?? ''
  const candidates = [...new Set(remotes.map(member => member.region))].flatMap(region => {
    const ids = remotes.filter(member => member.region === region).map(member => member.instanceId)
    return Seeding.createSeeding(region, [chunkDigest], ids).rankedIds(0).slice(0, 2)
  }).map(id => Tables.ensurePeer(tables, id)).filter(usable)
  return candidates[tick.random.below(Math.max(1, candidates.length))]
}
