/**
 * Leases in the table service, with fencing numbers and no shared clock.
 *
 * A contender takes a lease over only after it has itself seen the row unchanged for the lease's
 * whole duration, so that no two clocks are ever compared.
 *
 * @packageDocumentation
 */
import type * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'

/** The table that holds leases. */
export const LEASE_TABLE = 'leases'

/** A lease as its holder sees it. */
export interface Grant {
  readonly fencingNumber: number
  /** The revision of the lease's row: a condition for every write under the lease. */
  readonly revision: number
  /** Monotonic time in milliseconds after which the holder must not act. */
  readonly validUntilMs: number
}

/** Holds or contends for one lease. */
export interface Lease {
  /** Acquires, renews or observes once. */
  poll: () => Promise<void>
  /** The grant while it is valid by the holder's own clock. */
  current: () => Grant | undefined
  release: () => Promise<void>
}

/** Settings of a lease. */
export interface LeaseOptions {
  readonly tables: Platform.TableClient.TableClient
  readonly name: string
  readonly holder: string
  readonly durationMs: number
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Makes a nonce that no other write carries. */
  readonly makeNonce: () => string
}

interface StoredLease {
  readonly revision: number
  readonly record: Schemas.Control.LeaseRecord
}

const decode = Schemas.Decode.lenient(Schemas.Control.LeaseRecord)

/**
 * Creates a contender for a lease.
 *
 * @param options - The lease and its holder.
 * @returns The contender; poll it several times in each duration.
 */
export function createLease (options: LeaseOptions): Lease {
  let grant: Grant | undefined
  let observed: { revision: number, sinceMs: number } | undefined
  let lastWrite: { nonce: string, startedMs: number } | undefined

  const current = (): Grant | undefined => grant !== undefined && options.clock() < grant.validUntilMs ? grant : undefined

  const write = async (revision: number, fencingNumber: number): Promise<void> => {
    const startedMs = options.clock()
    const nonce = options.makeNonce()
    lastWrite = { nonce, startedMs }
    const value: Schemas.Control.LeaseRecord = { holder: options.holder, nonce, fencingNumber, durationMs: options.durationMs }
    const answer = await options.tables.transact({
      conditions: [{ table: LEASE_TABLE, key: options.name, revision }],
      writes: [{ table: LEASE_TABLE, key: options.name, value }]
    })
    if (answer.isErr()) {
      if (answer.error.maybeApplied) await recoverLostWrite()
      return
    }
    grant = answer.value.committed ? { fencingNumber, revision: answer.value.revision, validUntilMs: startedMs + options.durationMs } : undefined
  }
  const recoverLostWrite = async (): Promise<void> => {
    const found = await readLease()
    if (found !== undefined) recoverGrant(found)
  }
  /** Takes up a grant whose answer was lost, unless its time is over. */
  const recoverGrant = (found: StoredLease): boolean => {
    if (lastWrite === undefined || found.record.nonce !== lastWrite.nonce) return false
    grant = { fencingNumber: found.record.fencingNumber, revision: found.revision, validUntilMs: lastWrite.startedMs + options.durationMs }
    return true
  }
  const readLease = async (): Promise<StoredLease | undefined> => {
    const rows = await options.tables.read([{ table: LEASE_TABLE, key: options.name }])
    if (rows.isErr() || rows.value[0] === undefined) return undefined
    const record = decode(rows.value[0].value)
    return record.isOk() ? { revision: rows.value[0].revision, record: record.value } : undefined
  }
  const contend = async (): Promise<void> => {
    const rows = await options.tables.read([{ table: LEASE_TABLE, key: options.name }])
    if (rows.isErr()) return
    const row = rows.value[0]
    if (row === undefined) { await write(0, 1); return }
    const record = decode(row.value)
    if (record.isErr()) return
    if (recoverGrant({ revision: row.revision, record: record.value }) && current() !== undefined) return
    if (observed?.revision !== row.revision) { observed = { revision: row.revision, sinceMs: options.clock() }; return }
    if (options.clock() - observed.sinceMs >= record.value.durationMs) await write(row.revision, record.value.fencingNumber + 1)
  }
  return {
    current,
    poll: async () => {
      const held = current()
      if (held === undefined) await contend()
      else await write(held.revision, held.fencingNumber)
    },
    release: async () => {
      const held = current()
      grant = undefined
      if (held === undefined) return
      await options.tables.transact({
        conditions: [{ table: LEASE_TABLE, key: options.name, revision: held.revision }],
        writes: [{ table: LEASE_TABLE, key: options.name, value: { holder: '', nonce: options.makeNonce(), fencingNumber: held.fencingNumber, durationMs: 1 } }]
      })
    }
  }
}
