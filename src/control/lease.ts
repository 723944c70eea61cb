/**
 * Leases in the table service, with fencing numbers and no shared clock.
 *
 * A contender takes over a lease only after it has itself seen the row unchanged for the lease's
 * whole duration, so the clocks of different processes are never compared.
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
  /** The revision of the lease's row; every write under the lease is conditional on it. */
  readonly revision: number
  /** Monotonic time in milliseconds after which the holder must not act. */
  readonly validUntilMs: number
}

/** A participant that holds or contends for one lease. */
export interface Lease {
  /** Renews the lease if it is held; otherwise reads its row, and acquires it if it is free or has expired. */
  poll: () => Promise<void>
  /** Returns the grant if the lease is held and still valid by the holder's own clock. */
  current: () => Grant | undefined
  /** Gives up the lease, so that another contender need not wait for its whole duration. */
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
  /** Returns a nonce that no other write has. */
  readonly makeNonce: () => string
}

/** A lease's row in the table service. */
interface StoredLease {
  readonly revision: number
  readonly record: Schemas.Control.LeaseRecord
}

const decode = Schemas.Decode.lenient(Schemas.Control.LeaseRecord)

/**
 * Creates a contender for a lease.
 *
 * @param options - The lease and its holder.
 * @returns The contender, to be polled several times per lease duration.
 */
export function createLease (options: LeaseOptions): Lease {
  let grant: Grant | undefined
  let observed: { revision: number, sinceMs: number } | undefined
  let lastWrite: { nonce: string, startedMs: number } | undefined

  const current = (): Grant | undefined => grant !== undefined && options.clock() < grant.validUntilMs ? grant : undefined

  const writeLease = async (revision: number, fencingNumber: number): Promise<void> => {
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
    const stored = await readLease()
    if (stored !== undefined) recoverGrant(stored)
  }
  /** Restores the grant if the stored lease is this contender's last write, whose answer was lost. Returns whether it is. */
  const recoverGrant = (stored: StoredLease): boolean => {
    if (lastWrite === undefined || stored.record.nonce !== lastWrite.nonce) return false
    grant = { fencingNumber: stored.record.fencingNumber, revision: stored.revision, validUntilMs: lastWrite.startedMs + options.durationMs }
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
    if (row === undefined) { await writeLease(0, 1); return }
    const record = decode(row.value)
    if (record.isErr()) return
    if (recoverGrant({ revision: row.revision, record: record.value }) && current() !== undefined) return
    if (observed?.revision !== row.revision) { observed = { revision: row.revision, sinceMs: options.clock() }; return }
    if (options.clock() - observed.sinceMs >= record.value.durationMs) await writeLease(row.revision, record.value.fencingNumber + 1)
  }
  return {
    current,
    poll: async () => {
      const validGrant = current()
      if (validGrant === undefined) await contend()
      else await writeLease(validGrant.revision, validGrant.fencingNumber)
    },
    release: async () => {
      const validGrant = current()
      grant = undefined
      if (validGrant === undefined) return
      await options.tables.transact({
        conditions: [{ table: LEASE_TABLE, key: options.name, revision: validGrant.revision }],
        writes: [{ table: LEASE_TABLE, key: options.name, value: { holder: '', nonce: options.makeNonce(), fencingNumber: validGrant.fencingNumber, durationMs: 1 } }]
      })
    }
  }
}
