/**
 * Brings the endpoint to its assignment in the placement plan: one order at a time, and loads only of complete weights.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Weights from '../../weights/index.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** Time after an order that was not accepted before the next one is sent, in milliseconds. */
const ORDER_RETRY_DELAY_MS = 1_000
/** Maximum time for which a switch waits for calls that were just admitted to reach the endpoint, in milliseconds. */
const MAX_SWITCH_DELAY_MS = 250

type ApplyOrder = (tables: Tables.Tables, tick: Tables.Tick, order: Messages.Order) => void

/** Applies the answers to orders and sends the next order. */
export const placementSystem: Tables.System = {
  name: 'placement',
  run: (tables, tick) => {
    for (const input of tick.inputs) if (input.kind === 'orderAnswered') handleOrderAnswer(tables, tick, input)
    const plan = tables.held.placement()
    const { endpoint } = tables
    if (!endpoint.reachable) endpoint.switchingSinceMs = undefined
    if (plan === undefined || !endpoint.reachable || endpoint.orderPending || endpoint.isModelUnconfirmed || tick.nowMs < endpoint.nextOrderAtMs) return
    if (plan.fencingNumber < tables.fencingNumber || Tables.serviceOf(tables)?.kind !== 'engine') { endpoint.switchingSinceMs = undefined; return }
    const order = nextOrder(tables, plan)
    if (order === undefined) { endpoint.switchingSinceMs = undefined; return }
    if (REPLACES_MODEL[order.kind] && !isReadyForSwitch(tables, tick, order)) return
    sendOrder(tables, tick, order)
  }
}

/** Whether an order replaces the model version that serves calls. */
const REPLACES_MODEL: Readonly<Record<Messages.Order['kind'], boolean>> = { load: true, unload: true, adapters: false, role: false }

/** Updates the endpoint's row after an accepted order. */
const ORDER_APPLIERS: Readonly<Record<Messages.Order['kind'], ApplyOrder>> = {
  load: (tables, _tick, order) => {
    if (order.kind !== 'load') return
    const { name, version, digest } = order.model
    Object.assign(tables.endpoint, { modelName: name, modelVersion: version, modelDigest: digest, adapterDigests: order.adapters.map(adapter => adapter.digest) })
  },
  adapters: (tables, _tick, order) => {
    if (order.kind === 'adapters') tables.endpoint.adapterDigests = order.adapters.map(adapter => adapter.digest)
  },
  role: (tables, _tick, order) => {
    if (order.kind === 'role') tables.endpoint.role = order.role
  },
  unload: tables => {
    Object.assign(tables.endpoint, { modelName: undefined, modelVersion: undefined, modelDigest: undefined, adapterDigests: [] })
  }
}

function handleOrderAnswer (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { readonly kind: 'orderAnswered' }>): void {
  const { endpoint } = tables
  endpoint.orderPending = false
  endpoint.orderAnsweredAtMs = tick.nowMs
  endpoint.switchingSinceMs = undefined
  endpoint.isModelUnconfirmed = input.answer === 'lost' && REPLACES_MODEL[input.order.kind]
  if (input.answer === 'accepted') {
    ORDER_APPLIERS[input.order.kind](tables, tick, input.order)
    tick.log('placement', 'Order accepted.', { order: input.order.kind, version: endpoint.modelVersion, fencingNumber: input.order.fencingNumber })
    return
  }
  endpoint.nextOrderAtMs = tick.nowMs + ORDER_RETRY_DELAY_MS
  if (input.answer === 'notWhole') Weights.Tables.forgetDelivered(tables.weights)
  tick.log('placement', 'Order not accepted.', { order: input.order.kind, answer: input.answer, reason: input.reason, fencingNumber: input.order.fencingNumber, tookMs: Math.round(tick.nowMs - endpoint.orderedAtMs) })
}

function nextOrder (tables: Tables.Tables, plan: Schemas.Control.PlacementPlan): Messages.Order | undefined {
  const { endpoint } = tables
  const { fencingNumber } = plan
  const assignment = Tables.assignmentOf(tables)
  const model = assignment?.model
  if (assignment === undefined || model === undefined) {
    return endpoint.modelDigest === undefined ? undefined : { kind: 'unload', fencingNumber }
  }
  const { adapters, role } = assignment
  if (endpoint.modelDigest !== model.digest) {
    return areWhole(tables, [model, ...adapters]) ? { kind: 'load', fencingNumber, model, adapters } : undefined
  }
  if (!sameDigests(adapters, endpoint.adapterDigests)) {
    const missing = adapters.filter(adapter => !endpoint.adapterDigests.includes(adapter.digest))
    return areWhole(tables, missing) ? { kind: 'adapters', fencingNumber, adapters } : undefined
  }
  return endpoint.role === role ? undefined : { kind: 'role', fencingNumber, role }
}

/** Pauses admission and returns whether the order can be sent: calls that were just admitted must reach the endpoint before a load, and an unload waits for all calls. */
function isReadyForSwitch (tables: Tables.Tables, tick: Tables.Tick, order: Messages.Order): boolean {
  const { endpoint } = tables
  endpoint.switchingSinceMs ??= tick.nowMs
  if (order.kind === 'unload') return Tables.runningCount(tables) === 0
  const hasUnansweredCall = [...tables.attempts.rows()].some(attempt => attempt.state === 'running' && attempt.answerStartedAtMs === 0)
  return !hasUnansweredCall || tick.nowMs - endpoint.switchingSinceMs >= MAX_SWITCH_DELAY_MS
}

function sendOrder (tables: Tables.Tables, tick: Tables.Tick, order: Messages.Order): void {
  const { endpoint } = tables
  tables.fencingNumber = order.fencingNumber
  endpoint.orderPending = true
  endpoint.orderedAtMs = tick.nowMs
  if (order.kind === 'load') {
    const digests = [order.model, ...order.adapters].map(entry => entry.digest)
    tick.check('wholeWeights', digests.every(digest => isDelivered(tables, digest)), () => ({ digests, fencingNumber: order.fencingNumber }))
  }
  tick.log('placement', 'Order sent.', { order: order.kind, version: order.kind === 'load' ? order.model.version : endpoint.modelVersion, fencingNumber: order.fencingNumber, reason: 'the plan assigns it' })
  tick.emit({ kind: 'order', order })
}

function isDelivered (tables: Tables.Tables, digest: string): boolean {
  const set = tables.weights.sets.get(digest)
  return set?.chunks !== undefined && set.wholeMatches === true && Weights.Bitmap.isFull(set.chunks.delivered)
}

function areWhole (tables: Tables.Tables, entries: ReadonlyArray<{ readonly digest: string }>): boolean {
  return entries.every(entry => Weights.Tables.isWhole(tables.weights, entry.digest))
}

function sameDigests (adapters: readonly Schemas.Manifest.Adapter[], digests: readonly string[]): boolean {
  return adapters.length === digests.length && adapters.every(adapter => digests.includes(adapter.digest))
}
