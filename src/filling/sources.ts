/**
 * From whom an agent fetches a chunk.
 *
 * Answers a version that hundreds of endpoints need at once, from an origin that may fail at any
 * moment: all agents draw an even part of the chunks, one agent of each other region fetches each of
 * them over the border, and any holder serves the others of its region. Every agent works out the
 * same line from the same list.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** An agent that spreads weights. */
export interface Participant {
  readonly name: string
  readonly region: string
  /** Whether it is counted on; the chunks of others go to the next in line. */
  readonly isThere: boolean
}

/** A chunk of a version. */
export interface Chunk {
  /** Names the model and the version. */
  readonly version: string
  readonly index: number
}

/** Where a chunk is fetched: the origin, or another agent. */
export type Source = { readonly kind: 'origin' } | { readonly kind: 'agent', readonly name: string }

/** An agent's part in the spread of a chunk. */
export type Role = 'drawer' | 'head' | 'follower'

/** An agent's place in the spread of a chunk. */
export interface Assignment {
  readonly role: Role
  /** Its place among the agents of its region, from 1. */
  readonly rank: number
}

/** The agents in line for each chunk. */
export interface FetchPlan {
  /**
   * Lists the sources of a chunk in the order in which they are tried.
   *
   * @param chunk - The chunk.
   * @param own - The name of the agent that fetches.
   * @returns The sources; the origin alone for the agent that draws the chunk, the origin last for others.
   */
  sourcesOf: (chunk: Chunk, own: string) => Source[]
  /**
   * Tells an agent's place in the spread of a chunk.
   *
   * @param chunk - The chunk.
   * @param own - The name of the agent.
   * @returns Its place.
   */
  assignmentOf: (chunk: Chunk, own: string) => Assignment
  /**
   * Lists the agents that may fetch a chunk from one that has it: some of its region, and for the agent that drew it the heads of the other regions.
   *
   * @param chunk - The chunk.
   * @param own - The name of the agent that has it.
   * @returns The names of the agents to tell.
   */
  receiversOf: (chunk: Chunk, own: string) => string[]
  /**
   * Whether an agent tells another one, when it asks, of all chunks that it has: some of each region do.
   *
   * @param own - The name of the agent that has chunks.
   * @param asker - The name of the agent that asks.
   * @returns Whether it does.
   */
  answersRollCallOf: (own: string, asker: string) => boolean
  /**
   * Orders the chunks of a version for an agent: first those that others wait for.
   *
   * @param version - The version.
   * @param count - Its chunks.
   * @param own - The name of the agent.
   * @returns The indexes; chunks of one part in an order of the agent's own, so that not all ask for the same one first.
   */
  fetchOrder: (version: string, count: number, own: string) => readonly number[]
}

/** Further agents of the region that are asked when the first ones do not have a chunk. */
const REGION_SOURCE_LIMIT_COUNT = 4
/** Agents of the region that are told of each chunk: enough for every one to hear of it from several. */
const ANNOUNCE_LIMIT_COUNT = 8
/** An agent's parts in the spread of a chunk, in the order in which its chunks are fetched: from the origin, over the border for its region, within the region. */
const ROLES = ['drawer', 'head', 'follower'] as const
const ORIGIN: Source = { kind: 'origin' }

/** The agents that draw the chunks of each version, in turn: those listed when the version was first looked at. */
export type OriginRotations = Map<string, readonly string[]>

/**
 * Works out the lines of a list of agents.
 *
 * @param participants - All agents that are listed, the own one among them.
 * @param rotations - The agents that draw; kept while agents come and go, so that the others draw what they would have drawn.
 * @returns The lines; they hold for as long as the list does.
 */
