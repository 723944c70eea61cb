/**
 * Determines on which versions of a model calls may begin.
 *
 * While a new version is being distributed, both the old and the new version are served until the
 * deadline by which the new one has to be everywhere; from then on only the new one is served. This
 * holds for every version that operators named, including one that was superseded before its deadline
 * and that this process never read.
 *
 * So a version is allowed only as long as it is certain that the deadline of no newer version has
 * passed. This is shown by claims of the form "this version and all newer ones were not named before
 * this time". Each claim is true by itself, whichever process made it and whatever else that process
 * missed. Claims of several processes can be merged in any order. A version that no claim covers counts
 * as overdue.
 *
 * All times are by the store's clock, so that they mean the same to every process.
 *
 * @packageDocumentation
 */

/** The facts and claims about a version that operators named. */
export interface VersionNaming {
  readonly model: string
  readonly version: number
  /** Lowest known store revision of the row that named the version; undefined if only a claim is known, so that the version itself may not exist. */
  readonly revision: number | undefined
  /** Latest time at which the version may have been named, in milliseconds; undefined if not known. */
  readonly namedAtMs: number | undefined
  /** Time before which neither this nor a newer version was named, in milliseconds; -Infinity if there is no such claim. */
  readonly notBeforeMs: number
}

/** A period in which the store refused this process, in milliseconds; deadlines of versions do not run during a store outage. */
export interface Outage {
  readonly fromMs: number
  readonly toMs: number
}

/** The time up to which a process has read everything that operators wrote. */
export interface ReadProgress {
  /** When the store created the last page that was read, in milliseconds; -Infinity before the first page. */
  readonly completeAtMs: number
  /** Period since then in which the store refused this process; undefined if there was none. */
  readonly outage?: Outage | undefined
}

/** A version together with the outage that applies only at this process. */
export interface KnownVersion extends VersionNaming {
  readonly outage: Outage | undefined
}

/** The times at which the store had which revision, as shown by reads of the store. */
export interface RevisionTimes {
  /** Returns the latest time at which the store had not yet reached a revision, in milliseconds; -Infinity if none is known. */
  readonly notBeforeMs: (revision: number) => number
  /** Returns the first time after the given one at which the store answered any process, in milliseconds; Infinity if none is known. */
  readonly answeredAfterMs: (timeMs: number) => number
}

/** The versions that operators named. */
export interface Versions {
  /**
   * Adds the facts and claims about a version.
   *
   * @param naming - The version.
   * @param progress - The time up to which this process had read all rows without finding the version.
   * @returns Whether it is new that the version was named, or that a claim may still allow an older version.
   */
  addNaming: (naming: VersionNaming, progress: ReadProgress) => boolean
  /** Updates the claims from reads of the store; must be called periodically. */
  applyRevisionTimes: (revisionTimes: RevisionTimes) => void
  /** Returns what other processes have to know: the newest version, and all claims that still allow an older one. */
  namingsToShare: (storeMs: number) => VersionNaming[]
  /** Returns the known versions of a model, including those known only from claims, from oldest to newest. */
  versionsOf: (model: string) => readonly KnownVersion[]
  /** Returns the versions of a model that are known to have been named, from oldest to newest. */
  namedVersionsOf: (model: string) => readonly KnownVersion[]
  /** Returns the newest named version of each model. */
  newestVersions: () => Array<{ readonly model: string, readonly version: number }>
  /** Returns the newest named version of a model; 1 if none was named. */
  newestVersionOf: (model: string) => number
  /** Returns the oldest version to which a call may be sent. */
  oldestSendableOf: (model: string, storeMs: number) => number
  /** Returns the oldest version on which a call that was already sent may still begin. */
  oldestBeginnableOf: (model: string, storeMs: number) => number
  /** Returns the latest time before which no version newer than the given one was named, in milliseconds; -Infinity if there is no such claim. */
  newestUntilMs: (model: string, version: number) => number
}

/** Times after a version was named for which calls may use the previous version, in milliseconds. */
export interface VersionBounds {
  /** Time for which calls may be sent to the previous version, in milliseconds. */
  readonly sendMs: number
  /** Time for which calls that were already sent may begin on the previous version, in milliseconds. */
  readonly beginMs: number
}

/** The first version; versions are numbered from 1. */
const FIRST_VERSION = 1
/** Maximum number of versions of a model that are kept; older ones are overdue. */
const VERSION_LIMIT_COUNT = 16

/**
 * Creates an empty collection of versions.
 *
 * @param bounds - Returns the times for which the previous version is served, which may change.
 * @returns The collection.
 */
