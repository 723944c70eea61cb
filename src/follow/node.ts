/**
 * What every process of the system has in common: its entry in the store, the others, news and relay.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Core from '../core/index.ts'
import * as HttpServer from '../edge/httpServer.ts'
import type * as Metrics from '../edge/metrics.ts'
import * as Entry from './entry.ts'
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

/** Processes often start together; their entries are read together, in milliseconds. */
const GATHER_MS = 1_000
/** A process that is heard without being listed has its entry read within so long, in milliseconds: entries are gathered, and their read may be slow. */
const STRANGER_PATIENCE_MS = 2 * GATHER_MS

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
  const peers = (): ReadonlyArray<{ readonly host: string, readonly port: number }> => members.length > 0 ? members : options.seeds()
  const askPeer = Relay.createAsker(peers, random)
  const storeClock = StoreClock.createStoreClock(options.clock)
  const readings = Readings.createReadings()
  /** Since when processes are heard that are not listed here, in milliseconds. */
  const strangersSinceMs = new Map<string, number>()
  /** Reads the entries anew where a process is heard for long that they lack: the read under way may have gone silent. */
  const noteSender = (sender: string): void => {
    if (follower?.isKnown() !== true || members.some(member => member.name === sender)) {
      strangersSinceMs.delete(sender)
      return
    }
    const nowMs = options.clock()
    const sinceMs = strangersSinceMs.get(sender) ?? nowMs
    strangersSinceMs.set(sender, sinceMs)
    if (nowMs - sinceMs < STRANGER_PATIENCE_MS) return
    strangersSinceMs.delete(sender)
    follower.hint(follower.mirror.rowRevision() + 1)
  }
  const takeNews = (news: News.News): void => {
    noteSender(news.sender)
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

  const entry = Entry.createEntry({ member: { name, kind, host, port, zone, region, incarnation }, store, random, log })
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
    relay: (table, source) => { relayed.set(table, source) },
    tell: (news, toKind, choose = () => true) => { channel.send({ sender: name, storeMs: storeClock.told(), reading: readings.latest(), ...news }, members.filter(member => member.kind === toKind && choose(member))) },
    close: async () => {
      follower?.stop()
      relay.close()
      await entry.remove()
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
