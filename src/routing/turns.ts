/**
 * Divides a rate limit among gateways without communication.
 *
 * Enforces limits on the calls of all gateways together to an endpoint, where the share of one gateway
 * may be far below one call per second. The store's time is divided into turns of one call each, and
 * each turn belongs to one gateway by rendezvous hashing, weighted by the demand at each gateway. So the
 * total stays within the rate for any number of gateways, a gateway that is gone leaves only its own
 * turns unused, and gateways whose lists differ by one gateway disagree only on the turns of that one.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** A gateway that shares a rate limit. */
export interface Sharer {
  /** Hash of the gateway's name. */
  readonly hash: number
  /** Demand at the gateway, in calls per second, to which its share of the turns is proportional; undefined until it has reported it. */
  weight: number | undefined
}

/** The gateways that share a rate limit. */
export interface Sharers {
  readonly own: Sharer
  readonly others: readonly Sharer[]
}

/** The turns of one gateway at one endpoint. */
export interface Turns {
  /** Hash seed, which differs between endpoints. */
  readonly seed: number
  /** Time after its beginning for which a turn may be used, in milliseconds, or the length of a turn if that is longer: a window may contain the calls of that much additional time. */
  readonly lifetimeMs: number
  perSecond: number
  /** Index of the first turn whose owner has not been determined yet. */
  nextIndex: number
  /** When this gateway's unused turns began, by the store's clock, in milliseconds, from oldest to newest. */
  unusedAtMs: number[]
}

/** Minimum rate, in calls per second: without any calls, no answer could show that a limit has ended. */
const MIN_CALLS_PER_SECOND = 0.1
/** Rate above which a limit is ignored, in calls per second: no endpoint is sent as many calls, and the owners of turns are determined one by one. */
const MAX_CALLS_PER_SECOND = 1_000
/** Minimum weight of a gateway, in calls per second: its demand may grow before it has reported it. */
const MIN_WEIGHT = 1
const HASH_RANGE = 2 ** 32
const MS_PER_SECOND = 1_000

/**
 * Creates a sharer that has not reported its weight yet.
 *
 * @param name - The name of the gateway.
 * @returns The sharer.
 */
export function createSharer (name: string): Sharer {
  return { hash: Core.Hash.rankOf(name), weight: undefined }
}

/**
 * Creates the set of gateways that share a rate limit.
 *
 * @param ownName - The name of this gateway.
 * @param otherNames - The names of the other gateways.
 * @returns The sharers.
 */
export function createSharers (ownName: string, otherNames: readonly string[]): Sharers {
  return { own: createSharer(ownName), others: otherNames.map(createSharer) }
}

/**
 * Creates the turns of this gateway at an endpoint.
 *
 * @param endpointId - The id of the endpoint.
 * @param lifetimeMs - Time after its beginning for which a turn may be used, in milliseconds.
 * @returns The turns.
 */
export function createTurns (endpointId: string, lifetimeMs: number): Turns {
  return { seed: Core.Hash.rankOf(endpointId), lifetimeMs, perSecond: 0, nextIndex: 0, unusedAtMs: [] }
}

/**
 * Checks whether this gateway may send a call now.
 *
 * @param turns - The gateway's turns, which are brought up to date.
 * @param limitPerSecond - Limit for all gateways together, in calls per second.
 * @param sharers - The gateways that share the limit; undefined while they are not known, so that no turn is available.
 * @param storeMs - Current time by the store's clock, in milliseconds; not finite while it is not known.
 * @returns Whether a turn is available, or the limit is so high that it is ignored.
 */
export function hasOpenTurn (turns: Turns, limitPerSecond: number, sharers: Sharers | undefined, storeMs: number): boolean {
  if (limitPerSecond > MAX_CALLS_PER_SECOND) return true
  if (sharers === undefined || !Number.isFinite(storeMs)) return false
  const perSecond = Math.max(MIN_CALLS_PER_SECOND, limitPerSecond)
  const turnMs = MS_PER_SECOND / perSecond
  const nowIndex = Math.floor(storeMs / turnMs)
  // A whole turn is skipped after each change, so that a rate that changes with every answer does not add calls.
  if (turns.perSecond !== perSecond) Object.assign(turns, { perSecond, nextIndex: nowIndex + 2, unusedAtMs: [] })
  const lifetimeMs = Math.max(turnMs, turns.lifetimeMs)
  const isUsable = (atMs: number): boolean => atMs + lifetimeMs > storeMs
  const firstUsableIndex = Math.floor((storeMs - lifetimeMs) / turnMs) + 1
  for (let index = Math.max(turns.nextIndex, firstUsableIndex); index <= nowIndex; index++) {
    if (isOwnTurn(turns.seed, index, sharers)) turns.unusedAtMs.push(index * turnMs)
  }
  turns.nextIndex = Math.max(turns.nextIndex, nowIndex + 1)
  turns.unusedAtMs = turns.unusedAtMs.filter(isUsable)
  return turns.unusedAtMs.length > 0
}

/**
 * Uses up the oldest unused turn.
 *
 * @param turns - The gateway's turns.
 */
export function useTurn (turns: Turns): void {
  turns.unusedAtMs.shift()
}

/**
 * Calculates the time until the next turn of this gateway begins, after those that {@link hasOpenTurn} has already determined.
 *
 * @param turns - The gateway's turns, up to date.
 * @param sharers - The gateways that share the limit; undefined while they are not known.
 * @param storeMs - Current time by the store's clock, in milliseconds.
 * @param horizonMs - How far to look ahead, in milliseconds.
 * @returns The time, in milliseconds; Infinity if it lies beyond the horizon or is not known.
 */
export function nextTurnInMs (turns: Turns, sharers: Sharers | undefined, storeMs: number, horizonMs: number): number {
  if (sharers === undefined || !Number.isFinite(storeMs) || turns.perSecond === 0) return Infinity
  const turnMs = MS_PER_SECOND / turns.perSecond
  for (let index = turns.nextIndex; index * turnMs <= storeMs + horizonMs; index++) {
    if (isOwnTurn(turns.seed, index, sharers)) return Math.max(0, index * turnMs - storeMs)
  }
  return Infinity
}

function isOwnTurn (seed: number, index: number, sharers: Sharers): boolean {
  const turnHash = Core.Hash.mix(seed ^ Core.Hash.mix(index))
  const ownWeight = sharers.own.weight ?? MIN_WEIGHT
  const ownScore = scoreOf(turnHash, sharers.own.hash, ownWeight)
  return sharers.others.every(({ hash, weight = ownWeight }) => scoreOf(turnHash, hash, weight) < ownScore)
}

/** Calculates the score of a gateway for a turn. The gateway with the highest score owns the turn; the probability of that is proportional to its weight. */
function scoreOf (turnHash: number, hash: number, weight: number): number {
  const draw = (Core.Hash.mix(turnHash ^ hash) + 0.5) / HASH_RANGE
  return Math.max(MIN_WEIGHT, weight) / -Math.log(draw)
}
