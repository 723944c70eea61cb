/**
 * Adaptive concurrency limit of one endpoint.
 *
 * The limit starts at one call and doubles while calls succeed with latencies near the endpoint's warm
 * baseline. It collapses to one at the first sign that the endpoint is cold: a failure, a new
 * incarnation, or latencies far above the baseline.
 *
 * @packageDocumentation
 */

/** Measured latency: time to the first byte, gap between parts of a stream, or time of a whole answer. */
export type LatencyKind = 'firstByte' | 'tokenGap' | 'whole'

/** Warm baseline of one latency and recent deviations from it. */
export interface LatencyRow {
  /** Warm baseline, in milliseconds; 0 while unknown. */
  baselineMs: number
  sampleCount: number
  /** Number of consecutive slow samples. */
  slowCount: number
  /** Time of the first of them. */
  slowSinceMs: number
}

/** Concurrency limit of an endpoint and the state from which it is computed. */
export interface LimiterRow {
  limitCount: number
  /** Limit while the endpoint is warm. */
  ceilingCount: number
  phase: 'cold' | 'ramping' | 'warm'
  /** Reason of the last change of the limit. */
  reason: string
  changedAtMs: number
  /** Number of successes near the baseline since the last change. */
  successCount: number
  /** Whether admission is capped at the number of running calls, until a sample shows whether the endpoint is cold. */
  isCappedAtRunning: boolean
  readonly latencies: Readonly<Record<LatencyKind, LatencyRow>>
}

/** Result of comparing one sample with the baseline. */
export type LatencyVerdict = 'near' | 'unsure' | 'slow' | 'cold'

interface LatencyRule {
  /** Multiple of the baseline above which a sample is slow. */
  readonly slowFactor: number
  /** Number of consecutive slow samples, over at least `COLD_AFTER_MS`, after which the endpoint counts as cold. */
  readonly coldSampleCount: number
  /** Lower bound of the baseline in comparisons, in milliseconds. */
  readonly minBaselineMs: number
}

const LATENCY_RULES: Readonly<Record<LatencyKind, LatencyRule>> = {
  firstByte: { slowFactor: 3, coldSampleCount: 2, minBaselineMs: 20 },
  tokenGap: { slowFactor: 2, coldSampleCount: 2, minBaselineMs: 2 },
  whole: { slowFactor: 4, coldSampleCount: 4, minBaselineMs: 20 }
}
/** Multiple of the baseline up to which a sample counts as near it and updates it. */
const NEAR_BASELINE_FACTOR = 1.5
/** Smoothing factors of the moving average: the baseline rises slowly and falls quickly. */
const BASELINE_RISE_SMOOTHING = 0.05
const BASELINE_FALL_SMOOTHING = 0.2
/** Time for which samples must be slow before the endpoint counts as cold, in milliseconds. */
const COLD_AFTER_MS = 400
/** Minimum time between doublings for an endpoint that reports whether it is cold, in milliseconds. */
const REPORTED_GROWTH_INTERVAL_MS = 100
/** Minimum time between doublings for an endpoint that does not report it, in milliseconds. */
const UNREPORTED_GROWTH_INTERVAL_MS = 1_000
/** Time and number of slow samples in a row after which the slow latency becomes the new baseline. */
const BASELINE_SHIFT_AFTER_MS = 30_000
const BASELINE_SHIFT_SAMPLE_COUNT = 20

/**
 * Creates the limiter of an endpoint that has just started.
 *
 * @returns The limiter.
 */
export function createLimiter (): LimiterRow {
  return {
    limitCount: 1,
    ceilingCount: 1,
    phase: 'cold',
    reason: 'The endpoint has just started.',
    changedAtMs: -Infinity,
    successCount: 0,
    isCappedAtRunning: false,
    latencies: { firstByte: createLatency(), tokenGap: createLatency(), whole: createLatency() }
  }
}

/**
 * Resets the limit to one call.
 *
 * @param row - The limiter.
 * @param reason - Reason of the change.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether the limit or phase changed.
 */
export function collapse (row: LimiterRow, reason: string, nowMs: number): boolean {
  const changed = row.limitCount !== 1 || row.phase !== 'cold'
  Object.assign(row, { limitCount: 1, phase: 'cold', reason, changedAtMs: nowMs, successCount: 0, isCappedAtRunning: false })
  return changed
}

/**
 * Resets the warm baselines, after the endpoint has changed its model.
 *
 * @param row - The limiter.
 */
export function resetBaselines (row: LimiterRow): void {
  for (const latency of Object.values(row.latencies)) Object.assign(latency, createLatency())
}

/**
 * Sets the limit that applies while the endpoint is warm.
 *
 * @param row - The limiter.
 * @param ceilingCount - Maximum number of concurrent calls.
 */
