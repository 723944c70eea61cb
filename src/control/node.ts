/**
 * The control node of a process: runs the control systems and carries out their commands.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'
import * as Commits from './commits.ts'
import type * as Documents from './documents.ts'
import * as Gossip from './gossip.ts'
import type * as Layout from './layout.ts'
import type * as Messages from './messages.ts'
import * as Peers from './peers.ts'
import * as Systems from './systems/index.ts'
import * as Polls from './systems/polls.ts'
import * as Tables from './tables.ts'

/** The identity of a process. */
export type Identity = Tables.Identity

/** Settings, clients and callbacks of a node. */
export interface NodeOptions {
  readonly identity: Identity
  readonly tables: Platform.TableClient.TableClient
  /** The server of the instance list. */
  readonly instanceList: Edge.HttpClient.Target
  /** Returns the key with which requests to other processes are signed. */
  readonly peerKey: () => string
  readonly random: Core.Random.Random
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Called with each document that comes into force. */
  readonly onDocument: (document: Schemas.Control.Document) => void
  /** Called with the instances when they may have changed. */
  readonly onInstances: (instances: readonly Schemas.Platform.Instance[]) => void
  readonly log: Edge.Log.Log
  /** Called with each violation of an invariant. */
  readonly violate: (violation: Core.Invariants.Violation) => void
  /** Increments the counter with the given name and labels. */
  readonly count: (name: string, labels: Readonly<Record<string, string>>) => void
  /** Interval between reads of the store, and the shortest one between reads of the instance list, in milliseconds. */
  readonly pollMs: number
}

/** The control node of a process. */
export interface ControlNode extends Peers.PeerHandlers {
  /** The documents held; the manifest is undefined until the process has first learnt which documents are in force. */
  readonly held: Documents.HeldDocuments
  /** Returns the instances last passed to `onInstances`. */
  instances: () => readonly Schemas.Platform.Instance[]
  /** Returns the state of every other process as known here. */
  members: () => readonly Schemas.Membership.MemberReport[]
  /** Returns whether this process polls the store on behalf of its availability zone. */
  watches: () => boolean
  /** Returns whether this gateway is one of the few that contend for the placement lease. */
  contends: () => boolean
  /** Adopts a document that was committed through this process. Returns whether it was newer than the one held. */
  adopt: (document: Schemas.Control.Document) => boolean
  /** Returns whether the process knows which documents are in force and holds a manifest. */
  ready: () => boolean
  /** Announces to the other processes the address at which this one listens. */
  announce: (address: { readonly host: string, readonly port: number, readonly service?: string }) => void
  /** Announces to the other processes that this one is leaving. */
  leave: () => void
  /** Stops the node. Commands that are still pending are dropped, except gossip messages. */
  stop: () => void
}

const LIST_TIMEOUT_MS = 2_000
/** Maximum time between ticks, in milliseconds. */
const TICK_INTERVAL_MS = 100
/** Wildcard listening addresses, which are not announced; the process is then reached at the address in the instance list. */
const UNSPECIFIED_HOSTS = ['0.0.0.0', '::']
/** Maximum mean number of reads of the store per poll interval. */
const MAX_READS_PER_POLL_COUNT = 4

/**
 * Creates a node and starts its loop.
 *
 * @param options - Settings, clients and callbacks.
 * @returns The node.
 */
