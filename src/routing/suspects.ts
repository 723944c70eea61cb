/**
 * Requests under which endpoints end, and which of them are kept from endpoints.
 *
 * Answers requests that crash each endpoint that runs them and come again under new ids at any
 * gateway. Everything that runs at an endpoint is cut with it, so the evidence is weighed together:
 * an end that is put down to one request speaks against no other, and of several that were always cut
 * together none is singled out. A whole answer speaks for a request for a while. Gateways tell one another what
 * they saw; evidence is merged in any order, and what follows from it is worked out anew each time.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** An attempt that was cut when its endpoint ended, or seemed to. */
export interface Cut {
  readonly endpointId: string
  /** When the endpoint was started, by its own clock; undefined where it does not say. */
  readonly bornAtMs: number | undefined
  readonly atMs: number
}

/** What is known of a request, with times of one clock in milliseconds. */
export interface Evidence {
  /** Names the request whatever the attempt. */
  readonly digest: string
  /** The oldest first, one for each end of an endpoint. */
  readonly cuts: readonly Cut[]
  /** When the request was tried again although it is kept from endpoints, the oldest first. */
  readonly triedAtMs: readonly number[]
  /** When it was last answered whole; -Infinity where that was not seen. */
  readonly answeredAtMs: number
}

/** What is done with a request. */
export type RequestAction = 'send' | 'try' | 'keepBack'

/** A request that is kept from endpoints from now on, or not any more. */
export interface QuarantineChange {
  readonly evidence: Evidence
  readonly isQuarantined: boolean
}

/** The requests that a gateway knows something against. */
export interface Suspects {
  /** Takes what this gateway saw or was told, and what it remembers of answers. Tells whether that was new. */
  addEvidence: (received: Evidence) => boolean
  /** Remembers that a request was answered whole. */
  recordAnswer: (digest: string, atMs: number) => void
  get: (digest: string) => Evidence | undefined
  count: () => number
  quarantined: () => readonly Evidence[]
  quarantinedCount: () => number
  /**
   * Decides what is done with a request.
   *
   * @param digest - The request.
   * @param nowMs - The time.
   * @param isFirstToTry - Whether this gateway tries it before others do.
   */
  actionOf: (digest: string, nowMs: number, isFirstToTry: () => boolean) => RequestAction
  /** Forgets what is too old to matter. */
  removeExpired: (nowMs: number) => void
  /** What has changed since this was last asked. */
  takeChanges: () => readonly QuarantineChange[]
}

/** Ends under a request after which it is kept from endpoints, as the platform allows. */
const QUARANTINE_CRASH_COUNT = 3
/** After so many ends, one of them explained by no other request, it is kept back even where others were cut with it. */
const CERTAIN_CRASH_COUNT = 4
/** Cuts at one endpoint that does not tell its starts are one end within so long, in milliseconds: an endpoint that ended is back after seconds. */
const SAME_CRASH_MS = 1_000
/** Tries within so long are one that is told again, in milliseconds: clocks differ by less. */
const SAME_TRIAL_MS = 1_000
/** A request that is kept back is tried again so long after the last end or try, in milliseconds: bystanders are freed so, and the platform allows three such sends. */
const TRIAL_DELAYS_MS = [10_000, 60_000]
/** Other gateways than the first one wait so many times longer, so that they do not try at the same time. */
const OTHER_GATEWAYS_DELAY_FACTOR = 2
/** Evidence is kept for so long after the last cut, in milliseconds. */
const EVIDENCE_RETENTION_MS = 10 * 60_000
/** The same where the request is kept back. */
const QUARANTINE_RETENTION_MS = 30 * 60_000
/** Cuts so long after a whole answer say nothing against the request, in milliseconds. */
const ANSWER_TRUST_MS = 60_000
/** Answered requests that are remembered; some 100 bytes each. */
const ANSWERED_LIMIT_COUNT = 2_048
/** Requests that are remembered; some 200 bytes each. */
const REQUEST_LIMIT_COUNT = 2_048
/** Requests that are dropped together when there are more. */
const EVICTION_BATCH_COUNT = 256
/** Cuts that are remembered of one request. */
const CUT_LIMIT_COUNT = 8

/**
 * Makes what one cut says.
 *
 * @param digest - The request.
 * @param end - Where and when it was cut.
 * @returns The evidence.
 */
