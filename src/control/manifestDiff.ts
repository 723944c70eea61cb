/**
 * Compares two manifests. Entries of a list are matched by name instead of by index.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'

/** A value that differs between two manifests. */
export interface Difference {
  /** Path of the value, such as `services.filing-api.placements.kartli.replicaCount`. */
  readonly path: string
  /** Undefined where the value was added. */
  readonly before?: unknown
  /** Undefined where the value was removed. */
  readonly after?: unknown
}

/** Fields that may identify an entry of a list, in the order in which they are tried. */
const NAMING_FIELDS = ['name', 'zone', 'path'] as const

/**
 * Compares two manifests. The order of entries in a list of named entries does not matter.
 *
 * @param before - The older manifest, or undefined for none.
 * @param after - The newer manifest.
 * @returns The values that differ, ordered by path.
 */
export function diff (before: Schemas.Manifest.Manifest | undefined, after: Schemas.Manifest.Manifest): Difference[] {
  const differences: Difference[] = []
  compare('', before ?? {}, after, differences)
  return differences.sort((a, b) => a.path < b.path ? -1 : 1)
}

/**
 * Formats a difference as one line for operators.
 *
 * @param difference - The difference.
 * @returns The line: `+` for an added value, `-` for a removed one, `~` for a changed one.
 */
export function describe (difference: Difference): string {
  const { path, before, after } = difference
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`
}

function compare (path: string, before: unknown, after: unknown, differences: Difference[]): void {
  const left = fieldsOf(before)
  const right = fieldsOf(after)
  if (left === undefined || right === undefined) {
    if (JSON.stringify(before) !== JSON.stringify(after)) differences.push({ path, before, after })
    return
  }
  for (const key of new Set([...left.keys(), ...right.keys()])) {
    compare(path === '' ? key : `${path}.${key}`, left.get(key), right.get(key), differences)
  }
}

/**
 * Returns the fields of an object, or the entries of a list by name; an entry without a name goes by its index.
 * Undefined for other values.
 */
function fieldsOf (value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  if (!Array.isArray(value)) return new Map(Object.entries(value).filter(([, field]) => field !== undefined))
  const fields = new Map<string, unknown>()
  for (const [index, entry] of value.entries()) {
    const name = nameOf(entry) ?? `${index}`
    fields.set(fields.has(name) ? `${name}#${index}` : name, entry)
  }
  return fields
}

/** Returns the name of a list entry. A route is named by path and method, a placement by zone and role. */
function nameOf (entry: unknown): string | undefined {
  if (typeof entry !== 'object' || entry === null) return undefined
  const fields = entry as Readonly<Record<string, unknown>>
  const field = NAMING_FIELDS.find(candidate => typeof fields[candidate] === 'string')
  if (field === undefined) return undefined
  const name = String(fields[field])
  const qualifier = field === 'path' ? fields.method : field === 'zone' ? fields.role : undefined
  return typeof qualifier === 'string' ? `${name} ${qualifier}` : name
}
