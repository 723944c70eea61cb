/**
 * Control documents as a process holds them: versions rise and nothing reverts.
 *
 * @packageDocumentation
 */
import * as Schemas from '../schema/index.ts'

/** The documents that a process holds, by kind. */
export interface HeldDocuments {
  /** Takes a document unless it is older than the one held. */
  adopt: (document: Schemas.Control.Document) => boolean
  manifest: () => Schemas.Manifest.Manifest | undefined
  placement: () => Schemas.Control.PlacementPlan | undefined
  drains: () => Schemas.Control.Drains
  quarantine: () => Schemas.Control.Quarantine
  versions: () => Schemas.Control.Versions
  /** The documents that are newer than the given versions. */
  newerThan: (versions: Schemas.Control.Versions) => Schemas.Control.Document[]
}

/** The versions of a process that holds nothing. */
export const NO_VERSIONS: Schemas.Control.Versions = { manifest: 0, placement: 0, drains: 0, quarantine: 0 }
const NO_DRAINS: Schemas.Control.Drains = { zones: [], instanceIds: [] }
const NO_QUARANTINE: Schemas.Control.Quarantine = { entries: [] }

/**
 * Creates an empty holder of documents.
 *
 * @returns The holder.
 */
export function createHeldDocuments (): HeldDocuments {
  const documents = new Map<Schemas.Control.DocumentKind, Schemas.Control.Document>()
  const versionOf = (kind: Schemas.Control.DocumentKind): number => documents.get(kind)?.version ?? 0
  const bodyOf = <Body>(kind: Schemas.Control.DocumentKind): Body | undefined => documents.get(kind)?.body as Body | undefined
  return {
    adopt: document => {
      if (document.version <= versionOf(document.kind)) return false
      documents.set(document.kind, document)
      return true
    },
    manifest: () => bodyOf('manifest'),
    placement: () => bodyOf('placement'),
    drains: () => bodyOf('drains') ?? NO_DRAINS,
    quarantine: () => bodyOf('quarantine') ?? NO_QUARANTINE,
    versions: () => ({
      manifest: versionOf('manifest'),
      placement: versionOf('placement'),
      drains: versionOf('drains'),
      quarantine: versionOf('quarantine')
    }),
    newerThan: versions => [...documents.values()].filter(document => document.version > versions[document.kind])
  }
}

/**
 * Tells whether an instance takes no new work because of operators' drains.
 *
 * @param drains - The drains in force.
 * @param instanceId - The instance.
 * @param zone - Its availability zone.
 * @returns Whether it is drained.
 */
export function isDrained (drains: Schemas.Control.Drains, instanceId: string, zone: string): boolean {
  return drains.zones.includes(zone) || drains.instanceIds.includes(instanceId)
}
