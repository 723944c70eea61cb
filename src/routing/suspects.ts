/**
 * Identifies requests that crash endpoints and puts them in quarantine, with their parts (`CrashingParts`).
 *
 * Such a request crashes every endpoint that runs it and is sent again under new ids at any gateway.
 * A crash cuts everything that runs at the endpoint, so the evidence on all requests is evaluated
 * together: a crash that is attributed to one request does not count against others, and among requests
 * that were always cut together none is singled out. A complete answer clears a request for a while.
 * The quarantine is recomputed from the evidence when it is asked for after a change, once for all the evidence that a crash brings.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as CrashingParts from './crashingParts.ts'
import * as Evidence from './evidence.ts'

/** What to do with a request: send it normally, send it as a trial, or refuse it. */
export type RequestAction = 'send' | 'try' | 'keepBack'

/** A request or a part that has entered or left quarantine. */
export interface QuarantineChange {
  readonly evidence: Evidence.Evidence
  readonly isQuarantined: boolean
  /** Keys of the parts that a request has to have together to be quarantined; empty for a request. */
  readonly group: CrashingParts.PartGroup
}

/** The requests and parts on which a gateway has evidence. */
export interface Suspects {
  /** Merges evidence that this gateway saw or received, together with the answers that it recorded. Returns whether any of it was new. */
  addEvidence: (received: Evidence.Evidence) => boolean
  /** Records that a request got a complete answer. */
  recordAnswer: (digest: string, atMs: number) => void
  get: (digest: string) => Evidence.Evidence | undefined
  count: () => number
  /** Number of parts on which there is evidence. */
  partCount: () => number
  /** Returns the evidence on all requests and parts that are quarantined. */
  quarantined: () => readonly Evidence.Evidence[]
  quarantinedCount: () => number
  /** Returns those of a request's keys because of which it is quarantined. */
  quarantinedKeysOf: (keys: readonly string[]) => readonly string[]
  /** Returns whether a request has a part on which no answer was completed during its last incidents, so that it may crash another endpoint. */
  isSuspected: (keys: readonly string[]) => boolean
  /**
   * Decides what to do with a request.
   *
   * @param keys - The digest of the request and the keys of its shared parts.
   * @param nowMs - The current time, in milliseconds.
   * @param isFirstToTry - Returns whether this gateway sends the trials of a digest or part before other gateways do.
   * @returns The action.
   */
  actionOf: (keys: readonly string[], nowMs: number, isFirstToTry: (key: string) => boolean) => RequestAction
  /**
   * Decides whether a trial that provably did not run is repeated at once: if nothing was learned since, and not more sends reach endpoints than there are trials.
   *
   * @param keys - The digest of the request and the keys of its shared parts.
   * @param trial - The trial so far.
   * @returns Whether it is repeated; true if the request is not quarantined any more.
   */
  mayRepeatTrial: (keys: readonly string[], trial: Evidence.Trial) => boolean
  /** Removes evidence whose retention time has passed. */
  removeExpired: (nowMs: number) => void
  /** Returns the changes of the quarantine since the last call. */
  takeChanges: () => readonly QuarantineChange[]
}

/** Number of crashes after which a request is quarantined, as the platform allows. */
const QUARANTINE_CRASH_COUNT = 3
/** Number of crashes, at least one of them not explained by another request, after which a request is quarantined even if others were always cut together with it. */
const CERTAIN_CRASH_COUNT = 4
/** Delays after the last crash or trial before a quarantined request is sent as a trial, in milliseconds: a trial releases a request that was quarantined by mistake, and the platform allows three such sends. */
const TRIAL_DELAYS_MS = [10_000, 60_000]
/** The same delays for parts, in milliseconds. The first trial follows soon: sound requests share a part that was quarantined by mistake, and the platform allows more crashes. */
const PART_TRIAL_DELAYS_MS = [2_000, 20_000, 60_000]
/** Number of incidents without a completed answer after which requests with a part are no longer repeated at another endpoint. */
const SUSPECTED_INCIDENT_COUNT = 2
/** Factor by which the other gateways wait longer than the first one, so that they do not send trials at the same time. */
const OTHER_GATEWAYS_DELAY_FACTOR = 2
/** Factor by which a trial waits longer that would not tell which of several suspected parts crashes endpoints. */
const INCONCLUSIVE_DELAY_FACTOR = 6
/** Time for which evidence is kept after the last cut or trial, in milliseconds. */
const EVIDENCE_RETENTION_MS = 10 * 60_000
/** Time for which evidence on a quarantined request is kept after the last cut or trial, in milliseconds. */
const QUARANTINE_RETENTION_MS = 30 * 60_000
/** Maximum number of answered requests that are kept; about 100 bytes each. */
const ANSWERED_LIMIT_COUNT = 2_048
/** Maximum number of requests on which evidence is kept, and of parts; about 200 bytes each. */
const EVIDENCE_LIMIT_COUNT = 2_048
/** Number of requests or parts that are evicted at once when there are more. */
const EVICTION_BATCH_COUNT = 256

