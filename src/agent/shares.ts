/**
 * Weighted fair shares between workspaces: which attempt is admitted next, and which is evicted from a full queue.
 *
 * The algorithm is start-time fair queueing over service time. Each workspace has a virtual clock that
 * advances by the service time it uses, divided by its weight. The queued workspace with the lowest
 * clock is admitted next.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Attempts from './attempts.ts'
import type * as Tables from './tables.ts'

/** Smoothing factor of the mean service time. */
const MEAN_SERVICE_SMOOTHING = 0.1
/** Weight of a workspace that the manifest does not contain. */
const DEFAULT_WEIGHT = 1
/** Maximum credit of a workspace that used less than its share, in attempts per unit of weight. */
const MAX_CREDIT_COUNT = 4

const weightsByWorkspace = Core.Memo.memoizeByIdentity((manifest: Schemas.Manifest.Manifest) => new Map(manifest.workspaces.map(({ name, weight }) => [name, weight])))

/**
 * Finds a workspace's weight.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @returns Its weight in the current manifest, or the default weight.
 */
export function weightOf (tables: Tables.Tables, workspace: string): number {
  const manifest = tables.held.manifest()
  return (manifest === undefined ? undefined : weightsByWorkspace(manifest).get(workspace)) ?? DEFAULT_WEIGHT
}

/**
 * Computes a workspace's share of the limit among the workspaces that have attempts here.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace, which counts as active.
 * @returns The share as a number of attempts, at least 1.
 */
export function shareOf (tables: Tables.Tables, workspace: string): number {
  return Math.max(1, tables.endpoint.limitCount * weightOf(tables, workspace) / activeWeight(tables, workspace))
}

/**
 * Chooses the attempt to admit next.
 *
 * @param tables - The agent's tables.
 * @returns A queued attempt, or undefined if none may run.
 */
export function pickNext (tables: Tables.Tables): Attempts.AttemptRow | undefined {
  let best: { attempt: Attempts.AttemptRow, virtualMs: number } | undefined
  for (const row of tables.attempts.workspaces()) {
    const attempt = nextQueuedOf(tables, row)
    if (attempt === undefined) continue
    const virtualMs = virtualClockOf(tables, row)
    if (best === undefined || virtualMs < best.virtualMs) best = { attempt, virtualMs }
  }
  return best?.attempt
}

/**
 * Chooses the attempt to evict from a full queue to make room for a new one.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace of the new attempt.
 * @param priority - The new attempt's priority.
 * @returns The last queued attempt of the workspace with the latest virtual start. If that is the
 * workspace of the new attempt, its own last attempt if that has a lower priority, else undefined.
 */
export function pickEvictionCandidate (tables: Tables.Tables, workspace: string, priority: number): Attempts.AttemptRow | undefined {
  let latestRow: Attempts.WorkspaceRow | undefined
  let latestStartMs = virtualStartOf(tables, tables.attempts.workspace(workspace), 1)
  for (const row of tables.attempts.workspaces()) {
    if (row.queue.size === 0 || row.workspace === workspace) continue
    const startMs = virtualStartOf(tables, row, 0)
    if (startMs > latestStartMs) { latestRow = row; latestStartMs = startMs }
  }
  if (latestRow !== undefined) return lastQueuedOf(latestRow)
  const ownLast = lastQueuedOf(tables.attempts.workspace(workspace))
  return ownLast !== undefined && ownLast.envelope.priority < priority ? ownLast : undefined
}

/**
 * Returns whether a workspace's next attempt would exceed its share.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @returns Whether its virtual start is later than that of a workspace that uses exactly its share.
 */
export function isOverShare (tables: Tables.Tables, workspace: string): boolean {
  const row = tables.attempts.workspace(workspace)
  return attemptCountOf(row) >= 1 && virtualStartOf(tables, row, 1) > tables.fairness.virtualMs + tables.fairness.meanServiceMs / weightOf(tables, workspace)
}

/**
 * Charges a workspace the mean service time for an attempt that is being admitted.
 *
 * @param tables - The agent's tables.
 * @param attempt - The attempt.
 */
export function charge (tables: Tables.Tables, attempt: Attempts.AttemptRow): void {
  const row = tables.attempts.workspace(attempt.envelope.workspace)
  const { fairness } = tables
  const startMs = virtualClockOf(tables, row)
  fairness.virtualMs = Math.max(startMs, fairness.virtualMs)
  attempt.chargedMs = Math.max(1, fairness.meanServiceMs)
  row.virtualMs = startMs + attempt.chargedMs / weightOf(tables, row.workspace)
  row.admittedCount++
}

