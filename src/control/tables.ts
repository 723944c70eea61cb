/**
 * The state of the control systems: the other processes and the documents in force.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as Schemas from '../schema/index.ts'
import * as Documents from './documents.ts'
import * as Layout from './layout.ts'
import type * as Messages from './messages.ts'

/** The identity of a process. */
export interface Identity {
  readonly instanceId: string
  readonly kind: 'gateway' | 'agent'
  readonly zone: string
  readonly region: string
  /** Set anew at each start of the process. */
  readonly incarnation: string
}

/** The state of another process. */
export interface MemberRow {
  readonly instanceId: string
  /** Its address and state; the address is the last change by the instance list or by the process itself. */
  place: Schemas.Platform.Instance
  /** Its last entry in the instance list. */
  listedPlace: Schemas.Platform.Instance | undefined
  /** Its last announcement of itself. */
  announcedPlace: Schemas.Platform.Instance | undefined
  /** Zero as long as it is known from the instance list only. */
  incarnation: number
  state: Schemas.Membership.MemberState
  /** Whether it is in the instance list. */
  listed: boolean
  /** Its state in the instance list. */
  listedState: Schemas.Platform.Instance['state']
  /** Time of its last message, in milliseconds. */
  lastMessageAtMs: number
  suspectedAtMs: number
  /** Time at which it was declared dead, in milliseconds. */
  diedAtMs: number
  /** The processes that found that it does not answer. */
  accuserIds: Set<string>
  /** Whether it was ready to serve, as of its last message. */
  ready: boolean
  /** The versions that it held, as of its last message. */
  versions: Schemas.Control.Versions | undefined
}

/** The state of this process as announced to the others. */
export interface Self {
  incarnation: number
  /** Its address and state; undefined until it has been announced or listed. */
  place: Schemas.Platform.Instance | undefined
  /** Its last state in the instance list; undefined until it has been listed. */
  listedState: Schemas.Platform.Instance['state'] | undefined
  /** Whether it has announced that it is leaving. */
  hasLeft: boolean
  /** Time of the last message from any other process, in milliseconds. */
  lastPeerMessageAtMs: number
}

/** A rumour that is still to be sent to other processes. */
export interface RumourRow {
  readonly rumour: Schemas.Membership.Rumour
  /** Number of messages in which it was sent. */
  sentCount: number
}

/** A probe in progress. */
export interface ProbeRow {
  readonly memberId: string
  /** Number of relays that have not answered yet. */
  pendingCount: number
  /** Number of relays that confirmed that the target does not answer. */
  confirmedCount: number
}

/** A request for documents in progress. */
export interface PullRow {
  readonly memberId: string
  readonly startedAtMs: number
}

/** State of learning which documents are in force, which a process does before it serves. */
export interface Learning {
  /** Whether the process knows which documents are in force, at the start or since the last pause. */
  isComplete: boolean
  startedAtMs: number
  nextAskAtMs: number
  /** Number of times each process was asked. */
  readonly askedCounts: Map<string, number>
  /** Ready processes that have answered. */
  readonly answeredIds: Set<string>
  storeAnswered: boolean
  /** Time for which a process that is not a watcher asks only other processes before it reads the store, in milliseconds. */
  storeDelayMs: number
  /** Number of outstanding reads of the store that were sent before a pause; their answers are ignored. */
  staleStoreReadCount: number
  /** Whether the process has known which documents are in force at any time since its start. */
  wasEverComplete: boolean
}

/** State of the polls of the store and the instance list. */
export interface Polls {
  nextStoreReadAtMs: number
  storePending: boolean
  storeFailureCount: number
  nextListReadAtMs: number
  listPending: boolean
  listFailureCount: number
  /** Number of successful reads of the instance list. */
  listReadCount: number
  /** Size of the instance list when last read, in bytes. */
  listSizeBytes: number
}

/** The state shared by the control systems. */
export interface Tables {
  readonly identity: Identity
  /** Interval between reads of the store, in milliseconds. */
  readonly pollMs: number
  readonly held: Documents.HeldDocuments
  /** The highest versions reported by any process or the store. */
  highestKnown: Schemas.Control.Versions
  readonly self: Self
  readonly members: Core.Table.Table<MemberRow>
  /** The identifiers of suspected members. */
  readonly suspects: Set<string>
  readonly rumours: Core.Table.Table<RumourRow>
  readonly probes: Core.Table.Table<ProbeRow>
  /** The members still to be probed in this round, in random order. */
  probeOrder: string[]
  nextProbeAtMs: number
  probeCount: number
  readonly pulls: Core.Table.Table<PullRow>
  /** Members that may hold newer documents, with the versions that they reported. */
  readonly sources: Map<string, Schemas.Control.Versions>
  /** Members that were notified of the versions held. */
  readonly notifiedIds: Set<string>
  readonly learning: Learning
  readonly polls: Polls
  layout: Layout.Layout
  layoutComputedAtMs: number
  layoutStale: boolean
  /** Whether the instances have changed since they were last published to the rest of the process. */
  instancesStale: boolean
  lastTickAtMs: number
}

/** A system of control. */
export type System = Core.Loop.System<Tables, Messages.Input, Messages.Command>
/** A tick of control. */
export type Tick = Core.Loop.Tick<Messages.Input, Messages.Command>

/** Minimum time between computations of the layout, in milliseconds. */
const LAYOUT_INTERVAL_MS = 1_000
/** Number of gateways that contend for the placement lease. */
const CONTENDER_COUNT = 5

/**
 * Creates the tables of a process at its start.
 *
 * @param identity - The identity of the process.
 * @param pollMs - Interval between reads of the store, in milliseconds.
 * @param incarnation - A number higher than at each earlier start, such as the wall-clock time.
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
 * Returns the layout, recomputed if members have changed and the minimum interval has passed.
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
 * Returns the instances to be published to the rest of the process.
 *
 * An instance that is no longer in the instance list is kept for as long as it answers.
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
 * Returns whether this process is one of the few gateways that contend for the placement lease.
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
 * Returns whether versions are ahead of others for any kind of document.
 *
 * @param versions - The versions that may be ahead.
 * @param than - The versions to compare with.
 * @returns Whether one kind is newer.
 */
export function isAhead (versions: Schemas.Control.Versions, than: Schemas.Control.Versions): boolean {
  return Schemas.Control.DOCUMENT_KINDS.some(kind => versions[kind] > than[kind])
}

/**
 * Returns the higher version of each kind of document.
 *
 * @param a - The one set of versions.
 * @param b - The other set.
 * @returns The highest versions.
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
 * Returns whether the process may serve: it knows which documents are in force and holds a manifest.
 *
 * @param tables - The tables.
 * @returns Whether it is ready.
 */
export function isReady (tables: Tables): boolean {
  return tables.learning.isComplete && tables.held.manifest() !== undefined
}
