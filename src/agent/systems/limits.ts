/**
 * Sets the endpoint's concurrency limit from its load reports and latencies.
 *
 * @packageDocumentation
 */
import * as Limiter from '../limiter.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** HTTP statuses with which an endpoint signals overload. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 502, 503, 504])
/** Number of warm gaps without data after which a stream counts as stalled. */
const STALL_GAP_COUNT = 3

type Handler<Kind extends Messages.Input['kind']> = (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { kind: Kind }>) => void

/** Adapts the limit to what the endpoint reports and to how fast it answers. */
export const limitsSystem: Tables.System = {
  name: 'limits',
  run: (tables, tick) => {
    for (const input of tick.inputs) (HANDLERS[input.kind] as Handler<typeof input.kind> | undefined)?.(tables, tick, input as never)
    applyLimit(tables)
  }
}

const HANDLERS: { readonly [Kind in Messages.Input['kind']]?: Handler<Kind> } = {
  endpointSeen: (tables, tick, { load }) => {
    if (load === undefined) handleMissedReport(tables, tick)
    else applyReport(tables, tick, load)
  },
  callAnswering: (tables, tick, { attemptId }) => {
    const attempt = tables.attempts.get(attemptId)
    if (attempt?.state !== 'running' || !attempt.envelope.stream) return
    observeLatency(tables, tick, 'firstByte', tick.nowMs - attempt.admittedAtMs)
  },
  paceSeen: (tables, tick, { pace }) => { applyStreamPace(tables, tick, pace) },
  callEnded: (tables, tick, { attemptId, ending, httpStatus }) => {
    const attempt = tables.attempts.get(attemptId)
    if (attempt?.state !== 'running') return
    if (ending === 'failed') { collapseLimit(tables, tick, 'The endpoint failed an attempt.'); return }
    if (httpStatus !== undefined && OVERLOAD_STATUSES.has(httpStatus)) { collapseLimit(tables, tick, `The endpoint answered ${httpStatus}.`); return }
    if (ending !== 'whole') return
    const verdict = attempt.envelope.stream || reportsLoad(tables) ? 'near' : observeLatency(tables, tick, 'whole', tick.nowMs - attempt.admittedAtMs)
    if (verdict === 'near') raiseLimit(tables, tick)
  }
}

function reportsLoad (tables: Tables.Tables): boolean {
  return Tables.serviceOf(tables)?.reportsLoad ?? false
}

/** Collapses the limit when a load report is missing, since that may be the first sign of a restart. */
function handleMissedReport (tables: Tables.Tables, tick: Tables.Tick): void {
  if (reportsLoad(tables)) collapseLimit(tables, tick, 'The endpoint did not report its load.')
}

function applyReport (tables: Tables.Tables, tick: Tables.Tick, load: Messages.EndpointLoad): void {
  const { endpoint, limiter } = tables
  const previous = tables.lastReportedLoad
  tables.lastReportedLoad = load
  const maxCount = Tables.serviceOf(tables)?.maxConcurrentCount ?? 1
  Limiter.setCeiling(limiter, reportsLoad(tables) ? Math.min(maxCount, Math.max(1, load.capacityCount)) : maxCount)
  if (previous?.modelDigest !== load.modelDigest) Limiter.resetBaselines(limiter)
  if (previous !== undefined && previous.incarnation !== load.incarnation) collapseLimit(tables, tick, 'The endpoint has a new incarnation.')
  else if (previous?.modelDigest !== load.modelDigest) collapseLimit(tables, tick, 'The endpoint holds another model version.')
  endpoint.coldReported = load.cold && reportsLoad(tables)
  if (endpoint.coldReported) collapseLimit(tables, tick, 'The endpoint reports that it is cold.')
}

function applyStreamPace (tables: Tables.Tables, tick: Tables.Tick, pace: Messages.StreamPace): void {
  const { limiter } = tables
  if (Limiter.isStalled(limiter, pace.quietMs, STALL_GAP_COUNT)) Limiter.capAtRunning(limiter)
  if (pace.gapCount === 0) return
  const verdict = observeLatency(tables, tick, 'tokenGap', pace.gapSumMs / pace.gapCount)
  if (verdict === 'near' && tables.attempts.runningCount() >= limiter.limitCount) raiseLimit(tables, tick)
}

function observeLatency (tables: Tables.Tables, tick: Tables.Tick, kind: Limiter.LatencyKind, valueMs: number): Limiter.LatencyVerdict {
  if (tables.endpoint.coldReported) return 'unsure'
  const previousLimitCount = tables.limiter.limitCount
  const verdict = Limiter.observe(tables.limiter, kind, valueMs, tick.nowMs)
  if (verdict === 'cold' && previousLimitCount > 1) logChange(tables, tick, previousLimitCount)
  return verdict
}

function raiseLimit (tables: Tables.Tables, tick: Tables.Tick): void {
  if (tables.endpoint.coldReported) return
  const previousLimitCount = tables.limiter.limitCount
  if (Limiter.recordSuccess(tables.limiter, reportsLoad(tables), tick.nowMs)) logChange(tables, tick, previousLimitCount)
}

function collapseLimit (tables: Tables.Tables, tick: Tables.Tick, reason: string): void {
  const previousLimitCount = tables.limiter.limitCount
  if (Limiter.collapse(tables.limiter, reason, tick.nowMs) && previousLimitCount > 1) logChange(tables, tick, previousLimitCount)
}

function logChange (tables: Tables.Tables, tick: Tables.Tick, previousLimitCount: number): void {
  const { limitCount, ceilingCount, phase, reason } = tables.limiter
  tick.log('admission', 'Limit changed.', { before: previousLimitCount, limitCount, ceilingCount, phase, reason })
}

function applyLimit (tables: Tables.Tables): void {
  tables.endpoint.limitCount = tables.limiter.limitCount
  tables.endpoint.warmLimitCount = tables.limiter.ceilingCount
}
