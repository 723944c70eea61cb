/**
 * Which versions of a model calls may begin on.
 *
 * Answers a new version that is still spreading: old and new are both served until the time by which
 * the new one has to be everywhere, and only the new one from then on.
 *
 * @packageDocumentation
 */

/** The versions that operators named. */
export interface Versions {
  /** Takes a named version; lower ones than the newest change nothing. */
  name: (model: string, version: number, nowMs: number) => boolean
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
export function createVersions (graceMs: number): Versions {
  const named = new Map<string, Array<{ readonly version: number, readonly namedAtMs: number }>>()
  const newestOf = (model: string): number => named.get(model)?.at(-1)?.version ?? FIRST_VERSION
  return {
    name: (model, version, nowMs) => {
      if (version <= newestOf(model)) return false
      named.set(model, [...named.get(model) ?? [], { version, namedAtMs: nowMs }])
      return true
    },
    newestOf,
    oldestOf: (model, nowMs) => {
      const due = (named.get(model) ?? []).filter(entry => nowMs - entry.namedAtMs >= graceMs)
      return due.at(-1)?.version ?? FIRST_VERSION
    }
  }
}
