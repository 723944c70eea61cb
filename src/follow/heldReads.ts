/**
 * Reads that the store holds until a row changes, secured against connections that have gone silent.
 *
 * A held read on a silent connection looks like one without a change until its wait is over, which may take
 * longer than operators' changes may. All connections to the store often go silent together, so the
 * first read that gets no answer in time shows it for the others: they are sent again on new connections.
 *
 * Answers a load of few, long reads on connections that are cut without a reset.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import type * as Core from '../core/index.ts'
import type * as Metrics from '../edge/metrics.ts'
import type * as Rows from './rows.ts'

/** Dependencies of `secureHeldReads`. */
export interface HeldReadsOptions {
  readonly metrics: Pick<Metrics.Metrics, 'count'>
  readonly log: Core.Loop.Tick<never, never>['log']
}

type Answer = Neverthrow.Result<Rows.Page, Rows.ReadFailure>

/** A read that the store holds. */
interface HeldRead {
  /** Sends the read again beside the first time, at most once. */
  repeat: () => void
}

/**
 * Wraps a store so that its held reads are repeated as soon as another read shows that connections are silent.
 *
 * @param store - The store; a read that it does not answer in time fails as `silent`, and later ones use new connections.
 * @param options - Metrics and log. Each repeat counts in `held_reads_repeated_total`.
 * @returns The store. The first answer of a read that was sent twice counts; it fails once both have failed.
 */
export function secureHeldReads (store: Rows.RowSource, { metrics, log }: HeldReadsOptions): Rows.RowSource {
  const heldReads = new Set<HeldRead>()
  const repeatAll = (silentTable: string): void => {
    if (heldReads.size === 0) return
    log('store', 'Held reads repeated.', { table: silentTable, heldCount: heldReads.size })
    for (const read of [...heldReads]) read.repeat()
  }
  const isSilent = (answer: Answer): boolean => answer.isErr() && answer.error.kind === 'silent'
  return {
    ...store,
    readAll: async (table, onArriving) => {
      const answer = await store.readAll(table, onArriving)
      if (isSilent(answer)) repeatAll(table)
      return answer
    },
    readSince: async (table, revision, waitMs, onArriving) => {
      const send = async (): Promise<Answer> => await store.readSince(table, revision, waitMs, onArriving)
      return await new Promise((resolve, reject) => {
        let pendingCount = 0
        const settle = (answer: Answer): void => {
          pendingCount--
          // A repeat shows nothing new about the connections of other reads.
          const isFirstSign = isSilent(answer) && heldReads.delete(read)
          if (answer.isErr() && answer.error.kind !== 'historyGone' && pendingCount > 0) return
          heldReads.delete(read)
          resolve(answer)
          if (isFirstSign) repeatAll(table)
        }
        const start = (): void => {
          pendingCount++
          send().then(settle, error => {
            heldReads.delete(read)
            reject(error)
          })
        }
        const read: HeldRead = {
          repeat: () => {
            heldReads.delete(read)
            metrics.count('held_reads_repeated_total', { table })
            start()
          }
        }
        heldReads.add(read)
        start()
      })
    }
  }
}
