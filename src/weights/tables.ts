/**
 * The tables of the swarm.
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

/** A set of weights that placement wants: a model or an adapter. */
export interface SetSpec {
  readonly digest: string
  readonly sizeBytes: number
  /** A higher one goes first. */
  readonly priority: number
  /** The agents that want the set, this one among them. */
  readonly instanceIds: readonly string[]
}

/** What a weight manifest's chunks are known to be. */
export interface Chunks {
  readonly manifest: Schemas.Weights.WeightManifest
  /** The chunks that the agent keeps in memory and serves. */
  readonly held: Bitmap.Bitmap
  /** The chunks that the endpoint has taken. */
  readonly delivered: Bitmap.Bitmap
  /** The chunks that some agent of the region holds, as far as known. */
  readonly present: Bitmap.Bitmap
  /** When a chunk was first due to be fetched into the region; 0 for never. */
  readonly dueAtMs: Float64Array
  /** When a chunk was first heard of as present while no known peer holds it; 0 for never. */
  readonly noHolderSinceMs: Float64Array
  /** When a chunk may next be asked for over a region border. */
  readonly borderRetryAtMs: Float64Array
  /** When the delivery of a chunk was started; negative since it was refused, 0 for neither. */
  readonly deliveryStartedAtMs: Float64Array
}

/** A set of weights. */
export interface SetRow {
  spec: SetSpec
  /** False once placement no longer names it. */
  wanted: boolean
  unwantedAtMs: number
  readonly wantedAtMs: number
  state: 'fetching' | 'whole' | 'invalid'
  chunks: Chunks | undefined
  seeding: Seeding.Seeding | undefined
  /** Chunks that went into the digest of the whole, in order. */
  hashedCount: number
  wholeMatches: boolean | undefined
  manifestRequestedAtMs: number
  manifestFailureCount: number
  /** Chunks that this agent brought into the region, and how many of them it told of. */
  seededCount: number
  announcedCount: number
}

/** What a peer told of a set. */
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
  /** Mean time of a chunk in milliseconds; 0 before the first. */
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
  /** Whether it brings the chunk into the region. */
  readonly isSeed: boolean
}

/** Who the agent is and what bounds it. */
export interface Identity {
  readonly instanceId: string
  readonly zone: string
  readonly region: string
  /** The most bytes of chunks kept in memory. */
  readonly memoryBytes: number
  readonly borderBytesPerSecond: number
}

/** Everything that the swarm's systems decide from. */
export interface Tables {
  readonly identity: Identity
  readonly sets: Core.Table.Table<SetRow>
  readonly members: Core.Table.Table<Messages.Member>
  readonly peers: Core.Table.Table<PeerRow>
  readonly sources: Core.Table.Table<SourceRow>
  readonly fetches: Core.Table.Table<FetchRow>
  /** When a chunk in memory was last asked for, by its digest. */
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
 * Creates the tables of an agent that holds nothing.
 *
 * @param identity - Who the agent is.
 * @param sources - Weight store and origin, the preferred one first.
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
 * Replaces what is wanted. Sets that are no longer named stop fetching and are evicted later.
 *
 * @param tables - The swarm's tables.
 * @param specs - What placement names now.
 * @param nowMs - The time.
 */
export function setWanted (tables: Tables, specs: readonly SetSpec[], nowMs: number): void {
  const wantedDigests = new Set(specs.map(entry => entry.digest))
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
 * @param members - The agents, this one left out or not.
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
 * Tells whether a set is whole at the endpoint, so that it may be loaded.
 *
 * @param tables - The swarm's tables.
 * @param digest - The set.
 * @returns Whether every chunk was verified and taken by the endpoint.
 */
export function isWhole (tables: Tables, digest: string): boolean {
  return tables.sets.get(digest)?.state === 'whole'
}

/**
 * Forgets what the endpoint has taken, after it has lost its memory.
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
 * Finds a peer, made from the list of members when it is new.
 *
 * @param tables - The swarm's tables.
 * @param instanceId - The agent.
 * @returns The peer, unless no member has the name.
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
 * Writes the agent's news of a set.
 *
 * @param tables - The swarm's tables.
 * @param digest - The set.
 * @param queuedCount - Chunk requests that wait for the upload link.
 * @returns The news, once the weight manifest is known.
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
