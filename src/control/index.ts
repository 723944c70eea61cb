/**
 * The control plane that every process takes part in: documents, leases, placement, membership and gossip.
 *
 * @packageDocumentation
 */
export * as Commits from './commits.ts'
export * as Documents from './documents.ts'
export * as DrainCheck from './drainCheck.ts'
export * as Gossip from './gossip.ts'
export * as Layout from './layout.ts'
export * as Lease from './lease.ts'
export * as ManifestDiff from './manifestDiff.ts'
export * as ManifestFile from './manifestFile.ts'
export * as ManifestRules from './manifestRules.ts'
export * as Messages from './messages.ts'
export * as Node from './node.ts'
export * as Peers from './peers.ts'
export * as Placement from './placement.ts'
export * as PlacementHolder from './placementHolder.ts'
export * as Quarantines from './quarantines.ts'
export * as Systems from './systems/index.ts'
export * as Tables from './tables.ts'
