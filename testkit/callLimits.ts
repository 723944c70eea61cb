/**
 * Judges what an endpoint got against the limit that it had named.
 *
 * @packageDocumentation
 */

/** The window of the platform's rule on limits, in milliseconds. */
export const WINDOW_MS = 4_000
/** The rule allows so many times what the limit allows in a window, and some calls more. */
const OVERRUN = 1.5
const SLACK_COUNT = 5

/**
 * Works out what the platform's rule allows in a window.
 *
 * @param limitPerSecond - The limit.
 * @returns Calls from all gateways together.
 */
export function allowedCount (limitPerSecond: number): number {
  return OVERRUN * limitPerSecond * WINDOW_MS / 1_000 + SLACK_COUNT
}

/**
 * Counts the calls in the window that has most.
 *
 * @param atMs - When calls arrived, in milliseconds, in any order.
 * @param windowMs - The length of the window, in milliseconds.
 * @returns The count.
 */
export function mostWithin (atMs: readonly number[], windowMs: number): number {
  const sorted = [...atMs].sort((a, b) => a - b)
  let most = 0
  for (let first = 0, last = 0; last < sorted.length; last++) {
    while ((sorted[last] ?? 0) - (sorted[first] ?? 0) >= windowMs) first++
    most = Math.max(most, last - first + 1)
  }
  return most
}
