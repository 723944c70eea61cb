/**
 * Tracks whether on-time calls to a service are being refused.
 *
 * Under sustained overload, callers that retry after a refusal are already late and soon outnumber
 * new calls, so that most slots would go to late answers. While on-time calls are refused, late calls
 * leave the last free slot to them.
 *
 * @packageDocumentation
 */
import type * as Ranks from './ranks.ts'

/** Services at which one gateway recently refused on-time calls. */
export interface Crowding {
  /** Records that an on-time call was refused. */
  recordRefusal: (service: string, nowMs: number, rank?: Ranks.Rank) => void
  /** Tells whether on-time calls of a rank, or of a more urgent one, are being refused. */
  isCrowded: (service: string, nowMs: number, rank?: Ranks.Rank) => boolean
}

/** Time for which a service counts as crowded after an on-time call was refused, in milliseconds: in replays, 300 ms answered fewer calls on time, and 1,000 ms answered fewer calls in total during bursts. */
const CROWDED_MS = 600

/**
 * Creates the crowding state of one gateway, with no crowded services.
 *
 * @returns The state.
 */
export function createCrowding (): Crowding {
  /** When an on-time call was last refused, by service and index of the rank. */
  const refusedAtMs = new Map<string, number[]>()
  return {
    recordRefusal: (service, nowMs, rank) => {
      const times = refusedAtMs.get(service) ?? []
      times[rank?.index ?? 0] = nowMs
      refusedAtMs.set(service, times)
    },
    isCrowded: (service, nowMs, rank) =>
      (refusedAtMs.get(service) ?? []).slice(0, (rank?.index ?? 0) + 1).some(atMs => nowMs - atMs < CROWDED_MS)
  }
}
