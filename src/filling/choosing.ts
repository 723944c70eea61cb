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
export interface Situation {
  /** Whether this agent is to draw the chunk from the origin. */
  readonly isDrawer: boolean
  /** Whether this agent is to fetch the chunk from another region for its own. */
  readonly isHead: boolean
  /** The agent's place among those of its region, from 1. */
  readonly rank: number
  /** Agents of the region that said that they have the chunk and are free to send it. */
  readonly nearHolders: readonly string[]
  /** The same of other regions. */
  readonly farHolders: readonly string[]
  /** Whether any agent said that it has the chunk, free to send it or not. */
  readonly isHeld: boolean
  /** Agents that said nothing of the chunk but may have it, the likeliest first. */
  readonly others: readonly string[]
  /** Since when others may have told of the chunk, in milliseconds: since the version was named or, for one named earlier, since the roll was called. */
  readonly sinceMs: number
  /** Whether the version was named before this process started, so that others may hold it. */
  readonly isSettled: boolean
  /** Whether an agent that said nothing may be asked now. */
  readonly mayAskOthers: boolean
  readonly tryCount: number
}

/** Where a chunk is fetched; `told` says that the agent said that it has the chunk. */
export type Choice = { readonly kind: 'wait' } | { readonly kind: 'origin' } | { readonly kind: 'agent', readonly name: string, readonly told: boolean }

/** Answers to a roll call are waited for, in milliseconds: the store's news and a datagram over the regions. */
export const ROLL_CALL_MS = 500
/** News of the first chunks reach every agent within so long after a version was named, in milliseconds; no agent asks without news before. */
const NEWS_MS = 1_200
/** A chunk that other agents are still fetching is taken from the origin after so long, in milliseconds: half of the usual time that a version has. */
const PENDING_LIMIT_MS = 4_000

/**
 * Chooses the source of a chunk.
 *
 * @param situation - What is known of the chunk.
 * @param draw - A random number from 0 to 1, which spreads agents over the holders.
 * @returns The source, or that news are waited for.
 */
export function choose (situation: Situation, draw: number): Choice {
  const { isDrawer, isHead, rank, nearHolders, farHolders, isHeld, others, sinceMs, isSettled, mayAskOthers, tryCount } = situation
  const holders = nearHolders.length > 0 || !(isDrawer || isHead || sinceMs >= NEWS_MS) ? nearHolders : farHolders
  const holder = holders[Math.floor(draw * holders.length)]
  if (holder !== undefined) return { kind: 'agent', name: holder, told: true }
  if (sinceMs >= PENDING_LIMIT_MS * rank) return { kind: 'origin' }
  if (isHeld) return { kind: 'wait' }
  if (isDrawer) return { kind: isSettled && sinceMs < ROLL_CALL_MS ? 'wait' : 'origin' }
  if (sinceMs < NEWS_MS || !mayAskOthers) return { kind: 'wait' }
  const other = others[tryCount % Math.max(1, others.length)]
  return other === undefined ? { kind: 'origin' } : { kind: 'agent', name: other, told: false }
}