export function setCeiling (row: LimiterRow, ceilingCount: number): void {
  row.ceilingCount = Math.max(1, ceilingCount)
  row.limitCount = Math.min(row.limitCount, row.ceilingCount)
}

/**
 * Compares a latency sample with the warm baseline, and collapses the limit if the endpoint is cold.
 *
 * @param row - The limiter.
 * @param kind - The measured latency.
 * @param valueMs - The sample, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns The verdict.
 */
export function observe (row: LimiterRow, kind: LatencyKind, valueMs: number, nowMs: number): LatencyVerdict {
  const latency = row.latencies[kind]
  const rule = LATENCY_RULES[kind]
  if (latency.baselineMs === 0) {
    Object.assign(latency, { baselineMs: valueMs, sampleCount: 1, slowCount: 0 })
    return 'near'
  }
  latency.sampleCount++
  const ratio = valueMs / Math.max(latency.baselineMs, rule.minBaselineMs)
  if (ratio <= rule.slowFactor) {
    latency.slowCount = 0
    row.isCappedAtRunning = false
    if (ratio > NEAR_BASELINE_FACTOR) return 'unsure'
    latency.baselineMs += (valueMs - latency.baselineMs) * (valueMs < latency.baselineMs ? BASELINE_FALL_SMOOTHING : BASELINE_RISE_SMOOTHING)
    return 'near'
  }
  if (latency.slowCount === 0) latency.slowSinceMs = nowMs
  latency.slowCount++
  if (hasBaselineShifted(latency, nowMs)) {
    Object.assign(latency, { baselineMs: valueMs, slowCount: 0 })
    return 'unsure'
  }
  capAtRunning(row)
  if (latency.slowCount < rule.coldSampleCount || nowMs - latency.slowSinceMs < COLD_AFTER_MS) return 'slow'
  collapse(row, `${kind} is ${ratio.toFixed(1)} times its warm baseline.`, nowMs)
  return 'cold'
}

/**
 * Returns whether a stream has stalled: it has been quiet for longer than a number of warm gaps.
 *
 * @param row - The limiter.
 * @param quietMs - Time since the last part of the stream, in milliseconds.
 * @param maxGapCount - Number of warm gaps for which a stream may be quiet.
 * @returns Whether it has stalled; false while there is no baseline.
 */
export function isStalled (row: LimiterRow, quietMs: number, maxGapCount: number): boolean {
  const { baselineMs } = row.latencies.tokenGap
  return baselineMs > 0 && quietMs > Math.max(baselineMs, LATENCY_RULES.tokenGap.minBaselineMs) * maxGapCount
}

/**
 * Caps admission at the number of running calls until a sample shows whether the endpoint is cold.
 *
 * @param row - The limiter.
 */
export function capAtRunning (row: LimiterRow): void {
  row.isCappedAtRunning = true
}

/**
 * Records a success near the warm baseline; enough of them double the limit.
 *
 * @param row - The limiter.
 * @param reportsLoad - Whether the endpoint reports whether it is cold.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether the limit was raised.
 */
export function recordSuccess (row: LimiterRow, reportsLoad: boolean, nowMs: number): boolean {
  if (row.isCappedAtRunning) return false
  row.successCount++
  if (row.limitCount >= row.ceilingCount) { row.phase = 'warm'; return false }
  const intervalMs = reportsLoad ? REPORTED_GROWTH_INTERVAL_MS : UNREPORTED_GROWTH_INTERVAL_MS
  if (row.successCount < row.limitCount || nowMs - row.changedAtMs < intervalMs) return false
  row.limitCount = Math.min(row.ceilingCount, row.limitCount * 2)
  Object.assign(row, { phase: row.limitCount === row.ceilingCount ? 'warm' : 'ramping', reason: 'Calls succeed near the warm baseline.', changedAtMs: nowMs, successCount: 0 })
  return true
}

/**
 * Computes how many calls the endpoint may run now.
 *
 * @param row - The limiter.
 * @param runningCount - Number of calls that it is running.
 * @returns The maximum number of running calls.
 */
export function allowedCount (row: LimiterRow, runningCount: number): number {
  return row.isCappedAtRunning ? Math.max(1, Math.min(row.limitCount, runningCount)) : row.limitCount
}

function hasBaselineShifted (latency: LatencyRow, nowMs: number): boolean {
  return latency.slowCount >= BASELINE_SHIFT_SAMPLE_COUNT && nowMs - latency.slowSinceMs >= BASELINE_SHIFT_AFTER_MS
}

function createLatency (): LatencyRow {
  return { baselineMs: 0, sampleCount: 0, slowCount: 0, slowSinceMs: 0 }
}
