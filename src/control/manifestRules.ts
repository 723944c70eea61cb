/**
 * Validation rules for manifests that the schema cannot express.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'

type Path = ReadonlyArray<string | number>

/**
 * Validates a manifest that conforms to the schema.
 *
 * @param manifest - The manifest.
 * @returns The problems with their paths; empty for a valid manifest.
 */
export function check (manifest: Schemas.Manifest.Manifest): Schemas.Decode.Problem[] {
  return [
    ...duplicateNames(manifest.zones, ['zones']),
    ...duplicateNames(manifest.models, ['models']),
    ...duplicateNames(manifest.adapters, ['adapters']),
    ...duplicateNames(manifest.services, ['services']),
    ...duplicateNames(manifest.workspaces, ['workspaces']),
    ...manifest.adapters.flatMap((adapter, index) =>
      checkReference(adapter.model, manifest.models, ['adapters', index, 'model'], 'model')),
    ...manifest.services.flatMap((service, index) => checkService(manifest, service, ['services', index])),
    ...duplicateRoutes(manifest)
  ]
}

function checkService (manifest: Schemas.Manifest.Manifest, service: Schemas.Manifest.Service, path: Path): Schemas.Decode.Problem[] {
  const problems: Schemas.Decode.Problem[] = []
  if (service.kind === 'engine' && service.model === undefined) problems.push({ path: [...path, 'model'], message: 'an engine service needs a model' })
  if (service.kind === 'plain' && service.model !== undefined) problems.push({ path: [...path, 'model'], message: 'a plain service has no model' })
  if (service.model !== undefined) problems.push(...checkReference(service.model, manifest.models, [...path, 'model'], 'model'))
  service.adapters?.forEach((name, index) => {
    problems.push(...checkReference(name, manifest.adapters, [...path, 'adapters', index], 'adapter'))
    const adapter = manifest.adapters.find(candidate => candidate.name === name)
    if (adapter !== undefined && adapter.model !== service.model) problems.push({ path: [...path, 'adapters', index], message: `adapter "${name}" belongs to another model` })
  })
  service.placements.forEach((placement, index) => {
    problems.push(...checkReference(placement.zone, manifest.zones, [...path, 'placements', index, 'zone'], 'zone'))
  })
  problems.push(...duplicateValues(service.placements.map(placement => `${placement.zone}/${placement.role ?? 'mixed'}`), [...path, 'placements'], 'placement'))
  return problems
}

function duplicateNames (entries: ReadonlyArray<{ readonly name: string }>, path: Path): Schemas.Decode.Problem[] {
  const seen = new Set<string>()
  return entries.flatMap(({ name }, index) => {
    if (!seen.has(name)) { seen.add(name); return [] }
    return [{ path: [...path, index, 'name'], message: `duplicate name "${name}"` }]
  })
}

function duplicateValues (values: readonly string[], path: Path, entryKind: string): Schemas.Decode.Problem[] {
  return values.flatMap((value, index) => values.indexOf(value) === index ? [] : [{ path: [...path, index], message: `duplicate ${entryKind} "${value}"` }])
}

/** Returns a problem if no entry has the given name. */
function checkReference (name: string, entries: ReadonlyArray<{ readonly name: string }>, path: Path, entryKind: string): Schemas.Decode.Problem[] {
  return entries.some(entry => entry.name === name) ? [] : [{ path, message: `unknown ${entryKind} "${name}"` }]
}

function duplicateRoutes (manifest: Schemas.Manifest.Manifest): Schemas.Decode.Problem[] {
  const seen = new Set<string>()
  return manifest.services.flatMap((service, serviceIndex) => service.routes.flatMap((route, routeIndex) => {
    const key = `${route.method} ${route.path}`
    if (!seen.has(key)) { seen.add(key); return [] }
    return [{ path: ['services', serviceIndex, 'routes', routeIndex], message: `duplicate route "${key}"` }]
  }))
}
