/**
 * Handles the inputs of the swarm: news, weight manifests, chunks, and results of exchanges and deliveries.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Bitmap from '../bitmap.ts'
import * as Faults from '../faults.ts'
import type * as Messages from '../messages.ts'
import * as Pace from '../pace.ts'
import * as Tables from '../tables.ts'

/** A fetch is slow if it takes more than this multiple of the median over the other peers. */
const SLOW_FACTOR = 6
/** Duration below which a fetch never counts as slow, in milliseconds. */
const MIN_SLOW_MS = 1_500
/** Weight of the newest fetch in the moving average of fetch durations. */
const MEAN_WEIGHT = 0.2

type InputHandlers = { readonly [Kind in Messages.Input['kind']]: (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { readonly kind: Kind }>) => void }

const HANDLERS: InputHandlers = {
  manifestFetched: handleManifest,
  chunkFetched: handleChunk,
  newsHeard: handleNews,
  exchanged: handleExchange,
  chunkDelivered: handleDelivery,
  chunksHashed: (tables, tick, input) => {
    const set = tables.sets.get(input.digest)
    if (set === undefined) return
    set.hashedCount = input.hashedCount
    set.wholeMatches = input.wholeMatches
    if (input.wholeMatches !== false) return
    set.state = 'invalid'
    tick.log('weights', 'Weights rejected.', { digest: input.digest, reason: 'digest of the whole set does not match' })
  },
  chunkAsked: (tables, tick, input) => {
    if (tables.chunkLastUsedAtMs.has(input.chunkDigest)) tables.chunkLastUsedAtMs.set(input.chunkDigest, tick.nowMs)
  }
}

/** Handles the inputs of the tick. */
export const intakeSystem: Tables.System = {
  name: 'intake',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      const handle = HANDLERS[input.kind] as (tables: Tables.Tables, tick: Tables.Tick, input: Messages.Input) => void
      handle(tables, tick, input)
    }
  }
}

function handleManifest (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { readonly kind: 'manifestFetched' }>): void {
  const set = tables.sets.get(input.digest)
  if (set === undefined || set.chunks !== undefined) return
  if (input.manifest === undefined) {
    set.manifestFailureCount++
    recordManifestFault(tables, tick, input.sourceId, input.fault)
    return
  }
  set.chunks = createChunks(input.manifest)
  input.manifest.chunks.forEach((chunkDigest, index) => {
    if (tables.chunkLastUsedAtMs.has(chunkDigest)) markHeld(set, index)
  })
  tick.log('weights', 'Weight manifest received.', { digest: input.digest, chunkCount: input.manifest.chunks.length, sourceId: input.sourceId, keptCount: Bitmap.count(set.chunks.held) })
}

function recordManifestFault (tables: Tables.Tables, tick: Tables.Tick, sourceId: string, fault: Faults.FaultKind | undefined): void {
  if (fault === undefined || fault === 'absent') return
  const source = tables.sources.get(sourceId)
  const health = source?.health ?? tables.peers.get(sourceId)?.health
  if (health === undefined) return
  const backOffMs = Faults.recordFault(health, fault, source === undefined ? Faults.PEER_BACK_OFF : Faults.SOURCE_BACK_OFF, tick.nowMs)
  tick.log('weights', 'Weight manifest fetch failed.', { sourceId, fault, backOffMs })
}

function handleChunk (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { readonly kind: 'chunkFetched' }>): void {
  const fetch = tables.fetches.get(input.fetchId)
  tables.fetches.remove(input.fetchId)
  if (input.ending === 'whole') storeChunk(tables, tick, input.chunkDigest, input.sizeBytes)
  if (fetch === undefined) return
  const set = tables.sets.get(fetch.digest)
  if (fetch.isSeed && input.ending === 'whole' && set !== undefined) set.seededCount++
  const tookMs = tick.nowMs - fetch.startedAtMs
  const source = tables.sources.get(fetch.sourceId)
  if (source !== undefined) { recordSourceFetch(source, tick, input.ending, tookMs); return }
  const peer = tables.peers.get(fetch.sourceId)
  if (peer === undefined) return
  peer.outstandingCount = Math.max(0, peer.outstandingCount - 1)
  peer.queuedCount = Math.max(0, peer.queuedCount - 1)
  recordPeerFetch(tables, tick, peer, fetch, input.ending, tookMs)
}

function storeChunk (tables: Tables.Tables, tick: Tables.Tick, chunkDigest: string, sizeBytes: number): void {
  if (![...tables.sets.rows()].some(set => set.chunks?.manifest.chunks.includes(chunkDigest) === true)) {
    tick.emit({ kind: 'evictChunk', chunkDigest })
    return
  }
  if (!tables.chunkLastUsedAtMs.has(chunkDigest)) tables.usedBytes += sizeBytes
  tables.chunkLastUsedAtMs.set(chunkDigest, tick.nowMs)
  for (const set of tables.sets.rows()) {
    set.chunks?.manifest.chunks.forEach((digest, index) => { if (digest === chunkDigest) markHeld(set, index) })
  }
  for (const fetch of [...tables.fetches.rows()]) {
    if (tables.sets.get(fetch.digest)?.chunks?.manifest.chunks[fetch.index] !== chunkDigest) continue
    cancelFetch(tables, tick, fetch)
  }
}

