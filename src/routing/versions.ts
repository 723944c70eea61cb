/**
 * Which versions of a model calls may begin on.
 *
 * Answers a new version that is still spreading: old and new are both served until the time by which
 * the new one has to be everywhere, and only the new one from then on. That holds for every version
 * that was named, also for one that was superseded before it was due: the store keeps the newest only,
 * so processes tell one another of the others. A version whose time nobody knows counts as named at the
 * earliest time possible; where a process has just started, as overdue.
 *
 * All times are of the store's clock, so that every process means the same by them.
 *
 * @packageDocumentation
 */

/** A version that was named. */
export interface NamedVersion {
  readonly version: number
  /** When it was named, in milliseconds, as early as any process knows; undefined where none does. */
  readonly namedAtMs: number | undefined
  /** It was not named before this time, in milliseconds, which counts where the time itself is not known; -Infinity where nothing is. */
  readonly notBeforeMs: number
}

/** A version that was named, with its model. */
export interface Naming extends NamedVersion {
  readonly model: string
}

/** The versions that operators named. */
export interface Versions {
  /**
   * Takes that a version was named.
   *
   * @returns Whether the version is new here, or its time has become known or earlier.
   */
  learn: (naming: Naming) => boolean
  /** The versions that other processes have to know of: those by which calls are bound now or later. */
  binding: (storeMs: number) => Naming[]
  /** The versions of a model that are known to be named, the oldest first. */
  namedOf: (model: string) => readonly NamedVersion[]
  /** The newest version of each model that was named. */
  newest: () => Array<{ readonly model: string, readonly version: number }>
  /** The newest version named; 1 where none was. */
  newestOf: (model: string) => number
  /** The oldest version to which a call may be sent. */
  oldestOf: (model: string, storeMs: number) => number
  /** The oldest version on which a call that was sent may still begin. */
  oldestBegunOf: (model: string, storeMs: number) => number
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

/**
 * Creates the versions.
 *
 * @param bounds - For how long the version before is served; it may change.
 * @returns The versions.
 */
export function createVersions (bounds: () => VersionBounds): Versions {
  const named = new Map<string, readonly NamedVersion[]>()
  const namedOf = (model: string): readonly NamedVersion[] => named.get(model) ?? []
  const newestOf = (model: string): number => namedOf(model).at(-1)?.version ?? FIRST_VERSION
  const oldestWithin = (model: string, graceMs: number, storeMs: number): number =>
    namedOf(model).filter(entry => storeMs - (entry.namedAtMs ?? entry.notBeforeMs) >= graceMs).at(-1)?.version ?? FIRST_VERSION
  const oldestOf = (model: string, storeMs: number): number => oldestWithin(model, bounds().sendMs, storeMs)
  return {
    learn: ({ model, version, namedAtMs, notBeforeMs }) => {
      if (version <= FIRST_VERSION) return false
      const before = namedOf(model).find(entry => entry.version === version)
      const entry: NamedVersion = {
        version,
        namedAtMs: earliest(before?.namedAtMs, namedAtMs),
        notBeforeMs: Math.max(before?.notBeforeMs ?? -Infinity, notBeforeMs)
      }
      named.set(model, [...namedOf(model).filter(other => other.version !== version), entry].sort((a, b) => a.version - b.version))
      return before === undefined || before.namedAtMs !== entry.namedAtMs
    },
    binding: storeMs => [...named].flatMap(([model, entries]) => {
      const oldest = oldestOf(model, storeMs)
      return entries.filter(entry => entry.version >= oldest).map(entry => ({ model, ...entry }))
    }),
    namedOf,
    newest: () => [...named.keys()].map(model => ({ model, version: newestOf(model) })),
    newestOf,
    oldestOf,
    oldestBegunOf: (model, storeMs) => oldestWithin(model, bounds().beginMs, storeMs)
  }
}

function earliest (one: number | undefined, other: number | undefined): number | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return Math.min(one, other)
}
