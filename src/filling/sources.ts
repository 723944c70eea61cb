/**
 * Plan of which agent fetches a chunk from where.
 *
 * Hundreds of endpoints need a version at once, and the origin may fail at any moment. Each agent
 * therefore fetches an equal share of the chunks from the origin, one agent of each other region
 * fetches each chunk across the region border, and every holder serves the other agents of its region.
 * All agents compute the same plan from the same list of agents.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** Agent that takes part in the distribution of weights. */
export interface Participant {
  readonly name: string
  readonly region: string
  /** Whether the agent is taken to be reachable; the chunks of unreachable agents go to the next candidate. */
  readonly isReachable: boolean
}

/** Chunk of a version. */
export interface Chunk {
  /** Model and version, as `model/version`. */
  readonly version: string
  readonly index: number
}

/** Source of a chunk: the origin or another agent. */
export type Source = { readonly kind: 'origin' } | { readonly kind: 'agent', readonly name: string }

/** Role of an agent for a chunk: `drawer` fetches it from the origin, `head` from another region for its own, `follower` from its region. */
export type Role = 'drawer' | 'head' | 'follower'

/** Role and rank of an agent for a chunk. */
export interface Assignment {
  readonly role: Role
  /** Rank among the agents of its region, from 1; 0 if the agent is not a candidate. */
  readonly rank: number
}

/** Plan of which agent fetches which chunk from where. */
export interface FetchPlan {
  /**
   * Returns whether an agent is one of those that fetch chunks of a version from the origin.
   *
   * @param version - Model and version, as in `Chunk`.
   * @param own - The name of the agent.
   * @returns Whether it is.
   */
  isDrawer: (version: string, own: string) => boolean
  /**
   * Returns the sources of a chunk in the order in which they are tried.
   *
   * @param chunk - The chunk.
   * @param own - The name of the agent that fetches the chunk.
   * @returns The origin alone for the agent that fetches the chunk from there; other agents and then the origin for all others.
   */
  sourcesOf: (chunk: Chunk, own: string) => Source[]
  /**
   * Returns the role and rank of an agent for a chunk.
   *
   * @param chunk - The chunk.
   * @param own - The name of the agent.
   * @returns The role and rank.
   */
  assignmentOf: (chunk: Chunk, own: string) => Assignment
  /**
   * Returns the agents to which a holder announces a chunk: some of its region and, if it fetched the chunk from the origin, the heads of the other regions.
   *
   * @param chunk - The chunk.
   * @param own - The name of the holder.
   * @returns The names of the agents.
   */
  receiversOf: (chunk: Chunk, own: string) => string[]
  /**
   * Returns whether an agent answers the roll call of another one by announcing all its chunks. A limited number of agents per region do.
   *
   * @param own - The name of the agent that holds chunks.
   * @param asker - The name of the agent that sent the roll call.
   * @returns Whether it answers.
   */
  answersRollCallOf: (own: string, asker: string) => boolean
  /**
   * Returns the order in which an agent fetches the chunks of a version: first those that other agents wait for.
   *
   * @param version - Model and version, as in `Chunk`.
   * @param count - The number of chunks.
   * @param own - The name of the agent.
   * @returns The indexes. Chunks of the same role are in an order that differs between agents, so that not all ask for the same chunk first.
   */
  fetchOrder: (version: string, count: number, own: string) => readonly number[]
}

/** Maximum number of further agents of the region among the sources of a chunk, after the region's head and the agent that fetches it from the origin. */
const REGION_SOURCE_LIMIT_COUNT = 4
/** Maximum number of agents of its region to which a holder announces a chunk: enough for each agent to learn of it from several holders. */
const ANNOUNCE_LIMIT_COUNT = 8
/** Roles in the order in which an agent fetches its chunks: from the origin, across the border for its region, within the region. */
const ROLES = ['drawer', 'head', 'follower'] as const
const ORIGIN: Source = { kind: 'origin' }

/** Maximum number of agents that fetch a version from the origin, which resets connections beyond a few dozen. */
export const DRAWER_LIMIT_COUNT = 32

/** Names of the agents that fetch chunks from the origin in turn, by version: of those listed when the version was first planned. */
export type OriginRotations = Map<string, readonly string[]>

/** Orders of all listed agents by chunk; they do not depend on which agents are reachable. */
export interface ChunkOrders {
  /** Returns the orders of a list of agents: a function from the key of a chunk to all agents, the preferred one first. */
  ofList: (names: readonly string[]) => (key: string) => readonly string[]
}

/**
 * Creates orders that are computed once for each list of agents. At hundreds of agents they are most of the work of a plan, and the reachability of agents changes often while a version spreads.
 *
 * @returns The orders.
 */
export function createChunkOrders (): ChunkOrders {
  let listedNames = ''
  const orders = new Map<string, readonly string[]>()
  return {
    ofList: names => {
      const listed = names.join()
      if (listed !== listedNames) {
        listedNames = listed
        orders.clear()
      }
      return key => {
        const order = orders.get(key) ?? Core.Hash.rendezvous(key, names)
        orders.set(key, order)
        return order
      }
    }
  }
}

/**
 * Creates the plan for a list of agents.
 *
 * @param participants - All listed agents, including the own one.
 * @param rotations - The rotations of earlier plans; new ones are added. A rotation stays while agents come and go, so that the other agents keep their shares of the chunks.
 * @param orders - The orders that earlier plans computed.
 * @returns The plan; valid until the list changes.
 */
export function createFetchPlan (participants: readonly Participant[], rotations: OriginRotations, orders = createChunkOrders()): FetchPlan {
  const regionOf = new Map(participants.map(participant => [participant.name, participant.region]))
  const names = participants.map(participant => participant.name)
  const reachable = participants.filter(participant => participant.isReachable).map(participant => participant.name)
  const reachableNames = new Set(reachable)
  const orderOf = orders.ofList(names)
  const candidatesByChunk = new Map<string, string[]>()
  const fetchOrders = new Map<string, readonly number[]>()
  const assignments = new Map<string, Assignment>()

  const rotationOf = (version: string): readonly string[] => {
    const rotation = rotations.get(version) ?? Core.Hash.rendezvous(version, names).slice(0, DRAWER_LIMIT_COUNT)
    rotations.set(version, rotation)
    return rotation
  }
  const candidatesOf = (chunk: Chunk): string[] => {
    const key = `${chunk.version}/${chunk.index}`
    const cached = candidatesByChunk.get(key)
    if (cached !== undefined) return cached
    const rotation = rotationOf(chunk.version)
    const originFetcher = rotation[chunk.index % Math.max(1, rotation.length)]
    const others = orderOf(key).filter(name => reachableNames.has(name))
    const candidates = originFetcher !== undefined && reachableNames.has(originFetcher) ? [originFetcher, ...others.filter(name => name !== originFetcher)] : others
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
    isDrawer: (version, own) => rotationOf(version).includes(own),
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
      const order = Array.from({ length: count }, (_, index) => ({ index, role: ROLES.indexOf(roleOf({ version, index }, own)), rank: Core.Hash.rankOf(`${own}/${version}/${index}`) }))
        .sort((a, b) => a.role - b.role || a.rank - b.rank)
        .map(entry => entry.index)
      fetchOrders.set(key, order)
      return order
    }
  }
}
