/**
 * Identifies requests that crash endpoints and puts them in quarantine.
 *
 * Such a request crashes every endpoint that runs it and is sent again under new ids at any gateway.
 * A crash cuts everything that runs at the endpoint, so the evidence on all requests is evaluated
 * together: a crash that is attributed to one request does not count against others, and among requests
 * that were always cut together none is singled out. A complete answer clears a request for a while.
 * Gateways send their evidence to each other. It can be merged in any order, and the quarantine is
 * recomputed from it each time.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** An attempt that was cut when its endpoint crashed, or seemed to crash. */
export interface Cut {
  readonly endpointId: string
  /** When the endpoint was started, by its own clock; undefined if it does not report this. */
  readonly bornAtMs: number | undefined
  readonly atMs: number
}

/** The evidence on a request; all times are in milliseconds of the same clock. */
export interface Evidence {
  /** Digest of the request, the same for all of its attempts. */
  readonly digest: string
  /** One cut for each crash of an endpoint, from oldest to newest. */
  readonly cuts: readonly Cut[]
  /** When the quarantined request was sent as a trial, from oldest to newest. */
  readonly triedAtMs: readonly number[]
  /** When the request last got a complete answer; -Infinity if none was seen. */
  readonly answeredAtMs: number
}

/** What to do with a request: send it normally, send it as a trial, or refuse it. */
export type RequestAction = 'send' | 'try' | 'keepBack'

/** A request that has entered or left quarantine. */
export interface QuarantineChange {
  readonly evidence: Evidence
  readonly isQuarantined: boolean
}

/** The requests on which a gateway has evidence. */
export interface Suspects {
  /** Merges evidence that this gateway saw or received, together with the answers that it recorded. Returns whether any of it was new. */
  addEvidence: (received: Evidence) => boolean
  /** Records that a request got a complete answer. */
  recordAnswer: (digest: string, atMs: number) => void
  get: (digest: string) => Evidence | undefined
  count: () => number
  quarantined: () => readonly Evidence[]
  quarantinedCount: () => number
  /**
   * Decides what to do with a request.
   *
   * @param digest - The digest of the request.
   * @param nowMs - The current time, in milliseconds.
   * @param isFirstToTry - Returns whether this gateway sends the trials of the request before other gateways do.
   * @returns The action.
   */
  actionOf: (digest: string, nowMs: number, isFirstToTry: () => boolean) => RequestAction
  /** Removes evidence whose retention time has passed. */
  removeExpired: (nowMs: number) => void
  /** Returns the changes of the quarantine since the last call. */
  takeChanges: () => readonly QuarantineChange[]
}

/** Number of crashes after which a request is quarantined, as the platform allows. */
const QUARANTINE_CRASH_COUNT = 3
/** Number of crashes, at least one of them not explained by another request, after which a request is quarantined even if others were always cut together with it. */
const CERTAIN_CRASH_COUNT = 4
/** Time within which cuts at an endpoint that does not report its start time count as one crash, in milliseconds: a crashed endpoint takes seconds to return. */
const SAME_CRASH_MS = 1_000
/** Time within which two reported trials count as the same one, in milliseconds: clocks differ by less. */
const SAME_TRIAL_MS = 1_000
/** Delays after the last crash or trial before a quarantined request is sent as a trial, in milliseconds: a trial releases a request that was quarantined by mistake, and the platform allows three such sends. */
const TRIAL_DELAYS_MS = [10_000, 60_000]
/** Factor by which the other gateways wait longer than the first one, so that they do not send trials at the same time. */
const OTHER_GATEWAYS_DELAY_FACTOR = 2
/** Time for which evidence is kept after the last cut or trial, in milliseconds. */
const EVIDENCE_RETENTION_MS = 10 * 60_000
/** Time for which evidence on a quarantined request is kept after the last cut or trial, in milliseconds. */
const QUARANTINE_RETENTION_MS = 30 * 60_000
/** Time after a complete answer within which cuts do not count against the request, in milliseconds. */
const ANSWER_TRUST_MS = 60_000
/** Maximum number of answered requests that are kept; about 100 bytes each. */
const ANSWERED_LIMIT_COUNT = 2_048
/** Maximum number of requests on which evidence is kept; about 200 bytes each. */
const REQUEST_LIMIT_COUNT = 2_048
/** Number of requests that are evicted at once when there are more. */
const EVICTION_BATCH_COUNT = 256
/** Maximum number of cuts that are kept for one request. */
const CUT_LIMIT_COUNT = 8

