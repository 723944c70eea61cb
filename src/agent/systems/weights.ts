/**
 * Runs weight distribution within the agent's tick.
 *
 * @packageDocumentation
 */
import * as Weights from '../../weights/index.ts'
import * as Tables from '../tables.ts'

/** Computes the wanted weights from the placement plan and runs the systems of weight distribution. */
export const weightsSystem: Tables.System = {
  name: 'weights',
  run: (tables, tick) => {
    const inputs: Weights.Messages.Input[] = []
    for (const input of tick.inputs) {
      if (input.kind === 'weights') inputs.push(input.input)
      if (input.kind === 'membersSeen') Weights.Tables.setMembers(tables.weights, input.members)
    }
    updateWantedWeights(tables, tick)
    Weights.Systems.run(tables.weights, { ...tick, inputs, emit: command => { tick.emit({ kind: 'weights', command }) } })
  }
}

function updateWantedWeights (tables: Tables.Tables, tick: Tables.Tick): void {
  const { endpoint, weights } = tables
  const plan = tables.held.placement()
  if (plan === undefined || !endpoint.reachable) return
  const wantedWeightsKey = [tables.held.versions().placement, endpoint.incarnation, endpoint.modelDigest, ...endpoint.adapterDigests].join()
  if (wantedWeightsKey === tables.wantedWeightsKey) return
  tables.wantedWeightsKey = wantedWeightsKey
  const assignment = Tables.assignmentOf(tables)
  const assignedEntries = assignment === undefined ? [] : [assignment.model ?? [], ...assignment.adapters].flat()
  const loaded = new Set([endpoint.modelDigest, ...endpoint.adapterDigests])
  const wantedEntries = assignedEntries.filter(entry => !loaded.has(entry.digest) || weights.sets.has(entry.digest))
  const wantedWeights = wantedEntries.map(entry => ({
    digest: entry.digest,
    sizeBytes: entry.sizeBytes,
    priority: entry.priority ?? 0,
    instanceIds: plan.assignments.filter(other => other.model?.digest === entry.digest || other.adapters.some(adapter => adapter.digest === entry.digest)).map(other => other.instanceId)
  }))
  Weights.Tables.setWanted(weights, wantedWeights, tick.nowMs)
  if (wantedWeights.length > 0) tick.log('placement', 'Weights requested.', { digests: wantedWeights.map(entry => entry.digest), reason: 'assigned by the plan' })
}
