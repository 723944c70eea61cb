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
export type Verdict = 'send' | 'try' | 'keepBack'

/** A request that is kept from endpoints from now on, or not any more. */
export interface Change {
  readonly evidence: Evidence
  readonly isKeptBack: boolean
}

/** The requests that a gateway knows something against. */
export interface Suspects {
  /** Takes what this gateway saw or was told, and what it remembers of answers. Tells whether that was new. */
  learn: (told: Evidence) => boolean
  /** Remembers that a request was answered whole. */
  noteAnswered: (digest: string, atMs: number) => void
  get: (digest: string) => Evidence | undefined
  count: () => number
  keptBack: () => readonly Evidence[]
  keptBackCount: () => number
  /**
   * Decides what is done with a request.
   *
   * @param digest - The request.
   * @param nowMs - The time.
   * @param isFirst - Whether this gateway tries it before others do.
   */
  verdictOf: (digest: string, nowMs: number, isFirst: () => boolean) => Verdict
  /** Forgets what is too old to matter. */
  forget: (nowMs: number) => void
  /** What has changed since this was last asked. */
  takeChanges: () => readonly Change[]
}

/** Ends under a request after which it is kept from endpoints, as the platform allows. */
const END_COUNT = 3
/** After so many ends, one of them explained by no other request, it is kept back even where others were cut with it. */
const CERTAIN_COUNT = 4
/** Cuts at one endpoint that does not tell its starts are one end within so long, in milliseconds: an endpoint that ended is back after seconds. */
const SAME_END_MS = 1_000
/** Tries within so long are one that is told again, in milliseconds: clocks differ by less. */
const SAME_TRY_MS = 1_000
/** A request that is kept back is tried again so long after the last end or try, in milliseconds: bystanders are freed so, and the platform allows three such sends. */
const TRY_AFTER_MS = [10_000, 60_000]
/** Other gateways than the first one wait so many times longer, so that they do not try at the same time. */
const OTHERS_FACTOR = 2
/** Evidence is kept for so long after the last cut, in milliseconds. */
const SUSPECT_MS = 10 * 60_000
/** The same where the request is kept back. */
const KEPT_BACK_MS = 30 * 60_000
/** Cuts so long after a whole answer say nothing against the request, in milliseconds. */
const VOUCHED_MS = 60_000
/** Answered requests that are remembered; some 100 bytes each. */
const ANSWERED_LIMIT_COUNT = 2_048
/** Requests that are remembered; some 200 bytes each. */
const LIMIT_COUNT = 2_048
/** Requests that are dropped together when there are more. */
const DROP_COUNT = 256
/** Cuts that are remembered of one request. */
const CUT_LIMIT_COUNT = 8

/**
 * Makes what one cut says.
 *
 * @param digest - The request.
 * @param end - Where and when it was cut.
 * @returns The evidence.
 */
export function cut (digest: string, end: Cut): Evidence {
  return { digest, cuts: [end], triedAtMs: [], answeredAtMs: -Infinity }
}

/**
 * Merges evidence on one request: a whole answer takes back what is older and for a while what follows.
 *
 * @param known - What is known.
 * @param told - What was seen or told.
 * @returns What holds; the same object as known where nothing is new.
 */
export function merge (known: Evidence, told: Evidence): Evidence {
  const answeredAtMs = Math.max(known.answeredAtMs, told.answeredAtMs)
  const isLater = (atMs: number): boolean => atMs > answeredAtMs + VOUCHED_MS
  const cuts = [...known.cuts.filter(({ atMs }) => isLater(atMs))]
  for (const each of told.cuts) if (isLater(each.atMs) && !cuts.some(other => isSameEnd(each, other))) cuts.push(each)
  const triedAtMs = [...known.triedAtMs.filter(isLater)]
  for (const atMs of told.triedAtMs) if (isLater(atMs) && !triedAtMs.some(otherMs => Math.abs(otherMs - atMs) < SAME_TRY_MS)) triedAtMs.push(atMs)
  const isNew = answeredAtMs > known.answeredAtMs || cuts.length > known.cuts.length || triedAtMs.length > known.triedAtMs.length
  if (!isNew) return known
  return { digest: known.digest, cuts: cuts.sort((a, b) => a.atMs - b.atMs).slice(-CUT_LIMIT_COUNT), triedAtMs: triedAtMs.sort((a, b) => a - b), answeredAtMs }
}

/**
 * Finds the requests that endpoints end under, in the order in which the ends came: one that was found explains all ends that it was cut by.
 *
 * @param all - What is known.
 * @returns The digests of those that explain ends which no other request explains.
 */
