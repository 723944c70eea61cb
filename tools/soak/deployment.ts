/**
 * The small deployment that the worlds stand in: its manifest, plan and envelopes.
 *
 * @packageDocumentation
 */
import * as Core from '../../src/core/index.ts'
import type * as Schemas from '../../src/schema/index.ts'

/** The most calls that a warm endpoint runs at once. */
export const WARM_LIMIT_COUNT = 4
/** How long after a process has learnt of a drain it may still start work, in milliseconds. */
export const KNOWN_DRAIN_BOUND_MS = 100
/** The zones. */
export const ZONES = ['kartli', 'imereti'] as const

/**
 * Makes the version of the model.
 *
 * @param version - The version.
 * @returns The model.
 */
export function modelOf (version: string): Schemas.Manifest.Model {
  return { name: 'draft-model', version, digest: Core.Hash.sha256(version), sizeBytes: 1_000 }
}

/**
 * Makes the manifest with a model version.
 *
 * @param version - The version.
 * @returns The manifest.
 */
export function manifestOf (version: string): Schemas.Manifest.Manifest {
  return {
    name: 'small',
    zones: ZONES.map(name => ({ name, region: name })),
    models: [modelOf(version)],
    adapters: [],
    services: [
      {
        name: 'fescue-llm',
        kind: 'engine',
        model: 'draft-model',
        reportsLoad: true,
        maxConcurrentCount: WARM_LIMIT_COUNT,
        placements: ZONES.map(zone => ({ zone, replicaCount: 2 })),
        routes: [{ path: '/v1/drafts', method: 'POST', idempotent: true }]
      },
      {
        name: 'filing-api',
        kind: 'plain',
        reportsLoad: true,
        maxConcurrentCount: WARM_LIMIT_COUNT,
        placements: ZONES.map(zone => ({ zone, replicaCount: 1 })),
        routes: [{ path: '/filings', method: 'POST', idempotent: false }]
      }
    ],
    workspaces: [{ name: 'operator-1', weight: 3 }, { name: 'operator-2', weight: 1 }]
  }
}

/**
 * Makes a plan that assigns one instance.
 *
 * @param instanceId - The instance.
 * @param service - Its service.
 * @param version - The model version; undefined for a plain service.
 * @param fencingNumber - The plan's fencing number.
 * @returns The plan.
 */
export function planOf (instanceId: string, service: string, version: string | undefined, fencingNumber: number): Schemas.Control.PlacementPlan {
  const model = version === undefined ? {} : { model: modelOf(version) }
  return { fencingNumber, manifestVersion: 1, assignments: [{ instanceId, service, role: 'mixed', adapters: [], ...model }] }
}
