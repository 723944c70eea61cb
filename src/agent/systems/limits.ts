/**
 * Follows the endpoint's pace and sets its concurrency limit.
 *
 * @packageDocumentation
 */
import * as Limiter from '../limiter.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** Statuses with which an endpoint says that it bears no more. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 502, 503, 504])
/** A stream that is quiet for so many warm gaps holds admission back until its pace is known. */
const QUIET_GAP_COUNT = 3

type Handler<Kind extends Messages.Input['kind']> = (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { kind: Kind }>) => void

/** Sets the limit from what the endpoint reports and from how it answers. */
export const limitsSystem: Tables.System = {
  name: 'limits',
  run: (tables, tick) => {
    for (const input of tick.inputs) (HANDLERS[input.kind] as Handler<typeof input.kind> | undefined)?.(tables, tick, input as never)
    apply(tables)
  }
}

const HANDLERS: { readonly [Kind in Messages.Input['kind']]?: Handler<Kind> } = {
  endpointSeen: (tables, tick, { load }) => {
    if (load === undefined) missed(tables, tick)
    else reported(tables, tick, load)
  },
  callAnswering: (tables, tick, { attemptId }) => {
    const attempt = tables.attempts.get(attemptId)
    if (attempt?.state !== 'running' || !attempt.envelope.stream) return
    sample(tables, tick, 'firstByte', tick.nowMs - attempt.admittedAtMs)
  },
  paceSeen: (tables, tick, { pace }) => { follow(tables, tick, pace) },
  callEnded: (tables, tick, { attemptId, ending, httpStatus }) => {
    const attempt = tables.attempts.get(attemptId)
    if (attempt?.state !== 'running') return
    if (ending === 'failed') { cool(tables, tick, 'The endpoint failed an attempt.'); return }
    if (httpStatus !== undefined && OVERLOAD_STATUSES.has(httpStatus)) { cool(tables, tick, `The endpoint answered ${httpStatus}.`); return }
    if (ending !== 'whole') return
    const verdict = attempt.envelope.stream || reportsLoad(tables) ? 'near' : sample(tables, tick, 'whole', tick.nowMs - attempt.admittedAtMs)
    if (verdict === 'near') grow(tables, tick)
  }
}

function reportsLoad (tables: Tables.Tables): boolean {
  return Tables.serviceOf(tables)?.reportsLoad ?? false
}

/** A report that stays out may be the first sign of a restart. */
function missed (tables: Tables.Tables, tick: Tables.Tick): void {
  if (reportsLoad(tables)) cool(tables, tick, 'The endpoint did not report its load.')
}

function reported (tables: Tables.Tables, tick: Tables.Tick, load: Messages.EndpointLoad): void {
  const { endpoint, limiter } = tables
  const previous = tables.reported
  tables.reported = load
  const maxCount = Tables.serviceOf(tables)?.maxConcurrentCount ?? 1
  Limiter.setCeiling(limiter, reportsLoad(tables) ? Math.min(maxCount, Math.max(1, load.capacityCount)) : maxCount)
  if (previous?.modelDigest !== load.modelDigest) Limiter.forgetBaselines(limiter)
  if (previous !== undefined && previous.incarnation !== load.incarnation) cool(tables, tick, 'The endpoint has a new incarnation.')
  else if (previous?.modelDigest !== load.modelDigest) cool(tables, tick, 'The endpoint holds another model version.')
  endpoint.coldReported = load.cold && reportsLoad(tables)
  if (endpoint.coldReported) cool(tables, tick, 'The endpoint reports that it is cold.')
}

function follow (tables: Tables.Tables, tick: Tables.Tick, pace: Messages.StreamPace): void {
  const { limiter } = tables
  if (Limiter.isQuiet(limiter, pace.quietMs, QUIET_GAP_COUNT)) Limiter.hold(limiter)
  if (pace.gapCount === 0) return
  const verdict = sample(tables, tick, 'tokenGap', pace.gapSumMs / pace.gapCount)
  if (verdict === 'near' && tables.attempts.runningCount() >= limiter.limitCount) grow(tables, tick)
}

function sample (tables: Tables.Tables, tick: Tables.Tick, kind: Limiter.PaceKind, valueMs: number): Limiter.PaceVerdict {
  if (tables.endpoint.coldReported) return 'unsure'
  const before = tables.limiter.limitCount
  const verdict = Limiter.observe(tables.limiter, kind, valueMs, tick.nowMs)
  if (verdict === 'cold' && before > 1) logChange(tables, tick, before)
  return verdict
}

function grow (tables: Tables.Tables, tick: Tables.Tick): void {
  if (tables.endpoint.coldReported) return
  const before = tables.limiter.limitCount
  if (Limiter.succeed(tables.limiter, reportsLoad(tables), tick.nowMs)) logChange(tables, tick, before)
}

function cool (tables: Tables.Tables, tick: Tables.Tick, reason: string): void {
  const before = tables.limiter.limitCount
  if (Limiter.collapse(tables.limiter, reason, tick.nowMs) && before > 1) logChange(tables, tick, before)
}

function logChange (tables: Tables.Tables, tick: Tables.Tick, before: number): void {
  const { limitCount, ceilingCount, phase, reason } = tables.limiter
  tick.log('admission', 'Limit changed.', { before, limitCount, ceilingCount, phase, reason })
}

function apply (tables: Tables.Tables): void {
  tables.endpoint.limitCount = tables.limiter.limitCount
  tables.endpoint.warmLimitCount = tables.limiter.ceilingCount
}
