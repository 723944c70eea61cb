/**
 * Evidence on what may crash endpoints: a request with its repeats, or a part of a prompt in whatever requests it comes.
 *
 * Gateways send their evidence to each other. It can be merged in any order.
 *
 * @packageDocumentation
 */

/** An attempt that was cut when its endpoint crashed, or seemed to crash. */
export interface Cut {
  readonly endpointId: string
  /** When the endpoint was started, by its own clock; undefined if it does not report this. */
  readonly bornAtMs: number | undefined
  readonly atMs: number
}

/** The evidence on a request or a part; all times are in milliseconds of the same clock. */
export interface Evidence {
  /** Digest of the request, the same for all of its attempts, or the key of the part. */
  readonly digest: string
  /** One cut for each crash of an endpoint, from oldest to newest. */
  readonly cuts: readonly Cut[]
  /** When it was sent as a trial while quarantined, from oldest to newest. */
  readonly triedAtMs: readonly number[]
  /** When the request last got a complete answer, or when the last complete answer on the part was begun; -Infinity if none was seen. */
  readonly answeredAtMs: number
  /** Keys of the other shared parts that were in all of a part's cut requests, a few at most; undefined for a request, and where no cut says so. */
  readonly sharedWith?: readonly string[] | undefined
}

/** A call with a quarantined request that is sent as a trial. */
export interface Trial {
  readonly sentAtMs: number
  /** Number of its sends that endpoints turned away as not run. */
  readonly refusedCount: number
}

/** Prefix of the keys of parts. Messages and rows carry keys in place of digests, so that builds without parts can read them. */
const PART_PREFIX = 'part:'
/** Time within which cuts at an endpoint that does not report its start time count as one crash, in milliseconds: a crashed endpoint takes seconds to return. */
const SAME_CRASH_MS = 1_000
/** Time within which two reported trials count as the same one, in milliseconds: clocks differ by less. */
const SAME_TRIAL_MS = 1_000
/** Interval at which the sends of one trial are dated, in milliseconds. */
const SEND_DATING_INTERVAL_MS = 2 * SAME_TRIAL_MS
/** Time after a complete answer within which cuts do not count against a request, in milliseconds. */
export const ANSWER_TRUST_MS = 60_000
/** Maximum number of other parts that are kept with a part. */
const SHARED_WITH_LIMIT_COUNT = 4
/** Maximum number of cuts that are kept. */
const CUT_LIMIT_COUNT = 8

/**
 * Returns the key of a part of a prompt.
 *
 * @param partId - The id of the part.
 * @returns The key, which differs from the digest of any request.
 */
export function partKeyOf (partId: string): string {
  return PART_PREFIX + partId
}

/**
 * Returns the id of the part that a key stands for.
 *
 * @param key - The digest of a request or the key of a part.
 * @returns The id; undefined for a request.
 */
export function partIdOf (key: string): string | undefined {
  return key.startsWith(PART_PREFIX) ? key.slice(PART_PREFIX.length) : undefined
}

/**
 * Creates evidence from a single cut.
 *
 * @param digest - The digest of the request, or the key of the part.
 * @param end - Where and when it was cut.
 * @param sharedWith - Keys of the other shared parts of the request, for a part.
 * @returns The evidence.
 */
export function evidenceOfCut (digest: string, end: Cut, sharedWith?: readonly string[]): Evidence {
  return { digest, cuts: [end], triedAtMs: [], answeredAtMs: -Infinity, ...(sharedWith === undefined ? {} : { sharedWith: sharedWith.slice(0, SHARED_WITH_LIMIT_COUNT) }) }
}

/**
 * Merges evidence on the same request or part. A complete answer cancels older cuts and trials; that of a request also those that follow within a while.
 * A part gets no such credit: it may have been harmless until a moment ago, and shared parts are answered all the time.
 *
 * @param current - The current evidence.
 * @param received - The evidence to merge.
 * @returns The merged evidence; the same object as `current` if nothing is new.
 */
export function merge (current: Evidence, received: Evidence): Evidence {
  const answeredAtMs = Math.max(current.answeredAtMs, received.answeredAtMs)
  const trustMs = partIdOf(current.digest) === undefined ? ANSWER_TRUST_MS : 0
  const isLater = (atMs: number): boolean => atMs > answeredAtMs + trustMs
  const cuts = [...current.cuts.filter(({ atMs }) => isLater(atMs))]
  for (const cut of received.cuts) if (isLater(cut.atMs) && !cuts.some(other => isSameCrash(cut, other))) cuts.push(cut)
  const triedAtMs = [...current.triedAtMs.filter(isLater)]
  for (const atMs of received.triedAtMs) if (isLater(atMs) && !triedAtMs.some(otherMs => Math.abs(otherMs - atMs) < SAME_TRIAL_MS)) triedAtMs.push(atMs)
  const sharedWith = current.sharedWith === undefined ? received.sharedWith : current.sharedWith.filter(key => received.sharedWith?.includes(key) !== false)
  const isNew = answeredAtMs > current.answeredAtMs || cuts.length > current.cuts.length || triedAtMs.length > current.triedAtMs.length || sharedWith?.length !== current.sharedWith?.length
  if (!isNew) return current
  return { digest: current.digest, cuts: cuts.sort((a, b) => a.atMs - b.atMs).slice(-CUT_LIMIT_COUNT), triedAtMs: triedAtMs.sort((a, b) => a - b), answeredAtMs, ...(sharedWith === undefined ? {} : { sharedWith }) }
}

/**
 * Checks whether two cuts belong to the same crash: one start of an endpoint crashes once, however many connections to it are cut.
 *
 * @param a - One cut.
 * @param b - The other cut.
 * @returns Whether they do.
 */
export function isSameCrash (a: Cut, b: Cut): boolean {
  if (a.endpointId !== b.endpointId) return false
  return a.bornAtMs === undefined || b.bornAtMs === undefined ? Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS : a.bornAtMs === b.bornAtMs
}

/**
 * Returns the times under which the sends of a trial are reported. Each send that an endpoint turned away counts as a trial, and is dated back so that it is not taken for the same one.
 *
 * @param trial - The trial.
 * @returns The times, in milliseconds, from newest to oldest.
 */
export function datesOfTrial ({ sentAtMs, refusedCount }: Trial): number[] {
  return Array.from({ length: 1 + refusedCount }, (_, at) => sentAtMs - at * SEND_DATING_INTERVAL_MS)
}

/**
 * Checks whether a request or part was cut at a start of an endpoint, which has ended or may have.
 *
 * @param evidence - The evidence on it.
 * @param start - The start of the endpoint.
 * @returns Whether it was; also if only the endpoint is known to be the same.
 */
export function wasCutAt ({ cuts }: Evidence, { endpointId, bornAtMs }: Pick<Cut, 'endpointId' | 'bornAtMs'>): boolean {
  return cuts.some(cut => cut.endpointId === endpointId && (cut.bornAtMs === undefined || bornAtMs === undefined || cut.bornAtMs === bornAtMs))
}

/**
 * Returns when a request or part was last cut or sent as a trial.
 *
 * @param evidence - The evidence on it.
 * @returns The time, in milliseconds.
 */
export function lastActivityAtMs ({ cuts, triedAtMs }: Evidence): number {
  return Math.max(cuts.at(-1)?.atMs ?? -Infinity, triedAtMs.at(-1) ?? -Infinity)
}
