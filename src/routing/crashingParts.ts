/**
 * Identifies parts of prompts that crash the endpoints that answer them.
 *
 * No two requests with such a part are alike, so none of them crashes endpoints again and again, and
 * sound requests share all else with them. What singles the part out is that no answer on it is
 * completed: other parts are cut beside it, but are answered in between. Parts of the same requests that
 * were cut by the same crashes cannot be told apart yet. Only requests with all of them are quarantined,
 * and the sound requests that have one of them soon clear it.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as Evidence from './evidence.ts'

/** Keys of the parts that a request has to have to be quarantined. */
export type PartGroup = readonly string[]

/** Number of incidents after which requests with a part are quarantined. */
const QUARANTINE_INCIDENT_COUNT = 3
/** Time within which crashes count as one incident, in milliseconds: the failure of a zone or a rack ends many endpoints at once, whatever they run. */
const SAME_INCIDENT_MS = 100

/**
 * Counts the incidents in which a part was cut.
 *
 * @param cuts - The cuts, from oldest to newest.
 * @returns The number of incidents.
 */
export function countIncidents (cuts: readonly Evidence.Cut[]): number {
  let count = 0
  let startedAtMs = -Infinity
  for (const { atMs } of cuts) {
    if (atMs - startedAtMs < SAME_INCIDENT_MS) continue
    startedAtMs = atMs
    count++
  }
  return count
}

/**
 * Finds the parts that crash endpoints: the one that explains most crashes first, then those that explain what is left.
 *
 * @param parts - The evidence on parts.
 * @param crashingRequests - The evidence on requests that crash endpoints whatever their parts.
 * @returns The groups of parts.
 */
export function findCrashingParts (parts: Iterable<Evidence.Evidence>, crashingRequests: readonly Evidence.Evidence[]): readonly PartGroup[] {
  let explained: readonly Evidence.Cut[] = []
  const toOpen = (cuts: readonly Evidence.Cut[], members: readonly Evidence.Evidence[]): OpenEvidence => {
    const openCuts = cuts.filter(cut => !explained.some(other => Evidence.isSameCrash(cut, other)))
    return { members, allCuts: cuts, cuts: openCuts, incidentCount: countIncidents(openCuts) }
  }
  const isSuspect = ({ incidentCount }: OpenEvidence): boolean => incidentCount >= QUARANTINE_INCIDENT_COUNT
  let open = groupByCuts(parts).map(members => toOpen(members[0]?.cuts ?? [], members)).filter(isSuspect)
  let requests = [...crashingRequests]
  const groups: PartGroup[] = []
  while (open.length > 0) {
    const best = open.reduce((a, b) => b.incidentCount > a.incidentCount || (b.incidentCount === a.incidentCount && firstDigestOf(b) < firstDigestOf(a)) ? b : a)
    // A request that crashes endpoints by itself explains its crashes before any part does that explains no more.
    const request = requests.find(each => toOpen(each.cuts, [each]).incidentCount >= best.incidentCount)
    if (request === undefined) {
      const sharedCounts = open.map(other => countIncidents(best.cuts.filter(cut => other.cuts.some(each => Evidence.isSameCrash(cut, each)))))
      const membersWith = (minimumCount: number): Evidence.Evidence[] => open.flatMap(({ members }, at) => (sharedCounts[at] ?? 0) >= minimumCount ? members : [])
      const companionsOf = indexCompanions(membersWith(best.incidentCount - 1))
      for (const rival of membersWith(best.incidentCount)) groups.push([rival.digest, ...companionsOf(rival)].sort())
    }
    requests = requests.filter(each => each !== request)
    explained = [...explained, ...(request ?? best).cuts]
    open = open.map(({ allCuts, members }) => toOpen(allCuts, members)).filter(isSuspect)
  }
  return groups
}

/** Parts that were cut at the same moments, as those of one request are: they are evaluated once for all. */
interface OpenEvidence {
  readonly members: readonly Evidence.Evidence[]
  readonly allCuts: readonly Evidence.Cut[]
  /** The cuts that nothing else explains. */
  readonly cuts: readonly Evidence.Cut[]
  readonly incidentCount: number
}

/** Puts parts with exactly the same cuts together, each group in the order of its digests. */
function groupByCuts (parts: Iterable<Evidence.Evidence>): Evidence.Evidence[][] {
  const groups = [...Core.Groups.groupBy(parts, ({ cuts }) => cutsKeyOf(cuts)).values()]
  for (const group of groups) group.sort((a, b) => a.digest < b.digest ? -1 : 1)
  return groups
}

const cutsKeys = new WeakMap<readonly Evidence.Cut[], string>()

/** Returns a text that is the same for equal lists of cuts alone; computed once for each list. */
function cutsKeyOf (cuts: readonly Evidence.Cut[]): string {
  const key = cutsKeys.get(cuts) ?? JSON.stringify(cuts.map(({ endpointId, bornAtMs, atMs }) => [endpointId, bornAtMs ?? null, atMs]))
  cutsKeys.set(cuts, key)
  return key
}

function firstDigestOf ({ members: [first] }: OpenEvidence): string {
  return first?.digest ?? ''
}

/** Returns a function that finds those of some parts that came together with a part: all cut requests with one of the two had the other one as well. */
function indexCompanions (parts: readonly Evidence.Evidence[]): (part: Evidence.Evidence) => string[] {
  const digests = new Set(parts.map(({ digest }) => digest))
  const mentions = parts.flatMap(({ digest, sharedWith = [] }) => sharedWith.map(other => ({ digest, other })))
  const mentionsByOther = Core.Groups.groupBy(mentions, ({ other }) => other)
  return ({ digest, sharedWith = [] }) => {
    const companions = new Set([...sharedWith, ...(mentionsByOther.get(digest) ?? []).map(mention => mention.digest)])
    return [...companions].filter(other => other !== digest && digests.has(other))
  }
}
