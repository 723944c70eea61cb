/**
 * Follows a table of the platform's store, and other processes while the store does not answer.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Routing from '../routing/index.ts'
import type * as Readings from './readings.ts'
import * as Rows from './rows.ts'
import type * as StoreClock from './storeClock.ts'

/** How rows came. */
export interface RowsContext {
  /** False for rows that another process handed on. */
  readonly fromStore: boolean
  /** Whether the rows are the first ones, so that they may be of any age. */
  readonly isFirst: boolean
  /** When the store made the page that brought them, by its clock in milliseconds; undefined for rows that another process handed on. */
  readonly madeAtMs: number | undefined
  /** As of when all rows before these had been read. */
  readonly before: Routing.Versions.ReadProgress
}

/** What a follower needs. */
export interface FollowerOptions {
  readonly table: string
  readonly store: Rows.RowSource
  /** Asks another process for the rows that changed after a revision. */
  readonly askPeer: (table: string, revision: number) => Promise<Rows.Page | undefined>
  /** For how long the store usually holds a read back when nothing changes, in milliseconds. */
  readonly waitMs: () => number
  /** Time between an answer and the next read, in which changes gather, in milliseconds; 0 without one. */
  readonly batchDelayMs?: number
  readonly clock: () => number
  readonly storeClock: StoreClock.StoreClock
  readonly readings: Readings.Readings
  readonly random: Core.Random.Random
  /** Takes changed rows. */
  readonly onRows: (rows: readonly Rows.Row[], context: RowsContext) => void
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A follower. */
export interface Follower {
  readonly mirror: Rows.Mirror
  /** Whether the table has been read at least once. */
  isKnown: () => boolean
  /** When the store answered again after an outage, in milliseconds; undefined without one. */
  recoveredAtMs: () => number | undefined
  /** When the rows were last known to be the newest, in milliseconds: the last answer of the store or of a process asked in its place; -Infinity before the first. */
  freshAtMs: () => number
  /** As of when the store has told all rows, and whether it has refused this process since. */
  completeness: () => Routing.Versions.ReadProgress
  /** Whether the store answers. */
  isStoreReachable: () => boolean
  /** Told that another process holds a newer revision: reads at once over a new connection if this one stays behind. */
  handlePeerRevision: (revision: number) => void
  stop: () => void
}

/** Time between tries while the store does not answer, in milliseconds: a few tries within each bound of seconds. */
const RETRY_DELAY_MS = 250
/** A process that hears of a newer revision waits so long for its own read to bring it, in milliseconds. */
const CATCH_UP_DELAY_MS = 300
/** A read that may have gone silent is replaced at most so often, in milliseconds. */
const RESTART_INTERVAL_MS = 1_000
/** A wait is drawn between this share of the usual one and as much above it, so that processes that read at the same time do not go on doing so: their pages date one another's rows. */
const MIN_WAIT_RATIO = 0.5

/**
 * Starts following a table.
 *
 * @param options - The table and where it is read.
 * @returns The follower.
 */
export function createFollower (options: FollowerOptions): Follower {
  const { table, store, clock, storeClock, log } = options
  const mirror = Rows.createMirror()
  let hasRead = false
  let hasSnapshot = false
  let outageStartAtMs: number | undefined
  let recoveredAtMs: number | undefined
  let freshAtMs = -Infinity
  /** When the store made its last page, by its own clock. */
  let completeAtMs = -Infinity
  let outage: Routing.Versions.Outage | undefined
  let stopped = false
  let latestPeerRevision = 0
  /** Up to which revision other processes have told rows. */
  let peerReadRevision = 0
  let generation = 0
  let restartedAtMs = -Infinity

  const completeness = (): Routing.Versions.ReadProgress => ({ completeAtMs, outage })
  const deliver = (rows: readonly Rows.Row[], fromStore: boolean, context: Pick<RowsContext, 'madeAtMs' | 'before'>): void => {
    const isFirst = !hasRead
    hasRead = true
    if (rows.length > 0 || isFirst) options.onRows(rows, { fromStore, isFirst, ...context })
  }
  /** Notes what a page shows of the store's clock, of its revisions and of how far this process has read. */
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
    log('store', 'Store regained.', { table, lostForMs: Math.round(recoveredAtMs - outageStartAtMs), revision: mirror.revision() })
    outageStartAtMs = undefined
  }
  const recordLoss = (reason: string): void => {
    if (outageStartAtMs !== undefined) return
    outageStartAtMs = clock()
    log('store', 'Store lost.', { table, reason, revision: mirror.revision() })
  }
  const recordRefusal = (): void => {
    if (completeAtMs === -Infinity) return
    const nowMs = storeClock.now()
    outage = { fromMs: outage?.fromMs ?? nowMs, toMs: nowMs }
  }
  const readFromPeer = async (): Promise<void> => {
    const page = await options.askPeer(table, Math.max(mirror.revision(), peerReadRevision))
    if (page === undefined) return
    peerReadRevision = Math.max(peerReadRevision, page.revision)
    // The other process may lack removals, so the store is still asked for all that came after its own last answer.
    const rows = mirror.apply({ rows: page.rows, revision: 0 })
    if (rows.length > 0) freshAtMs = clock()
    if (rows.length > 0) log('store', 'Rows taken from another process.', { table, rowCount: rows.length, revision: page.revision })
    deliver(rows, false, { madeAtMs: undefined, before: completeness() })
  }
  const readOnce = async (): Promise<void> => {
    const generationAtStart = generation
    const answer = hasSnapshot ? await store.readSince(table, mirror.revision(), Math.round(options.waitMs() * (MIN_WAIT_RATIO + options.random.next()))) : await store.readAll(table)
    if (generationAtStart !== generation) return
    if (answer.isOk()) {
      recordAnswer()
      const context = recordPage(answer.value)
      const rows = hasSnapshot ? mirror.apply(answer.value) : mirror.applySnapshot(answer.value)
      hasSnapshot = true
      deliver(rows, true, context)
      if (options.batchDelayMs !== undefined) await sleep(options.batchDelayMs)
      return
    }
    if (answer.error.kind === 'historyGone') {
      log('store', 'History gone; the table is read whole.', { table, revision: mirror.revision() })
      hasSnapshot = false
      return
    }
    // One read may go silent by itself; a second one over a new connection shows that the store is out. One that is asked too often is not out.
    if (answer.error.kind === 'unavailable' || (answer.error.kind === 'silent' && outageStartAtMs !== undefined)) recordRefusal()
    recordLoss(answer.error.reason)
    await readFromPeer()
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
  /** Takes what another process is ahead by, and reads the store anew, since the read under way may have gone silent. */
  const catchUp = (revision: number): void => {
    if (stopped || mirror.rowRevision() >= revision) return
    void readFromPeer()
    const nowMs = clock()
    if (outageStartAtMs !== undefined || nowMs - restartedAtMs < RESTART_INTERVAL_MS) return
    restartedAtMs = nowMs
    log('store', 'Read restarted behind another process.', { table, revision: mirror.rowRevision(), heardRevision: revision })
    generation++
    void run(generation)
  }
  void run(generation)
  return {
    mirror,
    isKnown: () => hasRead,
    recoveredAtMs: () => recoveredAtMs,
    freshAtMs: () => freshAtMs,
    completeness,
    isStoreReachable: () => outageStartAtMs === undefined,
    handlePeerRevision: revision => {
      if (revision <= Math.max(mirror.rowRevision(), latestPeerRevision) || stopped) return
      latestPeerRevision = revision
      setTimeout(() => { catchUp(revision) }, CATCH_UP_DELAY_MS)
    },
    stop: () => { stopped = true }
  }
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
