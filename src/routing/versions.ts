/**
 * Which versions of a model calls may begin on.
 *
 * Answers a new version that is still spreading: old and new are both served until the time by which
 * the new one has to be everywhere, and only the new one from then on. A process that has just started
 * takes the newest version for overdue until another one tells when it was named.
 *
 * @packageDocumentation
 */

/** The versions that operators named. */
export interface Versions {
  /**
   * Takes a named version; lower ones than the newest change nothing.
   *
   * @param namedAtMs - When it was named; undefined where this process has just started and cannot know.
   */
  name: (model: string, version: number, namedAtMs: number | undefined) => boolean
  /**
   * Takes from another process when a version was named.
   *
   * @returns Whether that changes anything.
   */
  date: (model: string, version: number, namedAtMs: number) => boolean
  /** The versions of each model with the time for which they are known to be named. */
  dated: () => Array<{ readonly model: string, readonly version: number, readonly namedAtMs: number }>
  /** The versions of a model that are known to be named, the oldest first. */
  namedOf: (model: string) => ReadonlyArray<{ readonly version: number, readonly namedAtMs: number | undefined }>
  /** The newest version of each model that was named. */
  newest: () => Array<{ readonly model: string, readonly version: number }>
  /** The newest version named; 1 where none was. */
  newestOf: (model: string) => number
  /** The oldest version on which a call may begin. */
  oldestOf: (model: string, nowMs: number) => number
}

/** Versions count from 1. */
const FIRST_VERSION = 1

/**
 * Creates the versions.
 *
 * @param graceMs - Time for which the version before is still served, in milliseconds.
 * @returns The versions.
 */
export function createVersions (graceMs: () => number): Versions {
  const named = new Map<string, Array<{ readonly version: number, namedAtMs: number | undefined }>>()
  const newestOf = (model: string): number => named.get(model)?.at(-1)?.version ?? FIRST_VERSION
  return {
    name: (model, version, namedAtMs) => {
      if (version <= newestOf(model)) return false
      named.set(model, [...named.get(model) ?? [], { version, namedAtMs }])
      return true
    },
    date: (model, version, namedAtMs) => {
      const entry = named.get(model)?.find(other => other.version === version)
      if (entry === undefined || entry.namedAtMs !== undefined) return false
      entry.namedAtMs = namedAtMs
      return true
    },
    dated: () => [...named].flatMap(([model, entries]) => entries.flatMap(({ version, namedAtMs }) => namedAtMs === undefined ? [] : [{ model, version, namedAtMs }])),
    namedOf: model => named.get(model) ?? [],
    newest: () => [...named.keys()].map(model => ({ model, version: newestOf(model) })),
    newestOf,
    oldestOf: (model, nowMs) => {
      const due = (named.get(model) ?? []).filter(entry => nowMs - (entry.namedAtMs ?? -Infinity) >= graceMs())
      return due.at(-1)?.version ?? FIRST_VERSION
    }
  }
}
