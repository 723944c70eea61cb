/**
 * Hedging: an idempotent call whose answer is late gets one more attempt elsewhere; the loser is cancelled.
 *
 * @packageDocumentation
 */
import * as Choice from '../choice.ts'
import * as Finish from '../finish.ts'
import type * as Tables from '../tables.ts'
import * as Sending from './sending.ts'

const MEAN_SHARE = 0.05
/** The delay in mean absolute deviations above the mean. */
const DEVIATION_FACTOR = 4
const MIN_DELAY_MS = 100
/** Answers needed before a delay is known. */
const MIN_SAMPLE_COUNT = 20

/** Learns how late an answer may be, and hedges calls whose answer is later. */
export const hedgingSystem: Tables.System = {
  name: 'hedging',
  run: (tables, tick) => {
    for (const input of tick.inputs) if (input.kind === 'attemptWon') won(tables, tick, input.callId, input.attemptId)
    for (const callId of tables.hedgeTimes.expire(tick.nowMs)) {
      const row = tables.calls.get(callId)
      if (row !== undefined) hedge(tables, tick, row)
    }
  }
}

/**
 * Sets the time at which a call that was just sent may be hedged.
 *
 * @param tables - The gateway's tables.
 * @param row - The call.
 */
export function plan (tables: Tables.Tables, row: Tables.CallRow): void {
  const latency = tables.latencies.get(row.service)
  if (!mayHedge(row) || latency === undefined || latency.sampleCount < MIN_SAMPLE_COUNT) return
  const delayMs = Math.max(MIN_DELAY_MS, latency.meanMs + DEVIATION_FACTOR * latency.deviationMs)
  tables.hedgeTimes.set(row.call.callId, row.sentAtMs + delayMs)
}

function mayHedge (row: Tables.CallRow): boolean {
  return row.idempotent && row.call.idempotencyKey === undefined && row.state === 'running' && !row.suspect && !row.answering && row.hedge === undefined
}

function hedge (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow): void {
  if (!mayHedge(row)) return
  const others = Choice.usableFor(tables, tick.nowMs, row).filter(endpoint =>
    endpoint.endpointId !== row.current?.endpointId && !row.refusedBy.has(endpoint.endpointId) && Choice.spareOf(endpoint) > 0)
  const choice = Choice.choose(tables, tick.random, row, others)
  if (choice === undefined || !tables.budgets.withdraw(row.call.workspace, tick.nowMs)) return
  row.hedge = Sending.attemptAt(tables, choice.endpoint)
  tick.log('routing', 'Call hedged.', { callId: row.call.callId, endpointId: choice.endpoint.endpointId, waitedMs: Math.round(tick.nowMs - row.sentAtMs), reason: 'the answer is late' })
  Sending.dispatch(tables, tick, row, row.hedge, choice.endpoint)
}

/** An answer began: the other attempt is dropped; the edge has cancelled it. */
function won (tables: Tables.Tables, tick: Tables.Tick, callId: string, attemptId: string): void {
  const row = tables.calls.get(callId)
  if (row?.current === undefined) return
  tables.hedgeTimes.remove(callId)
  row.answering = true
  learn(tables, row.service, tick.nowMs - row.sentAtMs)
  const loser = row.hedge?.attemptId === attemptId ? row.current : row.hedge
  if (row.hedge?.attemptId === attemptId) row.current = row.hedge
  row.hedge = undefined
  if (loser !== undefined) Finish.release(tables, loser, row.call.workspace)
}

function learn (tables: Tables.Tables, service: string, valueMs: number): void {
  const known = tables.latencies.get(service)
  if (known === undefined) { tables.latencies.set(service, { meanMs: valueMs, deviationMs: valueMs / 2, sampleCount: 1 }); return }
  known.sampleCount++
  known.deviationMs += (Math.abs(valueMs - known.meanMs) - known.deviationMs) * MEAN_SHARE
  known.meanMs += (valueMs - known.meanMs) * MEAN_SHARE
}
