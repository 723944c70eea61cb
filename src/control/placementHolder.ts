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
  /** Called with each plan that was committed here, and with each document in the store that is newer than the one held. */
  readonly onDocument: (document: Schemas.Control.Document) => void
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
/** The kinds of documents from which a plan is computed. */
const PLANNED_FROM: readonly Schemas.Control.DocumentKind[] = ['manifest', 'placement']

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
    const heldVersions = options.held.versions()
    const manifestVersion = heldVersions.manifest
    const assignments = Placement.placeReplicas({ manifest, instances: options.instances(), previous })
    if (previous !== undefined && previous.manifestVersion === manifestVersion && Placement.areAssignmentsEqual(previous.assignments, assignments)) return
    const body: Schemas.Control.PlacementPlan = { fencingNumber: grant.fencingNumber, manifestVersion, assignments }
    // A plan from still newer documents takes another holder, and the commit is conditional on the lease.
    const stored = await Commits.readVersions(options.tables)
    if (stored.isErr()) { options.log('Plan refused.', { code: 'storeUnavailable', reason: stored.error }); return }
    const newerKinds = PLANNED_FROM.filter(kind => stored.value[kind] > heldVersions[kind])
    if (newerKinds.length > 0) {
      options.log('Plan put off.', { heldVersions, versions: stored.value, reason: 'the store holds newer documents than the plan was computed from' })
      await adoptDocuments(newerKinds)
      return
    }
    const committed = await Commits.commit(options.tables, {
      kind: 'placement',
      change: () => body,
      nonce: Crypto.randomUUID(),
      conditions: [{ table: Lease.LEASE_TABLE, key: PLACEMENT_LEASE, revision: grant.revision }]
    })
    if (committed.isErr()) { options.log('Plan refused.', { code: committed.error.code, reason: committed.error.message }); return }
    options.log('Plan committed.', { version: committed.value.version, manifestVersion, assignmentCount: assignments.length, fencingNumber: grant.fencingNumber })
    options.onDocument(committed.value)
  }
  const adoptDocuments = async (kinds: readonly Schemas.Control.DocumentKind[]): Promise<void> => {
    const documents = await Commits.readDocuments(options.tables, kinds)
    if (documents.isOk()) documents.value.forEach(options.onDocument)
  }
  return {
    poll: async () => {
      await lease.poll()
      await updatePlan()
    },
    close: async () => { await lease.release() }
  }
}
