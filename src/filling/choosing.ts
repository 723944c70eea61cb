/**
 * Chooses where a chunk is fetched now.
 *
 * Answers two loads. A version that was just named is on its way from the agents that draw it: the
 * others wait for news of a holder rather than ask around. After many instances restarted at once, some
 * regions still hold the version and others nothing: holders are asked first, over the border too, and
 * the origin is left to one agent of a region after the other, so that agents that all lack a chunk do
 * not wait for one another.
 *
 * @packageDocumentation
 */

/** What is known of a chunk that is to be fetched. */
export interface ChoiceInput {
  /** Whether this agent is to draw the chunk from the origin. */
  readonly isOriginFetcher: boolean
  /** Whether this agent is to fetch the chunk from another region for its own. */
  readonly isRegionHead: boolean
  /** The agent's place among those of its region, from 1. */
  readonly rank: number
  /** Agents of the region that said that they have the chunk and are free to send it. */
  readonly sameRegionHolders: readonly string[]
  /** The same of other regions. */
  readonly otherRegionHolders: readonly string[]
  /** Whether any agent said that it has the chunk, free to send it or not. */
  readonly hasHolder: boolean
  /** Agents that said nothing of the chunk but may have it, the likeliest first. */
  readonly possibleHolders: readonly string[]
  /** Since when others may have told of the chunk, in milliseconds: since the version was named or, for one named earlier, since the roll was called. */
  readonly elapsedMs: number
  /** Whether the version was named before this process started, so that others may hold it. */
  readonly wasNamedBeforeStart: boolean
  /** Whether an agent that said nothing may be asked now. */
  readonly mayAskPossibleHolders: boolean
  readonly tryCount: number
}

/** Where a chunk is fetched; `told` says that the agent said that it has the chunk. */
export type Choice = { readonly kind: 'wait' } | { readonly kind: 'origin' } | { readonly kind: 'agent', readonly name: string, readonly isAnnounced: boolean }

/** Answers to a roll call are waited for, in milliseconds: the store's news and a datagram over the regions. */
export const ROLL_CALL_WAIT_MS = 500
/** News of the first chunks reach every agent within so long after a version was named, in milliseconds; no agent asks without news before. */
const ANNOUNCEMENT_WAIT_MS = 1_200
/** A chunk that other agents are still fetching is taken from the origin after so long, in milliseconds: half of the usual time that a version has. */
const ORIGIN_FALLBACK_MS = 4_000

/**
 * Chooses the source of a chunk.
 *
 * @param input - What is known of the chunk.
 * @param randomFraction - A random number from 0 to 1, which spreads agents over the holders.
 * @returns The source, or that news are waited for.
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
