/**
 * Seeding: which agent fetches a chunk into the region, in which order, and which agent takes over when that one fails.
 *
 * Every agent computes the same ranking from the same list of agents. A stale list costs an extra copy of a chunk.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** The ranking of one region's agents for each chunk. */
export interface Seeding {
  /** The chunks in the order in which the region fetches them. */
  readonly order: readonly number[]
  /** Returns the rank of an agent for a chunk; the agent with rank 0 fetches it. */
  rankOf: (index: number, instanceId: string) => number
  /** Returns the agents in the order of their rank for a chunk. */
  rankedIds: (index: number) => readonly string[]
}

/**
 * Ranks the agents of a region by rendezvous hashing.
 *
 * @param region - The region.
 * @param chunks - Digests of the chunks.
 * @param instanceIds - Agents of the region that want the weights.
 * @returns The ranking.
 */
export function createSeeding (region: string, chunks: readonly string[], instanceIds: readonly string[]): Seeding {
  const regionHash = Core.Hash.rankOf(region)
  const chunkHashes = chunks.map(chunk => mix(Core.Hash.rankOf(chunk), regionHash))
  const agentHashes = new Map(instanceIds.map(instanceId => [instanceId, Core.Hash.rankOf(instanceId)]))
  const scoreOf = (index: number, agentHash: number): number => mix(chunkHashes[index] ?? 0, agentHash)
  return {
    order: chunks.map((_, index) => index).sort((a, b) => (chunkHashes[a] ?? 0) - (chunkHashes[b] ?? 0) || a - b),
    rankOf: (index, instanceId) => {
      const own = scoreOf(index, agentHashes.get(instanceId) ?? Core.Hash.rankOf(instanceId))
      let rank = 0
      for (const [other, agentHash] of agentHashes) {
        const score = scoreOf(index, agentHash)
        if (score > own || (score === own && other < instanceId)) rank++
      }
      return rank
    },
    rankedIds: index => [...agentHashes]
      .map(([instanceId, agentHash]) => ({ instanceId, score: scoreOf(index, agentHash) }))
      .sort((a, b) => b.score - a.score || (a.instanceId < b.instanceId ? -1 : 1))
      .map(entry => entry.instanceId)
  }
}

function mix (a: number, b: number): number {
  let hash = Math.imul(a ^ (b >>> 15) ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
