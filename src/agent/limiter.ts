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
export type PaceKind = 'firstByte' | 'tokenGap' | 'whole'

/** How an endpoint's pace compares with its warm baseline. */
export interface PaceRow {
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
  held: boolean
  readonly paces: Readonly<Record<PaceKind, PaceRow>>
}

/** The verdict on one sample. */
export type PaceVerdict = 'near' | 'unsure' | 'slow' | 'cold'

interface PaceRule {
  /** A sample above so many baselines is slow. */
  readonly slowFactor: number
  /** So many slow samples in a row, for long enough, mean that the endpoint is cold. */
  readonly coldSampleCount: number
  /** Baselines below this are taken as this, in milliseconds. */
  readonly floorMs: number
}

const RULES: Readonly<Record<PaceKind, PaceRule>> = {
  firstByte: { slowFactor: 3, coldSampleCount: 2, floorMs: 20 },
  tokenGap: { slowFactor: 2, coldSampleCount: 2, floorMs: 2 },
  whole: { slowFactor: 4, coldSampleCount: 4, floorMs: 20 }
}
const NEAR_FACTOR = 1.5
const RISE_SHARE = 0.05
const FALL_SHARE = 0.2
/** How long samples must be slow before the endpoint counts as cold, in milliseconds. */
const COLD_AFTER_MS = 400
const GROWTH_INTERVAL_MS = 100
/** Between doublings of an endpoint that does not report whether it is cold, in milliseconds. */
const BLIND_GROWTH_INTERVAL_MS = 1_000
const SHIFT_AFTER_MS = 30_000
const SHIFT_SAMPLE_COUNT = 20

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
    held: false,
    paces: { firstByte: createPace(), tokenGap: createPace(), whole: createPace() }
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
  Object.assign(row, { limitCount: 1, phase: 'cold', reason, changedAtMs: nowMs, successCount: 0, held: false })
  return changed
}

/**
 * Forgets the warm baselines, because the endpoint runs something else from now on.
 *
 * @param row - The limiter.
 */
export function forgetBaselines (row: LimiterRow): void {
  for (const pace of Object.values(row.paces)) Object.assign(pace, createPace())
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
export function observe (row: LimiterRow, kind: PaceKind, valueMs: number, nowMs: number): PaceVerdict {
  const pace = row.paces[kind]
  const rule = RULES[kind]
  if (pace.baselineMs === 0) {
    Object.assign(pace, { baselineMs: valueMs, sampleCount: 1, slowCount: 0 })
    return 'near'
  }
  pace.sampleCount++
  const ratio = valueMs / Math.max(pace.baselineMs, rule.floorMs)
  if (ratio <= rule.slowFactor) {
    pace.slowCount = 0
    row.held = false
    if (ratio > NEAR_FACTOR) return 'unsure'
    pace.baselineMs += (valueMs - pace.baselineMs) * (valueMs < pace.baselineMs ? FALL_SHARE : RISE_SHARE)
    return 'near'
  }
  if (pace.slowCount === 0) pace.slowSinceMs = nowMs
  pace.slowCount++
  if (shifted(pace, nowMs)) {
    Object.assign(pace, { baselineMs: valueMs, slowCount: 0 })
    return 'unsure'
  }
  hold(row)
  if (pace.slowCount < rule.coldSampleCount || nowMs - pace.slowSinceMs < COLD_AFTER_MS) return 'slow'
  collapse(row, `${kind} is ${ratio.toFixed(1)} times its warm baseline.`, nowMs)
  return 'cold'
}

/**
 * Tells whether a stream has been quiet for longer than the warm pace allows.
 *
 * @param row - The limiter.
 * @param quietMs - How long it has been quiet in milliseconds.
 * @param gapCount - The warm gaps that it may be quiet for.
 * @returns Whether it has; false while there is no baseline.
 */
export function isQuiet (row: LimiterRow, quietMs: number, gapCount: number): boolean {
  const { baselineMs } = row.paces.tokenGap
  return baselineMs > 0 && quietMs > Math.max(baselineMs, RULES.tokenGap.floorMs) * gapCount
}

/**
 * Admits no more than runs until it is known whether the endpoint is cold.
 *
 * @param row - The limiter.
 */
export function hold (row: LimiterRow): void {
  row.held = true
}

/**
 * Takes a success near the warm baseline; enough of them double the limit.
 *
 * @param row - The limiter.
 * @param reportsLoad - Whether the endpoint reports when it is cold.
 * @param nowMs - The current time.
 * @returns Whether the limit was raised.
 */
export function succeed (row: LimiterRow, reportsLoad: boolean, nowMs: number): boolean {
  if (row.held) return false
  row.successCount++
  if (row.limitCount >= row.ceilingCount) { row.phase = 'warm'; return false }
  const intervalMs = reportsLoad ? GROWTH_INTERVAL_MS : BLIND_GROWTH_INTERVAL_MS
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
  return row.held ? Math.max(1, Math.min(row.limitCount, runningCount)) : row.limitCount
}

function shifted (pace: PaceRow, nowMs: number): boolean {
  return pace.slowCount >= SHIFT_SAMPLE_COUNT && nowMs - pace.slowSinceMs >= SHIFT_AFTER_MS
}

function createPace (): PaceRow {
  return { baselineMs: 0, sampleCount: 0, slowCount: 0, slowSinceMs: 0 }
}
