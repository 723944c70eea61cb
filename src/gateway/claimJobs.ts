/**
 * Jobs of the claim writer, and the choice of those that go into one transaction.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'

/** The table that names the claims of each transaction by the time when they expire. */
export const EXPIRY_TABLE = 'claimExpiry'

/** A write of a claim that is not settled. */
export interface Job {
  readonly write: Messages.ClaimWrite
  record: Schemas.Calls.ClaimRecord
  revision: number
  readonly sizeBytes: number
  readonly queuedAtMs: number
  /** Nonces of this job that may have taken effect. */
  readonly sentNonces: Set<string>
  /** The last transaction with this job had no answer. */
  uncertain: boolean
  abandoned: boolean
  busy: boolean
}

/** The most rows in one transaction. */
const MAX_BATCH_COUNT = 128
/** The most bytes of saved answers in one transaction. */
const MAX_BATCH_BYTES = 256 * 1024
const EXPIRY_BUCKET_MS = 3_600_000
/** The size of a claim without its answer, in bytes. */
const RECORD_BYTES = 500

/**
 * Makes a job of a write.
 *
 * @param write - The write.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The job.
 */
export function createJob (write: Messages.ClaimWrite, nowMs: number): Job {
  const { record, revision } = write
  const answerBytes = record.outcome !== undefined && 'bodyBase64' in record.outcome ? record.outcome.bodyBase64.length : 0
  return { write, record, revision, sizeBytes: RECORD_BYTES + answerBytes, queuedAtMs: nowMs, sentNonces: new Set(), uncertain: false, abandoned: false, busy: false }
}

/**
 * Picks the jobs of the next transaction: claims, then the rest, the oldest first, one for each key
 * that is not busy.
 *
 * @param jobs - All jobs, the oldest first.
 * @param uncertain - Whether to pick those whose last transaction had no answer.
 * @returns The jobs.
 */
export function pick (jobs: ReadonlySet<Job>, uncertain: boolean): Job[] {
  const batch: Job[] = []
  const keys = new Set([...jobs].filter(job => job.busy).map(job => job.write.claimKey))
  let sizeBytes = 0
  for (const job of [...jobs].sort(claimsFirst)) {
    if (batch.length >= MAX_BATCH_COUNT) break
    const { claimKey } = job.write
    const taken = keys.has(claimKey)
    keys.add(claimKey)
    if (taken || job.uncertain !== uncertain) continue
    if (batch.length > 0 && sizeBytes + job.sizeBytes > MAX_BATCH_BYTES) continue
    batch.push(job)
    sizeBytes += job.sizeBytes
  }
  return batch
}
/**
 * Names the bucket of claims that expire at about a time.
 *
 * @param expiresAtMs - Wall-clock time in milliseconds since 1970.
 * @returns The bucket; buckets sort by time.
 */
export function bucketOf (expiresAtMs: number): string {
  return String(Math.ceil(expiresAtMs / EXPIRY_BUCKET_MS)).padStart(8, '0')
}

/**
 * Makes the row that names a transaction's claims, so that they are found again when they expire.
 *
 * @param batch - The jobs of the transaction.
 * @param makeId - Makes unique identifiers.
 * @returns The write; none for a transaction without claims.
 */
export function expiryOf (batch: readonly Job[], makeId: () => string): Schemas.Platform.Write[] {
  const claims = batch.filter(job => job.write.kind === 'claim')
  if (claims.length === 0) return []
  const expiresAtMs = Math.max(...claims.map(job => job.record.expiresAtMs))
  return [{ table: EXPIRY_TABLE, key: `${bucketOf(expiresAtMs)}/${makeId()}`, value: { claimKeys: claims.map(job => job.write.claimKey) } }]
}

/** Callers wait for claims, and nobody waits for saves. */
function claimsFirst (a: Job, b: Job): number {
  return Number(b.write.kind === 'claim') - Number(a.write.kind === 'claim')
}
