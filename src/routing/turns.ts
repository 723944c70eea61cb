/**
 * Shares a rate among gateways that do not ask one another.
 *
 * Answers bounds on what all gateways together send to an endpoint, where the share of each may be
 * far below one call. The store's time is divided into turns of one call each, and each turn belongs
 * to one gateway by rendezvous hash, weighted by what the callers of each gateway ask for. So the sum keeps to the rate whatever the number of gateways, a
 * gateway that is gone leaves only its own turns unused, and gateways whose lists differ by one
 * disagree on the turns of that one alone.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** A gateway that shares a rate. */
export interface Sharer {
  /** Hash of its name. */
  readonly hash: number
  /** Its part of the turns, in calls a second that it is asked for; undefined while it has not told. */
  weight: number | undefined
}

/** The gateways that share a rate. */
export interface Sharers {
  readonly own: Sharer
  readonly others: readonly Sharer[]
}

/** The turns of one gateway at one endpoint. */
export interface Turns {
  /** Tells the turns of one endpoint from those of another. */
  readonly seed: number
  /** A turn may still be used so long after it began, in milliseconds, where turns are shorter: a window holds the calls of so much more time than its own. */
  readonly lifetimeMs: number
  perSecond: number
  /** The first turn of which the owner was not worked out yet. */
  nextIndex: number
  /** When the own turns that are still unused began, by the store's clock, in milliseconds, the oldest first. */
  unusedAtMs: number[]
}

/** The slowest rate, in calls a second: without any call no answer could tell that a limit has ended. */
const MIN_CALLS_PER_SECOND = 0.1
/** Rates above this one bind nothing, in calls a second: no endpoint is sent as many, and the turns of each second are worked out one by one. */
const MAX_CALLS_PER_SECOND = 1_000
/** The weight of a gateway that is asked for less, in calls a second: it may be asked for more before it has told. */
const MIN_WEIGHT = 1
const HASH_RANGE = 2 ** 32
const MS_PER_SECOND = 1_000

/**
 * Makes a sharer that has not told its weight.
 *
 * @param name - The name of the gateway.
 * @returns The sharer.
 */
export function createSharer (name: string): Sharer {
  return { hash: Core.Hash.rankOf(name), weight: undefined }
}

/**
 * Makes the sharers.
 *
 * @param ownName - The name of this gateway.
 * @param otherNames - The names of the others.
 * @returns The sharers.
 */
export function createSharers (ownName: string, otherNames: readonly string[]): Sharers {
  return { own: createSharer(ownName), others: otherNames.map(createSharer) }
}

/**
 * Creates the turns at an endpoint.
 *
 * @param endpointId - The endpoint.
 * @param lifetimeMs - How long a turn may still be used, in milliseconds.
 * @returns The turns.
 */
export function createTurns (endpointId: string, lifetimeMs: number): Turns {
  return { seed: Core.Hash.rankOf(endpointId), lifetimeMs, perSecond: 0, nextIndex: 0, unusedAtMs: [] }
}

/**
 * Tells whether this gateway may send a call now.
 *
 * @param turns - Its turns, which are brought up to date.
 * @param limitPerSecond - Calls a second from all gateways together.
 * @param sharers - The gateways; undefined while they are not known, when none is sent.
 * @param storeMs - The store's time, in milliseconds; not finite while it is not known.
 * @returns Whether a turn is unused.
 */
export function hasOpenTurn (turns: Turns, limitPerSecond: number, sharers: Sharers | undefined, storeMs: number): boolean {
  if (limitPerSecond > MAX_CALLS_PER_SECOND) return true
  if (sharers === undefined || !Number.isFinite(storeMs)) return false
  const perSecond = Math.max(MIN_CALLS_PER_SECOND, limitPerSecond)
  const turnMs = MS_PER_SECOND / perSecond
  const nowIndex = Math.floor(storeMs / turnMs)
  // A whole turn goes unused after each change, so that a rate that changes with every answer does not add calls.
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
 * Uses a turn up.
 *
 * @param turns - The turns.
 */
export function useTurn (turns: Turns): void {
  turns.unusedAtMs.shift()
}

/**
 * Works out when the next turn of this gateway begins, after those that {@link hasOpenTurn} has seen.
 *
 * @param turns - Its turns, up to date.
 * @param sharers - The gateways; undefined while they are not known.
 * @param storeMs - The store's time, in milliseconds.
 * @param horizonMs - How far to look, in milliseconds.
 * @returns The time until then, in milliseconds; Infinity beyond the horizon.
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

/** The highest score has the turn; the chance of that is proportional to the weight. */
function scoreOf (turnHash: number, hash: number, weight: number): number {
  const draw = (Core.Hash.mix(turnHash ^ hash) + 0.5) / HASH_RANGE
  return Math.max(MIN_WEIGHT, weight) / -Math.log(draw)
}
