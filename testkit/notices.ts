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

/** What one endpoint got and said; of starts that differ each is judged by itself. */
export interface Record {
  readonly arrivals: ReadonlyArray<{ readonly gateway: string | undefined, readonly bornAtMs: number, readonly atMs: number }>
  readonly told: ReadonlyArray<{ readonly gateway: string | undefined, readonly bornAtMs: number, readonly atMs: number, readonly isLeaving: boolean, readonly returnAfterMs: number }>
}

/**
 * Judges all arrivals at the stand-ins.
 *
 * @param runners - The endpoints.
 * @param gatewayOf - Finds the gateway of a call by its id.
 * @returns The counts.
 */
export function judge (runners: readonly Runner.Runner[], gatewayOf: (id: string) => string | undefined): Verdict {
  return judgeStarts(runners.map(runner => ({
    arrivals: runner.arrived.map((headers, at) => ({ gateway: gatewayOf(String(headers['x-fescuespread-attempt-id'])), bornAtMs: runner.born, atMs: runner.arrivedAtMs[at] ?? 0 })),
    told: runner.told.map(({ id, ...told }) => ({ gateway: gatewayOf(id), bornAtMs: runner.born, ...told }))
  })))
}

/**
 * Judges what endpoints got and said.
 *
 * @param endpoints - The endpoints.
 * @returns The counts.
 */
export function judgeStarts (endpoints: readonly Record[]): Verdict {
  let leavingCount = 0
  let quietCount = 0
  for (const { arrivals, told } of endpoints) {
    const firstLeavingMs = new Map<string, number>()
    const nameOf = ({ gateway, bornAtMs }: { readonly gateway: string | undefined, readonly bornAtMs: number }): string => `${bornAtMs} ${String(gateway)}`
    for (const each of told) {
      if (each.isLeaving) firstLeavingMs.set(nameOf(each), Math.min(firstLeavingMs.get(nameOf(each)) ?? Infinity, each.atMs))
      const count = arrivals.filter(arrival => nameOf(arrival) === nameOf(each) && arrival.atMs > each.atMs + RETURN_SLACK_MS && arrival.atMs < each.atMs + each.returnAfterMs).length
      quietCount = Math.max(quietCount, count - RETURN_ALLOWED_COUNT)
    }
    leavingCount += arrivals.filter(arrival => arrival.atMs > (firstLeavingMs.get(nameOf(arrival)) ?? Infinity) + LEAVING_MS).length
  }
  return { leavingCount, quietCount }
}
