/**
 * What went wrong with a fetch, who is blamed, and how long that one is left alone.
 *
 * @packageDocumentation
 */

/** A fault of a source or peer. */
export type FaultKind = 'corrupted' | 'stalled' | 'slow' | 'unreachable' | 'throttled' | 'absent' | 'cancelled'

/** How often something failed of late and until when it is left alone. */
export interface Health {
  readonly faultCounts: Record<FaultKind, number>
  backOffUntilMs: number
}

interface BackOff {
  readonly baseMs: number
  readonly factor: number
  readonly longestMs: number
}

/** Faults after which an agent may not be at work; one that is throttled is at work. */
const UNAVAILABLE_FAULTS: readonly FaultKind[] = ['corrupted', 'stalled', 'unreachable']
const NO_BACK_OFF: BackOff = { baseMs: 0, factor: 1, longestMs: 0 }

/** Back-off from a peer, by fault. */
export const PEER_BACK_OFF: Readonly<Record<FaultKind, BackOff>> = {
  corrupted: { baseMs: 5_000, factor: 4, longestMs: 600_000 },
  stalled: { baseMs: 2_000, factor: 2, longestMs: 60_000 },
  slow: { baseMs: 1_000, factor: 2, longestMs: 15_000 },
  unreachable: { baseMs: 1_000, factor: 2, longestMs: 30_000 },
  throttled: { baseMs: 50, factor: 1, longestMs: 50 },
  absent: NO_BACK_OFF,
  cancelled: NO_BACK_OFF
}

/** Back-off from the origin or the weight store, by fault; a source has no substitute, so it is short. */
export const SOURCE_BACK_OFF: Readonly<Record<FaultKind, BackOff>> = {
  corrupted: NO_BACK_OFF,
  stalled: { baseMs: 1_000, factor: 2, longestMs: 8_000 },
  slow: NO_BACK_OFF,
  unreachable: { baseMs: 500, factor: 2, longestMs: 4_000 },
  throttled: { baseMs: 500, factor: 2, longestMs: 4_000 },
  absent: { baseMs: 2_000, factor: 1, longestMs: 2_000 },
  cancelled: NO_BACK_OFF
}

/**
 * Creates a clean standing.
 *
 * @returns The standing.
 */
export function createHealth (): Health {
  return { faultCounts: { corrupted: 0, stalled: 0, slow: 0, unreachable: 0, throttled: 0, absent: 0, cancelled: 0 }, backOffUntilMs: 0 }
}

/**
 * Tells whether an agent is left alone because of more than a full queue.
 *
 * @param health - Its standing.
 * @param nowMs - The time.
 * @returns Whether others are to do its work meanwhile.
 */
export function isUnavailable (health: Health, nowMs: number): boolean {
  return health.backOffUntilMs > nowMs && UNAVAILABLE_FAULTS.some(fault => health.faultCounts[fault] > 0)
}

/**
 * Blames a fault and starts its back-off.
 *
 * @param health - Who is blamed.
 * @param fault - What went wrong.
 * @param backOffByFault - Back-off by fault.
 * @param nowMs - The time.
 * @returns How long it is left alone, in milliseconds.
 */
export function recordFault (health: Health, fault: FaultKind, backOffByFault: Readonly<Record<FaultKind, BackOff>>, nowMs: number): number {
  const countBefore = health.faultCounts[fault]++
  const { baseMs, factor, longestMs } = backOffByFault[fault]
  const backOffMs = Math.min(longestMs, baseMs * factor ** countBefore)
  health.backOffUntilMs = Math.max(health.backOffUntilMs, nowMs + backOffMs)
  return backOffMs
}

/**
 * Counts a success: faults of speed and reach are forgiven, corrupted chunks are not.
 *
 * @param health - Who served well.
 */
export function recordSuccess (health: Health): void {
  for (const fault of ['stalled', 'slow', 'unreachable', 'throttled'] as const) health.faultCounts[fault] = 0
}
