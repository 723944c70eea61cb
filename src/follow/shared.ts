/**
 * A source of one table that a few gateways of a region read from the store; the other processes of the
 * region read it from these gateways.
 *
 * This saves traffic of large rows on slow links between regions. Each process works out from the members
 * that it knows which of them read the store, so there is no election or lease. If two processes come to
 * different results, or the process that is read from fails, the rows are read from the store once more.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import type * as Metrics from '../edge/metrics.ts'
import type * as Follower from './follower.ts'
import type * as Members from './members.ts'
import * as Positions from './positions.ts'
import * as Relay from './relay.ts'
import type * as Rows from './rows.ts'

/** Options of `createSharedSource`. */
export interface SharedOptions {
  /** The only table that is read through the source. */
  readonly table: string
  readonly store: Rows.RowSource
  /** This process. */
  readonly own: Pick<Members.Member, 'name' | 'region'>
  /** The other processes. */
  readonly members: () => readonly Members.Member[]
  /** Whether the list of processes has been read at least once. */
  readonly knowsMembers: () => boolean
  /** Whether the first read of the list of processes has neither succeeded nor failed yet. */
  readonly awaitsMembers: () => boolean
  /** Processes that may be asked before the list of processes has been read. */
  readonly seeds: () => readonly Relay.Peer[]
  /** Whether the process acts only on a part of each row, so that reduced rows suffice. */
  readonly isPart: boolean
  /** Whether the process may be one of those that read the store. */
  readonly mayReadStore: boolean
  /** Maximum wait of a read from a neighbour, in milliseconds: a neighbour that freezes is noticed by the end of the wait, if not earlier by news. */
  readonly neighbourWaitMs: number
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Pick<Metrics.Metrics, 'count'>
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A source of the rows of one table. */
export interface SharedSource extends Rows.RowSource, Pick<Follower.FollowerOptions, 'askPeer'> {
  /** Returns the table as this process serves it to others; `partOf` reduces a row to the part that some processes act on. */
  relayed: (follower: Pick<Follower.Follower, 'mirror' | 'isKnown' | 'isStoreReachable'>, partOf: (row: Rows.Row) => Rows.Row) => Relay.RelayedTable
}

type Answer = Neverthrow.Result<Rows.Page, Rows.ReadFailure>

/** An answer and its source: the name of a process, or the store. */
interface SourcedAnswer {
  readonly answer: Answer
  readonly source: string
}

/** A read without an answer yet. */
interface PendingRead {
  /** The revision after which rows are asked for; undefined for the whole table. */
  readonly after: number | undefined
  readonly waitMs: number
  result: Promise<SourcedAnswer>
  /** The neighbour that is being read from; undefined for the store. */
  neighbour: Members.Member | undefined
  /** Time at which bytes of the answer last arrived, in milliseconds; -Infinity before the first. */
  lastBytesAtMs: number
  /** Whether it stalled and the store is read in its place. */
  isReplaced: boolean
}

/** Number of gateways of a region that read the store: one may fail without delaying all processes. */
export const READER_COUNT = 2
/** Maximum number of neighbours tried before the store. */
const NEIGHBOUR_TRY_LIMIT_COUNT = 4
/** Maximum wait of a first read from a neighbour that is still reading the table itself, in milliseconds: large rows take seconds on a full link. */
const FIRST_READ_WAIT_MS = 10_000
/** Time after which such a read goes on only while the neighbour receives bytes, in milliseconds. */
const FIRST_READ_PATIENCE_MS = 1_500
/** Maximum wait of a read of the store by a process that should read from a neighbour, in milliseconds. */
const FALLBACK_WAIT_MS = 2_000
/** Time for which a neighbour is passed over after its first failure, in milliseconds; doubles with each further one. */
const NEIGHBOUR_BACKOFF_MS = 3_000
/** Maximum time for which a neighbour is passed over after a failure, in milliseconds. */
const NEIGHBOUR_BACKOFF_LIMIT_MS = 12_000
/** Time without bytes after which a read that is to be replaced counts as stalled, in milliseconds. */
const STALL_TIMEOUT_MS = 500
/** The same for the first read of the table, in milliseconds: many processes may have started at once on a slow link, and a second copy of a large row would slow all of them down. */
const FIRST_STALL_TIMEOUT_MS = 2_000
/** Interval at which a read is checked for a stall, in milliseconds. */
const STALL_CHECK_INTERVAL_MS = 50
/** Time during which a process without rows waits for neighbours that have just started too, in milliseconds, once it knows the other processes. */
const START_PATIENCE_MS = 2_000
/** Maximum time for which a process waits for the list of processes, which tells whether it reads the store, in milliseconds: on a full link the list takes seconds, and a read of it that fails ends the wait. */
const MEMBERS_PATIENCE_MS = 5_000
/** Interval at which a process that has just started asks its neighbours again, in milliseconds. */
const START_RETRY_INTERVAL_MS = 100
/** Interval at which a process that has just started checks whether the list of processes has been read, in milliseconds. */
const MEMBERS_CHECK_INTERVAL_MS = 20
/** Delay before a read from processes of any region, in milliseconds, when there are newer rows that the own region does not have: the store may be delivering them. */
const FAR_READ_DELAY_MS = 1_000
const STORE = 'store'

/**
 * Creates the source of one table.
 *
 * @param options - The table, the store and the other processes.
 * @returns The source. A read that begins while another is pending replaces it: it takes that read's answer, or reads the store if that read stalls or fails.
 */
export function createSharedSource (options: SharedOptions): SharedSource {
  const { table, store, own, clock, log, metrics } = options
  const backoffs = new Map<string, { readonly untilMs: number, readonly count: number }>()
  const listeners = new Set<() => void>()
  let pendingRead: PendingRead | undefined
  const createdAtMs = clock()
  /** When the first read began, with the other processes known if possible, in milliseconds. */
  let firstReadAtMs: number | undefined
  /** Whether the last read was one of the store. */
  let isReadingStore = false
  let isStoreLost = false
  let sourceBefore: string | undefined
  /** The latest page with a known time, without its rows. */
  let latest: Rows.Page & { readonly madeAtMs: number } | undefined
  let mirror: Rows.Mirror | undefined

  const gateways = (): readonly Members.Member[] => options.members().filter(member => member.kind === 'gateway')
  const regionGateways = (): readonly Members.Member[] => gateways().filter(member => member.region === own.region)
  /** The neighbours to read from, the preferred one first; none if this process reads the store. */
  const rankedNeighbours = (): readonly Members.Member[] => rankNeighbours(own.name, own.region, regionGateways(), options.mayReadStore)
  const availableNeighbours = (): readonly Members.Member[] => rankedNeighbours().filter(({ name }) => (backoffs.get(name)?.untilMs ?? -Infinity) <= clock()).slice(0, NEIGHBOUR_TRY_LIMIT_COUNT)

  /** Whether no rows were read yet, so that neighbours may still be starting too. */
  const isStarting = (): boolean => sourceBefore === undefined && clock() - (firstReadAtMs ?? clock()) < START_PATIENCE_MS
  const isWaitingForMembers = (): boolean => options.awaitsMembers() && clock() - createdAtMs < MEMBERS_PATIENCE_MS
  const untilMembersKnown = async (): Promise<void> => {
    while (isWaitingForMembers()) await sleep(MEMBERS_CHECK_INTERVAL_MS)
  }
  const backOffFrom = (neighbour: Members.Member, reason: string): void => {
    const count = (backoffs.get(neighbour.name)?.count ?? 0) + 1
    backoffs.set(neighbour.name, { untilMs: clock() + Math.min(NEIGHBOUR_BACKOFF_MS * 2 ** (count - 1), NEIGHBOUR_BACKOFF_LIMIT_MS), count })
    metrics.count('neighbours_passed_over_total', { table })
    log('store', 'Neighbour passed over.', { table, neighbour: neighbour.name, reason })
  }
  const recordPage = (page: Rows.Page, source: string): void => {
    metrics.count('pages_read_total', { table, source: source === STORE ? STORE : 'neighbour' })
    if (source !== sourceBefore) log('store', 'Rows come from elsewhere.', { table, source, ...(sourceBefore === undefined ? {} : { sourceBefore }), ...Positions.logFields(page.revision) })
    sourceBefore = source
    const { madeAtMs } = page
    if (madeAtMs !== undefined && madeAtMs >= (latest?.madeAtMs ?? -Infinity)) latest = { rows: [], revision: page.revision, madeAtMs }
  }
  /** Returns a page, or the latest one if the page has no rows and is older: a neighbour may be behind this process. */
  const newerOf = (page: Rows.Page): Rows.Page => page.rows.length === 0 && latest !== undefined && latest.madeAtMs > (page.madeAtMs ?? Infinity) ? latest : page
  const notifyArriving = (pending: PendingRead): void => {
    pending.lastBytesAtMs = clock()
    for (const listener of [...listeners]) listener()
  }
  const readStore = async (pending: PendingRead): Promise<SourcedAnswer> => {
    pending.neighbour = undefined
    isReadingStore = true
    const isFallback = !options.knowsMembers() || rankedNeighbours().length > 0
    const waitMs = isFallback ? Math.min(pending.waitMs, FALLBACK_WAIT_MS) : pending.waitMs
    const onArriving = (): void => { notifyArriving(pending) }
    const answer = await (pending.after === undefined ? store.readAll(table, onArriving) : store.readSince(table, pending.after, waitMs, onArriving))
    isStoreLost = answer.isErr() && answer.error.kind !== 'historyGone'
    return { answer, source: STORE }
  }
  /** Reads from the first neighbour that has rows; returns undefined if none has. */
  const readNeighbours = async (pending: PendingRead): Promise<SourcedAnswer | undefined> => {
    for (const neighbour of availableNeighbours()) {
      pending.neighbour = neighbour
      isReadingStore = false
      const { after } = pending
      // A neighbour that is still reading the table for the first time holds the read of a process that starts, too.
      const wait = after === undefined && isStarting() ? { waitMs: FIRST_READ_WAIT_MS, patienceMs: FIRST_READ_PATIENCE_MS } : { waitMs: Math.min(pending.waitMs, options.neighbourWaitMs) }
      const answer = await Relay.longPoll({ target: neighbour, table, after, ...wait, isPart: options.isPart, onArriving: () => { notifyArriving(pending) } })
      if (answer.isOk()) {
        backoffs.delete(neighbour.name)
        return { answer, source: neighbour.name }
      }
      if (answer.error.kind === 'historyGone' || pending.isReplaced) return { answer, source: neighbour.name }
      if (answer.error.kind === 'silent' || !isStarting()) backOffFrom(neighbour, answer.error.reason)
    }
    return undefined
  }
  const readNeighboursOrStore = async (pending: PendingRead): Promise<SourcedAnswer> => {
    await untilMembersKnown()
    firstReadAtMs ??= clock()
    for (;;) {
      const answer = await readNeighbours(pending)
      if (answer !== undefined) return answer
      if (!isStarting() || availableNeighbours().length === 0) return await readStore(pending)
      await sleep(START_RETRY_INTERVAL_MS)
    }
  }
  /** Waits for the answer of an earlier read; if that stalls or fails, reads the store in parallel, and the first answer counts. */
  const replaceRead = async (previous: PendingRead, pending: PendingRead): Promise<SourcedAnswer> => {
    const isSameKind = (previous.after === undefined) === (pending.after === undefined)
    const earlierResult = previous.result.then(earlierAnswer => earlierAnswer.answer.isOk() && isSameKind ? earlierAnswer : undefined)
    const waited = await Promise.race([earlierResult, untilStalled(previous)])
    if (waited !== undefined) return waited
    previous.isReplaced = true
    if (previous.neighbour !== undefined) backOffFrom(previous.neighbour, 'behind other processes')
    return await Promise.race([readStore(pending), earlierResult.then(async earlierAnswer => earlierAnswer ?? await waitForever())])
  }
  const untilStalled = async (previous: PendingRead): Promise<undefined> => {
    const sinceMs = clock()
    const timeoutMs = sourceBefore === undefined ? FIRST_STALL_TIMEOUT_MS : STALL_TIMEOUT_MS
    while (clock() - Math.max(sinceMs, previous.lastBytesAtMs) < timeoutMs) await sleep(STALL_CHECK_INTERVAL_MS)
  }
  const read = async (after: number | undefined, waitMs: number): Promise<Answer> => {
    const previous = pendingRead
    const pending: PendingRead = { after, waitMs, result: waitForever(), neighbour: undefined, lastBytesAtMs: -Infinity, isReplaced: false }
    pending.result = previous === undefined ? readNeighboursOrStore(pending) : replaceRead(previous, pending)
    pendingRead = pending
    try {
      const { answer, source } = await pending.result
      // The caller drops the answer to a replaced read, so its page does not show what this process holds.
      if (answer.isErr() || pendingRead !== pending) return answer
      const page = after === undefined || source === STORE ? answer.value : newerOf(answer.value)
      recordPage(answer.value, source)
      return Neverthrow.ok(page)
    } finally {
      if (pendingRead === pending) pendingRead = undefined
    }
  }
  const askRegion = Relay.createPeerReader({ ...options, peers: () => [regionGateways()] })
  /** The gateways of the own region before those of others; if there are none, any process. */
  const knownPeers = (): ReadonlyArray<readonly Relay.Peer[]> => {
    const own = regionGateways()
    const groups = [[own, gateways().filter(member => !own.includes(member))], [options.members()], [options.seeds()]]
    return groups.find(group => group.some(peers => peers.length > 0)) ?? []
  }
  const askAny = Relay.createPeerReader({ ...options, peers: knownPeers })
  /** Asks the own region first, so that large rows do not cross links between regions for a process that is only slightly behind. */
  const askPeer: SharedSource['askPeer'] = async (_table, revision, holders) => {
    if (isStoreLost) return await askAny(table, revision, holders)
    const page = await askRegion(table, revision, holders)
    if (page !== undefined && page.rows.length > 0) return page
    await sleep(FAR_READ_DELAY_MS)
    if (mirror !== undefined && mirror.revision() > revision) return undefined
    return await askAny(table, revision, holders)
  }
  return {
    readAll: async () => await read(undefined, 0),
    readSince: async (_table, revision, waitMs) => await read(revision, waitMs),
    write: store.write,
    remove: store.remove,
    askPeer,
    relayed: (follower, partOf) => ({
      mirror: (mirror = follower.mirror),
      isKnown: follower.isKnown,
      isPart: options.isPart,
      partOf: memoizeParts(partOf),
      longPolling: {
        refusal: () => !isReadingStore ? 'indirect' : follower.isStoreReachable() ? undefined : 'lost',
        onArriving: listener => {
          listeners.add(listener)
          return () => { listeners.delete(listener) }
        }
      }
    })
  }
}

/**
 * Ranks the neighbours that a process reads from.
 *
 * @param own - The name of the process.
 * @param region - Its region.
 * @param gateways - The other gateways of the region.
 * @param mayReadStore - Whether the process itself may be one of those that read the store.
 * @returns The neighbours, the preferred one first; none if the process reads the store itself.
 */
export function rankNeighbours (own: string, region: string, gateways: readonly Members.Member[], mayReadStore: boolean): readonly Members.Member[] {
  const names = gateways.map(member => member.name)
  const order = readerOrder(region, mayReadStore ? [...names, own] : names)
  const ownRank = mayReadStore ? order.indexOf(own) : order.length
  if (ownRank < READER_COUNT) return mayReadStore ? [] : byNames(gateways, order)
  const higherRanked = order.slice(0, ownRank)
  return byNames(gateways, [...Core.Hash.rendezvous(own, higherRanked.slice(0, READER_COUNT)), ...higherRanked.slice(READER_COUNT)])
}

/**
 * Returns the gateways of a region that read the store.
 *
 * @param region - The region.
 * @param names - The names of its gateways.
 * @returns Their names, in order of rank.
 */
export function readersOf (region: string, names: readonly string[]): readonly string[] {
  return readerOrder(region, names).slice(0, READER_COUNT)
}

function readerOrder (region: string, names: readonly string[]): readonly string[] {
  return Core.Hash.rendezvous(`readers of ${region}`, names)
}

function byNames (members: readonly Members.Member[], names: readonly string[]): readonly Members.Member[] {
  return names.flatMap(name => members.find(member => member.name === name) ?? [])
}

/** Wraps a function so that each row is reduced only once. */
function memoizeParts (partOf: (row: Rows.Row) => Rows.Row): (row: Rows.Row) => Rows.Row {
  const parts = new WeakMap<Rows.Row, Rows.Row>()
  return row => {
    const part = parts.get(row) ?? partOf(row)
    parts.set(row, part)
    return part
  }
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}

async function waitForever (): Promise<never> {
  return await new Promise(() => {})
}
