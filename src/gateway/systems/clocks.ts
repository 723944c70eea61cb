/**
 * Follows agents' clocks, so that an attempt can carry a time after which its agent refuses it.
 *
 * Nothing depends on how exact the estimate is: the same number stands in the attempt, its claim and
 * every question, and only the agent compares it with a clock.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'

/** Covers the age of a report, in milliseconds. */
const SLACK_MS = 500

/** Takes clock readings from reports, and notes when the instance list was first read. */
export const clocksSystem: Tables.System = {
  name: 'clocks',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'instances') listed(tables, tick)
      if (input.kind === 'report' && input.report?.clockMs !== undefined) note(tables, input.endpointId, input.report.incarnation, input.report.clockMs - tick.nowMs)
    }
  }
}

/**
 * Computes when an attempt expires, on its agent's clock.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param current - The attempt.
 * @returns The reading in milliseconds; undefined while the agent's clock is not known.
 */
export function expiryOf (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, current: Tables.CurrentAttempt): number | undefined {
  const clock = tables.clocks.get(current.endpointId)
  if (clock === undefined || clock.incarnation !== current.agentIncarnation) return undefined
  return Math.round(tick.nowMs + clock.offsetMs + Math.max(0, row.deadlineMs - tick.nowMs) + SLACK_MS)
}

function listed (tables: Tables.Tables, tick: Tables.Tick): void {
  tables.firstListedAtMs ??= tick.nowMs
  for (const endpointId of [...tables.clocks.keys()]) if (!tables.endpoints.has(endpointId)) tables.clocks.remove(endpointId)
}

function note (tables: Tables.Tables, endpointId: string, incarnation: string, offsetMs: number): void {
  const known = tables.clocks.get(endpointId)
  const best = known?.incarnation === incarnation ? Math.max(known.offsetMs, offsetMs) : offsetMs
  tables.clocks.set(endpointId, { endpointId, incarnation, offsetMs: best })
}
