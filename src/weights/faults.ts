/**
 * Faults of fetches, and the back-off from the peer or source that caused them.
 *
 * @packageDocumentation
 */

/** A way in which a fetch from a source or peer can fail. */
export type FaultKind = 'corrupted' | 'stalled' | 'slow' | 'unreachable' | 'throttled' | 'absent' | 'cancelled'

/** Recent faults of a peer or source, and the end of its back-off. */
export interface Health {
  readonly faultCounts: Record<FaultKind, number>
  backOffUntilMs: number
}

interface BackOff {
  readonly baseMs: number
  readonly factor: number
  readonly maxMs: number
}

/** Faults after which a peer may have stopped fetching its chunks; a peer that throttles requests is still working. */
const UNAVAILABLE_FAULTS: readonly FaultKind[] = ['corrupted', 'stalled', 'unreachable']
const NO_BACK_OFF: BackOff = { baseMs: 0, factor: 1, maxMs: 0 }

/** Back-off from a peer by fault; it grows by the factor with each repetition. */
export const PEER_BACK_OFF: Readonly<Record<FaultKind, BackOff>> = {
  corrupted: { baseMs: 5_000, factor: 4, maxMs: 600_000 },
  stalled: { baseMs: 2_000, factor: 2, maxMs: 60_000 },
  slow: { baseMs: 1_000, factor: 2, maxMs: 15_000 },
  unreachable: { baseMs: 1_000, factor: 2, maxMs: 30_000 },
  throttled: { baseMs: 50, factor: 1, maxMs: 50 },
  absent: NO_BACK_OFF,
  cancelled: NO_BACK_OFF
}

/** Back-off from the origin or the weight store by fault. It is short, as nothing can replace a source. */
export const SOURCE_BACK_OFF: Readonly<Record<FaultKind, BackOff>> = {
  corrupted: NO_BACK_OFF,
  stalled: { baseMs: 1_000, factor: 2, maxMs: 8_000 },
  slow: NO_BACK_OFF,
  unreachable: { baseMs: 500, factor: 2, maxMs: 4_000 },
  throttled: { baseMs: 500, factor: 2, maxMs: 4_000 },
  absent: { baseMs: 2_000, factor: 1, maxMs: 2_000 },
  cancelled: NO_BACK_OFF
}

/**
 * Creates the health record of a peer or source without faults.
 *
 * @returns The record.
 */
export function createHealth (): Health {
  return { faultCounts: { corrupted: 0, stalled: 0, slow: 0, unreachable: 0, throttled: 0, absent: 0, cancelled: 0 }, backOffUntilMs: 0 }
}

/**
 * Returns whether a peer is in back-off after a fault other than a full queue.
 *
 * @param health - Its health record.
 * @param nowMs - Current time in milliseconds.
 * @returns True if other agents are to fetch its chunks for now.
 */
export function isUnavailable (health: Health, nowMs: number): boolean {
  return health.backOffUntilMs > nowMs && UNAVAILABLE_FAULTS.some(fault => health.faultCounts[fault] > 0)
}

/**
 * Records a fault and starts its back-off.
 *
 * @param health - Health record of the peer or source.
 * @param fault - The fault.
 * @param backOffByFault - Back-off by fault.
 * @param nowMs - Current time in milliseconds.
 * @returns Duration of the back-off in milliseconds.
 */
export function recordFault (health: Health, fault: FaultKind, backOffByFault: Readonly<Record<FaultKind, BackOff>>, nowMs: number): number {
  const countBefore = health.faultCounts[fault]++
  const { baseMs, factor, maxMs } = backOffByFault[fault]
  const backOffMs = Math.min(maxMs, baseMs * factor ** countBefore)
  health.backOffUntilMs = Math.max(health.backOffUntilMs, nowMs + backOffMs)
  return backOffMs
}

/**
 * Records a success: resets the counts of stalled, slow, unreachable and throttled fetches, but not of corrupted chunks.
 *
 * @param health - Health record of the peer or source.
 */
export function recordSuccess (health: Health): void {
  for (const fault of ['stalled', 'slow', 'unreachable', 'throttled'] as const) health.faultCounts[fault] = 0
}
