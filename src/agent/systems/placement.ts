/**
 * Brings the endpoint to what the plan assigns: fetches weights, then orders one load.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Tables from '../tables.ts'

/** An order without an answer for so long is given again, in milliseconds. */
const ORDER_RETRY_MS = 5_000

/** Fetches what is assigned and orders it once whole. */
export const placementSystem: Tables.System = {
  name: 'placement',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'weightsProgress') {
        const row = tables.weights.get(input.digest)
        if (row !== undefined) Object.assign(row, { heldCount: input.heldCount, wantedCount: input.wantedCount, whole: input.whole })
      }
      if (input.kind === 'orderAnswered') {
        tables.endpoint.orderPending = false
        tick.log('placement', input.accepted ? 'Order accepted.' : 'Order refused.', { reason: input.reason })
      }
    }
    const plan = tables.held.placement()
    const assignment = Tables.assignmentOf(tables)
    if (plan === undefined || assignment === undefined) return
    follow(tables, tick, plan, assignment)
  }
}

function follow (tables: Tables.Tables, tick: Tables.Tick, plan: Schemas.Control.PlacementPlan, assignment: Schemas.Control.Assignment): void {
  const { endpoint } = tables
  const model = assignment.model
  if (model === undefined || !endpoint.reachable || endpoint.modelDigest === model.digest) return
  const digests = [model.digest, ...assignment.adapters.map(adapter => adapter.digest)]
  want(tables, tick, digests)
  if (!digests.every(digest => tables.weights.get(digest)?.whole === true)) return
  if (endpoint.orderPending && tick.nowMs - endpoint.orderedAtMs < ORDER_RETRY_MS) return
  if (plan.fencingNumber < tables.fencingNumber) return
  tables.fencingNumber = plan.fencingNumber
  endpoint.orderPending = true
  endpoint.orderedAtMs = tick.nowMs
  tick.log('placement', 'Load ordered.', { model: model.name, version: model.version, fencingNumber: plan.fencingNumber, reason: 'weights are whole' })
  tick.emit({ kind: 'order', assignment, fencingNumber: plan.fencingNumber, load: true })
}

function want (tables: Tables.Tables, tick: Tables.Tick, digests: readonly string[]): void {
  const missing = digests.filter(digest => !tables.weights.has(digest))
  if (missing.length === 0) return
  for (const digest of [...tables.weights.keys()]) if (!digests.includes(digest)) tables.weights.remove(digest)
  for (const digest of missing) tables.weights.set(digest, { digest, heldCount: 0, wantedCount: 0, whole: false })
  tick.log('placement', 'Weights wanted.', { digests, reason: 'assigned by the plan' })
  tick.emit({ kind: 'fetchWeights', digests })
}
