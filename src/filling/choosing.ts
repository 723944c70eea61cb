/**
 * Chooses the source of a chunk: the origin, another agent, or none yet.
 *
 * Two situations are covered:
 * - A version was just named. Each chunk is fetched from the origin by one agent; the others wait for
 *   an announcement of a holder instead of asking every agent.
 * - Many instances restarted at once, so that some regions hold the version and others hold nothing.
 *   Holders are asked first, in other regions too. The agents of a region fall back to the origin one
 *   after the other, so that agents that all lack a chunk do not wait for each other.
 *
 * @packageDocumentation
 */

/** State of a chunk that is to be fetched, as seen by this agent. */
export interface ChoiceInput {
  /** Whether this agent is the one that fetches the chunk from the origin. */
  readonly isOriginFetcher: boolean
  /** Whether this agent is the one that fetches the chunk from another region for its own region. */
  readonly isRegionHead: boolean
  /** Rank of this agent among the agents of its region, from 1. */
  readonly rank: number
  /** Agents of the same region that announced the chunk and can send it now. */
  readonly sameRegionHolders: readonly string[]
  /** Agents of other regions that announced the chunk and can send it now. */
  readonly otherRegionHolders: readonly string[]
  /** Whether any agent announced the chunk, whether or not it can send it now. */
  readonly hasHolder: boolean
  /** Agents that did not announce the chunk but may have it, the most likely first. */
  readonly possibleHolders: readonly string[]
  /** Time during which others could announce the chunk, in milliseconds: since the version was named or, if that was before this process started, since the last roll call. */
  readonly elapsedMs: number
  /** Whether the version was named before this process started, so that other agents may hold it already. */
  readonly wasNamedBeforeStart: boolean
  /** Whether an agent that did not announce the chunk may be asked now. */
  readonly mayAskPossibleHolders: boolean
  /** Number of attempts to fetch the chunk so far. */
  readonly tryCount: number
}

/** Source of a chunk, or `wait` if there is none yet; `isAnnounced` is set when the agent announced the chunk. */
export type Choice = { readonly kind: 'wait' } | { readonly kind: 'origin' } | { readonly kind: 'agent', readonly name: string, readonly isAnnounced: boolean }

/** Time allowed for the answers to a roll call, in milliseconds: it covers a change read from the store and a datagram between regions. */
export const ROLL_CALL_WAIT_MS = 500
/** Time after a version was named within which announcements of its first chunks reach every agent, in milliseconds. Before it has passed, agents ask only announced holders. */
const ANNOUNCEMENT_WAIT_MS = 1_200
/** Time after which the agent of rank 1 fetches a chunk from the origin although others are still fetching it, in milliseconds; rank n waits n times as long. It is half of the usual time allowed for a version. */
const ORIGIN_FALLBACK_MS = 4_000

/** Time after which an agent asks the origin for a manifest that no other agent has, in milliseconds. */
const MANIFEST_WAIT_MS = 1_500

/** State of a version whose manifest is to be fetched, as seen by this agent. */
export interface ManifestInput {
  /** Whether this agent may fetch chunks of the version from the origin. */
  readonly isDrawer: boolean
  /** Whether any agent announced a chunk of the version, so that it has the manifest. */
  readonly hasHolder: boolean
  /** Time since this agent wants the manifest, in milliseconds. */
  readonly elapsedMs: number
}

/**
 * Chooses the source of a manifest. The manifests of hundreds of agents that want a version at once, as it was named or as all lost power, would take as much of the origin's link as a quarter of the chunks, so only the agents that fetch chunks there ask it.
 *
 * @param input - The state of the version.
 * @returns The source, or `wait` until an agent announces a chunk.
 */
export function chooseManifestSource (input: ManifestInput): 'origin' | 'agents' | 'wait' {
  if (input.isDrawer || input.elapsedMs >= MANIFEST_WAIT_MS) return 'origin'
  return input.hasHolder ? 'agents' : 'wait'
}

/**
 * Chooses the source of a chunk.
 *
 * @param input - The state of the chunk.
 * @param randomFraction - A random number from 0 to 1 that spreads the agents over the holders.
 * @returns The source, or `wait` until an announcement arrives or more time has passed.
 */
export function choose (input: ChoiceInput, randomFraction: number): Choice {
  const { isOriginFetcher, isRegionHead, rank, sameRegionHolders, otherRegionHolders, hasHolder, possibleHolders, elapsedMs, wasNamedBeforeStart, mayAskPossibleHolders, tryCount } = input
  const holders = sameRegionHolders.length > 0 || !(isOriginFetcher || isRegionHead || elapsedMs >= ANNOUNCEMENT_WAIT_MS) ? sameRegionHolders : otherRegionHolders
  const holder = holders[Math.floor(randomFraction * holders.length)]
  if (holder !== undefined) return { kind: 'agent', name: holder, isAnnounced: true }
  if (elapsedMs >= ORIGIN_FALLBACK_MS * rank) return { kind: 'origin' }
  if (hasHolder) return { kind: 'wait' }
  if (isOriginFetcher) return { kind: wasNamedBeforeStart && elapsedMs < ROLL_CALL_WAIT_MS ? 'wait' : 'origin' }
  if (elapsedMs < ANNOUNCEMENT_WAIT_MS || !mayAskPossibleHolders) return { kind: 'wait' }
  const possibleHolder = possibleHolders[tryCount % Math.max(1, possibleHolders.length)]
  return possibleHolder === undefined ? { kind: 'origin' } : { kind: 'agent', name: possibleHolder, isAnnounced: false }
}
