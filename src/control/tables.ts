/**
 * What a process knows of the other processes and of the documents in force.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as Schemas from '../schema/index.ts'
import * as Documents from './documents.ts'
import * as Layout from './layout.ts'
import type * as Messages from './messages.ts'

/** Who a process is. */
export interface Identity {
  readonly instanceId: string
  readonly kind: 'gateway' | 'agent'
  readonly zone: string
  readonly region: string
  readonly incarnation: string
}

/** Another process. */
export interface MemberRow {
  readonly instanceId: string
  /** Where it is reached: as the list or the process itself last changed it. */
  place: Schemas.Platform.Instance
  /** What the list last said of it. */
  listedPlace: Schemas.Platform.Instance | undefined
  /** What it last said of itself. */
  announcedPlace: Schemas.Platform.Instance | undefined
  /** Zero until it has been heard of by more than the instance list. */
  incarnation: number
  state: Schemas.Membership.MemberState
  /** Whether the instance list has it. */
  listed: boolean
  listedState: Schemas.Platform.Instance['state']
  /** When it last answered or asked, in milliseconds. */
  lastMessageAtMs: number
  suspectedAtMs: number
  diedAtMs: number
  /** Who found that it does not answer. */
  accuserIds: Set<string>
  ready: boolean
  versions: Schemas.Control.Versions | undefined
}

/** This process as the others are told of it. */
export interface Self {
  incarnation: number
  /** Undefined until it listens. */
  place: Schemas.Platform.Instance | undefined
  /** What the instance list says of it; undefined while it is not listed. */
  listedState: Schemas.Platform.Instance['state'] | undefined
  /** Whether it has said that it leaves. */
  hasLeft: boolean
  lastPeerMessageAtMs: number
}

/** A rumour that is being passed on. */
export interface RumourRow {
  readonly rumour: Schemas.Membership.Rumour
  sentCount: number
}

/** A probe that has not ended. */
export interface ProbeRow {
  readonly memberId: string
  /** Relays that have not answered. */
  pendingCount: number
  /** Relays that answered that the target did not. */
  confirmedCount: number
}

/** A request for documents that has not ended. */
export interface PullRow {
  readonly memberId: string
  readonly startedAtMs: number
}

/** How a process learns what is in force before it serves. */
export interface Learning {
  isComplete: boolean
  startedAtMs: number
  nextAskAtMs: number
  /** How often each process was asked. */
  readonly askedCounts: Map<string, number>
  /** Ready processes that have answered. */
  readonly answeredIds: Set<string>
  storeAnswered: boolean
  /** How long a process that is no watcher asks the others alone, in milliseconds. */
  storeDelayMs: number
  /** Answers of the store that were asked for before a pause. */
  staleStoreReadCount: number
  /** Whether the process has ever learnt what is in force. */
  wasEverComplete: boolean
}

/** When the store and the instance list are read. */
export interface Polls {
  nextStoreReadAtMs: number
  storePending: boolean
  storeFailureCount: number
  nextListReadAtMs: number
  listPending: boolean
  listFailureCount: number
  listReadCount: number
  listSizeBytes: number
}

/** All state that decisions of control use. */
export interface Tables {
  readonly identity: Identity
  readonly pollMs: number
  readonly held: Documents.HeldDocuments
  /** The highest versions that any process or the store has named. */
  highestKnown: Schemas.Control.Versions
  readonly self: Self
  readonly members: Core.Table.Table<MemberRow>
  /** The identifiers of suspected members. */
  readonly suspects: Set<string>
  readonly rumours: Core.Table.Table<RumourRow>
  readonly probes: Core.Table.Table<ProbeRow>
  /** The members to be probed in this round, in random order. */
  probeOrder: string[]
  nextProbeAtMs: number
  probeCount: number
  readonly pulls: Core.Table.Table<PullRow>
  /** Members that hold newer documents. */
  readonly sources: Map<string, Schemas.Control.Versions>
  /** Members that were told of the versions held. */
  readonly notifiedIds: Set<string>
  readonly learning: Learning
  readonly polls: Polls
  layout: Layout.Layout
  layoutComputedAtMs: number
  layoutStale: boolean
  /** Whether the rest of the process is to be told of the instances. */
  instancesStale: boolean
  lastTickAtMs: number
}

/** A system of control. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of control. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

const LAYOUT_INTERVAL_MS = 1_000
/** Gateways that contend for the placement lease. */
const CONTENDER_COUNT = 5