/**
 * Creates evidence from a single cut.
 *
 * @param digest - The digest of the request.
 * @param end - Where and when the request was cut.
 * @returns The evidence.
 */
export function evidenceOfCut (digest: string, end: Cut): Evidence {
  return { digest, cuts: [end], triedAtMs: [], answeredAtMs: -Infinity }
}

/**
 * Merges evidence on the same request. A complete answer cancels older cuts and trials, and those that follow within a while.
 *
 * @param current - The current evidence.
 * @param received - The evidence to merge.
 * @returns The merged evidence; the same object as `current` if nothing is new.
 */
export function merge (current: Evidence, received: Evidence): Evidence {
  const answeredAtMs = Math.max(current.answeredAtMs, received.answeredAtMs)
  const isLater = (atMs: number): boolean => atMs > answeredAtMs + ANSWER_TRUST_MS
  const cuts = [...current.cuts.filter(({ atMs }) => isLater(atMs))]
  for (const cut of received.cuts) if (isLater(cut.atMs) && !cuts.some(other => isSameCrash(cut, other))) cuts.push(cut)
  const triedAtMs = [...current.triedAtMs.filter(isLater)]
  for (const atMs of received.triedAtMs) if (isLater(atMs) && !triedAtMs.some(otherMs => Math.abs(otherMs - atMs) < SAME_TRIAL_MS)) triedAtMs.push(atMs)
  const isNew = answeredAtMs > current.answeredAtMs || cuts.length > current.cuts.length || triedAtMs.length > current.triedAtMs.length
  if (!isNew) return current
  return { digest: current.digest, cuts: cuts.sort((a, b) => a.atMs - b.atMs).slice(-CUT_LIMIT_COUNT), triedAtMs: triedAtMs.sort((a, b) => a - b), answeredAtMs }
}

/**
 * Finds the requests that crash endpoints, in the order of the crashes: a request that was found explains all crashes that cut it.
 *
 * @param evidenceList - The evidence on all requests.
 * @returns The digests of the requests that explain crashes which no other request explains.
 */
export function findCrashingRequests (evidenceList: Iterable<Evidence>): ReadonlySet<string> {
  const candidates = [...evidenceList].filter(({ cuts }) => cuts.length >= QUARANTINE_CRASH_COUNT)
  const steps = candidates.flatMap(candidate => candidate.cuts.map((end, at) => ({ candidate, end, crashCount: at + 1 })))
  steps.sort((a, b) => a.end.atMs - b.end.atMs || (a.candidate.digest < b.candidate.digest ? -1 : 1))
  const crashing = new Set<Evidence>()
  const wasCut = (evidence: Evidence, end: Cut): boolean => evidence.cuts.some(each => isSameCrash(each, end))
  for (const { candidate, crashCount } of steps) {
    const unexplained = candidate.cuts.slice(0, crashCount).filter(end => ![...crashing].some(explaining => wasCut(explaining, end)))
    if (crashing.has(candidate) || unexplained.length === 0) continue
    const isCertain = crashCount >= CERTAIN_CRASH_COUNT
    const hasAlternative = (): boolean => candidates.some(other => other !== candidate && !crashing.has(other) && unexplained.every(end => wasCut(other, end)))
    if (isCertain || (unexplained.length >= QUARANTINE_CRASH_COUNT && !hasAlternative())) crashing.add(candidate)
  }
  return new Set([...crashing].map(({ digest }) => digest))
}

/**
 * Creates an empty collection of evidence.
 *
 * @returns The collection.
 */
