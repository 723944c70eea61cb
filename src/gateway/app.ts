/**
 * Wires a gateway's loop to its edges.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import type * as AgentProcedures from '../agent/procedures.ts'
import * as AgentSettings from '../agent/settings.ts'
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Callers from './callers.ts'
import * as ClaimWriter from './claimWriter.ts'
import * as Systems from './systems/index.ts'
import type * as Messages from './messages.ts'
import * as Operators from './operators.ts'
import * as Settings from './settings.ts'
import * as Tables from './tables.ts'

/** A running gateway. */
export interface Gateway {
  readonly port: number
  stop: () => Promise<void>
}

const BEAT_MS = 20
const REPORT_POLL_MS = 250
const PEER_TIMEOUT_MS = 1_000
const FENCE_TIMEOUT_MS = 2_000
const CLAIM_GATHER_MS = 2

/**
 * Opens a gateway in a scope; closing the scope is its graceful shutdown.
 *
 * @param settings - The gateway's settings.
 * @returns The gateway.
 */
export function open (settings: Settings.GatewaySettings): Effect.Effect<Gateway, Error, Scope.Scope> {
  return Edge.Launch.resource(async () => await start(settings), async gateway => { await gateway.stop() })
}

async function start (settings: Settings.GatewaySettings): Promise<Gateway> {
  const identity: Tables.GatewayIdentity = {
    instanceId: settings.instanceId,
    kind: 'gateway',
    zone: settings.zone,
    region: settings.region,
    incarnation: Crypto.randomUUID()
  }
  const log = Edge.Log.createLog('gateway', settings.instanceId, settings.logLevel)
  const metrics = Edge.Metrics.createMetrics()
  const violate = Edge.Violations.createReporter(log, metrics)
  const clock = (): number => performance.now()
  const random = Core.Random.createRandom(Crypto.randomInt(2 ** 31))
  const store = Platform.TableClient.createTableClient(Edge.HttpClient.targetOf(settings.tableService), settings.storeTimeoutMs)
  const peerKeys = AgentSettings.peerKeysOf(settings)._unsafeUnwrap()
  const operatorTokens = Settings.operatorTokensOf(settings)._unsafeUnwrap()
  const peerKey = peerKeys.current
  const guard = Edge.Auth.createGuard({ peerKeys: peerKeys.accepted, operatorTokens: operatorTokens.accepted })
  const stopReloading = Edge.Keys.reloadOnHangup({ peerKeys, operatorTokens }, log.keysRead)
  const onRefused = (path: string, reason: string): void => {
    metrics.count('peer_calls_refused_total', { reason })
    log.warn('control', 'Procedure refused.', { path, reason })
  }
  const push = (input: Messages.Input): void => { loop?.push(input) }

  const node = Control.Node.createNode({
    identity,
    tables: store,
    instanceList: Edge.HttpClient.targetOf(settings.instanceList),
    peerKey,
    random,
    clock,
    pollMs: settings.pollMs,
    log,
    violate,
    onDocument: document => { push({ kind: 'document', document }) },
    onInstances: instances => { push({ kind: 'instances', instances }) }
  })
  const tables = Tables.createTables(identity, node.held, Date.now, Crypto.randomUUID)
  const callers = Callers.createCallers({ ...settings, peerKey, makeId: Crypto.randomUUID, push })
  const claims = ClaimWriter.createClaimWriter({
    tables: store,
    gatherMs: CLAIM_GATHER_MS,
    onResult: (callId, result) => { push({ kind: 'claimAnswered', callId, result }) }
  })
  const askFence = async (command: Extract<Messages.Command, { kind: 'askFence' }>): Promise<void> => {
    const client = Edge.Rpc.createClient<AgentProcedures.AgentRouter>(command.target, peerKey, FENCE_TIMEOUT_MS)
    const answer = await client.fence.mutate(command.question).catch(() => undefined)
    push({ kind: 'fenceAnswered', callId: command.callId, attemptId: command.question.attemptId, answer })
  }
  const perform: Core.Loop.Handlers<Messages.Command> = {
    dispatch: command => { callers.dispatch(command.dispatch) },
    cancelAttempt: command => { callers.cancelAttempt(command.callId) },
    deliver: command => {
      metrics.count('calls_total', { code: 'ok' })
      callers.deliver(command.callId)
    },
    replay: command => {
      metrics.count('calls_total', { code: 'replayed' })
      callers.replay(command.callId, command.outcome)
    },
    finish: command => {
      metrics.count('calls_total', { code: command.code })
      callers.finish(command.callId, command.code, command.details)
    },
    writeClaim: command => { claims.write(command.write) },
    askFence: command => { void askFence(command) }
  }
  const loop = Core.Loop.createLoop({
    step: Core.Loop.createStepper<Tables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, random),
    perform: command => { Core.Loop.dispatch(perform, command) },
    record: log.decision,
    violate,
    clock,
    beatMs: BEAT_MS
  })

  const pollReport = async (endpoint: Tables.EndpointRow): Promise<void> => {
    const client = Edge.Rpc.createClient<AgentProcedures.AgentRouter>(endpoint, peerKey, PEER_TIMEOUT_MS)
    const report = await client.report.mutate().catch(() => undefined)
    push({ kind: 'report', endpointId: endpoint.endpointId, report: report as Schemas.Control.AgentReport | undefined })
  }
  const reportTimer = setInterval(() => { for (const endpoint of tables.endpoints.rows()) void pollReport(endpoint) }, REPORT_POLL_MS)

  const holder = Control.PlacementHolder.createHolder({
    tables: store,
    instanceId: identity.instanceId,
    leaseDurationMs: settings.leaseDurationMs,
    clock,
    held: node.held,
    instances: node.instances,
    onPlan: node.adopt,
    log: (sentence, fields) => { log.info('placement', sentence, fields) }
  })
  let holding = false
  const holderTimer = setInterval(() => {
    if (holding) return
    holding = true
    void holder.poll().finally(() => { holding = false })
  }, Math.min(settings.pollMs, settings.leaseDurationMs / 3))

  const report = (): Schemas.Control.GatewayReport => ({
    instanceId: identity.instanceId,
    zone: identity.zone,
    incarnation: identity.incarnation,
    activeCount: tables.calls.count(),
    versions: node.held.versions()
  })
  const procedures = Operators.createProcedures({
    node,
    tables: store,
    report,
    endpointReports: () => [...tables.endpoints.rows()].flatMap(row => row.report ?? []),
    log
  })
  const server = await Edge.HttpServer.listen({
    host: settings.listenHost,
    port: settings.listenPort,
    headersTimeoutMs: settings.bodyTimeoutMs,
    routes: [
      Edge.Rpc.createRpcRoute(procedures, guard, onRefused),
      metrics.route,
      { method: 'GET', path: '/live', handle: (_request, response) => { Edge.HttpServer.sendJson(response, 200, { live: true }) } },
      { method: 'GET', path: '/ready', handle: (_request, response) => { Edge.HttpServer.sendJson(response, node.ready() && !tables.stopping ? 200 : 503, report()) } }
    ],
    fallback: callers.handle
  })
  node.announce({ host: settings.listenHost, port: server.port })
  log.info('gateway', 'Gateway listens.', { port: server.port })
  return {
    port: server.port,
    stop: async () => {
      push({ kind: 'stopping' })
      node.leave()
      clearInterval(holderTimer)
      await holder.close()
      await server.close(settings.stopGraceMs)
      clearInterval(reportTimer)
      node.stop()
      stopReloading()
      loop.stop()
      log.info('gateway', 'Gateway stopped.')
    }
  }
}
