/**
 * Manifests as a build pipeline would generate them.
 *
 * @packageDocumentation
 */
import type * as Manifest from '../src/schema/manifest.ts'
import * as Shapes from './shapes.ts'

/** A model to be live. */
export interface ModelInput {
  readonly version: string
  readonly digest: string
  readonly sizeBytes: number
}

/**
 * Makes the manifest of a deployment.
 *
 * @param shape - The deployment.
 * @param model - The model version of its engines.
 * @returns The manifest.
 */
export function makeManifest (shape: Shapes.Shape, model: ModelInput): Manifest.Manifest {
  return {
    name: shape.name,
    zones: shape.zones,
    models: [{ name: 'draft-model', ...model }],
    adapters: [],
    services: shape.services.map(service => ({
      name: service.name,
      kind: service.kind,
      ...(service.kind === 'engine' ? { model: 'draft-model' } : {}),
      reportsLoad: service.reportsLoad,
      maxConcurrentCount: service.maxConcurrentCount,
      placements: shape.zones
        .map(zone => ({ zone: zone.name, replicaCount: Shapes.runnersOf(shape, service).filter(runner => runner.zone === zone.name).length }))
        .filter(placement => placement.replicaCount > 0),
      routes: service.routes
    })),
    workspaces: shape.workspaces
  }
}