export function evidenceOfCut (digest: string, end: Cut): Evidence {
  return { digest, cuts: [end], triedAtMs: [], answeredAtMs: -Infinity }
}

/**
 * Merges evidence on one request: a whole answer takes back what is older and for a while what follows.
 *
 * @param current - What is known.
 * @param received - What was seen or told.
 * @returns What holds; the same object as known where nothing is new.
 */
export function merge (current: Evidence, received: Evidence): Evidence {
  const answeredAtMs = Math.max(current.answeredAtMs, received.answeredAtMs)
  const isLater = (atMs: number): boolean => atMs > answeredAtMs + ANSWER_TRUST_MS
  const cuts = [...current.cuts.filter(({ atMs }) => isLater(atMs))]
  for (const each of received.cuts) if (isLater(each.atMs) && !cuts.some(other => isSameCrash(each, other))) cuts.push(each)
  const triedAtMs = [...current.triedAtMs.filter(isLater)]
  for (const atMs of received.triedAtMs) if (isLater(atMs) && !triedAtMs.some(otherMs => Math.abs(otherMs - atMs) < SAME_TRIAL_MS)) triedAtMs.push(atMs)
  const isNew = answeredAtMs > current.answeredAtMs || cuts.length > current.cuts.length || triedAtMs.length > current.triedAtMs.length
  if (!isNew) return current
  return { digest: current.digest, cuts: cuts.sort((a, b) => a.atMs - b.atMs).slice(-CUT_LIMIT_COUNT), triedAtMs: triedAtMs.sort((a, b) => a - b), answeredAtMs }
}

/**
 * Finds the requests that endpoints end under, in the order in which the ends came: one that was found explains all ends that it was cut by.
 *
 * @param evidenceList - What is known.
 * @returns The digests of those that explain ends which no other request explains.
 */
export function findCrashingRequests (evidenceList: Iterable<Evidence>): ReadonlySet<string> {
  const candidates = [...evidenceList].filter(({ cuts }) => cuts.length >= QUARANTINE_CRASH_COUNT)
  const steps = candidates.flatMap(candidate => candidate.cuts.map((end, at) => ({ candidate, end, crashCount: at + 1 })))
  steps.sort((a, b) => a.end.atMs - b.end.atMs || (a.candidate.digest < b.candidate.digest ? -1 : 1))
  const crashing = new Set<Evidence>()
  const wasCut = (evidence: Evidence, end: Cut): boolean => evidence.cuts.some(each => isSameCrash(each, end))
  for (const { candidate, crashCount: endCount } of steps) {
    const unexplained = candidate.cuts.slice(0, endCount).filter(end => ![...crashing].some(culprit => wasCut(culprit, end)))
    if (crashing.has(candidate) || unexplained.length === 0) continue
    const isCertain = endCount >= CERTAIN_CRASH_COUNT
    const hasAlternative = (): boolean => candidates.some(other => other !== candidate && !crashing.has(other) && unexplained.every(end => wasCut(other, end)))
    if (isCertain || (unexplained.length >= QUARANTINE_CRASH_COUNT && !hasAlternative())) crashing.add(candidate)
  }
  return new Set([...crashing].map(({ digest }) => digest))
}

/**
 * Creates an empty memory.
 *
 * @returns The memory.
 */
export function createSuspects (): Suspects {
  const table = Core.Table.createTable<Evidence>('suspects')
  /** When requests were answered whole here, in milliseconds, the oldest first. */
  const answeredHereAtMs = new Map<string, number>()
  let crashing: ReadonlySet<string> = new Set()
  /** By digest, so that a request that is kept back and freed at once changes nothing. */
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
  /** Those with the fewest ends go first, then the oldest. */
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

/** When the request last ended an endpoint or was tried, in milliseconds. */
function lastActivityAtMs ({ cuts, triedAtMs }: Evidence): number {
  return Math.max(cuts.at(-1)?.atMs ?? -Infinity, triedAtMs.at(-1) ?? -Infinity)
}

/** One start of an endpoint ends once, however often connections to it are cut. */
function isSameCrash (a: Cut, b: Cut): boolean {
  if (a.endpointId !== b.endpointId) return false
  return a.bornAtMs === undefined || b.bornAtMs === undefined ? Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS : a.bornAtMs === b.bornAtMs
}