/**
 * Finds the requests that crash endpoints, in the order of the crashes: a request that was found explains all crashes that cut it.
 *
 * @param evidenceList - The evidence on all requests.
 * @returns The digests of the requests that explain crashes which no other request explains.
 */
export function findCrashingRequests (evidenceList: Iterable<Evidence.Evidence>): ReadonlySet<string> {
  const candidates = [...evidenceList].filter(({ cuts }) => cuts.length >= QUARANTINE_CRASH_COUNT)
  const steps = candidates.flatMap(candidate => candidate.cuts.map((end, at) => ({ candidate, end, crashCount: at + 1 })))
  steps.sort((a, b) => a.end.atMs - b.end.atMs || (a.candidate.digest < b.candidate.digest ? -1 : 1))
  const stepsByEndpoint = Core.Groups.groupBy(steps, ({ end }) => end.endpointId)
  /** Returns the requests that a crash cut. */
  const requestsCutBy = (end: Evidence.Cut): Set<Evidence.Evidence> => new Set((stepsByEndpoint.get(end.endpointId) ?? []).filter(step => Evidence.isSameCrash(step.end, end)).map(step => step.candidate))
  const crashing = new Set<Evidence.Evidence>()
  const explained = new Map<string, Evidence.Cut[]>()
  const isExplained = (end: Evidence.Cut): boolean => explained.get(end.endpointId)?.some(other => Evidence.isSameCrash(other, end)) === true
  const addCrashing = (evidence: Evidence.Evidence): void => {
    crashing.add(evidence)
    for (const end of evidence.cuts) explained.set(end.endpointId, [...explained.get(end.endpointId) ?? [], end])
  }
  for (const { candidate, crashCount } of steps) {
    if (crashing.has(candidate)) continue
    const unexplained = candidate.cuts.slice(0, crashCount).filter(end => !isExplained(end))
    const isCertain = crashCount >= CERTAIN_CRASH_COUNT
    if (unexplained.length === 0 || (!isCertain && unexplained.length < QUARANTINE_CRASH_COUNT)) continue
    const hasAlternative = (): boolean => {
      const [first, ...others] = unexplained.map(requestsCutBy)
      return [...first ?? []].some(other => other !== candidate && !crashing.has(other) && others.every(requests => requests.has(other)))
    }
    if (isCertain || !hasAlternative()) addCrashing(candidate)
  }
  return new Set([...crashing].map(({ digest }) => digest))
}

/**
 * Creates an empty collection of evidence.
 *
 * @param onEvaluated - Called each time that the quarantine was recomputed from the evidence.
 * @returns The collection.
 */
