/**
 * Bounds the lines of each kind, so that a burst of calls does not become a burst of log lines.
 *
 * @packageDocumentation
 */

/** Decides which lines are written. */
export interface LogLimits {
  /**
   * Takes a line.
   *
   * @param kind - What the line tells, without its fields.
   * @param nowMs - The time.
   * @returns Whether it is written.
   */
  admit: (kind: string, nowMs: number) => boolean
  /** Returns and forgets the counts of lines left out, by kind, once a window has ended. */
  takeLeftOut: (nowMs: number) => Readonly<Record<string, number>> | undefined
}

const WINDOW_MS = 1_000

/**
 * Creates limits.
 *
 * @param limitCount - Lines of one kind in a second. Each kind has a share of its own, so that ends of calls are not crowded out by their beginnings.
 * @returns The limits.
 */
export function createLogLimits (limitCount: number): LogLimits {
  const written = new Map<string, number>()
  let leftOut: Record<string, number> = {}
  let windowAtMs = -Infinity
  const roll = (nowMs: number): void => {
    if (nowMs - windowAtMs < WINDOW_MS) return
    windowAtMs = nowMs
    written.clear()
  }
  return {
    admit: (kind, nowMs) => {
      roll(nowMs)
      const count = (written.get(kind) ?? 0) + 1
      written.set(kind, count)
      if (count <= limitCount) return true
      leftOut[kind] = (leftOut[kind] ?? 0) + 1
      return false
    },
    takeLeftOut: nowMs => {
      if (nowMs - windowAtMs < WINDOW_MS || Object.keys(leftOut).length === 0) return undefined
      const counts = leftOut
      leftOut = {}
      return counts
    }
  }
}
