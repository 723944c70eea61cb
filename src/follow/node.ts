/**
 * What every process of the system has in common: its entry in the store, the others, news and relay.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Core from '../core/index.ts'
import * as HttpServer from '../edge/httpServer.ts'
import type * as Metrics from '../edge/metrics.ts'
import * as Follower from './follower.ts'
import * as Members from './members.ts'
import * as News from './news.ts'
import * as Readings from './readings.ts'
import * as Relay from './relay.ts'
import type * as Rows from './rows.ts'
import * as StoreClock from './storeClock.ts'

/** What a process needs to take part. */
export interface NodeOptions {
  readonly name: string
  readonly host: string
  /** Port for news and for other processes' requests. */
  readonly port: number
  readonly zone: string
  readonly region: string
  /** Processes that may be asked before the store has named any. */
  readonly seeds: () => ReadonlyArray<{ readonly host: string, readonly port: number }>
  readonly store: Rows.RowSource
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A process that takes part. */
export interface Node {
  readonly incarnation: string
  readonly storeClock: StoreClock.StoreClock
  readonly readings: Readings.Readings
  readonly followerOptions: Pick<Follower.FollowerOptions, 'store' | 'askPeer' | 'clock' | 'storeClock' | 'readings' | 'random' | 'log'>
  members: () => readonly Members.Member[]
  /** Whether the other processes have been read at least once. */
  knowsMembers: () => boolean
  /** Follows the entries of the other processes. */
  followMembers: (waitMs: number) => void
  /** Hands a table on to processes that ask. */
  relay: (table: string, relayed: Relay.Relayed) => void
  /** Sends news to the other processes of a kind. */
  tell: (news: Omit<News.News, 'sender' | 'storeMs' | 'reading'>, kind: Members.Member['kind'], choose?: (member: Members.Member) => boolean) => void
  /** Removes the process's entry and leaves. */
  close: () => Promise<void>
}

/** Time until an entry that could not be written is tried again, in milliseconds. */
const ENTRY_RETRY_MS = 500
/** Processes often start together; their entries are read together, in milliseconds. */
const GATHER_MS = 1_000

/**
 * Joins the system's processes.
 *
 * @param options - Who the process is and what it reaches.
 * @param kind - What the process is.
 * @param onNews - Takes news of other processes.
 * @param routes - Further routes for other processes.
 * @returns The process, once it listens.
 */
export async function open (options: NodeOptions, kind: Members.Member['kind'], onNews: (news: News.News) => void, routes: readonly HttpServer.Route[] = []): Promise<Node> {
  const { name, host, port, zone, region, random, log, metrics } = options
  const store = countCalls(options.store, metrics)
  const incarnation = Crypto.randomUUID()
  const relayed = new Map<string, Relay.Relayed>()
  let members: readonly Members.Member[] = []
  let follower: Follower.Follower | undefined
  let closed = false
  const peers = (): ReadonlyArray<{ readonly host: string, readonly port: number }> => members.length > 0 ? members : options.seeds()
  const askPeer = Relay.createAsker(peers, random)
  const storeClock = StoreClock.createStoreClock(options.clock)
  const readings = Readings.createReadings()
  const takeNews = (news: News.News): void => {
    if (news.storeMs !== undefined) storeClock.hear(news.storeMs)
    if (news.reading !== undefined) readings.note(news.reading)
    onNews(news)
  }
  const channel = await News.openChannel({ host, port }, takeNews, reason => {
    metrics.count('news_faults_total')
    log('news', 'News lost.', { reason })
  })
  const relay = Relay.createRelayRoute(table => relayed.get(table))
  const server = await HttpServer.listen({
    host,
    port,
    headersTimeoutMs: 2_000,
    routes: [relay.route, metrics.route, ...routes]
  })
  const followerOptions = { store, askPeer, clock: options.clock, storeClock, readings, random, log }

  const enter = async (): Promise<void> => {
    const entry: Members.Member = { name, kind, host, port, zone, region, incarnation }
    const isOpen = (): boolean => !closed
    while (isOpen()) {
      const written = await store.write(Members.MEMBERS_TABLE, name, entry)
      if (written.isOk()) return
      log('store', 'Entry not written.', { name, reason: written.error })
      await new Promise(resolve => { setTimeout(resolve, ENTRY_RETRY_MS * (0.5 + random.next())) })
    }
  }
  void enter()
  return {
    incarnation,
    storeClock,
    readings,
    followerOptions,
    members: () => members,
    knowsMembers: () => follower?.isKnown() ?? false,
    followMembers: waitMs => {
      follower = Follower.createFollower({
        ...followerOptions,
        table: Members.MEMBERS_TABLE,
        waitMs: () => waitMs,
        gatherMs: GATHER_MS,
        onRows: () => {
          members = Members.membersOf(follower?.mirror.live() ?? []).filter(member => member.name !== name)
        }
      })
      relayed.set(Members.MEMBERS_TABLE, follower)
    },
    relay: (table, entry) => { relayed.set(table, entry) },
    tell: (news, toKind, choose = () => true) => { channel.send({ sender: name, storeMs: storeClock.told(), reading: readings.latest(), ...news }, members.filter(member => member.kind === toKind && choose(member))) },
    close: async () => {
      closed = true
      follower?.stop()
      relay.close()
      const removed = await store.remove(Members.MEMBERS_TABLE, name)
      if (removed.isErr()) log('store', 'Entry not removed.', { name, reason: removed.error })
      channel.close()
      await server.close(0)
    }
  }
}

/** Counts the calls to the store by what they are for. */
function countCalls (store: Rows.RowSource, metrics: Metrics.Metrics): Rows.RowSource {
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
    write: async (table, key, value) => {
      count(table, 'write')
      return await store.write(table, key, value)
    },
    remove: async (table, key) => {
      count(table, 'remove')
      return await store.remove(table, key)
    }
  }
}
