/**
 * The tables of the swarm: the agents that exchange chunks of weights.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Bitmap from './bitmap.ts'
import * as Faults from './faults.ts'
import type * as Messages from './messages.ts'
import * as Pace from './pace.ts'
import * as Seeding from './seeding.ts'

/** A set of weights that placement assigns to the agent: a model or an adapter. */
export interface SetSpec {
  readonly digest: string
  readonly sizeBytes: number
  /** Sets with a higher priority are fetched first. */
  readonly priority: number
  /** The agents that want the set, including this one. */
  readonly instanceIds: readonly string[]
}

/** The state of the chunks of a weight manifest. */
export interface Chunks {
  readonly manifest: Schemas.Weights.WeightManifest
  /** The chunks that the agent keeps in memory and serves. */
  readonly held: Bitmap.Bitmap
  /** The chunks that the endpoint has accepted. */
  readonly delivered: Bitmap.Bitmap
  /** The chunks that an agent of the region is known to hold. */
  readonly present: Bitmap.Bitmap
  /** Time since which a chunk is due to be fetched into the region; 0 for never. */
  readonly dueAtMs: Float64Array
  /** Time since which a chunk counts as present although no known peer holds it; 0 for never. */
  readonly noHolderSinceMs: Float64Array
  /** Earliest time of the next request for a chunk to another region. */
  readonly borderRetryAtMs: Float64Array
  /** Start of the delivery of a chunk; the negated time of its refusal after one; 0 for neither. */
  readonly deliveryStartedAtMs: Float64Array
}

/** A set of weights and the progress of its fetch. */
export interface SetRow {
  spec: SetSpec
  /** False once placement no longer assigns the set. */
  wanted: boolean
  unwantedAtMs: number
  readonly wantedAtMs: number
  state: 'fetching' | 'whole' | 'invalid'
  chunks: Chunks | undefined
  seeding: Seeding.Seeding | undefined
  /** Number of leading chunks included in the digest of the whole set so far. */
  hashedCount: number
  /** Whether the digest of the whole set matches the manifest; undefined until all chunks are hashed. */
  wholeMatches: boolean | undefined
  manifestRequestedAtMs: number
  manifestFailureCount: number
  /** Number of chunks that this agent fetched into the region, and its value at the last announcement. */
  seededCount: number
  announcedCount: number
}

/** The latest news of a peer about a set: chunks that it holds, knows to be in its region, and fetches into it. */
export interface Holding {
  held: Bitmap.Bitmap
  present: Bitmap.Bitmap
  seeding: Bitmap.Bitmap
}

/** An agent that this one exchanges chunks with. */
export interface PeerRow {
  readonly member: Messages.Member
  readonly health: Faults.Health
  readonly holdings: Map<string, Holding>
  isNeighbour: boolean
  outstandingCount: number
  queuedCount: number
  lastContactAtMs: number
  exchangeStartedAtMs: number
  /** Mean duration of a chunk fetch in milliseconds; 0 before the first. */
  meanChunkMs: number
}

/** The origin or the weight store. */
export interface SourceRow {
  readonly sourceId: string
  readonly address: Messages.Address
  readonly crossesBorder: boolean
  readonly health: Faults.Health
  outstandingCount: number
  meanChunkMs: number
}

/** A fetch in progress. */
export interface FetchRow {
  readonly fetchId: string
  readonly digest: string
  readonly index: number
  readonly sourceId: string
  readonly startedAtMs: number
  /** Whether the fetch brings the chunk into the region. */
  readonly isSeed: boolean
}

/** The identity of the agent and its limits. */
export interface Identity {
  readonly instanceId: string
  readonly zone: string
  readonly region: string
  /** Maximum size of the chunks kept in memory, in bytes. */
  readonly memoryBytes: number
  readonly borderBytesPerSecond: number
}

/** The state on which the swarm's systems decide. */
export interface Tables {
  readonly identity: Identity
  readonly sets: Core.Table.Table<SetRow>
  readonly members: Core.Table.Table<Messages.Member>
  readonly peers: Core.Table.Table<PeerRow>
  readonly sources: Core.Table.Table<SourceRow>
  readonly fetches: Core.Table.Table<FetchRow>
  /** Time at which each chunk in memory was last requested or stored, by chunk digest. */
  readonly chunkLastUsedAtMs: Map<string, number>
  readonly borderPace: Pace.BorderPace
  usedBytes: number
  fetchCount: number
  neighboursChosenAtMs: number
  corruptedCount: number
}

/** A system of the swarm. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of the swarm. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

/**
 * Creates the tables of an agent that holds no weights.
 *
 * @param identity - Identity and limits of the agent.
 * @param sources - Weight store and origin in order of preference.
 * @returns The tables.
 */
export function createTables (identity: Identity, sources: ReadonlyArray<Pick<SourceRow, 'sourceId' | 'address' | 'crossesBorder'>>): Tables {
  const tables: Tables = {
    identity,
    sets: Core.Table.createTable('sets'),
    members: Core.Table.createTable('members'),
    peers: Core.Table.createTable('peers'),
    sources: Core.Table.createTable('sources'),
    fetches: Core.Table.createTable('fetches'),
    chunkLastUsedAtMs: new Map(),
    borderPace: Pace.createBorderPace(identity.borderBytesPerSecond),
    usedBytes: 0,
    fetchCount: 0,
    neighboursChosenAtMs: -Infinity,
    corruptedCount: 0
  }
  for (const source of sources) tables.sources.set(source.sourceId, { ...source, health: Faults.createHealth(), outstandingCount: 0, meanChunkMs: 0 })
  return tables
}

