/**
 * Requests under which endpoints end, and which of them are kept from endpoints.
 *
 * Answers requests that crash each endpoint that runs them and come again under new ids at any
 * gateway. Everything that runs at an endpoint is cut with it, so the evidence is weighed together:
 * an end that is put down to one request speaks against no other, and of several that were always cut
 * together none is singled out. A whole answer speaks for a request. Gateways tell one another what
 * they saw; evidence is merged in any order, and what follows from it is worked out anew each time.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** An attempt that was cut when its endpoint ended, or seemed to. */
export interface Cut {
  readonly endpointId: string
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
  /** Takes what this gateway saw or was told. Tells whether that was new. */
  learn: (told: Evidence) => boolean
  get: (digest: string) => Evidence | undefined
  count: () => number
  keptBack: () => readonly Evidence[]
  verdictOf: (digest: string, nowMs: number) => Verdict
  /** Forgets what is too old to matter. */
  forget: (nowMs: number) => void
  /** What has changed since this was last asked. */
  takeChanges: () => readonly Change[]
}

/** Ends under a request after which it is kept from endpoints, as the platform allows. */
const END_COUNT = 3
/** After so many ends it is kept back even where others were always cut with it. */
const CERTAIN_COUNT = 5
/** Cuts at one endpoint within so long are one end, in milliseconds: an endpoint that ended is back after seconds. */
const SAME_END_MS = 1_000
/** A request that is kept back is tried again so long after the last end or try, in milliseconds: bystanders are freed so, and the platform allows three such sends. */
const TRY_AFTER_MS = [10_000, 60_000]
/** Evidence is kept for so long after the last cut, in milliseconds. */
const SUSPECT_MS = 10 * 60_000
/** The same where the request is kept back. */
const KEPT_BACK_MS = 30 * 60_000
/** An answer is remembered for so long, in milliseconds, since older cuts may still be told. */
const ANSWERED_MS = 30_000
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
 * @param endpointId - Where it was cut.
 * @param atMs - When, in milliseconds.
 * @returns The evidence.
 */
export function cut (digest: string, endpointId: string, atMs: number): Evidence {
  return { digest, cuts: [{ endpointId, atMs }], triedAtMs: [], answeredAtMs: -Infinity }
}

/**
 * Merges evidence on one request: a whole answer takes back what is older.
 *
 * @param known - What is known.
 * @param told - What was seen or told.
 * @returns What holds; the same object as known where nothing is new.
 */
export function merge (known: Evidence, told: Evidence): Evidence {
  const answeredAtMs = Math.max(known.answeredAtMs, told.answeredAtMs)
  const isLater = (atMs: number): boolean => atMs > answeredAtMs
  const cuts = [...known.cuts.filter(({ atMs }) => isLater(atMs))]
  for (const each of told.cuts) if (isLater(each.atMs) && !cuts.some(other => isSameEnd(each, other))) cuts.push(each)
  const triedAtMs = [...known.triedAtMs.filter(isLater)]
  for (const atMs of told.triedAtMs) if (isLater(atMs) && !triedAtMs.some(otherMs => Math.abs(otherMs - atMs) < SAME_END_MS)) triedAtMs.push(atMs)
  const isNew = answeredAtMs > known.answeredAtMs || cuts.length > known.cuts.length || triedAtMs.length > known.triedAtMs.length
  if (!isNew) return known
  return { digest: known.digest, cuts: cuts.sort((a, b) => a.atMs - b.atMs).slice(-CUT_LIMIT_COUNT), triedAtMs: triedAtMs.sort((a, b) => a - b), answeredAtMs }
}

/**
 * Finds the requests that endpoints end under.
 *
 * @param all - What is known.
 * @returns The digests of those that explain ends which no other request explains.
 */
export function findCulprits (all: Iterable<Evidence>): ReadonlySet<string> {
  const candidates = [...all].filter(({ cuts }) => cuts.length >= END_COUNT).sort((a, b) => b.cuts.length - a.cuts.length || (a.digest < b.digest ? -1 : 1))
  const culprits: Evidence[] = []
  const wasCut = (evidence: Evidence, end: Cut): boolean => evidence.cuts.some(each => isSameEnd(each, end))
  for (const candidate of candidates) {
    const open = candidate.cuts.filter(end => !culprits.some(culprit => wasCut(culprit, end)))
    if (open.length < END_COUNT) continue
    const hasRival = candidates.some(other => other !== candidate && !culprits.includes(other) && open.every(end => wasCut(other, end)))
    if (!hasRival || open.length >= CERTAIN_COUNT) culprits.push(candidate)
  }
  return new Set(culprits.map(({ digest }) => digest))
}

/**
 * Creates an empty memory.
 *
 * @returns The memory.
 */
export function createSuspects (): Suspects {
  const table = Core.Table.createTable<Evidence>('suspects')
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
      const merged = merge(known ?? { digest: told.digest, cuts: [], triedAtMs: [], answeredAtMs: -Infinity }, told)
      if (merged === known || (known === undefined && merged.cuts.length === 0)) return false
      table.set(told.digest, merged)
      trim()
      if (merged.cuts.length >= END_COUNT || culprits.has(told.digest)) judge()
      return true
    },
    get: table.get,
    count: table.count,
    keptBack: () => [...culprits].flatMap(digest => table.get(digest) ?? []),
    verdictOf: (digest, nowMs) => {
      const evidence = culprits.has(digest) ? table.get(digest) : undefined
      if (evidence === undefined) return 'send'
      const waitMs = TRY_AFTER_MS[evidence.triedAtMs.length] ?? Infinity
      return nowMs - lastAtMs(evidence) >= waitMs ? 'try' : 'keepBack'
    },
    forget: nowMs => {
      const isStale = (evidence: Evidence): boolean =>
        evidence.cuts.length === 0 ? nowMs - evidence.answeredAtMs > ANSWERED_MS : nowMs - lastAtMs(evidence) > (culprits.has(evidence.digest) ? KEPT_BACK_MS : SUSPECT_MS)
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

function isSameEnd (a: Cut, b: Cut): boolean {
  return a.endpointId === b.endpointId && Math.abs(a.atMs - b.atMs) < SAME_END_MS
}
