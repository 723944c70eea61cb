/**
 * Limits a byte stream to a rate, which may change while bytes are queued.
 *
 * @packageDocumentation
 */

/** A rate limiter for bytes. */
export interface Pacer {
  /** Waits until the given number of bytes may pass; urgent bytes take precedence over queued ones. */
  pass: (sizeBytes: number, urgent?: boolean) => Promise<void>
  /** Refunds bytes that passed but were not used. */
  refund: (sizeBytes: number) => void
  setRate: (bytesPerSecond: number) => void
  /** Returns the number of queued passes. */
  waitingCount: () => number
}

interface QueuedPass {
  readonly sizeBytes: number
  readonly release: () => void
}

/** Idle time whose unused bytes may be sent in a burst, in milliseconds; it makes up for late timers. */
const CREDIT_MS = 100

/**
 * Creates a pacer.
 *
 * @param bytesPerSecond - The rate; Infinity for no limit.
 * @param creditMs - Idle time whose unused bytes may be sent in a burst, in milliseconds.
 * @returns The pacer.
 */
export function createPacer (bytesPerSecond: number, creditMs = CREDIT_MS): Pacer {
  const urgentQueue: QueuedPass[] = []
  const queue: QueuedPass[] = []
  let rate = bytesPerSecond
  let nextPassAtMs = -Infinity
  let timer: NodeJS.Timeout | undefined

  const pump = (): void => {
    timer = undefined
    for (;;) {
      const nowMs = performance.now()
      if (urgentQueue.length + queue.length === 0) return
      if (nextPassAtMs - nowMs > 1) { timer = setTimeout(pump, nextPassAtMs - nowMs); return }
      const nextPass = urgentQueue.shift() ?? queue.shift()
      if (nextPass === undefined) return
      nextPassAtMs = Math.max(nowMs - creditMs, nextPassAtMs) + nextPass.sizeBytes * 1000 / rate
      nextPass.release()
    }
  }
  return {
    pass: async (sizeBytes, urgent = false) => {
      if (rate === Infinity) return
      await new Promise<void>(resolve => {
        (urgent ? urgentQueue : queue).push({ sizeBytes, release: resolve })
        if (timer === undefined) pump()
      })
    },
    refund: sizeBytes => {
      if (rate === Infinity) return
      nextPassAtMs -= sizeBytes * 1000 / rate
      clearTimeout(timer)
      pump()
    },
    setRate: next => { rate = next },
    waitingCount: () => urgentQueue.length + queue.length
  }
}

/**
 * Converts a setting to a rate.
 *
 * @param bytesPerSecond - The setting; 0 for no limit.
 * @returns The rate in bytes per second; Infinity for no limit.
 */
export function rateFromSetting (bytesPerSecond: number): number {
  return bytesPerSecond === 0 ? Infinity : bytesPerSecond
}
