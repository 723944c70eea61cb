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
  const toOpen = (evidence: Evidence.Evidence): OpenEvidence => {
    const cuts = evidence.cuts.filter(cut => !explained.some(other => Evidence.isSameCrash(cut, other)))
    return { evidence, cuts, incidentCount: countIncidents(cuts) }
  }
  const isSuspect = ({ incidentCount }: OpenEvidence): boolean => incidentCount >= QUARANTINE_INCIDENT_COUNT
  let open = [...parts].map(toOpen).filter(isSuspect)
  let requests = [...crashingRequests]
  const groups: PartGroup[] = []
  while (open.length > 0) {
    const best = open.reduce((a, b) => b.incidentCount > a.incidentCount || (b.incidentCount === a.incidentCount && b.evidence.digest < a.evidence.digest) ? b : a)
    // A request that crashes endpoints by itself explains its crashes before any part does that explains no more.
    const request = requests.find(each => toOpen(each).incidentCount >= best.incidentCount)
    if (request === undefined) {
      const sharedCount = (other: OpenEvidence): number => countIncidents(best.cuts.filter(cut => other.cuts.some(each => Evidence.isSameCrash(cut, each))))
      const rivals = open.filter(other => sharedCount(other) === best.incidentCount)
      const companions = open.filter(other => sharedCount(other) >= best.incidentCount - 1)
      for (const rival of rivals) {
        groups.push(companions.filter(other => other === rival || cameTogether(rival.evidence, other.evidence)).map(({ evidence }) => evidence.digest).sort())
      }
    }
    requests = requests.filter(each => each !== request)
    explained = [...explained, ...(request ?? best).cuts]
    open = open.map(({ evidence }) => toOpen(evidence)).filter(isSuspect)
  }
  return groups
}

/** Checks whether all cut requests with one of two parts had the other one as well. */
function cameTogether (a: Evidence.Evidence, b: Evidence.Evidence): boolean {
  return a.sharedWith?.includes(b.digest) === true || b.sharedWith?.includes(a.digest) === true
}

/** Evidence with the cuts that nothing else explains. */
interface OpenEvidence {
  readonly evidence: Evidence.Evidence
  readonly cuts: readonly Evidence.Cut[]
  readonly incidentCount: number
}
