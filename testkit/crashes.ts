/**
 * Judges how often a request that crashes endpoints reached them.
 *
 * @packageDocumentation
 */
import * as Runner from '../standins/runner.ts'

/** Sends of one request are counted from so long after it crashed the last endpoint that is allowed, in milliseconds: the platform's `stable_window_ms`. */
export const STABLE_MS = 3_000
/** Endpoints that a request may crash before its sends are counted. */
export const FREE_CRASH_COUNT = 3
/** Endpoints that requests with one part of a prompt in common may crash before their sends are counted. */
export const FREE_PART_CRASH_COUNT = 5
/** Sends that are allowed from then on. */
export const ALLOWED_COUNT = 3

/**
 * Finds when sends of a request begin to count.
 *
 * @param runners - The endpoints.
 * @param freeCrashCount - Endpoints that may crash before.
 * @returns The time in milliseconds; Infinity while fewer endpoints have crashed.
 */
export function countedFromMs (runners: readonly Runner.Runner[], freeCrashCount = FREE_CRASH_COUNT): number {
  const crashes = runners.flatMap(runner => runner.crashedAtMs).sort((a, b) => a - b)
  return (crashes[freeCrashCount - 1] ?? Infinity) + STABLE_MS
}

/**
 * Counts the arrivals of a request at endpoints.
 *
 * @param runners - The endpoints.
 * @param body - The request's body.
 * @param sinceMs - From when, in milliseconds.
 * @returns The count.
 */
export function arrivalsSince (runners: readonly Runner.Runner[], body: string, sinceMs: number): number {
  return runners.flatMap(runner => runner.arrivedBodies.filter((each, at) => each === body && (runner.arrivedAtMs[at] ?? 0) >= sinceMs)).length
}

/**
 * Counts the arrivals at endpoints of requests with a part in their prompts.
 *
 * @param runners - The endpoints.
 * @param part - The part's id.
 * @param sinceMs - From when, in milliseconds.
 * @returns The count.
 */
export function partArrivalsSince (runners: readonly Runner.Runner[], part: string, sinceMs: number): number {
  return runners.flatMap(runner => runner.arrived.filter((headers, at) => Runner.hasPart(headers, part) && (runner.arrivedAtMs[at] ?? 0) >= sinceMs)).length
}
