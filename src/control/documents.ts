/**
 * The control documents that a process holds. A document is only ever replaced by a newer version.
 *
 * @packageDocumentation
 */
import * as Schemas from '../schema/index.ts'

/** The newest document of each kind that a process has received. */
export interface HeldDocuments {
  /** Stores a document if it is newer than the one held, and returns whether it was. */
  adopt: (document: Schemas.Control.Document) => boolean
  manifest: () => Schemas.Manifest.Manifest | undefined
  placement: () => Schemas.Control.PlacementPlan | undefined
  drains: () => Schemas.Control.Drains
  quarantine: () => Schemas.Control.Quarantine
  versions: () => Schemas.Control.Versions
  /** Returns the documents that are newer than the given versions. */
  newerThan: (versions: Schemas.Control.Versions) => Schemas.Control.Document[]
}

/** The versions of a process that holds no documents. */
export const NO_VERSIONS: Schemas.Control.Versions = { manifest: 0, placement: 0, drains: 0, quarantine: 0 }
const NO_DRAINS: Schemas.Control.Drains = { zones: [], instanceIds: [] }
const NO_QUARANTINE: Schemas.Control.Quarantine = { entries: [] }

/**
 * Creates an empty set of documents.
 *
 * @returns The set.
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
 * Returns whether operators have drained an instance or its availability zone.
 *
 * @param drains - The drains in force.
 * @param instanceId - The instance.
 * @param zone - The instance's availability zone.
 * @returns Whether the instance is drained and takes no new work.
 */
export function isDrained (drains: Schemas.Control.Drains, instanceId: string, zone: string): boolean {
  return drains.zones.includes(zone) || drains.instanceIds.includes(instanceId)
}
