/**
 * Detects pauses of the process itself.
 *
 * When an instance freezes and continues, nothing was read in the meantime, so that time must not count
 * as silence of other processes. A clock that does not advance during a suspension shows no pause, but
 * then it shows no silence either.
 *
 * @packageDocumentation
 */

/** Detects pauses of one process. */
export interface PauseDetector {
  /**
   * Records that the process is running. Must be called at each tick, and before any decision that is based on silence.
   *
   * @param nowMs - The current time, in milliseconds.
   * @returns Duration of a pause since the last tick, in milliseconds; 0 if there was none.
   */
  recordTick: (nowMs: number) => number
}

/** Delay of a tick above which the process counts as paused, in milliseconds: longer than the delays of a busy process, shorter than any silence timeout. */
const PAUSE_THRESHOLD_MS = 200

/**
 * Creates a pause detector.
 *
 * @param tickIntervalMs - Time between ticks, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns The detector.
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
 * Moves the time of the last received data forward by a pause of the process.
 *
 * @param heardAtMs - When data last arrived, in milliseconds.
 * @param pauseMs - Duration of the pause, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns The time from which silence is counted, in milliseconds.
 */
export function shiftByPause (heardAtMs: number, pauseMs: number, nowMs: number): number {
  return Math.min(nowMs, heardAtMs + pauseMs)
}
