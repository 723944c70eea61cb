/**
 * Tracks whether on-time calls to a service are being refused.
 *
 * Under sustained overload, callers that retry after a refusal are already late and soon outnumber
 * new calls, so that most slots would go to late answers. While on-time calls are refused, late calls
 * leave the last free slot to them. Likewise, while on-time calls of a more urgent rank find no free slot,
 * less urgent calls leave the last one to them, so that under overload by both the urgent ones are served.
 *
 * @packageDocumentation
 */
import type * as Ranks from './ranks.ts'

/** Services at which one gateway recently refused on-time calls, or could not begin them at once. */
export interface Crowding {
  /** Records that an on-time call was refused. */
  recordRefusal: (service: string, nowMs: number, rank?: Ranks.Rank) => void
  /** Records that an on-time call found no free slot. */
  recordPressure: (service: string, nowMs: number, rank: Ranks.Rank) => void
  /** Tells whether on-time calls of a rank, or of a more urgent one, are being refused. */
  isCrowded: (service: string, nowMs: number, rank?: Ranks.Rank) => boolean
  /** Tells whether on-time calls of a more urgent rank find no free slots; for a late call, also those of its own rank. */
  isOutranked: (service: string, nowMs: number, rank?: Ranks.Rank, late?: boolean) => boolean
}

/** Time for which a service counts as crowded after an on-time call was refused, in milliseconds: in replays, 300 ms answered fewer calls on time, and 1,000 ms answered fewer calls in total during bursts. */
const CROWDED_MS = 600
/** Time for which less urgent calls leave the last free slots to more urgent ones after one of these found none, in milliseconds: about the time for which a call that is let in occupies its slot. */
const PRESSED_MS = 1_000

/**
 * Creates the crowding state of one gateway, with no crowded services.
 *
 * @returns The state.
 */
export function createCrowding (): Crowding {
  const refusals = createRankTimes()
  const pressures = createRankTimes()
  return {
    recordRefusal: (service, nowMs, rank) => { refusals.record(service, rank?.index ?? 0, nowMs) },
    recordPressure: (service, nowMs, { index }) => { pressures.record(service, index, nowMs) },
    isCrowded: (service, nowMs, rank) => refusals.hasAnySince(service, (rank?.index ?? 0) + 1, nowMs - CROWDED_MS),
    isOutranked: (service, nowMs, rank, late = false) => pressures.hasAnySince(service, (rank?.index ?? 0) + Number(late && rank !== undefined), nowMs - PRESSED_MS)
  }
}

/** The last time of an event by service and rank. */
interface RankTimes {
  record: (service: string, rankIndex: number, nowMs: number) => void
  /** Tells whether the event occurred for one of the first ranks after a time. */
  hasAnySince: (service: string, rankCount: number, sinceMs: number) => boolean
}

function createRankTimes (): RankTimes {
  const timesByService = new Map<string, number[]>()
  return {
    record: (service, rankIndex, nowMs) => {
      const times = timesByService.get(service) ?? []
      times[rankIndex] = nowMs
      timesByService.set(service, times)
    },
    hasAnySince: (service, rankCount, sinceMs) => (timesByService.get(service) ?? []).slice(0, rankCount).some(atMs => atMs > sinceMs)
  }
}
