/**
 * Deletes claims that have expired, a bounded number in each round.
 *
 * @packageDocumentation
 */
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'
import * as ClaimJobs from './claimJobs.ts'
import * as ClaimWriter from './claimWriter.ts'

/** Settings of a cleaner. */
export interface CleanerOptions {
  readonly tables: Platform.TableClient.TableClient
  /** Returns wall-clock time in milliseconds since 1970. */
  readonly wallClock: () => number
}

/** How far clocks may differ, in milliseconds. */
const CLOCK_MARGIN_MS = 3_600_000
/** The most transactions of one round. */
const MAX_TRANSACTION_COUNT = 8
const decodeRecord = Schemas.Decode.lenient(Schemas.Calls.ClaimRecord)

/**
 * Runs one round: reads the oldest entries of the expiry table and deletes the claims that they name.
 *
 * @param options - Client and clock.
 * @returns How many claims were deleted.
 */
export async function clean (options: CleanerOptions): Promise<number> {
  const nowMs = options.wallClock() - CLOCK_MARGIN_MS
  const entries = await options.tables.scan(ClaimJobs.EXPIRY_TABLE, '', MAX_TRANSACTION_COUNT)
  if (entries.isErr()) return 0
  let deletedCount = 0
  for (const entry of entries.value) {
    if (entry.key.slice(0, entry.key.indexOf('/')) >= ClaimJobs.bucketOf(nowMs)) break
    deletedCount += await deleteClaims(options, entry, nowMs)
  }
  return deletedCount
}

async function deleteClaims (options: CleanerOptions, entry: Schemas.Platform.Row, nowMs: number): Promise<number> {
  const { claimKeys } = entry.value as { readonly claimKeys: readonly string[] }
  const rows = await options.tables.read(claimKeys.map(key => ({ table: ClaimWriter.CLAIM_TABLE, key })))
  if (rows.isErr()) return 0
  const expired = rows.value.filter(row => isExpired(row, nowMs))
  const answer = await options.tables.transact({
    conditions: [{ table: entry.table, key: entry.key, revision: entry.revision }, ...expired.map(({ table, key, revision }) => ({ table, key, revision }))],
    writes: [{ table: entry.table, key: entry.key, value: null }, ...expired.map(({ table, key }) => ({ table, key, value: null }))]
  })
  return answer.isOk() && answer.value.committed ? expired.length : 0
}

/** A claim that was taken again is named by a later entry. */
function isExpired (row: Schemas.Platform.Row, nowMs: number): boolean {
  const record = decodeRecord(row.value)
  return record.isOk() && record.value.expiresAtMs < nowMs
}
