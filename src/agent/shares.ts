/**
 * Weighted fair shares between workspaces: who is admitted next, and who gives way in a full queue.
 *
 * Start-time fair queueing over service time: each workspace has a virtual clock that advances by the
 * service time it uses, divided by its weight; the queued workspace whose clock is lowest goes next.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Attempts from './attempts.ts'
import type * as Tables from './tables.ts'

const MEAN_SERVICE_SMOOTHING = 0.1
const DEFAULT_WEIGHT = 1
/** Attempts, for each unit of weight, that a workspace may catch up on after using less than its share. */
const MAX_CREDIT_COUNT = 4

const weightsByWorkspace = Core.Memo.byIdentity((manifest: Schemas.Manifest.Manifest) => new Map(manifest.workspaces.map(({ name, weight }) => [name, weight])))

/**
 * Finds a workspace's weight.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @returns The weight that the manifest in force gives it.
 */
export function weightOf (tables: Tables.Tables, workspace: string): number {
  const manifest = tables.held.manifest()
  return (manifest === undefined ? undefined : weightsByWorkspace(manifest).get(workspace)) ?? DEFAULT_WEIGHT
}

/**
 * Computes a workspace's share of the limit among the workspaces that have attempts here.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace, counted as active.
 * @returns The share as a count of attempts, at least one.
 */
export function shareOf (tables: Tables.Tables, workspace: string): number {
  return Math.max(1, tables.endpoint.limitCount * weightOf(tables, workspace) / activeWeight(tables, workspace))
}

/**
 * Chooses the attempt that is admitted next.
 *
 * @param tables - The agent's tables.
 * @returns A queued attempt, or undefined when none may run.
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
 * Chooses the attempt that gives way to a workspace when the queue is full.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace that offers an attempt.
 * @param priority - The attempt's priority.
 * @returns The newest queued attempt of the workspace whose turn is furthest off; when that is the
 * offering workspace itself, an attempt of its own with less priority, or undefined.
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
 * Tells whether a workspace's next attempt would be more than its share.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @returns Whether its turn comes after that of a workspace that uses its share.
 */
export function isOverShare (tables: Tables.Tables, workspace: string): boolean {
  const row = tables.attempts.workspace(workspace)
  return attemptCountOf(row) >= 1 && virtualStartOf(tables, row, 1) > tables.fairness.virtualMs + tables.fairness.meanServiceMs / weightOf(tables, workspace)
}

/**
 * Charges a workspace for an attempt that is admitted.
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
 * Corrects a workspace's charge by the time that an attempt has taken.
 *
 * @param tables - The agent's tables.
 * @param attempt - The attempt, at its end.
 * @param nowMs - The current time.
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
 * @param priority - The attempt's priority; what has less is not waited for.
 * @returns The wait in milliseconds.
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
 * Counts a workspace's attempts here.
 *
 * @param row - The workspace.
 * @returns Its running and queued attempts.
 */
export function attemptCountOf (row: Attempts.WorkspaceRow): number {
  return row.runningCount + row.queue.size
}

/** The weights of the workspaces that have attempts here, and of the given one. */
function activeWeight (tables: Tables.Tables, workspace: string): number {
  let sum = 0
  for (const row of tables.attempts.workspaces()) {
    if (row.workspace === workspace || attemptCountOf(row) > 0) sum += weightOf(tables, row.workspace)
  }
  return sum
}

/** A workspace's virtual clock; one that used less than its share has a bounded credit. */
function virtualClockOf (tables: Tables.Tables, row: Attempts.WorkspaceRow): number {
  const { virtualMs, meanServiceMs } = tables.fairness
  return Math.max(row.virtualMs, virtualMs - MAX_CREDIT_COUNT * meanServiceMs)
}

/** The virtual time at which the workspace's last queued attempt, or one so many places after it, would start. */
function virtualStartOf (tables: Tables.Tables, row: Attempts.WorkspaceRow, extraCount: number): number {
  const aheadCount = row.queue.size + extraCount - 1
  return virtualClockOf(tables, row) + aheadCount * tables.fairness.meanServiceMs / weightOf(tables, row.workspace)
}

/** The first attempt in order of priority, then of offers; two suspects never run together. */
function nextQueuedOf (tables: Tables.Tables, row: Attempts.WorkspaceRow): Attempts.AttemptRow | undefined {
  let first: Attempts.AttemptRow | undefined
  for (const attempt of row.queue.values()) {
    if (attempt.envelope.suspect === true && tables.attempts.isSuspectRunning()) continue
    if (first === undefined || attempt.envelope.priority > first.envelope.priority) first = attempt
  }
  return first
}

function lastQueuedOf (row: Attempts.WorkspaceRow): Attempts.AttemptRow | undefined {
  let last: Attempts.AttemptRow | undefined
  for (const attempt of row.queue.values()) {
    if (last === undefined || attempt.envelope.priority <= last.envelope.priority) last = attempt
  }
  return last
}
