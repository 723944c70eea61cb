/**
 * Writes claims to the table service, many in one transaction.
 *
 * A transaction without an answer is settled by reading back the nonces of its claims. A claim that
 * is not found is written again with the same nonce and the same condition: whichever of the two
 * writes takes effect, the other one cannot.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'
import * as ClaimJobs from './claimJobs.ts'
import * as ClaimRecords from './claimRecords.ts'
import type * as Messages from './messages.ts'

/** The table that holds claims. */
export const CLAIM_TABLE = 'claims'
/** Batches writes of claims. */
export interface ClaimWriter {
  write: (write: Messages.ClaimWrite) => void
  /** Gives up a call's claim; what has taken effect, or still may, is released. */
  abandon: (callId: string) => void
  /** Waits until everything is written, at most for a time. */
  flush: (limitMs: number) => Promise<void>
  pendingCount: () => number
}

/** Settings of a writer. */
export interface WriterOptions {
  readonly tables: Platform.TableClient.TableClient
  readonly onResult: (claimKey: string, callId: string, result: Messages.ClaimResult) => void
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  readonly wait: (delayMs: number) => Promise<void>
  readonly random: Core.Random.Random
  readonly makeId: () => string
  /** How long claims are gathered for one transaction, in milliseconds. */
  readonly gatherMs: number
  /** How long saves and releases wait for a transaction of claims, in milliseconds. */
  readonly saveGatherMs: number
  /** Returns the shortest time between transactions in milliseconds. */
  readonly intervalMs: () => number
}

/** The most claims that wait; further ones are refused at once. */
const MAX_CLAIM_COUNT = 4_096
/** The most bytes of saved answers that wait; the oldest saves are dropped beyond it. */
const MAX_SAVE_BYTES = 8 * 1024 * 1024
/** The most saves and releases that wait. */
const MAX_SAVE_COUNT = 20_000
/** A second transaction starts beside one that has had no answer for so long, in milliseconds. */
const SECOND_LANE_AFTER_MS = 250
const MAX_LANE_COUNT = 2
const FIRST_BACK_OFF_MS = 50
const MAX_BACK_OFF_MS = 1_000
const IDLE_STEP_MS = 5
const decodeRecord = Schemas.Decode.lenient(Schemas.Calls.ClaimRecord)

/**
 * Creates a writer of claims.
 *
 * @param options - Client and batching.
 * @returns The writer.
 */
