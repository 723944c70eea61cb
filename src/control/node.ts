/**
 * A process's part in control: carries out what its systems decide.
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

/** Who a process is. */
export type Identity = Tables.Identity

/** How a node meets the world. */
export interface NodeOptions {
  readonly identity: Identity
  readonly tables: Platform.TableClient.TableClient
  readonly instanceList: Edge.HttpClient.Target
  readonly peerKey: () => string
  readonly random: Core.Random.Random
  readonly clock: () => number
  readonly onDocument: (document: Schemas.Control.Document) => void
  readonly onInstances: (instances: readonly Schemas.Platform.Instance[]) => void
  readonly log: Edge.Log.Log
  /** Takes invariants that did not hold. */
  readonly violate: (violation: Core.Invariants.Violation) => void
  /** Counts what happens, by name and labels. */
  readonly count: (name: string, labels: Readonly<Record<string, string>>) => void
  /** How often the store and the instance list are read, in milliseconds. */
  readonly pollMs: number
}

/** A process's part in control. */
export interface ControlNode extends Peers.PeerHandlers {
  /** The documents held; no manifest until the process has learnt the newest one. */
  readonly held: Documents.HeldDocuments
  instances: () => readonly Schemas.Platform.Instance[]
  /** Every other process as this one knows it. */
  members: () => readonly Schemas.Membership.MemberReport[]
  /** Whether this process reads the store on behalf of its availability zone. */
  watches: () => boolean
  /** Whether this gateway is one of the few that contend for the placement lease. */
  contends: () => boolean
  /** Takes a document that was committed here; tells whether it was news. */
  adopt: (document: Schemas.Control.Document) => boolean
  /** Whether the process has learnt the newest manifest that it can learn. */
  ready: () => boolean
  /** Tells the other processes where this one listens. */
  announce: (address: { readonly host: string, readonly port: number, readonly service?: string }) => void
  /** Tells the other processes that this one is leaving. */
  leave: () => void
  stop: () => void
}

const LIST_TIMEOUT_MS = 2_000
const TICK_INTERVAL_MS = 100
/** Addresses that a process may listen on and cannot be reached at; its place is then what the list says. */
const UNSPECIFIED_HOSTS = ['0.0.0.0', '::']
/** The most reads of the store in each interval between polls. */
const MAX_READS_PER_POLL_COUNT = 4

/**
 * Starts a node.
 *
 * @param options - Identity and edges.
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
    beatMs: TICK_INTERVAL_MS
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
