/**
 * Whether a service's calls in time are being turned away.
 *
 * Answers sustained overload with callers that come back: they are late already and soon outnumber
 * the new calls, so that most places would go to answers of little use. While calls in time are
 * turned away, late ones leave the last free place to them.
 *
 * @packageDocumentation
 */

/** What one gateway knows of crowded services. */
export interface Crowding {
  /** Notes that a call in time was turned away. */
  recordRefusal: (service: string, nowMs: number) => void
  isCrowded: (service: string, nowMs: number) => boolean
}

/** A service counts as crowded for so long after a call in time was turned away, in milliseconds: replays with 300 answer fewer calls in time, with 1,000 fewer calls at all in bursts. */
const CROWDED_MS = 600

/**
 * Creates the memory of one gateway.
 *
 * @returns The memory.
 */
export function createCrowding (): Crowding {
  const refusedAtMs = new Map<string, number>()
  return {
    recordRefusal: (service, nowMs) => { refusedAtMs.set(service, nowMs) },
    isCrowded: (service, nowMs) => nowMs - (refusedAtMs.get(service) ?? -Infinity) < CROWDED_MS
  }
}