export function createClaimWriter (options: WriterOptions): ClaimWriter {
  const jobs = new Set<ClaimJobs.Job>()
  let saveBytes = 0
  let saveCount = 0
  let laneCount = 0
  let laneStartedMs = 0
  let nextStartMs = 0
  let failureCount = 0
  let watching = false

  const add = (job: ClaimJobs.Job): void => {
    jobs.add(job)
    if (job.write.kind === 'claim') return
    saveBytes += job.sizeBytes
    saveCount++
  }
  const remove = (job: ClaimJobs.Job): void => {
    if (!jobs.delete(job) || job.write.kind === 'claim') return
    saveBytes -= job.sizeBytes
    saveCount--
  }
  const answer = (job: ClaimJobs.Job, result: Messages.ClaimResult): void => {
    remove(job)
    if (job.write.kind === 'claim' && !job.abandoned) options.onResult(job.write.claimKey, job.write.callId, result)
  }
  const giveUpOldest = (): void => {
    for (const job of jobs) {
      if (saveBytes <= MAX_SAVE_BYTES && saveCount <= MAX_SAVE_COUNT) return
      if (job.write.kind !== 'claim' && !job.busy) remove(job)
    }
  }

  const committed = (job: ClaimJobs.Job, revision: number): void => {
    const { record } = job
    if (job.abandoned && record.state === 'claimed') {
      job.revision = revision
      toRelease(job)
    } else {
      answer(job, { kind: 'granted', revision, record })
    }
  }
  const toRelease = (job: ClaimJobs.Job): void => { job.record = ClaimRecords.releasedOf(job.record, options.makeId()) }

  /** Settles a job whose row has another revision than its condition. */
  const conflicted = (job: ClaimJobs.Job, row: Schemas.Platform.Row): void => {
    if (row.revision === 0) {
      if (job.write.kind === 'claim') job.revision = 0
      else remove(job)
      return
    }
    const record = decodeRecord(row.value)
    if (record.isErr()) { answer(job, { kind: 'unavailable' }); return }
    if (record.value.nonce === job.record.nonce) { committed(job, row.revision); return }
    const ownClaim = job.sentNonces.has(record.value.nonce)
    const betterKnown = job.record.state === 'done' && record.value.state === 'unknown' && record.value.attemptId === job.record.attemptId
    if (ownClaim || betterKnown) { job.revision = row.revision; return }
    answer(job, { kind: 'held', revision: row.revision, record: record.value })
  }
  const readBack = async (batch: readonly ClaimJobs.Job[]): Promise<boolean> => {
    const rows = await options.tables.read(batch.map(job => ({ table: CLAIM_TABLE, key: job.write.claimKey })))
    if (rows.isErr()) return false
    const found = new Map(rows.value.map(row => [row.key, row]))
    for (const job of batch) {
      job.uncertain = false
      const row = found.get(job.write.claimKey)
      if (row !== undefined && row.revision !== job.revision) conflicted(job, row)
    }
    return true
  }
  const transact = async (batch: readonly ClaimJobs.Job[]): Promise<boolean> => {
    for (const job of batch) {
      if (job.abandoned && job.record.state === 'claimed') toRelease(job)
      job.sentNonces.add(job.record.nonce)
    }
    const result = await options.tables.transact({
      conditions: batch.map(job => ({ table: CLAIM_TABLE, key: job.write.claimKey, revision: job.revision })),
      writes: [...batch.map(job => ({ table: CLAIM_TABLE, key: job.write.claimKey, value: job.record })), ...ClaimJobs.expiryOf(batch, options.makeId)]
    })
    if (result.isErr()) {
      for (const job of batch) job.uncertain = result.error.maybeApplied
      return false
    }
    const conflicts = new Map(result.value.conflicts.filter(row => row.table === CLAIM_TABLE).map(row => [row.key, row]))
    for (const job of batch) {
      const row = conflicts.get(job.write.claimKey)
      if (result.value.committed) committed(job, result.value.revision)
      else if (row !== undefined) conflicted(job, row)
    }
    return true
  }

  const runLane = async (): Promise<void> => {
    const doubtful = ClaimJobs.pick(jobs, true)
    const batch = doubtful.length > 0 ? doubtful : ClaimJobs.pick(jobs, false)
    if (batch.length === 0) return
    laneCount++
    laneStartedMs = options.clock()
    nextStartMs = laneStartedMs + Core.Random.jitter(options.random, options.intervalMs())
    for (const job of batch) job.busy = true
    const answered = doubtful.length > 0 ? await readBack(batch) : await transact(batch)
    for (const job of batch) job.busy = false
    failureCount = answered ? 0 : failureCount + 1
    if (!answered) nextStartMs = Math.max(nextStartMs, options.clock() + Core.Random.jitter(options.random, Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** Math.min(10, failureCount - 1))))
    laneCount--
  }
  const isDue = (): boolean => {
    const nowMs = options.clock()
    if (nowMs < nextStartMs) return false
    if (laneCount > 0 && (laneCount >= MAX_LANE_COUNT || nowMs - laneStartedMs < SECOND_LANE_AFTER_MS)) return false
    for (const job of jobs) {
      if (job.busy) continue
      const gatherMs = job.write.kind === 'claim' ? options.gatherMs : options.saveGatherMs
      if (job.sentNonces.size > 0 || nowMs - job.queuedAtMs >= gatherMs) return true
    }
    return false
  }
  const watch = async (): Promise<void> => {
    watching = true
    await options.wait(options.gatherMs)
    while (jobs.size > 0) {
      if (isDue()) void runLane()
      await options.wait(Math.min(IDLE_STEP_MS, Math.max(1, nextStartMs - options.clock())))
    }
    watching = false
  }
  const enqueue = (write: Messages.ClaimWrite): void => {
    add(ClaimJobs.createJob(write, options.clock()))
    giveUpOldest()
    if (!watching) void watch()
  }
  return {
    write: write => {
      const full = write.kind === 'claim' && jobs.size - saveCount >= MAX_CLAIM_COUNT
      if (full) options.onResult(write.claimKey, write.callId, { kind: 'unavailable' })
      else enqueue(write)
    },
    abandon: callId => {
      for (const job of jobs) {
        if (job.write.kind !== 'claim' || job.write.callId !== callId) continue
        job.abandoned = true
        if (job.sentNonces.size === 0 && !job.write.reclaims) remove(job)
      }
    },
    flush: async limitMs => {
      const untilMs = options.clock() + limitMs
      while (jobs.size > 0 && options.clock() < untilMs) await options.wait(IDLE_STEP_MS)
    },
    pendingCount: () => jobs.size
  }
}
