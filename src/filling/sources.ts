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

/** Further agents of the region that are asked when the first ones do not have a chunk. */
const OTHER_LIMIT_COUNT = 4
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
  const [head] = ahead
  const others = regional.filter(name => name !== own.name && name !== head).slice(0, OTHER_LIMIT_COUNT)
  const names = new Set([head, drawer, ...others].filter((name): name is string => name !== undefined))
  return [...[...names].map(name => ({ kind: 'agent' as const, name })), ORIGIN]
}

/** An agent's part in the spread of a chunk, in the order in which its chunks are fetched. */
const PARTS = ['drawer', 'head', 'follower'] as const

/**
 * Orders the chunks that an agent fetches: first those that others wait for.
 *
 * @param subjects - Names of the chunks, by index.
 * @param own - The agent that fetches.
 * @param spreaders - All agents.
 * @returns The indexes; chunks of one part in an order of the agent's own, so that not all ask for the same one first.
 */
export function fetchOrder (subjects: readonly string[], own: Spreader, spreaders: readonly Spreader[]): number[] {
  const names = spreaders.some(spreader => spreader.name === own.name) ? spreaders : [...spreaders, own]
  const regional = names.filter(spreader => spreader.region === own.region).map(spreader => spreader.name)
  const partOf = (subject: string): number => {
    if (Core.Hash.rendezvous(subject, names.map(spreader => spreader.name))[0] === own.name) return PARTS.indexOf('drawer')
    return PARTS.indexOf(Core.Hash.rendezvous(subject, regional)[0] === own.name ? 'head' : 'follower')
  }
  return subjects
    .map((subject, index) => ({ index, part: partOf(subject), rank: Core.Hash.rankOf(`${own.name}/${subject}`) }))
    .sort((a, b) => a.part - b.part || a.rank - b.rank)
    .map(entry => entry.index)
}

/** Agents of the region that are told of each chunk: enough for every one to hear of it from several. */
const TOLD_LIMIT_COUNT = 8

/**
 * Lists the agents that may fetch a chunk from one that has it: some of its region, and for the agent that drew it from the origin the heads of the other regions.
 *
 * @param subject - Names the chunk and its version.
 * @param own - The agent that has the chunk.
 * @param spreaders - All agents.
 * @returns The names of the agents to tell.
 */
export function receiversOf (subject: string, own: Spreader, spreaders: readonly Spreader[]): string[] {
  const everyone = spreaders.some(spreader => spreader.name === own.name) ? spreaders : [...spreaders, own]
  const line = Core.Hash.rendezvous(subject, everyone.map(spreader => spreader.name))
  const regionOf = new Map(everyone.map(spreader => [spreader.name, spreader.region]))
  const heads = new Map<string, string>()
  for (const name of line) {
    const region = regionOf.get(name) ?? ''
    if (!heads.has(region)) heads.set(region, name)
  }
  const regional = line.filter(name => regionOf.get(name) === own.region && name !== own.name)
  const neighbours = regional.length <= TOLD_LIMIT_COUNT ? regional : Core.Hash.rendezvous(`${own.name}/${subject}`, regional).slice(0, TOLD_LIMIT_COUNT)
  const others = line[0] === own.name ? [...heads.values()] : []
  return [...new Set([...neighbours, ...others])].filter(name => name !== own.name)
}
