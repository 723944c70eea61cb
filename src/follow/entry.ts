/**
 * A process's own entry among those of the system.
 *
 * A write or removal without an answer may be carried out seconds later, when the process has started
 * again. So each is bound to the revision that the row had: one that comes late finds another row and
 * does nothing, and a row that bears the own incarnation settles what an unanswered write has done.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import * as Members from './members.ts'
import type * as Rows from './rows.ts'

/** What an entry needs. */
export interface EntryOptions {
  readonly member: Members.Member
  readonly store: Pick<Rows.RowSource, 'write' | 'remove'>
  readonly random: Core.Random.Random
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** An entry. */
export interface Entry {
  /** Takes the entry out and writes it no more. */
  remove: () => Promise<void>
}

/** Time until an entry that could not be written is tried again, in milliseconds. */
const RETRY_DELAY_MS = 500
/** Tries of a removal, each with the revision that the store told at the one before: the answer to a write may tell a later one than the row's. */
const REMOVE_ATTEMPT_LIMIT_COUNT = 3

/**
 * Writes a process's entry, until the store takes it.
 *
 * @param options - The entry and the store.
 * @returns The entry.
 */
export function createEntry (options: EntryOptions): Entry {
  const { member, store, random, log } = options
  const { name } = member
  /** The revision of the row, as far as the store has told; 0 while it is not known to exist. */
  let revision = 0
  let removing = false

  const write = async (): Promise<void> => {
    const isActive = (): boolean => !removing
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
    remove: async () => {
      removing = true
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

/** Whether the row that stands is of this start of the process. */
function isFromThisStart (failure: Rows.WriteFailure, member: Members.Member): boolean {
  return failure.kind === 'changed' && failure.row !== undefined && Members.membersOf([failure.row])[0]?.incarnation === member.incarnation
}

function reasonOf (failure: Rows.WriteFailure): string {
  return 'reason' in failure ? failure.reason : failure.kind
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
