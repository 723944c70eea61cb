/**
 * The adaptive concurrency limit of one endpoint.
 *
 * The limit starts at one call, doubles while calls succeed near the endpoint's own warm pace, and
 * collapses to one at the first sign of cold: a failure, a new incarnation, or a pace far above the
 * warm baseline.
 *
 * @packageDocumentation
 */

/** What is timed: until the first byte, between parts of a stream, or a whole answer. */
export type LatencyKind = 'firstByte' | 'tokenGap' | 'whole'

/** How an endpoint's pace compares with its warm baseline. */
export interface LatencyRow {
  /** The warm baseline in milliseconds; 0 while it is unknown. */
  baselineMs: number
  sampleCount: number
  /** Slow samples in a row. */
  slowCount: number
  slowSinceMs: number
}

/** The limit of an endpoint and what it is decided from. */
export interface LimiterRow {
  limitCount: number
  /** The limit while the endpoint is warm. */
  ceilingCount: number
  phase: 'cold' | 'ramping' | 'warm'
  /** Why the limit was changed last. */
  reason: string
  changedAtMs: number
  /** Successes near the baseline since the last change. */
  successCount: number
  /** Whether no more calls are admitted than run, until a sample tells whether the endpoint is cold. */
  isCappedAtRunning: boolean
  readonly latencies: Readonly<Record<LatencyKind, LatencyRow>>
}

/** The verdict on one sample. */
export type LatencyVerdict = 'near' | 'unsure' | 'slow' | 'cold'

interface LatencyRule {
  /** A sample above so many baselines is slow. */
  readonly slowFactor: number
  /** So many slow samples in a row, for long enough, mean that the endpoint is cold. */
  readonly coldSampleCount: number
  /** Baselines below this are taken as this, in milliseconds. */
  readonly minBaselineMs: number
}

const LATENCY_RULES: Readonly<Record<LatencyKind, LatencyRule>> = {
  firstByte: { slowFactor: 3, coldSampleCount: 2, minBaselineMs: 20 },
  tokenGap: { slowFactor: 2, coldSampleCount: 2, minBaselineMs: 2 },
  whole: { slowFactor: 4, coldSampleCount: 4, minBaselineMs: 20 }
}
const NEAR_BASELINE_FACTOR = 1.5
const BASELINE_RISE_SMOOTHING = 0.05
const BASELINE_FALL_SMOOTHING = 0.2
/** How long samples must be slow before the endpoint counts as cold, in milliseconds. */
const COLD_AFTER_MS = 400
const REPORTED_GROWTH_INTERVAL_MS = 100
/** Between doublings of an endpoint that does not report whether it is cold, in milliseconds. */
const UNREPORTED_GROWTH_INTERVAL_MS = 1_000
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
 * Sets the limit back to one call.
 *
 * @param row - The limiter.
 * @param reason - Why.
 * @param nowMs - The current time.
 * @returns Whether the limit or phase changed.
 */
export function collapse (row: LimiterRow, reason: string, nowMs: number): boolean {
  const changed = row.limitCount !== 1 || row.phase !== 'cold'
  Object.assign(row, { limitCount: 1, phase: 'cold', reason, changedAtMs: nowMs, successCount: 0, isCappedAtRunning: false })
  return changed
}

/**
 * Forgets the warm baselines, because the endpoint runs something else from now on.
 *
 * @param row - The limiter.
 */
export function forgetBaselines (row: LimiterRow): void {
  for (const latency of Object.values(row.latencies)) Object.assign(latency, createLatency())
}

/**
 * Sets the limit that holds while the endpoint is warm.
 *
 * @param row - The limiter.
 * @param ceilingCount - The most calls at once.
 */
export function setCeiling (row: LimiterRow, ceilingCount: number): void {
  row.ceilingCount = Math.max(1, ceilingCount)
  row.limitCount = Math.min(row.limitCount, row.ceilingCount)
}

/**
 * Compares a sample with the warm baseline, and collapses the limit when the endpoint is cold.
 *
 * @param row - The limiter.
 * @param kind - What was timed.
 * @param valueMs - The time measured in milliseconds.
 * @param nowMs - The current time.
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
 * Tells whether a stream has been quiet for longer than the warm pace allows.
 *
 * @param row - The limiter.
 * @param quietMs - How long it has been quiet in milliseconds.
 * @param maxGapCount - The warm gaps that it may be quiet for.
 * @returns Whether it has; false while there is no baseline.
 */
export function isStalled (row: LimiterRow, quietMs: number, maxGapCount: number): boolean {
  const { baselineMs } = row.latencies.tokenGap
  return baselineMs > 0 && quietMs > Math.max(baselineMs, LATENCY_RULES.tokenGap.minBaselineMs) * maxGapCount
}

/**
 * Admits no more than runs until it is known whether the endpoint is cold.
 *
 * @param row - The limiter.
 */
export function capAtRunning (row: LimiterRow): void {
  row.isCappedAtRunning = true
}

/**
 * Takes a success near the warm baseline; enough of them double the limit.
 *
 * @param row - The limiter.
 * @param reportsLoad - Whether the endpoint reports when it is cold.
 * @param nowMs - The current time.
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
 * Tells how many calls the endpoint may run now.
 *
 * @param row - The limiter.
 * @param runningCount - The calls that it runs.
 * @returns The count.
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