export function createNode (options: NodeOptions): ControlNode {
  const { identity, log } = options
  const tables = Tables.createTables(identity, options.pollMs, Date.now())
  const store = Platform.Budget.limitCalls(options.tables, {
    readsPerSecond: MAX_READS_PER_POLL_COUNT * 1_000 / options.pollMs,
    writesPerSecond: 0,
    clock: options.clock,
    count: (kind, result) => { options.count('control_store_calls_total', { kind, result }) }
  })
  const peers = Peers.createClient(options.peerKey)
  const check = Core.Invariants.createCheck(options.violate)
  let instances: readonly Schemas.Platform.Instance[] = []
  let stopped = false
  let contends = true
  const push = (input: Messages.Input): void => { loop.push(input) }

  const adoptDocument = (document: Schemas.Control.Document, origin: Layout.Origin): boolean => {
    const before = tables.held.versions()[document.kind]
    if (!tables.held.adopt(document)) return false
    const after = tables.held.versions()[document.kind]
    check('manifestRises', after > before, () => ({ kind: document.kind, before, after }))
    log.info('control', 'Document in force.', { kind: document.kind, version: document.version, origin })
    options.onDocument(document)
    push({ kind: 'adopted', document, origin })
    return true
  }
  const readStore = async (): Promise<void> => {
    const versions = await Commits.readVersions(store)
    if (versions.isErr()) { push({ kind: 'storeFailed' }); return }
    const held = tables.held.versions()
    const newer = Schemas.Control.DOCUMENT_KINDS.filter(kind => versions.value[kind] > held[kind])
    if (newer.length > 0) {
      const documents = await Commits.readDocuments(store, newer)
      if (documents.isErr()) { push({ kind: 'storeFailed' }); return }
      for (const document of documents.value) adoptDocument(document, 'store')
    }
    push({ kind: 'storeRead', versions: versions.value })
  }
  const readList = async (): Promise<void> => {
    const list = await Platform.InstanceClient.listInstances(options.instanceList, LIST_TIMEOUT_MS)
    push(list.isErr() ? { kind: 'listFailed' } : { kind: 'listRead', ...list.value })
  }
  const sendGossip = async (command: Extract<Messages.Command, { kind: 'gossip' }>): Promise<void> => {
    const gossip = await peers.gossip(command.target, command.message)
    if (gossip !== undefined) push({ kind: 'gossipHeard', gossip })
    const answered = gossip?.sender.instanceId === command.memberId
    push({ kind: 'gossipEnded', memberId: command.memberId, purpose: command.purpose, answered })
  }
  const sendRelay = async (command: Extract<Messages.Command, { kind: 'relay' }>): Promise<void> => {
    const relayed = await peers.relay(command.via, { gossip: command.message, target: command.target })
    const gossip = relayed?.answer
    if (gossip !== undefined) push({ kind: 'gossipHeard', gossip })
    push({ kind: 'relayEnded', memberId: command.memberId, relayAnswered: relayed !== undefined, targetAnswered: gossip?.sender.instanceId === command.memberId })
  }
  const pull = async (command: Extract<Messages.Command, { kind: 'pull' }>): Promise<void> => {
    const answer = await peers.pull(command.target, command.versions)
    for (const document of answer?.documents ?? []) adoptDocument(document, 'peer')
    push({ kind: 'pullEnded', memberId: command.memberId })
  }
  const publishInstances = (): void => {
    instances = Tables.instancesOf(tables)
    contends = Tables.isContender(tables)
    options.onInstances(instances)
  }
  const perform: Core.Loop.Handlers<Messages.Command> = {
    gossip: command => { void sendGossip(command) },
    relay: command => { void sendRelay(command) },
    pull: command => { void pull(command) },
    readStore: () => { void readStore() },
    readList: () => { void readList() },
    tellInstances: publishInstances
  }
  const loop = Core.Loop.createLoop({
    step: Core.Loop.createStepper<Tables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, options.random),
    perform: command => { if (!stopped || command.kind === 'gossip') Core.Loop.dispatch(perform, command) },
    record: log.decision,
    violate: options.violate,
    clock: options.clock,
    maxTickIntervalMs: TICK_INTERVAL_MS
  })
  return {
    held: { ...tables.held, manifest: () => tables.learning.wasEverComplete ? tables.held.manifest() : undefined },
    instances: () => instances,
    members: () => [...tables.members.rows()].map(row => reportOf(row, options.clock())),
    watches: () => Polls.isWatcher(tables, options.clock()),
    contends: () => contends,
    adopt: document => adoptDocument(document, 'operator'),
    ready: () => Tables.isReady(tables),
    announce: address => {
      if (UNSPECIFIED_HOSTS.includes(address.host)) return
      const { instanceId, kind, zone, region } = identity
      push({ kind: 'announced', place: { instanceId, kind, zone, region, state: 'live', ...address } })
    },
    leave: () => { push({ kind: 'leaving' }) },
    exchange: versions => ({ versions: tables.held.versions(), documents: tables.held.newerThan(versions) }),
    gossip: async message => {
      push({ kind: 'gossipHeard', gossip: message })
      await new Promise(resolve => setImmediate(resolve))
      const answer = Gossip.compose(tables, message.sender.instanceId)
      return { ...answer, sender: { ...answer.sender, place: undefined } }
    },
    probe: async request => ({ answer: await peers.gossip(request.target, request.gossip) }),
    stop: () => {
      stopped = true
      loop.stop()
    }
  }
}

function reportOf (row: Tables.MemberRow, nowMs: number): Schemas.Membership.MemberReport {
  return {
    instanceId: row.instanceId,
    kind: row.place.kind,
    zone: row.place.zone,
    state: row.state,
    leaving: row.listedState === 'leaving' || row.place.state === 'leaving',
    listed: row.listed,
    incarnation: row.incarnation,
    heardAgoMs: row.lastMessageAtMs > -Infinity ? Math.round(nowMs - row.lastMessageAtMs) : undefined,
    versions: row.versions
  }
}
