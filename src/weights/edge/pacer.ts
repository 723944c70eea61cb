/**
 * Paces bytes to a rate that may change while bytes wait.
 *
 * @packageDocumentation
 */

/** Lets bytes through at a rate. */
export interface Pacer {
  /** Waits until so many bytes may pass; urgent bytes pass before others that wait. */
  pass: (sizeBytes: number, urgent?: boolean) => Promise<void>
  /** Gives back what passed and was not used. */
  refund: (sizeBytes: number) => void
  setRate: (bytesPerSecond: number) => void
  /** Passages that wait. */
  waitingCount: () => number
}

interface QueuedPass {
  readonly sizeBytes: number
  readonly release: () => void
}

/** Idle time that may be made up for, in milliseconds; it covers late timers. */
const CREDIT_MS = 100

/**
 * Creates a pacer.
 *
 * @param bytesPerSecond - The rate; Infinity for none.
 * @param creditMs - Idle time that may be made up for, in milliseconds.
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
 * Reads the rate of a setting.
 *
 * @param bytesPerSecond - The setting; 0 for no limit.
 * @returns The rate.
 */
export function rateFromSetting (bytesPerSecond: number): number {
  return bytesPerSecond === 0 ? Infinity : bytesPerSecond
}