export function createVersions (bounds: () => VersionBounds): Versions {
  const versionsByModel = new Map<string, readonly KnownVersion[]>()
  const versionsOf = (model: string): readonly KnownVersion[] => versionsByModel.get(model) ?? []
  const namedVersionsOf = (model: string): readonly KnownVersion[] => versionsOf(model).filter(entry => entry.revision !== undefined)
  const newestVersionOf = (model: string): number => namedVersionsOf(model).at(-1)?.version ?? FIRST_VERSION
  const oldestWithin = (model: string, graceMs: number, storeMs: number): number => {
    const newest = newestVersionOf(model)
    const firstInGrace = versionsOf(model).find(entry => storeMs - notBeforeBoundMs(entry) < graceMs)
    return firstInGrace === undefined ? newest : Math.min(newest, Math.max(FIRST_VERSION, firstInGrace.version - 1))
  }
  /** Merges an entry into those of its model. Returns whether the naming of the version, or any claim about it, is new. */
  const merge = (entry: KnownVersion): boolean => {
    const before = versionsOf(entry.model).find(other => other.version === entry.version)
    const merged = before === undefined ? entry : joinNamings(before, entry)
    versionsByModel.set(entry.model, [...versionsOf(entry.model).filter(other => other !== before), merged].sort((a, b) => a.version - b.version).slice(-VERSION_LIMIT_COUNT))
    return (before?.revision === undefined && merged.revision !== undefined) || ((before?.notBeforeMs ?? -Infinity) === -Infinity && merged.notBeforeMs !== -Infinity)
  }
  return {
    addNaming: (naming, { completeAtMs, outage }) => {
      const { model, version, revision } = naming
      if (version <= FIRST_VERSION) return false
      const newest = newestVersionOf(model)
      const isNewest = revision !== undefined && version > newest
      const isNew = merge({ ...naming, outage: undefined })
      if (isNewest) merge({ model, version: newest + 1, revision: undefined, namedAtMs: undefined, notBeforeMs: completeAtMs, outage })
      return isNew
    },
    applyRevisionTimes: revisionTimes => {
      for (const [model, entries] of versionsByModel) versionsByModel.set(model, entries.map(entry => withRevisionTimes(entry, revisionTimes)))
    },
    namingsToShare: storeMs => [...versionsByModel.keys()].flatMap(model => {
      const newest = newestVersionOf(model)
      return versionsOf(model)
        .filter(entry => entry.version === newest || storeMs - entry.notBeforeMs < bounds().beginMs)
        .map(({ outage, ...naming }) => naming)
    }),
    versionsOf,
    namedVersionsOf,
    newestVersions: () => [...versionsByModel.keys()].map(model => ({ model, version: newestVersionOf(model) })),
    newestVersionOf,
    oldestSendableOf: (model, storeMs) => oldestWithin(model, bounds().sendMs, storeMs),
    oldestBeginnableOf: (model, storeMs) => oldestWithin(model, bounds().beginMs, storeMs),
    newestUntilMs: (model, version) => Math.max(-Infinity, ...versionsOf(model).filter(entry => entry.version <= version + 1).map(notBeforeBoundMs))
  }
}

/** Returns the time before which this process need not count the version or a newer one as named, in milliseconds. */
function notBeforeBoundMs ({ notBeforeMs, outage }: KnownVersion): number {
  return Math.max(notBeforeMs, outage?.toMs ?? -Infinity)
}

function withRevisionTimes (entry: KnownVersion, revisionTimes: RevisionTimes): KnownVersion {
  const { revision, notBeforeMs, outage } = entry
  return {
    ...entry,
    notBeforeMs: revision === undefined ? notBeforeMs : Math.max(notBeforeMs, revisionTimes.notBeforeMs(revision)),
    outage: outage === undefined ? undefined : { ...outage, toMs: Math.min(outage.toMs, revisionTimes.answeredAfterMs(outage.fromMs)) }
  }
}

/** Joins two entries of the same version. The row may have been rewritten: claims that follow from the later write do not hold for the first one. */
function joinNamings (one: KnownVersion, other: KnownVersion): KnownVersion {
  const [first, second] = (one.revision ?? Infinity) <= (other.revision ?? Infinity) ? [one, other] : [other, one]
  const isSameRow = second.revision === undefined || first.revision === second.revision
  return {
    ...first,
    namedAtMs: earliest(one.namedAtMs, other.namedAtMs),
    notBeforeMs: isSameRow ? Math.max(one.notBeforeMs, other.notBeforeMs) : first.notBeforeMs,
    outage: one.outage ?? other.outage
  }
}

function earliest (one: number | undefined, other: number | undefined): number | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return Math.min(one, other)
}