export function findCulprits (all: Iterable<Evidence>): ReadonlySet<string> {
  const candidates = [...all].filter(({ cuts }) => cuts.length >= END_COUNT)
  const steps = candidates.flatMap(candidate => candidate.cuts.map((end, at) => ({ candidate, end, endCount: at + 1 })))
  steps.sort((a, b) => a.end.atMs - b.end.atMs || (a.candidate.digest < b.candidate.digest ? -1 : 1))
  const culprits = new Set<Evidence>()
  const wasCut = (evidence: Evidence, end: Cut): boolean => evidence.cuts.some(each => isSameEnd(each, end))
  for (const { candidate, endCount } of steps) {
    const open = candidate.cuts.slice(0, endCount).filter(end => ![...culprits].some(culprit => wasCut(culprit, end)))
    if (culprits.has(candidate) || open.length === 0) continue
    const isCertain = endCount >= CERTAIN_COUNT
    const hasRival = (): boolean => candidates.some(other => other !== candidate && !culprits.has(other) && open.every(end => wasCut(other, end)))
    if (isCertain || (open.length >= END_COUNT && !hasRival())) culprits.add(candidate)
  }
  return new Set([...culprits].map(({ digest }) => digest))
}

/**
 * Creates an empty memory.
 *
 * @returns The memory.
 */
export function createSuspects (): Suspects {
  const table = Core.Table.createTable<Evidence>('suspects')
  /** When requests were answered whole here, in milliseconds, the oldest first. */
  const answered = new Map<string, number>()
  let culprits: ReadonlySet<string> = new Set()
  /** By digest, so that a request that is kept back and freed at once changes nothing. */
  const changes = new Map<string, Change>()
  const judge = (): void => {
    const found = findCulprits(table.rows())
    for (const digest of new Set([...culprits, ...found])) {
      const isKeptBack = found.has(digest)
      if (isKeptBack === culprits.has(digest)) continue
      if (!changes.delete(digest)) changes.set(digest, { evidence: table.get(digest) ?? { digest, cuts: [], triedAtMs: [], answeredAtMs: -Infinity }, isKeptBack })
    }
    culprits = found
  }
  /** Those with the fewest ends go first, then the oldest. */
  const trim = (): void => {
    if (table.count() <= LIMIT_COUNT) return
    const order = [...table.rows()].sort((a, b) => a.cuts.length - b.cuts.length || lastAtMs(a) - lastAtMs(b))
    for (const { digest } of order.slice(0, DROP_COUNT)) table.remove(digest)
  }
  return {
    learn: told => {
      const known = table.get(told.digest)
      const seen = { ...told, answeredAtMs: Math.max(told.answeredAtMs, answered.get(told.digest) ?? -Infinity) }
      const merged = merge(known ?? { digest: told.digest, cuts: [], triedAtMs: [], answeredAtMs: -Infinity }, seen)
      if (merged === known || (known === undefined && told.cuts.length === 0)) return false
      table.set(told.digest, merged)
      trim()
      if (merged.cuts.length >= END_COUNT || culprits.has(told.digest)) judge()
      return true
    },
    noteAnswered: (digest, atMs) => {
      answered.delete(digest)
      answered.set(digest, atMs)
      const oldest = answered.keys().next()
      if (answered.size > ANSWERED_LIMIT_COUNT && oldest.done !== true) answered.delete(oldest.value)
    },
    get: table.get,
    count: table.count,
    keptBackCount: () => culprits.size,
    keptBack: () => [...culprits].flatMap(digest => table.get(digest) ?? []),
    verdictOf: (digest, nowMs, isFirst) => {
      const evidence = culprits.has(digest) ? table.get(digest) : undefined
      if (evidence === undefined) return 'send'
      const waitMs = TRY_AFTER_MS[evidence.triedAtMs.length] ?? Infinity
      return nowMs - lastAtMs(evidence) >= (isFirst() ? waitMs : OTHERS_FACTOR * waitMs) ? 'try' : 'keepBack'
    },
    forget: nowMs => {
      const isStale = (evidence: Evidence): boolean =>
        evidence.cuts.length === 0 ? nowMs - evidence.answeredAtMs > VOUCHED_MS : nowMs - lastAtMs(evidence) > (culprits.has(evidence.digest) ? KEPT_BACK_MS : SUSPECT_MS)
      const stale = [...table.rows()].filter(isStale)
      for (const { digest } of stale) table.remove(digest)
      if (stale.length > 0) judge()
    },
    takeChanges: () => {
      const taken = [...changes.values()]
      changes.clear()
      return taken
    }
  }
}

/** When the request last ended an endpoint or was tried, in milliseconds. */
function lastAtMs ({ cuts, triedAtMs }: Evidence): number {
  return Math.max(cuts.at(-1)?.atMs ?? -Infinity, triedAtMs.at(-1) ?? -Infinity)
}

/** One start of an endpoint ends once, however often connections to it are cut. */
function isSameEnd (a: Cut, b: Cut): boolean {
  if (a.endpointId !== b.endpointId) return false
  return a.bornAtMs === undefined || b.bornAtMs === undefined ? Math.abs(a.atMs - b.atMs) < SAME_END_MS : a.bornAtMs === b.bornAtMs
}
