/**
 * Chooses among endpoints by what all gateways together are expected to send before the next load reports.
 *
 * Answers many gateways that choose at the same moment from reports of the same age: if each took the
 * endpoint that looks best, they would all take the same one, and endpoints would be overrun in turns while
 * others idle. The calls that are expected within the age of the reports are spread in thought so that the
 * predicted times even out, and each gateway draws an endpoint with the probability of its part. With fresh
 * reports or few calls this is the best endpoint; the older the reports, the more endpoints are used alike.
 *
 * @packageDocumentation
 */

/** An endpoint to choose from. */
export interface SpreadCandidate {
  /** Predicted time of the next call, with penalties, in milliseconds. */
  readonly costMs: number
  /** How much each call adds to the predicted time of the one after it, in milliseconds. */
  readonly costPerCallMs: number
}

/**
 * Spreads expected calls over endpoints.
 *
 * @param candidates - The endpoints.
 * @param expectedCount - Number of calls that are expected before the next reports, this one included.
 * @param toleranceMs - Difference from the lowest cost within which endpoints count as equal, in milliseconds.
 * @returns The part of the calls that each endpoint gets; the parts add up to 1.
 */
export function spread (candidates: readonly SpreadCandidate[], expectedCount: number, toleranceMs: number): number[] {
  const byCost = [...candidates].sort((a, b) => a.costMs - b.costMs)
  const [best] = byCost
  if (best === undefined) return []
  // Fills the cheapest endpoints up to a level at which all expected calls are placed.
  let levelMs = best.costMs
  let ratePerMs = 0
  let leftCount = expectedCount
  for (const { costMs, costPerCallMs } of byCost) {
    const placedCount = (costMs - levelMs) * ratePerMs
    if (placedCount >= leftCount) break
    leftCount -= placedCount
    levelMs = costMs
    ratePerMs += 1 / costPerCallMs
  }
  levelMs = Math.max(levelMs + leftCount / ratePerMs, best.costMs + toleranceMs)
  const weights = candidates.map(({ costMs, costPerCallMs }) => Math.max(0, levelMs - costMs) / costPerCallMs)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map(weight => weight / total)
}

/**
 * Draws an endpoint.
 *
 * @param parts - The part of each endpoint, from `spread`.
 * @param draw - A random number in [0, 1).
 * @returns The index of the endpoint; -1 if there is none.
 */
export function drawIndex (parts: readonly number[], draw: number): number {
  let left = draw
  let lastIndex = -1
  for (const [index, part] of parts.entries()) {
    if (part <= 0) continue
    lastIndex = index
    left -= part
    if (left < 0) break
  }
  return lastIndex
}
