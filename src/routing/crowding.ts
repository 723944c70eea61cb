/**
 * Tracks whether on-time calls to a service are being refused.
 *
 * Under sustained overload, callers that retry after a refusal are already late and soon outnumber
 * new calls, so that most slots would go to late answers. While on-time calls are refused, late calls
 * leave the last free slot to them.
 *
 * @packageDocumentation
 */

/** Services at which one gateway recently refused on-time calls. */
export interface Crowding {
  /** Records that an on-time call was refused. */
  recordRefusal: (service: string, nowMs: number) => void
  isCrowded: (service: string, nowMs: number) => boolean
}

/** Time for which a service counts as crowded after an on-time call was refused, in milliseconds: in replays, 300 ms answered fewer calls on time, and 1,000 ms answered fewer calls in total during bursts. */
const CROWDED_MS = 600

/**
 * Creates the crowding state of one gateway, with no crowded services.
 *
 * @returns The state.
 */
export function createCrowding (): Crowding {
  const refusedAtMs = new Map<string, number>()
  return {
    recordRefusal: (service, nowMs) => { refusedAtMs.set(service, nowMs) },
    isCrowded: (service, nowMs) => nowMs - (refusedAtMs.get(service) ?? -Infinity) < CROWDED_MS
  }
}
