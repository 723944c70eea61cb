/**
 * The entry of a process in the store's list of the system's processes.
 *
 * The store may carry out a write or removal seconds after the request timed out, when the process has
 * already restarted. So each request names the expected revision of the row: a late one finds another
 * revision and has no effect. After an unanswered write, a row with this process's incarnation shows that
 * the write succeeded.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import * as Members from './members.ts'
import type * as Rows from './rows.ts'

/** Options of `createEntry`. */
export interface EntryOptions {
  readonly member: Members.Member
  readonly store: Pick<Rows.RowSource, 'write' | 'remove'>
  readonly random: Core.Random.Random
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** The entry of a process. */
export interface Entry {
  /** Writes the entry again if the restored store lacks it; `row` is its state there, undefined if there is none. */
  restore: (row: Rows.Row | undefined) => Promise<void>
  /** Removes the entry and stops writing it. */
  remove: () => Promise<void>
  /** Stops writing the entry and leaves it as it is. */
  leave: () => void
}

/** Mean delay before a failed write of the entry is retried, in milliseconds. */
const RETRY_DELAY_MS = 500
/** Maximum delay before an entry that a restored store lacks is written again, in milliseconds: spreads the processes. */
const RESTORE_DELAY_MS = 500
/** Maximum number of attempts to remove the entry, each with the revision that the store returned for the previous one: a write may return a later revision than that of the row. */
const REMOVE_ATTEMPT_LIMIT_COUNT = 3

/**
 * Writes the entry of a process, and retries until the store accepts it.
 *
 * @param options - The entry and the store.
 * @returns The entry; it is written in the background.
 */
export function createEntry (options: EntryOptions): Entry {
  const { member, store, random, log } = options
  const { name } = member
  /** The last known revision of the row; 0 while it is not known to exist. */
  let revision = 0
  let isEnding = false
  let writing = false

  const write = async (): Promise<void> => {
    if (writing) return
    writing = true
    try {
      await writeUntilAccepted()
    } finally {
      writing = false
    }
  }
  const writeUntilAccepted = async (): Promise<void> => {
    const isActive = (): boolean => !isEnding
    while (isActive()) {
      const written = await store.write(Members.MEMBERS_TABLE, name, member, revision)
      if (written.isOk()) {
        revision = written.value
        return
      }
      const revisionBefore = revision
      const failure = written.error
      if (failure.kind === 'changed') revision = failure.row?.revision ?? 0
      if (isFromThisStart(failure, member)) return
      if (revision !== revisionBefore) continue
      log('store', 'Entry not written.', { name, reason: reasonOf(failure) })
      await sleep(RETRY_DELAY_MS * (0.5 + random.next()))
    }
  }
  void write()
  return {
    restore: async row => {
      if (row !== undefined && isEntryOf(row, member)) return
      log('store', 'Entry lost by the store.', { name })
      await sleep(RESTORE_DELAY_MS * random.next())
      revision = row === undefined || row.deleted ? 0 : row.revision
      await write()
    },
    leave: () => { isEnding = true },
    remove: async () => {
      isEnding = true
      for (let count = 0; count < REMOVE_ATTEMPT_LIMIT_COUNT; count++) {
        const removed = await store.remove(Members.MEMBERS_TABLE, name, revision)
        if (removed.isOk()) return
        const failure = removed.error
        if (failure.kind === 'changed' && !isFromThisStart(failure, member)) return
        if (failure.kind !== 'changed') {
          log('store', 'Entry not removed.', { name, reason: reasonOf(failure) })
          return
        }
        revision = failure.row?.revision ?? 0
      }
    }
  }
}

/** Whether the existing row was written by this start of the process. */
function isFromThisStart (failure: Rows.WriteFailure, member: Members.Member): boolean {
  return failure.kind === 'changed' && failure.row !== undefined && isEntryOf(failure.row, member)
}

/** Whether a row is the entry of this start of the process. */
function isEntryOf (row: Rows.Row, member: Members.Member): boolean {
  return Members.membersOf([row])[0]?.incarnation === member.incarnation
}

function reasonOf (failure: Rows.WriteFailure): string {
  return 'reason' in failure ? failure.reason : failure.kind
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
