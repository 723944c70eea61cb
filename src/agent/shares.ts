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

/** The clock that the workspaces' virtual clocks are compared with. */
export interface FairnessRow {
  /** The start time of the attempt that was admitted last, in virtual milliseconds. */
  virtualMs: number
  /** The mean time that the endpoint takes for an attempt, in milliseconds; 0 while unknown. */
  meanServiceMs: number
}

const MEAN_SHARE = 0.1
const DEFAULT_WEIGHT = 1

const weightIndex = Core.Memo.byIdentity((manifest: Schemas.Manifest.Manifest) => new Map(manifest.workspaces.map(({ name, weight }) => [name, weight])))

/**
 * Finds a workspace's weight.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @returns The weight that the manifest in force gives it.
 */
export function weightOf (tables: Tables.Tables, workspace: string): number {
  const manifest = tables.held.manifest()
  return (manifest === undefined ? undefined : weightIndex(manifest).get(workspace)) ?? DEFAULT_WEIGHT
}

/**
 * Computes a workspace's share of the limit among the workspaces that have attempts here.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace, counted as active.
 * @returns The share as a count of attempts, at least one.
 */
export function shareOf (tables: Tables.Tables, workspace: string): number {
  let sum = 0
  for (const row of tables.attempts.workspaces()) {
    if (row.workspace === workspace || usedCount(row) > 0) sum += weightOf(tables, row.workspace)
  }
  const weight = weightOf(tables, workspace)
  return Math.max(1, tables.endpoint.limitCount * weight / Math.max(sum, weight))
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
    const attempt = firstOf(tables, row)
    if (attempt === undefined) continue
    const virtualMs = Math.max(row.virtualMs, tables.fairness.virtualMs)
    if (best === undefined || virtualMs < best.virtualMs) best = { attempt, virtualMs }
  }
  return best?.attempt
}

/**
 * Chooses the attempt that gives way to a workspace when the queue is full.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace that offers an attempt.
 * @returns The newest queued attempt of the workspace that is furthest over its share, or undefined
 * when that is the offering workspace itself.
 */
export function pickEvicted (tables: Tables.Tables, workspace: string): Attempts.AttemptRow | undefined {
  const load = (row: Attempts.WorkspaceRow, extraCount: number): number => (usedCount(row) + extraCount) / weightOf(tables, row.workspace)
  const own = load(tables.attempts.workspace(workspace), 1)
  let heaviest: Attempts.WorkspaceRow | undefined
  for (const row of tables.attempts.workspaces()) {
    if (row.queue.size === 0 || row.workspace === workspace || load(row, 0) <= own) continue
    if (heaviest === undefined || load(row, 0) > load(heaviest, 0)) heaviest = row
  }
  return heaviest === undefined ? undefined : lastOf(heaviest)
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
  fairness.virtualMs = Math.max(row.virtualMs, fairness.virtualMs)
  attempt.chargedMs = Math.max(1, fairness.meanServiceMs)
  row.virtualMs = fairness.virtualMs + attempt.chargedMs / weightOf(tables, row.workspace)
  row.admittedCount++
}

/**
 * Corrects a workspace's charge by the time that an attempt has taken.
 *
 * @param tables - The agent's tables.
 * @param attempt - The attempt, at its end.
 * @param nowMs - The current time.
 */
export function settle (tables: Tables.Tables, attempt: Attempts.AttemptRow, nowMs: number): void {
  if (attempt.state !== 'running') return
  const { fairness } = tables
  const serviceMs = nowMs - attempt.admittedAtMs
  const row = tables.attempts.workspace(attempt.envelope.workspace)
  row.virtualMs += (serviceMs - (attempt.chargedMs ?? serviceMs)) / weightOf(tables, row.workspace)
  fairness.meanServiceMs = fairness.meanServiceMs === 0 ? serviceMs : fairness.meanServiceMs + (serviceMs - fairness.meanServiceMs) * MEAN_SHARE
}

/**
 * Estimates how long an attempt would wait in its workspace's queue.
 *
 * @param tables - The agent's tables.
 * @param workspace - The workspace.
 * @returns The wait in milliseconds.
 */
export function waitMsOf (tables: Tables.Tables, workspace: string): number {
  const { attempts, fairness, endpoint } = tables
  const free = endpoint.limitCount - attempts.runningCount() - attempts.queuedCount()
  if (free > 0) return 0
  const queuedCount = attempts.workspace(workspace).queue.size + 1
  return queuedCount * fairness.meanServiceMs / shareOf(tables, workspace)
}

/**
 * Counts a workspace's attempts here.
 *
 * @param row - The workspace.
 * @returns Its running and queued attempts.
 */
export function usedCount (row: Attempts.WorkspaceRow): number {
  return row.runningCount + row.queue.size
}

/** The first attempt in order of priority, then of offers; two suspects never run together. */
function firstOf (tables: Tables.Tables, row: Attempts.WorkspaceRow): Attempts.AttemptRow | undefined {
  let first: Attempts.AttemptRow | undefined
  for (const attempt of row.queue.values()) {
    if (attempt.envelope.suspect === true && tables.attempts.suspectRuns()) continue
    if (first === undefined || attempt.envelope.priority > first.envelope.priority) first = attempt
  }
  return first
}

function lastOf (row: Attempts.WorkspaceRow): Attempts.AttemptRow | undefined {
  let last: Attempts.AttemptRow | undefined
  for (const attempt of row.queue.values()) {
    if (last === undefined || attempt.envelope.priority <= last.envelope.priority) last = attempt
  }
  return last
}
