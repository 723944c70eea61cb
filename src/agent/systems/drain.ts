/**
 * Takes the endpoint out of service, and back into service with a limit that ramps up again.
 *
 * The agent decides this itself, so that it also refuses new work from gateways that do not know of
 * the drain yet.
 *
 * @packageDocumentation
 */
import * as Control from '../../control/index.ts'
import * as Limiter from '../limiter.ts'
import * as Tables from '../tables.ts'

/** Applies operators' drains, the platform's instance list and the agent's own shutdown. */
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
