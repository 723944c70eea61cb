/**
 * Follows the endpoints: the platform's list, agents' reports and loads on answers.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import type * as Tables from '../tables.ts'

/** An endpoint that is not listed and has not reported for so long is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 10_000

/** Keeps the table of endpoints. */
export const endpointsSystem: Tables.System = {
  name: 'endpoints',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'instances') list(tables, tick, input.instances)
      if (input.kind === 'report' && input.report !== undefined) report(tables, tick, input.endpointId, input.report)
      if (input.kind === 'callLoad') load(tables, input.endpointId, input.result)
      if (input.kind === 'stopping') tables.stopping = true
    }
  }
}

function list (tables: Tables.Tables, tick: Tables.Tick, instances: readonly Schemas.Platform.Instance[]): void {
  const listed = new Set<string>()
  for (const instance of instances) {
    if (instance.kind !== 'agent' || instance.service === undefined) continue
    listed.add(instance.instanceId)
    const row = tables.endpoints.get(instance.instanceId)
    if (row !== undefined) {
      Object.assign(row, { host: instance.host, port: instance.port, listedState: instance.state })
      continue
    }
    tables.endpoints.set(instance.instanceId, {
      endpointId: instance.instanceId,
      service: instance.service,
      zone: instance.zone,
      region: instance.region,
      host: instance.host,
      port: instance.port,
      listedState: instance.state,
      report: undefined,
      reportedAtMs: -Infinity,
      outstandingCount: 0,
      avoidUntilMs: 0
    })
  }
  for (const row of [...tables.endpoints.rows()]) {
    if (listed.has(row.endpointId) || tick.nowMs - row.reportedAtMs < FORGET_AFTER_MS) continue
    tables.endpoints.remove(row.endpointId)
  }
}

function report (tables: Tables.Tables, tick: Tables.Tick, endpointId: string, next: Schemas.Control.AgentReport): void {
  const row = tables.endpoints.get(endpointId)
  if (row === undefined) return
  if (row.report?.state !== next.state) tick.log('routing', 'Endpoint changed state.', { endpointId, state: next.state, modelVersion: next.modelVersion })
  row.report = next
  row.reportedAtMs = tick.nowMs
}

function load (tables: Tables.Tables, endpointId: string, result: Schemas.Calls.CallResult): void {
  const row = tables.endpoints.get(endpointId)
  if (row?.report === undefined || row.report.incarnation !== result.agentIncarnation) return
  row.report = { ...row.report, limitCount: result.limitCount, activeCount: result.activeCount, queuedCount: result.queuedCount }
}
