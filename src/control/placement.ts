/**
 * Placement: assigns a model version, adapters and a role to each instance.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'

/** Input of a placement decision. */
export interface PlacementInput {
  readonly manifest: Schemas.Manifest.Manifest
  readonly instances: readonly Schemas.Platform.Instance[]
  /** The plan in force, if there is one. */
  readonly previous: Schemas.Control.PlacementPlan | undefined
}

/**
 * Assigns instances to the manifest's services. An instance keeps its assignment where possible.
 *
 * @param input - Manifest, instances and the plan in force.
 * @returns The assignments, ordered by instance.
 */
export function placeReplicas (input: PlacementInput): Schemas.Control.Assignment[] {
  const previousIds = new Set(input.previous?.assignments.map(assignment => assignment.instanceId))
  return input.manifest.services.flatMap(service => service.placements.flatMap(placement => {
    const candidates = input.instances.filter(instance =>
      instance.kind === 'agent' && instance.state === 'live' && instance.service === service.name && instance.zone === placement.zone)
    const ranked = Core.Hash.rendezvous(`${service.name}/${placement.zone}`, candidates.map(instance => instance.instanceId))
    const ordered = [...ranked.filter(id => previousIds.has(id)), ...ranked.filter(id => !previousIds.has(id))]
    return ordered.slice(0, placement.replicaCount).map(instanceId => createAssignment(input.manifest, service, placement, instanceId))
  })).sort((a, b) => a.instanceId < b.instanceId ? -1 : 1)
}

/**
 * Returns whether two plans have the same assignments.
 *
 * @param a - The assignments of one plan.
 * @param b - The assignments of the other plan.
 * @returns Whether they are equal.
 */
export function areAssignmentsEqual (a: readonly Schemas.Control.Assignment[], b: readonly Schemas.Control.Assignment[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}

function createAssignment (manifest: Schemas.Manifest.Manifest, service: Schemas.Manifest.Service, placement: Schemas.Manifest.Placement, instanceId: string): Schemas.Control.Assignment {
  const model = manifest.models.find(candidate => candidate.name === service.model)
  return {
    instanceId,
    service: service.name,
    role: placement.role ?? 'mixed',
    ...(model === undefined ? {} : { model }),
    adapters: manifest.adapters.filter(adapter => service.adapters?.includes(adapter.name) === true)
  }
}