function recordSourceFetch (source: Tables.SourceRow, tick: Tables.Tick, ending: Messages.FetchEnding, tookMs: number): void {
  source.outstandingCount = Math.max(0, source.outstandingCount - 1)
  if (ending === 'whole') {
    source.meanChunkMs = meanOf(source.meanChunkMs, tookMs)
    Faults.recordSuccess(source.health)
    return
  }
  const backOffMs = Faults.recordFault(source.health, ending, Faults.SOURCE_BACK_OFF, tick.nowMs)
  tick.log('weights', 'Fetch from source failed.', { sourceId: source.sourceId, fault: ending, backOffMs })
}

function recordPeerFetch (tables: Tables.Tables, tick: Tables.Tick, peer: Tables.PeerRow, fetch: Tables.FetchRow, ending: Messages.FetchEnding, tookMs: number): void {
  const fault = ending === 'whole' ? detectSlowPeer(tables, peer, tookMs) : ending
  if (ending === 'whole') peer.meanChunkMs = meanOf(peer.meanChunkMs, tookMs)
  if (fault === undefined) { Faults.recordSuccess(peer.health); return }
  if (fault === 'absent') {
    const held = peer.holdings.get(fetch.digest)?.held
    if (held !== undefined) Bitmap.remove(held, fetch.index)
  }
  if (fault === 'corrupted') tables.corruptedCount++
  const backOffMs = Faults.recordFault(peer.health, fault, Faults.PEER_BACK_OFF, tick.nowMs)
  if (fault === 'absent' || fault === 'throttled') return
  tick.log('weights', 'Fetch from peer was slow or failed.', { peerId: peer.member.instanceId, fault, backOffMs, digest: fetch.digest, index: fetch.index })
}

function detectSlowPeer (tables: Tables.Tables, peer: Tables.PeerRow, tookMs: number): 'slow' | undefined {
  if (tookMs < MIN_SLOW_MS) return undefined
  const others = [...tables.peers.rows()].filter(other => other !== peer && other.meanChunkMs > 0).map(other => other.meanChunkMs).sort((a, b) => a - b)
  const median = others[others.length >> 1]
  return median !== undefined && tookMs > median * SLOW_FACTOR ? 'slow' : undefined
}

function handleNews (tables: Tables.Tables, tick: Tables.Tick, input: { readonly news: Schemas.Weights.SwarmNews }): void {
  const { news } = input
  const peer = Tables.ensurePeer(tables, news.instanceId)
  const chunks = tables.sets.get(news.digest)?.chunks
  if (peer === undefined || chunks === undefined) return
  const sizeCount = chunks.held.sizeCount
  const holding: Tables.Holding = {
    held: Bitmap.decode(news.held, sizeCount),
    present: Bitmap.decode(news.present, sizeCount),
    seeding: Bitmap.decode(news.seeding, sizeCount)
  }
  peer.holdings.set(news.digest, holding)
  peer.queuedCount = news.queuedCount
  peer.lastContactAtMs = tick.nowMs
  if (peer.member.region !== tables.identity.region) return
  Bitmap.merge(chunks.present, holding.held)
  Bitmap.merge(chunks.present, holding.present)
}

function handleExchange (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { readonly kind: 'exchanged' }>): void {
  const peer = tables.peers.get(input.instanceId)
  if (peer === undefined) return
  if (!input.answered) { Faults.recordFault(peer.health, 'unreachable', Faults.PEER_BACK_OFF, tick.nowMs); return }
  peer.lastContactAtMs = tick.nowMs
  if (peer.member.region === tables.identity.region) return
  if (Pace.observe(tables.borderPace, input.tookMs, tick.nowMs)) tick.emit({ kind: 'setBorderRate', bytesPerSecond: tables.borderPace.bytesPerSecond })
}

function handleDelivery (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { readonly kind: 'chunkDelivered' }>): void {
  const chunks = tables.sets.get(input.digest)?.chunks
  if (chunks === undefined || chunks.deliveryStartedAtMs[input.index] === 0) return
  chunks.deliveryStartedAtMs[input.index] = input.accepted ? 0 : -tick.nowMs
  if (input.accepted) Bitmap.add(chunks.delivered, input.index)
}

/**
 * Cancels a fetch that is no longer needed.
 *
 * @param tables - The swarm's tables.
 * @param tick - The current tick.
 * @param fetch - The fetch.
 */
export function cancelFetch (tables: Tables.Tables, tick: Tables.Tick, fetch: Tables.FetchRow): void {
  tables.fetches.remove(fetch.fetchId)
  const sourceOrPeer = tables.sources.get(fetch.sourceId) ?? tables.peers.get(fetch.sourceId)
  if (sourceOrPeer !== undefined) sourceOrPeer.outstandingCount = Math.max(0, sourceOrPeer.outstandingCount - 1)
  tick.emit({ kind: 'cancelFetch', fetchId: fetch.fetchId })
}

function createChunks (manifest: Schemas.Weights.WeightManifest): Tables.Chunks {
  const sizeCount = manifest.chunks.length
  return {
    manifest,
    held: Bitmap.createBitmap(sizeCount),
    delivered: Bitmap.createBitmap(sizeCount),
    present: Bitmap.createBitmap(sizeCount),
    dueAtMs: new Float64Array(sizeCount),
    noHolderSinceMs: new Float64Array(sizeCount),
    borderRetryAtMs: new Float64Array(sizeCount),
    deliveryStartedAtMs: new Float64Array(sizeCount)
  }
}

function markHeld (set: Tables.SetRow, index: number): void {
  if (set.chunks === undefined) return
  Bitmap.add(set.chunks.held, index)
  Bitmap.add(set.chunks.present, index)
}

function meanOf (mean: number, value: number): number {
  return mean === 0 ? value : mean + (value - mean) * MEAN_WEIGHT
}
