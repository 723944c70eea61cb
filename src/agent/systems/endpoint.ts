/**
 * Tracks the endpoint's incarnation, its model and whether it answers.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Weights from '../../weights/index.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** Time without an answer after which the endpoint counts as unreachable, in milliseconds. */
const UNREACHABLE_AFTER_MS = 3_000
const ROLES: readonly Schemas.Manifest.Role[] = ['mixed', 'prefill', 'decode']

/** Applies the endpoint's load reports. */
export const endpointSystem: Tables.System = {
  name: 'endpoint',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'endpointSeen' && input.load !== undefined) applyLoad(tables, tick, input.load, input.askedAtMs ?? tick.nowMs)
    }
    const { endpoint } = tables
    if (endpoint.reachable && tick.nowMs - endpoint.lastSeenMs > UNREACHABLE_AFTER_MS) {
      endpoint.reachable = false
      tick.log('endpoint', 'Endpoint does not answer.', { lastSeenMs: endpoint.lastSeenMs })
    }
  }
}

function applyLoad (tables: Tables.Tables, tick: Tables.Tick, load: Messages.EndpointLoad, askedAtMs: number): void {
  const { endpoint } = tables
  if (endpoint.incarnation !== load.incarnation) {
    tick.log('endpoint', 'Endpoint has a new incarnation.', { incarnation: load.incarnation })
    Weights.Tables.forgetDelivered(tables.weights)
  }
  const restarted = endpoint.incarnation !== load.incarnation
  endpoint.incarnation = load.incarnation
  endpoint.reachable = true
  endpoint.coldReported = load.cold
  endpoint.lastSeenMs = tick.nowMs
  tables.fencingNumber = Math.max(tables.fencingNumber, load.fencingNumber ?? 0)
  if (!restarted && (endpoint.orderPending || askedAtMs < endpoint.orderAnsweredAtMs)) return
  endpoint.isModelUnconfirmed = false
  endpoint.modelName = load.modelName
  endpoint.modelVersion = load.modelVersion
  endpoint.modelDigest = load.modelDigest
  endpoint.adapterDigests = load.adapterDigests ?? []
  endpoint.role = ROLES.find(role => role === load.role) ?? 'mixed'
}
