/**
 * Takes the endpoint out of service and brings it back through the ramp.
 *
 * The agent decides this itself, so that a gateway that has not heard yet gives it no new work.
 *
 * @packageDocumentation
 */
import * as Control from '../../control/index.ts'
import * as Limiter from '../limiter.ts'
import * as Tables from '../tables.ts'

/** Follows drains, the platform's list and the agent's own stop. */
export const drainSystem: Tables.System = {
  name: 'drain',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'listed') tables.listedLeaving = input.state === 'leaving'
      if (input.kind === 'stopping') tables.stopping = true
    }
    const reason = drainReasonOf(tables)
    if (reason === tables.drainReason) return
    const wasDrained = tables.drainReason !== undefined
    tables.drainReason = reason
    if (reason !== undefined) {
      tick.log('drain', 'Endpoint takes no new work.', { reason, activeCount: tables.attempts.count() })
      return
    }
    if (wasDrained) {
      Limiter.collapse(tables.limiter, 'The endpoint is back in service.', tick.nowMs)
      tick.log('drain', 'Endpoint takes work again.', { reason: 'it is back in service', limitCount: tables.limiter.limitCount })
    }
  }
}

function drainReasonOf (tables: Tables.Tables): Tables.DrainReason | undefined {
  const { instanceId, zone } = tables.identity
  if (tables.stopping) return 'the agent is stopping'
  if (Control.Documents.isDrained(tables.held.drains(), instanceId, zone)) return 'an operator took it out of service'
  return tables.listedLeaving ? 'the platform lists it as leaving' : undefined
}
