/**
 * Judges calls that reach endpoints which have said that they leave, or that they want none for a while.
 *
 * @packageDocumentation
 */
import type * as Runner from '../standins/runner.ts'

/** Calls may reach an endpoint for so long after it said that it leaves, in milliseconds: the platform's `drain_ms`. */
export const LEAVING_MS = 2_000
/** Calls may reach an endpoint for so long after it named a time of return, in milliseconds. */
export const RETURN_SLACK_MS = 500
/** Calls that are allowed from then until that time, from each gateway. */
export const RETURN_ALLOWED_COUNT = 2

/** Calls against what endpoints said. */
export interface Verdict {
  /** Calls that reached an endpoint too late after it told their gateway that it leaves. */
  readonly leavingCount: number
  /** Calls over what is allowed in any time for which an endpoint wanted none. */
  readonly quietCount: number
}

/**
 * Judges all arrivals.
 *
 * @param runners - The endpoints.
 * @param gatewayOf - Finds the gateway of a call by its id.
 * @returns The counts.
 */
export function judge (runners: readonly Runner.Runner[], gatewayOf: (id: string) => string | undefined): Verdict {
  let leavingCount = 0
  let quietCount = 0
  for (const runner of runners) {
    const arrivals = runner.arrived.map((headers, at) => ({ gateway: gatewayOf(String(headers['x-fescuespread-attempt-id'])), atMs: runner.arrivedAtMs[at] ?? 0 }))
    const firstLeavingMs = new Map<string | undefined, number>()
    for (const { id, atMs, isLeaving, returnAfterMs } of runner.told) {
      const gateway = gatewayOf(id)
      if (isLeaving && !firstLeavingMs.has(gateway)) firstLeavingMs.set(gateway, atMs)
      if (returnAfterMs <= RETURN_SLACK_MS) continue
      const count = arrivals.filter(arrival => arrival.gateway === gateway && arrival.atMs > atMs + RETURN_SLACK_MS && arrival.atMs < atMs + returnAfterMs).length
      quietCount = Math.max(quietCount, count - RETURN_ALLOWED_COUNT)
    }
    leavingCount += arrivals.filter(({ gateway, atMs }) => atMs > (firstLeavingMs.get(gateway) ?? Infinity) + LEAVING_MS).length
  }
  return { leavingCount, quietCount }
}
