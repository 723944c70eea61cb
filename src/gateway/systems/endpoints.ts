/**
 * Follows the endpoints: the platform's list, agents' reports and loads on answers.
 *
 * @packageDocumentation
 */
import * as Control from '../../control/index.ts'
import type * as Schemas from '../../schema/index.ts'
import * as Subset from '../subset.ts'
import type * as Tables from '../tables.ts'

/** An endpoint that is not listed and has not reported for so long is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 10_000
/** Time between polls of a live endpoint from which nothing is heard, in milliseconds. */
const LIVE_POLL_MS = 500
/** Time between polls of an endpoint that is not live yet, in milliseconds. */
const OTHER_POLL_MS = 250
/** The longest time between polls of an endpoint, in milliseconds. */
const FULL_REPORT_MS = 2_000
/** Polls of live endpoints in a second, unless whole reports are due more often. */
const USUAL_POLLS_PER_SECOND = 16
const NO_KEYS: ReadonlySet<string> = new Set()

/** Keeps the table of endpoints. */
export const endpointsSystem: Tables.System = {
  name: 'endpoints',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'instances') list(tables, tick, input.instances)
      if (input.kind === 'document' && input.document.kind === 'drains') chooseMembers(tables)
      if (input.kind === 'report' && input.report !== undefined) report(tables, tick, input.endpointId, input.report)
      if (input.kind === 'callLoad') load(tables, tick, input.endpointId, input.result)
      if (input.kind === 'stopping') tables.stopping = true
    }
  }
}

/**
 * Chooses the endpoints whose reports are due, within a bound on polls.
 *
 * @param tables - The gateway's tables; the chosen endpoints are marked as polled.
 * @param nowMs - The current time.
 * @returns The endpoints to poll.
 */
export function takePolls (tables: Tables.Tables, nowMs: number): Tables.EndpointRow[] {
  const few = tables.endpoints.count() <= Subset.FULL_SUBSET_COUNT
  const polled = few ? [...tables.endpoints.rows()] : [...tables.members.values()].flat()
  const liveMs = Math.max(LIVE_POLL_MS, polled.length * 1_000 / USUAL_POLLS_PER_SECOND)
  const due = polled.filter(endpoint => {
    const heardMs = nowMs - Math.max(endpoint.polledAtMs, endpoint.heardAtMs)
    const fullMs = nowMs - Math.max(endpoint.polledAtMs, endpoint.reportedAtMs)
    return heardMs >= (endpoint.report?.state === 'live' ? liveMs : OTHER_POLL_MS) || fullMs >= FULL_REPORT_MS
  })
  for (const endpoint of due) endpoint.polledAtMs = nowMs
  return due
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
      heardAtMs: -Infinity,
      polledAtMs: -Infinity,
      member: false,
      prefixKeys: NO_KEYS,
      failureCount: 0,
      ejectionCount: 0,
      outstandingCount: 0,
      outstandingCounts: new Map(),
      avoidUntilMs: 0
    })
  }
  for (const row of [...tables.endpoints.rows()]) {
    if (listed.has(row.endpointId) || tick.nowMs - row.reportedAtMs < FORGET_AFTER_MS) continue
    tables.endpoints.remove(row.endpointId)
  }
  tables.gateways = instances.filter(instance => instance.kind === 'gateway').map(({ instanceId, zone }) => ({ instanceId, zone }))
  chooseMembers(tables)
}

/** Chooses the subset of each service anew when the processes or the drains have changed. */
function chooseMembers (tables: Tables.Tables): void {
  const drains = tables.held.drains()
  const rows = [...tables.endpoints.rows()]
  const usable = rows.filter(row => row.listedState !== 'leaving' && !Control.Documents.isDrained(drains, row.endpointId, row.zone))
  const membersOf = [...tables.gateways, ...usable.map(row => ({ instanceId: row.endpointId }))].map(place => place.instanceId).join('\n')
  if (membersOf === tables.membersOf) return
  tables.membersOf = membersOf
  tables.members.clear()
  for (const row of rows) row.member = false
  const services = new Map<string, Tables.EndpointRow[]>()
  for (const row of usable) {
    const members = services.get(row.service)
    if (members === undefined) services.set(row.service, [row])
    else members.push(row)
  }
  for (const [service, endpoints] of services) {
    const chosen = new Set(Subset.choose(tables.identity, tables.gateways, endpoints.map(row => ({ instanceId: row.endpointId, zone: row.zone }))))
    const members = endpoints.filter(row => chosen.has(row.endpointId))
    for (const row of members) row.member = true
    tables.members.set(service, members)
  }
}

function report (tables: Tables.Tables, tick: Tables.Tick, endpointId: string, next: Schemas.Control.AgentReport): void {
  const row = tables.endpoints.get(endpointId)
  if (row === undefined) return
  if (row.report?.state !== next.state) tick.log('routing', 'Endpoint changed state.', { endpointId, state: next.state, modelVersion: next.modelVersion })
  row.report = next
  row.reportedAtMs = tick.nowMs
  row.heardAtMs = tick.nowMs
  row.prefixKeys = next.prefixKeys === undefined ? NO_KEYS : new Set(next.prefixKeys)
}

function load (tables: Tables.Tables, tick: Tables.Tick, endpointId: string, result: Schemas.Calls.CallResult): void {
  const row = tables.endpoints.get(endpointId)
  if (row?.report === undefined || row.report.incarnation !== result.agentIncarnation) return
  row.heardAtMs = tick.nowMs
  row.report = { ...row.report, limitCount: result.limitCount, activeCount: result.activeCount, queuedCount: result.queuedCount }
}