export function createSuspects (): Suspects {
  const table = Core.Table.createTable<Evidence>('suspects')
  /** When requests got complete answers at this gateway, in milliseconds, from oldest to newest. */
  const answeredHereAtMs = new Map<string, number>()
  let crashing: ReadonlySet<string> = new Set()
  /** By digest, so that entering and leaving quarantine between two reads cancel out. */
  const changes = new Map<string, QuarantineChange>()
  const updateQuarantine = (): void => {
    const updated = findCrashingRequests(table.rows())
    for (const digest of new Set([...crashing, ...updated])) {
      const isQuarantined = updated.has(digest)
      if (isQuarantined === crashing.has(digest)) continue
      if (!changes.delete(digest)) changes.set(digest, { evidence: table.get(digest) ?? { digest, cuts: [], triedAtMs: [], answeredAtMs: -Infinity }, isQuarantined })
    }
    crashing = updated
  }
  /** Evicts the requests with the fewest crashes first, then the oldest. */
  const evictExcess = (): void => {
    if (table.count() <= REQUEST_LIMIT_COUNT) return
    const order = [...table.rows()].sort((a, b) => a.cuts.length - b.cuts.length || lastActivityAtMs(a) - lastActivityAtMs(b))
    for (const { digest } of order.slice(0, EVICTION_BATCH_COUNT)) table.remove(digest)
  }
  return {
    addEvidence: received => {
      const current = table.get(received.digest)
      const combined = { ...received, answeredAtMs: Math.max(received.answeredAtMs, answeredHereAtMs.get(received.digest) ?? -Infinity) }
      const merged = merge(current ?? { digest: received.digest, cuts: [], triedAtMs: [], answeredAtMs: -Infinity }, combined)
      if (merged === current || (current === undefined && received.cuts.length === 0)) return false
      table.set(received.digest, merged)
      evictExcess()
      if (merged.cuts.length >= QUARANTINE_CRASH_COUNT || crashing.has(received.digest)) updateQuarantine()
      return true
    },
    recordAnswer: (digest, atMs) => {
      answeredHereAtMs.delete(digest)
      answeredHereAtMs.set(digest, atMs)
      const oldest = answeredHereAtMs.keys().next()
      if (answeredHereAtMs.size > ANSWERED_LIMIT_COUNT && oldest.done !== true) answeredHereAtMs.delete(oldest.value)
    },
    get: table.get,
    count: table.count,
    quarantinedCount: () => crashing.size,
    quarantined: () => [...crashing].flatMap(digest => table.get(digest) ?? []),
    actionOf: (digest, nowMs, isFirstToTry) => {
      const evidence = crashing.has(digest) ? table.get(digest) : undefined
      if (evidence === undefined) return 'send'
      const waitMs = TRIAL_DELAYS_MS[evidence.triedAtMs.length] ?? Infinity
      return nowMs - lastActivityAtMs(evidence) >= (isFirstToTry() ? waitMs : OTHER_GATEWAYS_DELAY_FACTOR * waitMs) ? 'try' : 'keepBack'
    },
    removeExpired: nowMs => {
      const isStale = (evidence: Evidence): boolean =>
        evidence.cuts.length === 0 ? nowMs - evidence.answeredAtMs > ANSWER_TRUST_MS : nowMs - lastActivityAtMs(evidence) > (crashing.has(evidence.digest) ? QUARANTINE_RETENTION_MS : EVIDENCE_RETENTION_MS)
      const stale = [...table.rows()].filter(isStale)
      for (const { digest } of stale) table.remove(digest)
      if (stale.length > 0) updateQuarantine()
    },
    takeChanges: () => {
      const taken = [...changes.values()]
      changes.clear()
      return taken
    }
  }
}

/** Returns when the request was last cut or sent as a trial, in milliseconds. */
function lastActivityAtMs ({ cuts, triedAtMs }: Evidence): number {
  return Math.max(cuts.at(-1)?.atMs ?? -Infinity, triedAtMs.at(-1) ?? -Infinity)
}

/** Checks whether two cuts belong to the same crash: one start of an endpoint crashes once, however many connections to it are cut. */
function isSameCrash (a: Cut, b: Cut): boolean {
  if (a.endpointId !== b.endpointId) return false
  return a.bornAtMs === undefined || b.bornAtMs === undefined ? Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS : a.bornAtMs === b.bornAtMs
}
