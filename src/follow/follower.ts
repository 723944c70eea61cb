/**
 * Follows a table of the platform's store, and reads it from other processes while the store does not answer.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Metrics from '../edge/metrics.ts'
import type * as Routing from '../routing/index.ts'
import * as Positions from './positions.ts'
import type * as Readings from './readings.ts'
import type * as Relay from './relay.ts'
import * as Restores from './restores.ts'
import * as Rows from './rows.ts'
import type * as StoreClock from './storeClock.ts'

/** Where a batch of rows came from. */
export interface RowsContext {
  /** False for rows that were relayed by another process. */
  readonly fromStore: boolean
  /** Whether this is the first batch, whose rows may be of any age. */
  readonly isFirst: boolean
  /** Time at which the store made the page with these rows, by its clock in milliseconds; undefined for rows that were relayed by another process. */
  readonly madeAtMs: number | undefined
  /** As of when all earlier rows had been read. */
  readonly before: Routing.Versions.ReadProgress
}

/** Options of `createFollower`. */
export interface FollowerOptions {
  readonly table: string
  readonly store: Rows.RowSource
  /** Asks other processes for the rows that changed after a revision; undefined if none answers. */
  readonly askPeer: Relay.AskPeers
  /** Mean time that a read waits at the store for a change, in milliseconds. */
  readonly waitMs: () => number
  /** Delay between an answer and the next read, so that changes are read in batches, in milliseconds; no delay if undefined. */
  readonly batchDelayMs?: () => number
  readonly clock: () => number
  readonly storeClock: StoreClock.StoreClock
  readonly readings: Readings.Readings
  readonly random: Core.Random.Random
  readonly metrics?: Pick<Metrics.Metrics, 'count'>
  /** Decides which rows are put off when the store comes back from an older copy; those that the copy lacks if undefined. */
  readonly isDoubtful?: Restores.Doubt
  /** Called with each batch of changed rows, and with the first batch even if it is empty. */
  readonly onRows: (rows: readonly Rows.Row[], context: RowsContext) => void
  /** Called when the store has come back from an older copy, before the rows that differ are delivered. */
  readonly onRestored?: () => void
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** Keeps a mirror of a table up to date. */
export interface Follower {
  readonly mirror: Rows.Mirror
  /** Whether the table has been read at least once. */
  isKnown: () => boolean
  /** Time at which the store answered again after the last outage, in milliseconds; undefined if there was none. */
  recoveredAtMs: () => number | undefined
  /** Time at which the rows were last known to be current, in milliseconds: the last answer of the store, or of another process that had newer rows; -Infinity before the first. */
  freshAtMs: () => number
  /** Whether other processes say that they hold newer rows. */
  isBehind: () => boolean
  /** As of when all rows of the store have been read, and the store's outage since then. */
  completeness: () => Routing.Versions.ReadProgress
  /** Whether the store answers: false from a failed read until the next answer. */
  isStoreReachable: () => boolean
  /** Handles the newest revision that another process holds: if this process still lacks it after a short delay, it restarts the read of the store, and reads from other processes until it has the rows. Processes repeat their revisions. */
  handlePeerRevision: (revision: number, holder?: string) => void
  stop: () => void
}

/** Mean delay between retries while the store does not answer, in milliseconds: allows several retries within time limits of a few seconds. */
const RETRY_DELAY_MS = 250
/** Maximum time that a read waits for a change while the store does not answer, in milliseconds: a longer one would hang past the store's return, and operators may write twice before the first process reads. */
const OUTAGE_WAIT_MS = 1_000
/** Time that the read under way is given to deliver a newer revision that another process holds, in milliseconds. */
const CATCH_UP_DELAY_MS = 300
/** Time for which a failed read of the store waits for rows of another process before the store is tried again, in milliseconds. */
const PEER_READ_PATIENCE_MS = 400
/** Maximum number of processes that are remembered to hold newer rows. */
const HOLDER_LIMIT_COUNT = 1_024
/** Time for which a process counts as behind after another one last said that it holds newer rows, in milliseconds: processes say so every second. */
const BEHIND_LIFETIME_MS = 3_000
/** Minimum time between two log lines on how far this process is behind others, in milliseconds. */
const BEHIND_LOG_INTERVAL_MS = 1_000
/** Minimum time between two restarts of a read that may hang, in milliseconds. */
const RESTART_INTERVAL_MS = 1_000
/** Maximum delay before the table is read whole after its history was lost, in milliseconds: spreads the processes that lose it together. Doubles while the history keeps being lost. */
const WHOLE_READ_DELAY_MS = 200
/** Maximum of that delay, in milliseconds. */
const WHOLE_READ_DELAY_LIMIT_MS = 5_000
/** Minimum of a wait relative to the mean wait; the maximum is as far above the mean. Drawn at random, so that processes do not keep reading at the same time: pages of different times narrow down when a row was written. */
const MIN_WAIT_RATIO = 0.5

/**
 * Starts following a table.
 *
 * @param options - The table and where it is read.
 * @returns The follower; it reads until it is stopped.
 */
export function createFollower (options: FollowerOptions): Follower {
  const { table, store, clock, storeClock, log } = options
  const mirror = Rows.createMirror()
  const settler = Restores.createSettler(options.isDoubtful ?? Restores.doubtRemovals)
  /** The store's era as of the newest page of any source, and as of the last snapshot; undefined before the first. */
  let era: number | undefined
  let snapshotEra: number | undefined
  let hasRead = false
  let hasSnapshot = false
  let outageStartAtMs: number | undefined
  let recoveredAtMs: number | undefined
  let freshAtMs = -Infinity
  /** Time of the store's last page, by the store's clock in milliseconds. */
  let completeAtMs = -Infinity
  let outage: Routing.Versions.Outage | undefined
  let stopped = false
  let latestPeerRevision = 0
  /** The newest revision that another process is known to hold beyond the rows here, since when, when that was last heard and last logged, in milliseconds; undefined while none is known to. */
  let behind: { readonly sinceMs: number, loggedAtMs: number, heardAtMs: number, revision: number } | undefined
  /** Newest revisions that other processes hold, by name. */
  const heldRevisions = new Map<string, number>()
  let isCatchingUp = false
  /** The read from other processes that is under way: a second one would put the same rows on the link again. */
  let peerRead: Promise<void> | undefined
  /** Revision up to which rows have been read from other processes. */
  let peerReadRevision = 0
  let generation = 0
  let restartedAtMs = -Infinity
  /** Number of times that the history was lost since changes were last read. */
  let historyLossCount = 0

  /** Whether this process has the rows up to a revision. A page of the store covers removals that left no row. */
  const covers = (revision: number): boolean => Math.max(mirror.rowRevision(), mirror.revision()) >= revision
  const completeness = (): Routing.Versions.ReadProgress => ({ completeAtMs, outage })
  const deliver = (rows: readonly Rows.Row[], fromStore: boolean, context: Pick<RowsContext, 'madeAtMs' | 'before'>): void => {
    const isFirst = !hasRead
    hasRead = true
    if (behind !== undefined && covers(behind.revision)) behind = undefined
    if (rows.length > 0 || isFirst) options.onRows(rows, { fromStore, isFirst, ...context })
  }
  /** Records the store's time and revision as of a page, and how far this process has read. */
  const recordPage = ({ madeAtMs, revision }: Rows.Page): Pick<RowsContext, 'madeAtMs' | 'before'> => {
    const before = completeness()
    outage = undefined
    if (madeAtMs === undefined) return { madeAtMs, before }
    storeClock.observeAnswer(madeAtMs)
    options.readings.record({ revision, atMs: madeAtMs })
    completeAtMs = Math.max(completeAtMs, madeAtMs)
    return { madeAtMs, before }
  }
  const recordAnswer = (): void => {
    freshAtMs = clock()
    if (outageStartAtMs === undefined) return
    recoveredAtMs = clock()
    log('store', 'Store regained.', { table, lostForMs: Math.round(recoveredAtMs - outageStartAtMs), ...Positions.logFields(mirror.revision()) })
    outageStartAtMs = undefined
  }
  const recordLoss = (reason: string): void => {
    if (outageStartAtMs !== undefined) return
    outageStartAtMs = clock()
    log('store', 'Store lost.', { table, reason, ...Positions.logFields(mirror.revision()) })
  }
  const recordRefusal = (): void => {
    if (completeAtMs === -Infinity) return
    const nowMs = storeClock.now()
    outage = { fromMs: outage?.fromMs ?? nowMs, toMs: nowMs }
  }
  /** Takes a page; if the store has come back from an older copy, only what differs from the rows in force is delivered, and doubtful rows later. */
  const takePage = (page: Rows.Page, apply: (page: Rows.Page) => Rows.Row[], fromStore: boolean, context: Pick<RowsContext, 'madeAtMs' | 'before'>): Rows.Row[] => {
    const isSnapshot = fromStore && !hasSnapshot
    const pageEra = Positions.eraOf(page.revision)
    // Rows of another process may already be of the new era, but only a snapshot shows what the store lacks.
    const eraBefore = isSnapshot ? snapshotEra : era
    era = Math.max(era ?? 0, pageEra)
    if (isSnapshot) snapshotEra = Math.max(snapshotEra ?? 0, pageEra)
    if (eraBefore === undefined || pageEra <= eraBefore) {
      const rows = apply(page)
      settler.recordChanges(rows)
      deliver(rows, fromStore, context)
      return rows
    }
    const before = new Map(mirror.all())
    const rows = apply(page)
    const { immediate, deferred } = settler.settle(before, mirror.all())
    recoveredAtMs = clock()
    log('store', 'Store restored from an older copy.', { table, ...Positions.logFields(page.revision), eraBefore, changedCount: immediate.length, deferredCount: deferred.length })
    options.metrics?.count('store_restores_total', { table })
    options.onRestored?.()
    deliver(immediate, fromStore, context)
    if (deferred.length > 0) setTimeout(() => { if (!stopped) deliver(settler.release(deferred, mirror.all()), fromStore, context) }, Restores.RESTORE_GRACE_MS)
    return rows
  }
  const readFromPeer = async (): Promise<void> => {
    peerRead ??= takeFromPeer().finally(() => { peerRead = undefined })
    await peerRead
  }
  const takeFromPeer = async (): Promise<void> => {
    const holders = new Set([...heldRevisions].filter(([, revision]) => !covers(revision)).map(([name]) => name))
    const page = await options.askPeer(table, Math.max(mirror.revision(), peerReadRevision), holders)
    if (page === undefined) return
    peerReadRevision = Math.max(peerReadRevision, page.revision)
    // The other process may not know all removals, so the next read of the store still starts at the revision of the store's last answer.
    const rows = takePage(page, ({ rows }) => mirror.apply({ rows, revision: 0 }), false, { madeAtMs: undefined, before: completeness() })
    if (rows.length === 0) return
    freshAtMs = clock()
    log('store', 'Rows taken from another process.', { table, rowCount: rows.length, ...Positions.logFields(page.revision) })
  }
  const readWaitMs = (): number => {
    const waitMs = Math.round(options.waitMs() * (MIN_WAIT_RATIO + options.random.next()))
    return outageStartAtMs === undefined ? waitMs : Math.min(waitMs, OUTAGE_WAIT_MS)
  }
  const readOnce = async (): Promise<void> => {
    const generationAtStart = generation
    const answer = hasSnapshot ? await store.readSince(table, mirror.revision(), readWaitMs()) : await store.readAll(table)
    if (generationAtStart !== generation) return
    if (answer.isOk()) {
      recordAnswer()
      const context = recordPage(answer.value)
      if (hasSnapshot) historyLossCount = 0
      takePage(answer.value, hasSnapshot ? mirror.apply : mirror.applySnapshot, true, context)
      hasSnapshot = true
      if (options.batchDelayMs !== undefined) await sleep(options.batchDelayMs())
      return
    }
    if (answer.error.kind === 'historyGone') {
      log('store', 'History gone; the table is read whole.', { table, ...Positions.logFields(mirror.revision()) })
      hasSnapshot = false
      await sleep(options.random.next() * Math.min(WHOLE_READ_DELAY_LIMIT_MS, WHOLE_READ_DELAY_MS * 2 ** historyLossCount++))
      return
    }
    // A single read may time out without an outage; a second one over a new connection shows an outage. A store that limits the rate of reads is not out.
    if (answer.error.kind === 'unavailable' || (answer.error.kind === 'silent' && outageStartAtMs !== undefined)) recordRefusal()
    recordLoss(answer.error.reason)
    await Promise.race([readFromPeer(), sleep(PEER_READ_PATIENCE_MS)])
    await sleep(RETRY_DELAY_MS * (0.5 + options.random.next()))
  }
  const run = async (ownGeneration: number): Promise<void> => {
    const isCurrent = (): boolean => !stopped && ownGeneration === generation
    while (isCurrent()) {
      await readOnce().catch((error: Error) => {
        log('store', 'Rows could not be taken.', { table, reason: error.message })
        return sleep(RETRY_DELAY_MS)
      })
    }
  }
  /** Tracks for how long another process has been known to hold newer rows. */
  const trackBehind = (revision: number): void => {
    const nowMs = clock()
    behind ??= { sinceMs: nowMs, loggedAtMs: nowMs, heardAtMs: nowMs, revision }
    behind.heardAtMs = nowMs
    behind.revision = Math.max(behind.revision, revision)
    if (nowMs - behind.loggedAtMs < BEHIND_LOG_INTERVAL_MS) return
    behind.loggedAtMs = nowMs
    log('store', 'Still behind other processes.', { table, ...Positions.logFields(mirror.rowRevision()), heardRevision: Positions.revisionOf(revision), behindForMs: Math.round(nowMs - behind.sinceMs) })
  }
  /** Restarts the read of the store if it has not delivered a revision, as it may hang. */
  const restartRead = (revision: number): void => {
    if (stopped || covers(revision)) return
    if (!hasRead) {
      // The first read brings the newest rows; another one beside it would only slow it down.
      setTimeout(() => { restartRead(revision) }, CATCH_UP_DELAY_MS)
      return
    }
    const nowMs = clock()
    if (outageStartAtMs !== undefined || nowMs - restartedAtMs < RESTART_INTERVAL_MS) return
    restartedAtMs = nowMs
    log('store', 'Read restarted behind another process.', { table, ...Positions.logFields(mirror.rowRevision()), heardRevision: Positions.revisionOf(revision) })
    generation++
    void run(generation)
  }
  /** Reads newer rows from other processes. */
  const catchUp = async (): Promise<void> => {
    await sleep(CATCH_UP_DELAY_MS)
    if (stopped || !hasRead || covers(latestPeerRevision)) return
    await readFromPeer()
  }
  void run(generation)
  return {
    mirror,
    isKnown: () => hasRead,
    recoveredAtMs: () => recoveredAtMs,
    freshAtMs: () => freshAtMs,
    isBehind: () => behind !== undefined && !covers(behind.revision) && clock() - behind.heardAtMs < BEHIND_LIFETIME_MS,
    completeness,
    isStoreReachable: () => outageStartAtMs === undefined,
    handlePeerRevision: (revision, holder) => {
      if (stopped || covers(revision)) return
      trackBehind(revision)
      if (holder !== undefined && (heldRevisions.has(holder) || heldRevisions.size < HOLDER_LIMIT_COUNT)) heldRevisions.set(holder, revision)
      if (revision > latestPeerRevision) {
        latestPeerRevision = revision
        setTimeout(() => { restartRead(revision) }, CATCH_UP_DELAY_MS)
      }
      if (isCatchingUp) return
      isCatchingUp = true
      void catchUp()
        .catch((error: Error) => { log('store', 'Rows could not be taken.', { table, reason: error.message }) })
        .finally(() => { isCatchingUp = false })
    },
    stop: () => { stopped = true }
  }
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
