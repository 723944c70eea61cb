/**
 * From whom an agent fetches a chunk.
 *
 * Answers a version that hundreds of endpoints need at once: one agent of all draws a chunk from the
 * origin, one agent of each region fetches it from there, and the others of the region from that one.
 * Every agent works out the same line from the same list.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** An agent that spreads weights. */
export interface Spreader {
  readonly name: string
  readonly region: string
}

/** Where a chunk is fetched: the origin, or another agent. */
export type Source = { readonly kind: 'origin' } | { readonly kind: 'agent', readonly name: string }

const ORIGIN: Source = { kind: 'origin' }

/**
 * Lists the sources of a chunk in the order in which they are tried.
 *
 * @param subject - Names the chunk and its version.
 * @param own - The agent that fetches.
 * @param spreaders - All agents, the own one among them or not.
 * @returns The sources, the origin last or first.
 */
export function sourcesOf (subject: string, own: Spreader, spreaders: readonly Spreader[]): Source[] {
  const everyone = spreaders.some(spreader => spreader.name === own.name) ? spreaders : [...spreaders, own]
  const line = Core.Hash.rendezvous(subject, everyone.map(spreader => spreader.name))
  const [drawer] = line
  if (drawer === own.name) return [ORIGIN]
  const regionOf = new Map(everyone.map(spreader => [spreader.name, spreader.region]))
  const regional = line.filter(name => regionOf.get(name) === own.region)
  const ahead = regional.slice(0, regional.indexOf(own.name))
  const [head, ...others] = ahead
  const names = new Set([head, drawer, ...others.slice(0, 1)].filter((name): name is string => name !== undefined))
  return [...[...names].map(name => ({ kind: 'agent' as const, name })), ORIGIN]
}