/**
 * Corrects a workspace's charge to the service time that an attempt has used.
 *
 * @param tables - The agent's tables.
 * @param attempt - The attempt that has ended.
 * @param nowMs - The current time, in milliseconds.
 */
export function settleCharge (tables: Tables.Tables, attempt: Attempts.AttemptRow, nowMs: number): void {
  if (attempt.state !== 'running') return
  const { fairness } = tables
  const serviceMs = nowMs - attempt.admittedAtMs
  const row = tables.attempts.workspace(attempt.envelope.workspace)
  row.virtualMs += (serviceMs - (attempt.chargedMs ?? serviceMs)) / weightOf(tables, row.workspace)
  fairness.meanServiceMs = fairness.meanServiceMs === 0 ? serviceMs : fairness.meanServiceMs + (serviceMs - fairness.meanServiceMs) * MEAN_SERVICE_SMOOTHING
}

/**
 * Estimates how long an attempt would wait in its workspace's queue.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @param priority - The attempt's priority; it does not wait for attempts of lower priority.
 * @returns The estimated wait, in milliseconds.
 */
export function estimateWaitMs (tables: Tables.Tables, workspace: string, priority = 0): number {
  const { attempts, endpoint, fairness } = tables
  if (attempts.runningCount() + attempts.queuedCount() < endpoint.limitCount) return 0
  const row = attempts.workspace(workspace)
  let overtakenCount = 0
  for (const attempt of row.queue.values()) if (attempt.envelope.priority < priority) overtakenCount++
  const aheadMs = virtualStartOf(tables, row, 1 - overtakenCount) - fairness.virtualMs
  return Math.max(fairness.meanServiceMs / endpoint.limitCount, aheadMs * activeWeight(tables, workspace) / endpoint.limitCount)
}

/**
 * Counts a workspace's attempts at this agent.
 *
 * @param row - The workspace.
 * @returns The number of its running and queued attempts.
 */
export function attemptCountOf (row: Attempts.WorkspaceRow): number {
  return row.runningCount + row.queue.size
}

/** Returns the sum of the weights of the given workspace and of all that have attempts here. */
function activeWeight (tables: Tables.Tables, workspace: string): number {
  let sum = 0
  for (const row of tables.attempts.workspaces()) {
    if (row.workspace === workspace || attemptCountOf(row) > 0) sum += weightOf(tables, row.workspace)
  }
  return sum
}

/** Returns a workspace's virtual clock, with the credit for an unused share bounded by `MAX_CREDIT_COUNT`. */
function virtualClockOf (tables: Tables.Tables, row: Attempts.WorkspaceRow): number {
  const { virtualMs, meanServiceMs } = tables.fairness
  return Math.max(row.virtualMs, virtualMs - MAX_CREDIT_COUNT * meanServiceMs)
}

/** Returns the virtual time at which the workspace's last queued attempt would start, or the one `extraCount` places after it. */
function virtualStartOf (tables: Tables.Tables, row: Attempts.WorkspaceRow, extraCount: number): number {
  const aheadCount = row.queue.size + extraCount - 1
  return virtualClockOf(tables, row) + aheadCount * tables.fairness.meanServiceMs / weightOf(tables, row.workspace)
}

/** Returns the oldest queued attempt of the highest priority; skips suspects while one is running, so that two never run together. */
function nextQueuedOf (tables: Tables.Tables, row: Attempts.WorkspaceRow): Attempts.AttemptRow | undefined {
  let first: Attempts.AttemptRow | undefined
  for (const attempt of row.queue.values()) {
    if (attempt.envelope.suspect === true && tables.attempts.isSuspectRunning()) continue
    if (first === undefined || attempt.envelope.priority > first.envelope.priority) first = attempt
  }
  return first
}

/** Returns the newest queued attempt of the lowest priority. */
function lastQueuedOf (row: Attempts.WorkspaceRow): Attempts.AttemptRow | undefined {
  let last: Attempts.AttemptRow | undefined
  for (const attempt of row.queue.values()) {
    if (last === undefined || attempt.envelope.priority <= last.envelope.priority) last = attempt
  }
  return last
}
