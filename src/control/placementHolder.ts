/**
 * Updates the placement plan while holding the placement lease.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Commits from './commits.ts'
import type * as Documents from './documents.ts'
import * as Lease from './lease.ts'
import * as Placement from './placement.ts'

/** Settings of a holder. */
export interface HolderOptions {
  readonly tables: Platform.TableClient.TableClient
  readonly instanceId: string
  readonly leaseDurationMs: number
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  readonly held: Documents.HeldDocuments
  readonly instances: () => readonly Schemas.Platform.Instance[]
  /** Called with each plan that was committed here. */
  readonly onPlan: (document: Schemas.Control.Document) => void
  readonly log: (sentence: string, fields: object) => void
}

/** Contends for the placement lease and keeps the plan up to date while holding it. */
export interface Holder {
  /** Polls the lease and, if it is held, commits a new plan when the assignments have changed. */
  poll: () => Promise<void>
  /** Releases the lease. */
  close: () => Promise<void>
}

/** The name of the lease under which plans are committed. */
export const PLACEMENT_LEASE = 'placement'

/**
 * Creates a holder.
 *
 * @param options - Settings of the holder.
 * @returns The holder, to be polled several times per lease duration.
 */
export function createHolder (options: HolderOptions): Holder {
  const lease = Lease.createLease({
    tables: options.tables,
    name: PLACEMENT_LEASE,
    holder: options.instanceId,
    durationMs: options.leaseDurationMs,
    clock: options.clock,
    makeNonce: Crypto.randomUUID
  })
  const updatePlan = async (): Promise<void> => {
    const grant = lease.current()
    const manifest = options.held.manifest()
    if (grant === undefined || manifest === undefined) return
    const previous = options.held.placement()
    const manifestVersion = options.held.versions().manifest
    const assignments = Placement.placeReplicas({ manifest, instances: options.instances(), previous })
    if (previous !== undefined && previous.manifestVersion === manifestVersion && Placement.areAssignmentsEqual(previous.assignments, assignments)) return
    const body: Schemas.Control.PlacementPlan = { fencingNumber: grant.fencingNumber, manifestVersion, assignments }
    const committed = await Commits.commit(options.tables, {
      kind: 'placement',
      change: () => body,
      nonce: Crypto.randomUUID(),
      conditions: [{ table: Lease.LEASE_TABLE, key: PLACEMENT_LEASE, revision: grant.revision }]
    })
    if (committed.isErr()) { options.log('Plan refused.', { code: committed.error.code, reason: committed.error.message }); return }
    options.log('Plan committed.', { version: committed.value.version, manifestVersion, assignmentCount: assignments.length, fencingNumber: grant.fencingNumber })
    options.onPlan(committed.value)
  }
  return {
    poll: async () => {
      await lease.poll()
      await updatePlan()
    },
    close: async () => { await lease.release() }
  }
}
