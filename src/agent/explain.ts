/**
 * Explains an agent's limit and shares, so that operators can see which workspace caused an overload.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import * as Shares from './shares.ts'
import type * as Tables from './tables.ts'

/** Maximum number of workspaces in one explanation. */
const MAX_SHARE_COUNT = 200

/**
 * Explains the limit of the agent's endpoint and each workspace's share of it.
 *
 * @param tables - The agent's tables.
 * @param nowMs - The current time, in milliseconds.
 * @returns The explanation, with the workspaces that have the most attempts first.
 */
export function explain (tables: Tables.Tables, nowMs: number): Schemas.Explain.EndpointExplanation {
  const { identity, limiter, attempts, fairness } = tables
  const shares = [...attempts.workspaces()]
    .sort((a, b) => Shares.attemptCountOf(b) - Shares.attemptCountOf(a) || b.admittedCount - a.admittedCount)
    .slice(0, MAX_SHARE_COUNT)
    .map(row => ({
      workspace: row.workspace,
      weight: Shares.weightOf(tables, row.workspace),
      shareCount: Shares.shareOf(tables, row.workspace),
      runningCount: row.runningCount,
      queuedCount: row.queue.size,
      admittedCount: row.admittedCount,
      refusedCounts: { ...row.refusedCounts },
      ...(row.lastRefusal === undefined ? {} : { lastRefusal: { code: row.lastRefusal.code, reason: row.lastRefusal.reason, ageMs: Math.round(nowMs - row.lastRefusal.atMs) } })
    }))
  return {
    instanceId: identity.instanceId,
    zone: identity.zone,
    service: identity.service,
    limitCount: limiter.limitCount,
    ceilingCount: limiter.ceilingCount,
    phase: limiter.phase,
    limitReason: limiter.reason,
    runningCount: attempts.runningCount(),
    queuedCount: attempts.queuedCount(),
    meanServiceMs: Math.round(fairness.meanServiceMs),
    shares
  }
}
