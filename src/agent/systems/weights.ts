/**
 * Runs the swarm within the agent's tick.
 *
 * @packageDocumentation
 */
import * as Weights from '../../weights/index.ts'
import * as Tables from '../tables.ts'

/** Derives the wanted weights from the plan and runs the swarm's systems. */
export const weightsSystem: Tables.System = {
  name: 'weights',
  run: (tables, tick) => {
    const inputs: Weights.Messages.Input[] = []
    for (const input of tick.inputs) {
      if (input.kind === 'weights') inputs.push(input.input)
      if (input.kind === 'membersSeen') Weights.Tables.setMembers(tables.weights, input.members)
    }
    deriveWants(tables, tick)
    Weights.Systems.run(tables.weights, { ...tick, inputs, emit: command => { tick.emit({ kind: 'weights', command }) } })
  }
}

function deriveWants (tables: Tables.Tables, tick: Tables.Tick): void {
  const { endpoint, weights } = tables
  const plan = tables.held.placement()
  if (plan === undefined || !endpoint.reachable) return
  const from = [tables.held.versions().placement, endpoint.incarnation, endpoint.modelDigest, ...endpoint.adapterDigests].join()
  if (from === tables.wantedFrom) return
  tables.wantedFrom = from
  const assignment = Tables.assignmentOf(tables)
  const named = assignment === undefined ? [] : [assignment.model ?? [], ...assignment.adapters].flat()
  const loaded = new Set([endpoint.modelDigest, ...endpoint.adapterDigests])
  const wanted = named.filter(entry => !loaded.has(entry.digest) || weights.sets.has(entry.digest))
  const wants = wanted.map(entry => ({
    digest: entry.digest,
    sizeBytes: entry.sizeBytes,
    priority: entry.priority ?? 0,
    instanceIds: plan.assignments.filter(other => other.model?.digest === entry.digest || other.adapters.some(adapter => adapter.digest === entry.digest)).map(other => other.instanceId)
  }))
  Weights.Tables.want(weights, wants, tick.nowMs)
  if (wants.length > 0) tick.log('placement', 'Weights wanted.', { digests: wants.map(entry => entry.digest), reason: 'assigned by the plan' })
}