export function createFetchPlan (participants: readonly Participant[], rotations: OriginRotations): FetchPlan {
  const regionOf = new Map(participants.map(spreader => [spreader.name, spreader.region]))
  const reachable = participants.filter(spreader => spreader.isThere).map(spreader => spreader.name)
  const candidatesByChunk = new Map<string, string[]>()
  const fetchOrders = new Map<string, readonly number[]>()
  const assignments = new Map<string, Assignment>()

  const rotationOf = (version: string): readonly string[] => {
    const rotation = rotations.get(version) ?? Core.Hash.rendezvous(version, participants.map(spreader => spreader.name))
    rotations.set(version, rotation)
    return rotation
  }
  const candidatesOf = (chunk: Chunk): string[] => {
    const key = `${chunk.version}/${chunk.index}`
    const cached = candidatesByChunk.get(key)
    if (cached !== undefined) return cached
    const rotation = rotationOf(chunk.version)
    const originFetcher = rotation[chunk.index % Math.max(1, rotation.length)]
    const others = Core.Hash.rendezvous(key, reachable)
    const candidates = originFetcher !== undefined && reachable.includes(originFetcher) ? [originFetcher, ...others.filter(name => name !== originFetcher)] : others
    candidatesByChunk.set(key, candidates)
    return candidates
  }
  const headOf = (candidates: readonly string[], region: string): string | undefined => candidates.find(name => regionOf.get(name) === region)
  const roleOf = (chunk: Chunk, own: string): Role => {
    const candidates = candidatesOf(chunk)
    if (candidates[0] === own) return 'drawer'
    return headOf(candidates, regionOf.get(own) ?? '') === own ? 'head' : 'follower'
  }
  return {
    sourcesOf: (chunk, own) => {
      const candidates = candidatesOf(chunk)
      const [originFetcher] = candidates
      if (originFetcher === own || originFetcher === undefined) return [ORIGIN]
      const regional = candidates.filter(name => regionOf.get(name) === regionOf.get(own))
      const head = regional.indexOf(own) === 0 ? undefined : regional[0]
      const others = regional.filter(name => name !== own && name !== head).slice(0, REGION_SOURCE_LIMIT_COUNT)
      const names = new Set([head, originFetcher, ...others].filter((name): name is string => name !== undefined))
      return [...[...names].map(name => ({ kind: 'agent' as const, name })), ORIGIN]
    },
    assignmentOf: (chunk, own) => {
      const key = `${own}/${chunk.version}/${chunk.index}`
      const assignment = assignments.get(key) ?? { role: roleOf(chunk, own), rank: candidatesOf(chunk).filter(name => regionOf.get(name) === regionOf.get(own)).indexOf(own) + 1 }
      assignments.set(key, assignment)
      return assignment
    },
    answersRollCallOf: (own, asker) => {
      const regional = reachable.filter(name => regionOf.get(name) === regionOf.get(own))
      return regional.length <= ANNOUNCE_LIMIT_COUNT || Core.Hash.rendezvous(asker, regional).indexOf(own) < ANNOUNCE_LIMIT_COUNT
    },
    receiversOf: (chunk, own) => {
      const candidates = candidatesOf(chunk)
      const regional = candidates.filter(name => regionOf.get(name) === regionOf.get(own) && name !== own)
      const neighbours = regional.length <= ANNOUNCE_LIMIT_COUNT ? regional : Core.Hash.rendezvous(`${own}/${chunk.index}`, regional).slice(0, ANNOUNCE_LIMIT_COUNT)
      const heads = candidates[0] === own ? [...new Set(regionOf.values())].map(region => headOf(candidates, region)) : []
      return [...new Set([...neighbours, ...heads])].filter((name): name is string => name !== undefined && name !== own)
    },
    fetchOrder: (version, count, own) => {
      const key = `${version}/${count}/${own}`
      const cached = fetchOrders.get(key)
      if (cached !== undefined) return cached
      const order = Array.from({ length: count }, (_, index) => ({ index, part: ROLES.indexOf(roleOf({ version, index }, own)), rank: Core.Hash.rankOf(`${own}/${version}/${index}`) }))
        .sort((a, b) => a.part - b.part || a.rank - b.rank)
        .map(entry => entry.index)
      fetchOrders.set(key, order)
      return order
    }
  }
}
