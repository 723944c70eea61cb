/**
 * Writes claims to the table service, many in one transaction.
 *
 * @packageDocumentation
 */
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'

/** The table that holds claims. */
export const CLAIM_TABLE = 'claims'

/** Batches writes of claims. */
export interface ClaimWriter {
  write: (write: Messages.ClaimWrite) => void
}

/** Settings of a writer. */
export interface WriterOptions {
  readonly tables: Platform.TableClient.TableClient
  readonly onResult: (callId: string, result: Messages.ClaimResult) => void
  /** How long claims are gathered for one transaction, in milliseconds. */
  readonly gatherMs: number
}

/** The most claims in one transaction. */
const MAX_BATCH_COUNT = 64
const decodeRecord = Schemas.Decode.lenient(Schemas.Calls.ClaimRecord)

/**
 * Creates a writer of claims.
 *
 * @param options - Client and batching.
 * @returns The writer.
 */
export function createClaimWriter (options: WriterOptions): ClaimWriter {
  let queue: Messages.ClaimWrite[] = []
  let timer: NodeJS.Timeout | undefined

  const flush = (): void => {
    timer = undefined
    const seen = new Set<string>()
    const batch: Messages.ClaimWrite[] = []
    const rest: Messages.ClaimWrite[] = []
    for (const write of queue) {
      const fits = batch.length < MAX_BATCH_COUNT && !seen.has(write.claimKey)
      if (fits) { seen.add(write.claimKey); batch.push(write) } else rest.push(write)
    }
    queue = rest
    if (rest.length > 0) schedule()
    void run(batch)
  }
  const schedule = (): void => { timer ??= setTimeout(flush, options.gatherMs) }
  const run = async (batch: readonly Messages.ClaimWrite[]): Promise<void> => {
    if (batch.length === 0) return
    const answer = await options.tables.transact({
      conditions: batch.map(write => ({ table: CLAIM_TABLE, key: write.claimKey, revision: write.revision })),
      writes: batch.map(write => ({ table: CLAIM_TABLE, key: write.claimKey, value: write.record ?? null }))
    })
    if (answer.isErr()) {
      if (answer.error.maybeApplied) await readBack(batch)
      else batch.forEach(write => { answerWith(write, { kind: 'unavailable' }) })
      return
    }
    if (answer.value.committed) {
      batch.forEach(write => { answerWith(write, { kind: 'granted', revision: answer.value.revision }) })
      return
    }
    const conflicts = new Map(answer.value.conflicts.map(row => [row.key, row]))
    const retry: Messages.ClaimWrite[] = []
    for (const write of batch) {
      const row = conflicts.get(write.claimKey)
      if (row === undefined) retry.push(write)
      else answerWith(write, resultOf(row))
    }
    await run(retry)
  }
  const readBack = async (batch: readonly Messages.ClaimWrite[]): Promise<void> => {
    const rows = await options.tables.read(batch.map(write => ({ table: CLAIM_TABLE, key: write.claimKey })))
    for (const write of batch) {
      const row = rows.isOk() ? rows.value.find(found => found.key === write.claimKey) : undefined
      const result = row === undefined ? undefined : resultOf(row)
      const own = result?.kind === 'held' && result.record.nonce === write.record?.nonce
      if (own) answerWith(write, { kind: 'granted', revision: result.revision })
      else answerWith(write, result ?? { kind: 'unavailable' })
    }
  }
  const answerWith = (write: Messages.ClaimWrite, result: Messages.ClaimResult): void => {
    if (write.wanted) options.onResult(write.callId, result)
  }
  return {
    write: write => {
      queue.push(write)
      schedule()
    }
  }
}

function resultOf (row: Schemas.Platform.Row): Messages.ClaimResult {
  const record = decodeRecord(row.value)
  return record.isOk() ? { kind: 'held', revision: row.revision, record: record.value } : { kind: 'unavailable' }
}
