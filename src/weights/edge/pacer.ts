/**
 * Paces bytes to a rate that may change while bytes wait.
 *
 * @packageDocumentation
 */

/** Lets bytes through at a rate. */
export interface Pacer {
  /** Waits until so many bytes may pass. */
  pass: (sizeBytes: number) => Promise<void>
  setRate: (bytesPerSecond: number) => void
}

/** Idle time that may be made up for, in milliseconds; it covers late timers. */
const CREDIT_MS = 100

/**
 * Creates a pacer.
 *
 * @param bytesPerSecond - The rate; Infinity for none.
 * @returns The pacer.
 */
export function createPacer (bytesPerSecond: number): Pacer {
  let rate = bytesPerSecond
  let freeAtMs = -Infinity
  return {
    pass: async sizeBytes => {
      if (rate === Infinity) return
      const nowMs = performance.now()
      freeAtMs = Math.max(nowMs - CREDIT_MS, freeAtMs) + sizeBytes * 1000 / rate
      const waitMs = freeAtMs - nowMs
      if (waitMs > 1) await new Promise(resolve => setTimeout(resolve, waitMs))
    },
    setRate: next => { rate = next }
  }
}

/**
 * Reads the rate of a setting.
 *
 * @param bytesPerSecond - The setting; 0 for no limit.
 * @returns The rate.
 */
export function rateOf (bytesPerSecond: number): number {
  return bytesPerSecond === 0 ? Infinity : bytesPerSecond
}
