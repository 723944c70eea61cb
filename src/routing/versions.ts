/**
 * Which versions of a model calls may begin on.
 *
 * Answers a new version that is still spreading: old and new are both served until the time by which
 * the new one has to be everywhere, and only the new one from then on. That holds for every version
 * that was named, also for one that was superseded before it was due and that this process never read of.
 *
 * So a version is allowed only as long as it is shown that no newer one can be due: by claims of the
 * form "from this version on, none was named before this time". Each claim is true by itself, whoever
 * made it and whatever else that process missed. Claims of several processes are merged in any order;
 * what no claim shows counts as overdue.
 *
 * All times are of the store's clock, so that every process means the same by them.
 *
 * @packageDocumentation
 */

/** What is known of a version. */
export interface VersionNaming {
  readonly model: string
  readonly version: number
  /** The store's revision of the row that named it, the lowest one known; undefined where only a claim is known, so that the version itself may not exist. */
  readonly revision: number | undefined
  /** It was named at this time at the latest, in milliseconds; undefined where that is not known. */
  readonly namedAtMs: number | undefined
  /** Neither it nor a newer version was named before this time, in milliseconds; -Infinity where nothing shows that. */
  readonly notBeforeMs: number
}

/** A time in which the store refused this process, in milliseconds; operators' time does not run while the store is out. */
export interface Outage {
  readonly fromMs: number
  readonly toMs: number
}

/** As of when a process has read all that operators wrote. */
export interface ReadProgress {
  /** When the store made the last page, in milliseconds; -Infinity before the first. */
  readonly completeAtMs: number
  /** The store has refused this process since. */
  readonly outage?: Outage | undefined
}

/** A version with what this process alone goes by. */
export interface KnownVersion extends VersionNaming {
  readonly outage: Outage | undefined
}

/** What readings of the store show: which revision it had at which time. */
export interface RevisionTimes {
  /** The latest time at which the store had not reached a revision, in milliseconds; -Infinity where none is known. */
  readonly notBeforeMs: (revision: number) => number
  /** The first time after another one at which the store answered any process, in milliseconds; Infinity where none is known. */
  readonly answeredAfterMs: (timeMs: number) => number
}

/** The versions that operators named. */
export interface Versions {
  /**
   * Takes what is known of a version.
   *
   * @param naming - The version.
   * @param progress - As of when this process had read all rows without it.
   * @returns Whether it is new that the version was named, or that an older one may still be allowed.
   */
  addNaming: (naming: VersionNaming, progress: ReadProgress) => boolean
  /** Takes new evidence of when the versions were named; to be called now and then. */
  applyRevisionTimes: (revisionTimes: RevisionTimes) => void
  /** What other processes have to know: the newest version, and all claims that still allow an older one. */
  namingsToShare: (storeMs: number) => VersionNaming[]
  /** What is known of a model's versions, the oldest first. */
  versionsOf: (model: string) => readonly KnownVersion[]
  /** The versions of a model that are known to be named, the oldest first. */
  namedVersionsOf: (model: string) => readonly KnownVersion[]
  /** The newest version of each model that was named. */
  newestVersions: () => Array<{ readonly model: string, readonly version: number }>
  /** The newest version named; 1 where none was. */
  newestVersionOf: (model: string) => number
  /** The oldest version to which a call may be sent. */
  oldestSendableOf: (model: string, storeMs: number) => number
  /** The oldest version on which a call that was sent may still begin. */
  oldestBeginnableOf: (model: string, storeMs: number) => number
  /** The latest time before which nothing newer than a version was named, in milliseconds; -Infinity where nothing shows one. */
  newestUntilMs: (model: string, version: number) => number
}

/** For how long after a version was named calls may go to the one before, in milliseconds. */
export interface VersionBounds {
  /** Calls may be sent there. */
  readonly sendMs: number
  /** Calls that were sent there may still begin. */
  readonly beginMs: number
}

/** Versions count from 1. */
const FIRST_VERSION = 1
/** Versions of a model that are remembered; older ones are overdue. */
const VERSION_LIMIT_COUNT = 16

/**
 * Creates the versions.
 *
 * @param bounds - For how long the version before is served; it may change.
 * @returns The versions.
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
  /** Merges an entry into those of its model; tells whether it says anything new. */
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

/** The time before which nothing from a version on binds this process, in milliseconds. */
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

/** Joins what is known of one version. The row may have been written again: claims that follow from the later write do not hold for the first one. */
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
