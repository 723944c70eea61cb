/**
 * Table of unfinished attempts, with counts and a queue for each workspace.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Schemas from '../schema/index.ts'

/** An attempt that was offered to this agent and has not finished. */
export interface AttemptRow {
  /** Replaced only while the attempt is queued. */
  envelope: Schemas.Calls.CallEnvelope
  state: 'queued' | 'running'
  readonly offeredAtMs: number
  readonly deadlineMs: number
  /** Time of admission; 0 while queued. */
  admittedAtMs: number
  /** Time at which the endpoint began to answer; 0 before that. */
  answerStartedAtMs: number
  /** Service time that the workspace was charged at admission, in milliseconds. */
  chargedMs?: number
}

/** Attempts, fairness clock and counters of a workspace at this agent. */
export interface WorkspaceRow {
  readonly workspace: string
  runningCount: number
  /** Queued attempts by identifier, in the order in which they were offered. */
  readonly queue: Map<string, AttemptRow>
  /** Service time used, divided by the workspace's weight, in milliseconds. */
  virtualMs: number
  admittedCount: number
  readonly refusedCounts: Record<string, number>
  lastRefusal: LastRefusal | undefined
}

/** The latest refusal of a workspace. */
export interface LastRefusal {
  readonly code: Core.Codes.CodeName
  readonly reason: string
  readonly atMs: number
}

/** Attempts by identifier, with counts that are updated at each change. */
export interface AttemptTable extends Core.Table.Table<AttemptRow> {
  /** Marks a queued attempt as running; does nothing if it is unknown or running already. */
  start: (attemptId: string, nowMs: number) => void
  runningCount: () => number
  queuedCount: () => number
  /** Returns whether a call that is suspected of crashing endpoints is running. */
  isSuspectRunning: () => boolean
  /** Returns the row of a workspace, and creates it if there is none. */
  workspace: (name: string) => WorkspaceRow
  workspaces: () => IterableIterator<WorkspaceRow>
}

/** Number of workspaces at which idle ones are removed before another is added. */
const MAX_WORKSPACE_COUNT = 1_024

/**
 * Creates an empty table of attempts.
 *
 * @returns The table.
 */
export function createAttemptTable (): AttemptTable {
  const table = Core.Table.createTable<AttemptRow>('attempts')
  const workspaces = new Map<string, WorkspaceRow>()
  let runningCount = 0
  let runningSuspectCount = 0

  const workspace = (name: string): WorkspaceRow => {
    const existing = workspaces.get(name)
    if (existing !== undefined) return existing
    if (workspaces.size >= MAX_WORKSPACE_COUNT) removeIdleWorkspaces(workspaces)
    const row: WorkspaceRow = { workspace: name, runningCount: 0, queue: new Map(), virtualMs: 0, admittedCount: 0, refusedCounts: {}, lastRefusal: undefined }
    workspaces.set(name, row)
    return row
  }
  const countRunning = (row: AttemptRow, delta: 1 | -1): void => {
    runningCount += delta
    workspace(row.envelope.workspace).runningCount += delta
    if (row.envelope.suspect === true) runningSuspectCount += delta
  }
  const addToIndex = (key: string, row: AttemptRow): void => {
    if (row.state === 'running') countRunning(row, 1)
    else workspace(row.envelope.workspace).queue.set(key, row)
  }
  const removeFromIndex = (key: string): void => {
    const row = table.get(key)
    if (row === undefined) return
    if (row.state === 'running') countRunning(row, -1)
    else workspace(row.envelope.workspace).queue.delete(key)
  }
  return {
    ...table,
    set: (key, row) => {
      removeFromIndex(key)
      table.set(key, row)
      addToIndex(key, row)
    },
    remove: key => {
      removeFromIndex(key)
      return table.remove(key)
    },
    clear: () => { for (const key of [...table.keys()]) { removeFromIndex(key); table.remove(key) } },
    start: (attemptId, nowMs) => {
      const row = table.get(attemptId)
      if (row === undefined || row.state === 'running') return
      removeFromIndex(attemptId)
      row.state = 'running'
      row.admittedAtMs = nowMs
      addToIndex(attemptId, row)
    },
    runningCount: () => runningCount,
    queuedCount: () => table.count() - runningCount,
    isSuspectRunning: () => runningSuspectCount > 0,
    workspace,
    workspaces: () => workspaces.values()
  }
}

function removeIdleWorkspaces (workspaces: Map<string, WorkspaceRow>): void {
  for (const row of workspaces.values()) {
    if (row.runningCount === 0 && row.queue.size === 0) workspaces.delete(row.workspace)
  }
}