/**
 * Creates the tables of a process that knows nothing.
 *
 * @param identity - Who the process is.
 * @param pollMs - How often the store is read, in milliseconds.
 * @param incarnation - A number above that of each earlier start, such as the wall clock.
 * @returns The tables.
 */
export function createTables (identity: Identity, pollMs: number, incarnation: number): Tables {
  return {
    identity,
    pollMs,
    held: Documents.createHeldDocuments(),
    highestKnown: Documents.NO_VERSIONS,
    self: { incarnation, place: undefined, listedState: undefined, hasLeft: false, lastPeerMessageAtMs: -Infinity },
    members: Core.Table.createTable('members'),
    suspects: new Set(),
    rumours: Core.Table.createTable('rumours'),
    probes: Core.Table.createTable('probes'),
    probeOrder: [],
    nextProbeAtMs: 0,
    probeCount: 0,
    pulls: Core.Table.createTable('pulls'),
    sources: new Map(),
    notifiedIds: new Set(),
    learning: { isComplete: false, startedAtMs: -Infinity, nextAskAtMs: 0, askedCounts: new Map(), answeredIds: new Set(), storeAnswered: false, storeDelayMs: 0, staleStoreReadCount: 0, wasEverComplete: false },
    polls: { nextStoreReadAtMs: 0, storePending: false, storeFailureCount: 0, nextListReadAtMs: 0, listPending: false, listFailureCount: 0, listReadCount: 0, listSizeBytes: 0 },
    layout: Layout.createLayout([identity]),
    layoutComputedAtMs: -Infinity,
    layoutStale: true,
    instancesStale: false,
    lastTickAtMs: -Infinity
  }
}

/**
 * Computes the layout again when members have changed, at most once in a while.
 *
 * @param tables - The tables.
 * @param nowMs - The time of the tick in milliseconds.
 * @returns The layout.
 */
export function layoutOf (tables: Tables, nowMs: number): Layout.Layout {
  if (!tables.layoutStale || nowMs - tables.layoutComputedAtMs < LAYOUT_INTERVAL_MS) return tables.layout
  const others = [...tables.members.rows()].filter(row => row.state !== 'dead').map(row => row.place)
  tables.layout = Layout.createLayout([tables.identity, ...others])
  tables.layoutComputedAtMs = nowMs
  tables.layoutStale = false
  return tables.layout
}

/**
 * Lists the instances as the rest of the process is to see them.
 *
 * An instance that the list no longer has stays for as long as it answers.
 *
 * @param tables - The tables.
 * @returns The instances.
 */
export function instancesOf (tables: Tables): Schemas.Platform.Instance[] {
  const others = [...tables.members.rows()]
    .filter(row => row.listed || row.state !== 'dead')
    .map(row => row.listedState === 'leaving' && row.place.state === 'live' ? { ...row.place, state: row.listedState } : row.place)
  return tables.self.place === undefined ? others : [...others, tables.self.place]
}

/**
 * Tells whether a process is one of the few gateways that contend for the placement lease.
 *
 * @param tables - The tables.
 * @returns Whether it contends.
 */
export function isContender (tables: Tables): boolean {
  const others = [...tables.members.rows()].filter(row => row.place.kind === 'gateway' && row.state !== 'dead' && row.place.state === 'live')
  const order = Core.Hash.rendezvous('placement', [tables.identity.instanceId, ...others.map(row => row.instanceId)])
  return order.slice(0, CONTENDER_COUNT).includes(tables.identity.instanceId)
}

/**
 * Tells whether some versions are ahead of others in any kind.
 *
 * @param versions - The versions that may be ahead.
 * @param than - The versions compared with.
 * @returns Whether one kind is newer.
 */
export function isAhead (versions: Schemas.Control.Versions, than: Schemas.Control.Versions): boolean {
  return Schemas.Control.DOCUMENT_KINDS.some(kind => versions[kind] > than[kind])
}

/**
 * Takes the higher version of each kind.
 *
 * @param a - Some versions.
 * @param b - Other versions.
 * @returns The highest.
 */
export function highestVersions (a: Schemas.Control.Versions, b: Schemas.Control.Versions): Schemas.Control.Versions {
  return {
    manifest: Math.max(a.manifest, b.manifest),
    placement: Math.max(a.placement, b.placement),
    drains: Math.max(a.drains, b.drains),
    quarantine: Math.max(a.quarantine, b.quarantine)
  }
}

/**
 * Tells whether the process may serve: it has learnt what is in force and holds a manifest.
 *
 * @param tables - The tables.
 * @returns Whether it is ready.
 */
export function isReady (tables: Tables): boolean {
  return tables.learning.isComplete && tables.held.manifest() !== undefined
}
