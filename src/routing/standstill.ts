/**
 * Whether the process itself stood still.
 *
 * Answers instances that freeze and go on: nothing was read meanwhile, so the time says nothing of
 * what others did in it. A clock that does not count a suspension shows none, and then it counts no
 * silence either.
 *
 * @packageDocumentation
 */

/** What one process knows of its own standstills. */
export interface PauseDetector {
  /**
   * Notes that the process runs; to be called at each beat and before a decision on what was heard.
   *
   * @param nowMs - The time.
   * @returns For how long the process stood still since it was last noted, in milliseconds; 0 where it did not.
   */
  recordTick: (nowMs: number) => number
}

/** A beat that is late by more shows a standstill, in milliseconds: later than beats of a busy process, sooner than any silence is acted on. */
const PAUSE_THRESHOLD_MS = 200

/**
 * Creates the memory of one process.
 *
 * @param tickIntervalMs - Time between beats, in milliseconds.
 * @param nowMs - The time.
 * @returns The memory.
 */
export function createPauseDetector (tickIntervalMs: number, nowMs: number): PauseDetector {
  let lastTickAtMs = nowMs
  return {
    recordTick: atMs => {
      const lateMs = atMs - lastTickAtMs - tickIntervalMs
      lastTickAtMs = atMs
      return lateMs > PAUSE_THRESHOLD_MS ? lateMs : 0
    }
  }
}

/**
 * Moves the time at which something was last heard on by a standstill.
 *
 * @param heardAtMs - When it was heard, in milliseconds.
 * @param pauseMs - How long the process stood still, in milliseconds.
 * @param nowMs - The time.
 * @returns The time from which silence counts, in milliseconds.
 */
export function shiftByPause (heardAtMs: number, pauseMs: number, nowMs: number): number {
  return Math.min(nowMs, heardAtMs + pauseMs)
}