/**
 * Replaces the wanted sets. Sets that are no longer wanted are not fetched any further and are evicted later.
 *
 * @param tables - The swarm's tables.
 * @param specs - The sets that placement assigns now.
 * @param nowMs - Current time in milliseconds.
 */
export function setWanted (tables: Tables, specs: readonly SetSpec[], nowMs: number): void {
  const wantedDigests = new Set(specs.map(spec => spec.digest))
  for (const set of tables.sets.rows()) {
    if (set.wanted && !wantedDigests.has(set.spec.digest)) Object.assign(set, { wanted: false, unwantedAtMs: nowMs })
  }
  for (const spec of specs) {
    const set = tables.sets.get(spec.digest)
    if (set === undefined) {
      tables.sets.set(spec.digest, {
        spec,
        wanted: true,
        unwantedAtMs: 0,
        wantedAtMs: nowMs,
        state: 'fetching',
        chunks: undefined,
        seeding: undefined,
        hashedCount: 0,
        wholeMatches: undefined,
        manifestRequestedAtMs: -Infinity,
        manifestFailureCount: 0,
        seededCount: 0,
        announcedCount: 0
      })
      continue
    }
    if (!set.wanted || !sameIds(set.spec.instanceIds, spec.instanceIds)) set.seeding = undefined
    Object.assign(set, { spec, wanted: true })
  }
}

/**
 * Replaces the list of agents that may hold weights.
 *
 * @param tables - The swarm's tables.
 * @param members - The agents, with or without this one.
 */
export function setMembers (tables: Tables, members: readonly Messages.Member[]): void {
  const before = [...tables.members.keys()].join()
  tables.members.clear()
  for (const member of members) tables.members.set(member.instanceId, member)
  if (before === [...tables.members.keys()].join()) return
  tables.neighboursChosenAtMs = -Infinity
  for (const set of tables.sets.rows()) set.seeding = undefined
}

/**
 * Returns whether a set is complete at the endpoint and may be loaded.
 *
 * @param tables - The swarm's tables.
 * @param digest - Digest of the set.
 * @returns True if every chunk is verified and accepted by the endpoint, and the digest of the whole set matches.
 */
export function isWhole (tables: Tables, digest: string): boolean {
  return tables.sets.get(digest)?.state === 'whole'
}

/**
 * Marks all chunks as not delivered, after the endpoint has lost its memory.
 *
 * @param tables - The swarm's tables.
 */
export function forgetDelivered (tables: Tables): void {
  for (const set of tables.sets.rows()) {
    set.chunks?.delivered.bits.fill(0)
    set.chunks?.deliveryStartedAtMs.fill(0)
    if (set.state === 'whole') set.state = 'fetching'
  }
}

/**
 * Returns a peer, and adds it if it is a member but not a peer yet or has a new address.
 *
 * @param tables - The swarm's tables.
 * @param instanceId - Instance of the peer.
 * @returns The peer; undefined for this agent itself and for instances that are not members.
 */
export function ensurePeer (tables: Tables, instanceId: string): PeerRow | undefined {
  const member = tables.members.get(instanceId)
  if (member === undefined || instanceId === tables.identity.instanceId) return undefined
  const existing = tables.peers.get(instanceId)
  if (existing !== undefined && existing.member.port === member.port && existing.member.host === member.host) return existing
  const peer: PeerRow = {
    member,
    health: Faults.createHealth(),
    holdings: new Map(),
    isNeighbour: existing?.isNeighbour ?? false,
    outstandingCount: 0,
    queuedCount: 0,
    lastContactAtMs: -Infinity,
    exchangeStartedAtMs: -Infinity,
    meanChunkMs: 0
  }
  tables.peers.set(instanceId, peer)
  return peer
}

/**
 * Returns the agent's news of a set: which chunks it holds, knows to be in the region, and fetches into the region.
 *
 * @param tables - The swarm's tables.
 * @param digest - Digest of the set.
 * @param queuedCount - Number of chunk requests queued or in progress at this agent.
 * @returns The news; undefined before the weight manifest is known.
 */
export function newsOf (tables: Tables, digest: string, queuedCount: number): Schemas.Weights.SwarmNews | undefined {
  const chunks = tables.sets.get(digest)?.chunks
  if (chunks === undefined) return undefined
  const seeding = Bitmap.createBitmap(chunks.held.sizeCount)
  for (const fetch of tables.fetches.rows()) if (fetch.isSeed && fetch.digest === digest) Bitmap.add(seeding, fetch.index)
  return {
    instanceId: tables.identity.instanceId,
    digest,
    held: Bitmap.encode(chunks.held),
    present: Bitmap.encode(chunks.present),
    seeding: Bitmap.encode(seeding),
    queuedCount
  }
}

function sameIds (a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((id, index) => id === b[index])
}