export function createSuspects (onEvaluated: () => void = () => {}): Suspects {
  const table = Core.Table.createTable<Evidence.Evidence>('suspects')
  /** When requests got complete answers at this gateway, in milliseconds, from oldest to newest. */
  const answeredHereAtMs = new Map<string, number>()
  let crashing: ReadonlySet<string> = new Set()
  /** Groups of parts by the first key of each. */
  let groupsByFirstKey: ReadonlyMap<string, readonly CrashingParts.PartGroup[]> = new Map()
  /** The group of each quarantined part. */
  let groupByKey: ReadonlyMap<string, CrashingParts.PartGroup> = new Map()
  let partCount = 0
  /** By digest or key, so that entering and leaving quarantine between two reads cancel out. */
  const changes = new Map<string, QuarantineChange>()
  const isQuarantinedKey = (key: string): boolean => crashing.has(key) || groupByKey.has(key)
  /** Whether the quarantine does not follow from the evidence any more. */
  let isOutdated = false
  /** Recomputes the quarantine if evidence on it has changed; to be called before it is read. */
  const updateQuarantine = (): void => {
    if (!isOutdated) return
    isOutdated = false
    onEvaluated()
    const requests = [...table.rows()].filter(row => !isPart(row))
    const crashingNow = findCrashingRequests(requests)
    const groups = CrashingParts.findCrashingParts([...table.rows()].filter(isPart), requests.filter(({ digest }) => crashingNow.has(digest)))
    const groupByKeyNow = new Map(groups.flatMap(group => group.map(key => [key, group] as const)))
    for (const digest of new Set([...crashing, ...crashingNow, ...groupByKey.keys(), ...groupByKeyNow.keys()])) {
      const isQuarantined = crashingNow.has(digest) || groupByKeyNow.has(digest)
      if (isQuarantined === isQuarantinedKey(digest)) continue
      if (!changes.delete(digest)) changes.set(digest, { evidence: table.get(digest) ?? emptyEvidenceOf(digest), isQuarantined, group: groupByKeyNow.get(digest) ?? [] })
    }
    crashing = crashingNow
    groupByKey = groupByKeyNow
    groupsByFirstKey = Core.Groups.groupBy(groups, ([firstKey = '']) => firstKey)
  }
  const countParts = (): void => { partCount = [...table.rows()].filter(isPart).length }
  /** Evicts the requests, or parts, with the fewest crashes first, then the oldest. */
  const evictExcess = (arePartsChecked: boolean): void => {
    if ((arePartsChecked ? partCount : table.count() - partCount) <= EVIDENCE_LIMIT_COUNT) return
    const order = [...table.rows()].filter(row => isPart(row) === arePartsChecked).sort((a, b) => a.cuts.length - b.cuts.length || Evidence.lastActivityAtMs(a) - Evidence.lastActivityAtMs(b))
    for (const { digest } of order.slice(0, EVICTION_BATCH_COUNT)) table.remove(digest)
    countParts()
  }
  /** Returns the groups of parts, and the request itself, because of which a request is quarantined. */
  const reasonsOf = (keys: readonly string[]): ReadonlyArray<readonly string[]> => {
    updateQuarantine()
    const groups = keys.flatMap(key => groupsByFirstKey.get(key) ?? [])
    return [...keys.filter(key => crashing.has(key)).map(key => [key]), ...groups.filter(group => group.every(key => keys.includes(key)))]
  }
  const isSuspected = (key: string): boolean => Evidence.partIdOf(key) !== undefined && CrashingParts.countIncidents(table.get(key)?.cuts ?? []) >= SUSPECTED_INCIDENT_COUNT
  const actionFor = (reason: readonly string[], keys: readonly string[], nowMs: number, isFirstToTry: (key: string) => boolean): RequestAction => {
    const evidence = reason.map(key => table.get(key) ?? emptyEvidenceOf(key))
    const [firstKey = ''] = reason
    const delaysMs = trialDelaysMsOf(firstKey)
    const waitMs = delaysMs[Math.max(...evidence.map(({ triedAtMs }) => triedAtMs.length))] ?? Infinity
    // A crash of a request with another suspected part would not tell which of them caused it; so such a request is tried only if no other one comes.
    const isConclusive = !keys.some(key => !reason.includes(key) && isSuspected(key))
    const factor = isConclusive ? (isFirstToTry(firstKey) ? 1 : OTHER_GATEWAYS_DELAY_FACTOR) : INCONCLUSIVE_DELAY_FACTOR
    return nowMs - Math.max(...evidence.map(Evidence.lastActivityAtMs)) >= factor * waitMs ? 'try' : 'keepBack'
  }
  return {
    addEvidence: received => {
      const current = table.get(received.digest)
      const combined = { ...received, answeredAtMs: Math.max(received.answeredAtMs, answeredHereAtMs.get(received.digest) ?? -Infinity) }
      const merged = Evidence.merge(current ?? emptyEvidenceOf(received.digest), combined)
      if (merged === current || (current === undefined && received.cuts.length === 0)) return false
      table.set(received.digest, merged)
      if (current === undefined && isPart(received)) partCount++
      evictExcess(isPart(received))
      isOutdated ||= merged.cuts.length >= QUARANTINE_CRASH_COUNT || isQuarantinedKey(received.digest)
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
    partCount: () => partCount,
    quarantinedCount: () => {
      updateQuarantine()
      return crashing.size + groupByKey.size
    },
    quarantined: () => {
      updateQuarantine()
      return [...crashing, ...groupByKey.keys()].flatMap(digest => table.get(digest) ?? [])
    },
    quarantinedKeysOf: keys => [...new Set(reasonsOf(keys).flat())],
    isSuspected: keys => keys.some(isSuspected),
    actionOf: (keys, nowMs, isFirstToTry) => {
      const actions = reasonsOf(keys).map(reason => actionFor(reason, keys, nowMs, isFirstToTry))
      return actions.includes('keepBack') ? 'keepBack' : actions[0] ?? 'send'
    },
    mayRepeatTrial: (keys, trial) => {
      const dates = Evidence.datesOfTrial(trial)
      return reasonsOf(keys).flat().every(key => {
        const evidence = table.get(key) ?? emptyEvidenceOf(key)
        const otherCount = evidence.triedAtMs.filter(atMs => !dates.includes(atMs)).length
        return Evidence.lastActivityAtMs(evidence) <= trial.sentAtMs && otherCount + dates.length <= trialDelaysMsOf(key).length
      })
    },
    removeExpired: nowMs => {
      updateQuarantine()
      const isStale = (evidence: Evidence.Evidence): boolean =>
        evidence.cuts.length === 0 ? nowMs - evidence.answeredAtMs > Evidence.ANSWER_TRUST_MS : nowMs - Evidence.lastActivityAtMs(evidence) > (isQuarantinedKey(evidence.digest) ? QUARANTINE_RETENTION_MS : EVIDENCE_RETENTION_MS)
      const stale = [...table.rows()].filter(isStale)
      for (const { digest } of stale) table.remove(digest)
      if (stale.length === 0) return
      countParts()
      isOutdated = true
    },
    takeChanges: () => {
      updateQuarantine()
      const taken = [...changes.values()]
      changes.clear()
      return taken
    }
  }
}

function trialDelaysMsOf (key: string): readonly number[] {
  return Evidence.partIdOf(key) === undefined ? TRIAL_DELAYS_MS : PART_TRIAL_DELAYS_MS
}

function isPart ({ digest }: Evidence.Evidence): boolean {
  return Evidence.partIdOf(digest) !== undefined
}

function emptyEvidenceOf (digest: string): Evidence.Evidence {
  return { digest, cuts: [], triedAtMs: [], answeredAtMs: -Infinity }
}
