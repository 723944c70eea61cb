/**
 * What all processes of the system share: the own entry in the store, the list of the others, news and the relay of rows.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Core from '../core/index.ts'
import * as Faults from '../edge/faults.ts'
import * as HttpServer from '../edge/httpServer.ts'
import type * as Metrics from '../edge/metrics.ts'
import * as Entry from './entry.ts'
import * as Follower from './follower.ts'
import * as HeldReads from './heldReads.ts'
import * as Members from './members.ts'
import * as News from './news.ts'
import * as Readings from './readings.ts'
import * as Relay from './relay.ts'
import type * as Rows from './rows.ts'
import * as Shared from './shared.ts'
import * as StoreClock from './storeClock.ts'

/** Options of `open`. */
export interface NodeOptions {
  readonly name: string
  readonly host: string
  /** Port for news (UDP) and for requests of other processes (TCP). */
  readonly port: number
  readonly zone: string
  readonly region: string
  /** Processes that may be asked before the list of processes has been read. */
  readonly seeds: () => ReadonlyArray<{ readonly host: string, readonly port: number }>
  readonly store: Rows.RowSource
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A process as part of the system. */
export interface Node {
  readonly incarnation: string
  readonly storeClock: StoreClock.StoreClock
  readonly readings: Readings.Readings
  readonly followerOptions: Pick<Follower.FollowerOptions, 'store' | 'askPeer' | 'clock' | 'storeClock' | 'readings' | 'random' | 'metrics' | 'log'>
  members: () => readonly Members.Member[]
  /** Whether the list of processes has been read at least once. */
  knowsMembers: () => boolean
  /** Whether the first read of the list of processes has neither succeeded nor failed yet. */
  awaitsMembers: () => boolean
  /** Starts following the list of processes; reads wait `waitMs` milliseconds on average for a change. */
  followMembers: (waitMs: number) => void
  /** Serves the rows of a table to processes that ask for them. */
  relayTable: (table: string, relayed: Relay.RelayedTable) => void
  /** Passes on each later message of another process. Until then messages are dropped, since what handles them depends on the node. */
  receiveNews: (handler: (news: News.News) => void) => void
  /** Sends news to the other processes of a kind, optionally only to some of them. */
  sendNews: (news: Omit<News.News, 'sender' | 'storeMs' | 'reading'>, kind: Members.Member['kind'], isTarget?: (member: Members.Member) => boolean) => void
  /** Removes the process's entry, unless it is to stay listed, and stops. */
  close: (options?: { readonly keepsEntry: boolean }) => Promise<void>
}

/** Delay between reads of the list of processes, in milliseconds: processes often start together, and their entries are read in one batch. */
const MEMBERS_BATCH_DELAY_MS = 1_000
/** Maximum wait of a read of the list from a neighbour, in milliseconds: processes that join send news, so a frozen neighbour is noticed earlier. */
const MEMBERS_NEIGHBOUR_WAIT_MS = 10_000
/** Time after which a process that sends news but is not listed here makes this process read the list anew, in milliseconds: entries are read in batches, and a read may be slow. */
const UNLISTED_SENDER_DELAY_MS = 2 * MEMBERS_BATCH_DELAY_MS

/**
 * Joins the system's processes: listens for them and writes the process's entry.
 *
 * @param options - The process and its environment.
 * @param own - Kind of the process, and the endpoint beside an agent.
 * @param routes - Further routes that are served to other processes.
 * @returns The process, once it listens.
 */
export async function open (options: NodeOptions, own: Pick<Members.Member, 'kind' | 'endpoint'>, routes: readonly HttpServer.Route[] = []): Promise<Node> {
  const { name, host, port, zone, region, random, log, metrics } = options
  const store = HeldReads.secureHeldReads(withCallCounts(options.store, metrics), { metrics, log })
  const incarnation = Crypto.randomUUID()
  const relayedTables = new Map<string, Relay.RelayedTable>()
  let members: readonly Members.Member[] = []
  let follower: Follower.Follower | undefined
  let onNews: ((news: News.News) => void) | undefined
  /** Gateways come first, those of the own region before others: agents do not follow all tables. */
  const peers = (): ReadonlyArray<readonly Relay.Peer[]> => {
    if (members.length === 0) return [options.seeds()]
    const rankOf = (member: Members.Member): number => member.kind !== 'gateway' ? 2 : member.region === region ? 0 : 1
    return [0, 1, 2].map(rank => members.filter(member => rankOf(member) === rank))
  }
  const askPeer = Relay.createPeerReader({ peers, random, isPart: false, metrics, log })
  const storeClock = StoreClock.createStoreClock(options.clock)
  const readings = Readings.createReadings()
  /** Time since which unlisted processes have sent news, in milliseconds, by name. */
  const unlistedSinceMs = new Map<string, number>()
  /** Restarts the read of the list when a process that it lacks keeps sending news: the read under way may hang. */
  const checkSender = (sender: string): void => {
    if (follower?.isKnown() !== true || members.some(member => member.name === sender)) {
      unlistedSinceMs.delete(sender)
      return
    }
    const nowMs = options.clock()
    const sinceMs = unlistedSinceMs.get(sender) ?? nowMs
    unlistedSinceMs.set(sender, sinceMs)
    if (nowMs - sinceMs < UNLISTED_SENDER_DELAY_MS) return
    unlistedSinceMs.delete(sender)
    follower.handlePeerRevision(Math.max(follower.mirror.rowRevision(), follower.mirror.revision()) + 1)
  }
  const handleNews = (news: News.News): void => {
    checkSender(news.sender)
    if (news.storeMs !== undefined) storeClock.observePeer(news.storeMs)
    if (news.reading !== undefined) readings.record(news.reading)
    onNews?.(news)
  }
  const faults = Faults.createFaults({ metrics, log })
  const onWaiting = (reason: string): void => { log('process', 'Address not free yet.', { host, port, reason }) }
  const channel = await News.openChannel({ host, port }, handleNews, reason => {
    metrics.count('news_faults_total')
    log('news', 'News lost.', { reason })
  }, onWaiting)
  const relayRoute = Relay.createRelayRoute(table => relayedTables.get(table))
  const server = await HttpServer.listen({
    host,
    port,
    headersTimeoutMs: 2_000,
    onWaiting,
    onError: error => { faults.record('server', error) },
    routes: [relayRoute.route, metrics.route, ...routes]
  })
  const followerOptions = { store, askPeer, clock: options.clock, storeClock, readings, random, metrics, log }

  const entry = Entry.createEntry({ member: { name, host, port, zone, region, incarnation, ...own }, store, random, log })
  return {
    incarnation,
    storeClock,
    readings,
    followerOptions,
    members: () => members,
    knowsMembers: () => follower?.isKnown() ?? false,
    awaitsMembers: () => follower === undefined || (!follower.isKnown() && follower.isStoreReachable()),
    followMembers: waitMs => {
      /** The rows in force, by key: those that a restored store lacks stay for a while. */
      const rowsInForce = new Map<string, Rows.Row>()
      const shared = Shared.createSharedSource({
        ...followerOptions,
        table: Members.MEMBERS_TABLE,
        own: { name, region },
        members: () => members,
        knowsMembers: () => follower?.isKnown() ?? false,
        awaitsMembers: () => false,
        seeds: options.seeds,
        isPart: false,
        mayReadStore: own.kind === 'gateway',
        neighbourWaitMs: MEMBERS_NEIGHBOUR_WAIT_MS
      })
      follower = Follower.createFollower({
        ...followerOptions,
        store: shared,
        askPeer: shared.askPeer,
        table: Members.MEMBERS_TABLE,
        waitMs: () => waitMs,
        batchDelayMs: () => MEMBERS_BATCH_DELAY_MS,
        onRestored: () => { void entry.restore(follower?.mirror.all().get(name)) },
        onRows: rows => {
          for (const row of rows) rowsInForce.set(row.key, row)
          members = Members.membersOf([...rowsInForce.values()].filter(row => !row.deleted)).filter(member => member.name !== name)
        }
      })
      relayedTables.set(Members.MEMBERS_TABLE, shared.relayed(follower, row => row))
    },
    receiveNews: handler => { onNews = handler },
    relayTable: (table, relayedTable) => { relayedTables.set(table, relayedTable) },
    sendNews: (news, targetKind, isTarget = () => true) => { channel.send({ sender: name, storeMs: storeClock.nowByAnswers(), reading: readings.latest(), ...news }, members.filter(member => member.kind === targetKind && isTarget(member))) },
    close: async ({ keepsEntry } = { keepsEntry: false }) => {
      follower?.stop()
      relayRoute.close()
      if (keepsEntry) entry.leave()
      else await entry.remove()
      channel.close()
      await server.close(0)
    }
  }
}

/** Wraps a store so that calls to it are counted by table and kind. */
function withCallCounts (store: Rows.RowSource, metrics: Metrics.Metrics): Rows.RowSource {
  const count = (table: string, kind: 'whole' | 'held' | 'write' | 'remove'): void => { metrics.count('store_calls_total', { table, kind }) }
  return {
    readAll: async (table, onArriving) => {
      count(table, 'whole')
      return await store.readAll(table, onArriving)
    },
    readSince: async (table, revision, waitMs, onArriving) => {
      count(table, 'held')
      return await store.readSince(table, revision, waitMs, onArriving)
    },
    write: async (table, key, value, revision) => {
      count(table, 'write')
      return await store.write(table, key, value, revision)
    },
    remove: async (table, key, revision) => {
      count(table, 'remove')
      return await store.remove(table, key, revision)
    }
  }
}
