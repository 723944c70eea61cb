/**
 * Wires a gateway's loop to its edges.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import type * as AgentProcedures from '../agent/procedures.ts'
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import * as Process from '../process/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Callers from './callers.ts'
import * as ClaimEdge from './claimEdge.ts'
import * as Endpoints from './systems/endpoints.ts'
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
const REPORT_POLL_MS = 100
const PEER_TIMEOUT_MS = 1_000
const FENCE_TIMEOUT_MS = 1_000
/** Time that a stop always leaves for saving outcomes, in milliseconds. */
const CLAIM_FLUSH_MS = 2_000

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
  const runtime = Process.Runtime.createRuntime({ program: 'gateway', settings, operatorTokens: Settings.operatorTokensOf(settings)._unsafeUnwrap() })
  const { log, metrics, violate, clock, random, store, peerKey, guard, onRefused } = runtime
  const push = (input: Messages.Input): void => { loop?.push(input) }

  const node = Control.Node.createNode({
    identity,
    tables: store,
    instanceList: runtime.instanceList,
    peerKey,
    random,
    clock,
    pollMs: settings.pollMs,
    log,
    violate,
    count: metrics.count,
    onDocument: document => { push({ kind: 'document', document }) },
    onInstances: instances => { push({ kind: 'instances', instances }) }
  })
  const tables = Tables.createTables(identity, node.held, Date.now, Crypto.randomUUID)
  const callers = Callers.createCallers({ ...settings, peerKey, makeId: Crypto.randomUUID, push })
  const gatewayCount = (): number => Math.max(1, node.instances().filter(instance => instance.kind === 'gateway').length)
  const claims = ClaimEdge.createClaimEdge({
    store,
    objects: Platform.ObjectClient.createObjectClient(Edge.HttpClient.targetOf(settings.objectStore), settings.storeTimeoutMs),
    callers,
    metrics,
    log,
    random,
    clock,
    gatewayCount,
    push
  })
  const askFence = async (command: Extract<Messages.Command, { kind: 'askFence' }>): Promise<void> => {
    const client = Edge.Rpc.createClient<AgentProcedures.AgentRouter>(command.target, peerKey, FENCE_TIMEOUT_MS, true)
    const answer = await client.fence.mutate(command.question).catch(() => undefined)
    push({ kind: 'fenceAnswered', callId: command.callId, attemptId: command.question.attemptId, answer })
  }
  const commitQuarantine = async (change: Control.Quarantines.QuarantineChange): Promise<void> => {
    const committed = await Control.Quarantines.commit(store, change)
    if (committed.isOk()) node.adopt(committed.value)
    else push({ kind: 'quarantineFailed', change })
  }
  const perform: Core.Loop.Handlers<Messages.Command> = {
    dispatch: command => { callers.dispatch(command.dispatch) },
    cancelAttempt: command => { callers.cancelAttempt(command.callId) },
    deliver: command => {
      metrics.count('calls_total', { code: 'ok' })
      callers.deliver(command.callId)
    },
    replay: command => { void claims.replay(command.callId, command.outcome) },
    finish: command => {
      metrics.count('calls_total', { code: command.code })
      callers.finish(command.callId, command.code, command.details)
    },
    writeClaim: command => { void claims.write(command.write) },
    abandonClaim: command => { claims.abandon(command.callId) },
    commitQuarantine: command => { void commitQuarantine(command.change) },
    askFence: command => { void askFence(command) }
  }
  const loop = Core.Loop.createLoop({
    step: Core.Loop.createStepper<Tables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, random),
    perform: command => { Core.Loop.dispatch(perform, command) },
    record: log.decision,
    violate,
    clock,
    maxTickIntervalMs: BEAT_MS
  })

  const pollReport = async (endpoint: Tables.EndpointRow): Promise<void> => {
    const client = Edge.Rpc.createClient<AgentProcedures.AgentRouter>(endpoint, peerKey, PEER_TIMEOUT_MS)
    const report = await client.report.mutate().catch(() => undefined)
    push({ kind: 'report', endpointId: endpoint.endpointId, report: report as Schemas.Control.AgentReport | undefined })
  }
  const reportTimer = setInterval(() => { for (const endpoint of Endpoints.takePolls(tables, clock())) void pollReport(endpoint) }, REPORT_POLL_MS)

  const holder = Control.PlacementHolder.createHolder({
    tables: store,
    instanceId: identity.instanceId,
    leaseDurationMs: settings.leaseDurationMs,
    clock,
    held: node.held,
    instances: node.instances,
    onDocument: node.adopt,
    log: (sentence, fields) => { log.info('placement', sentence, fields) }
  })
  let holding = false
  const holderTimer = setInterval(() => {
    if (holding || !node.contends()) return
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
  /** A gateway in a drained zone tells the balancer to send callers elsewhere; calls that still come are served. */
  const isReady = (): boolean => node.ready() && !tables.stopping && !Control.Documents.isDrained(node.held.drains(), identity.instanceId, identity.zone)
  const procedures = Operators.createProcedures({
    node,
    tables: store,
    report,
    peerKey,
    log
  })
  const server = await Edge.HttpServer.listen({
    host: settings.listenHost,
    port: settings.listenPort,
    headersTimeoutMs: settings.bodyTimeoutMs,
    routes: [
      Edge.Rpc.createRpcRoute(procedures, guard, onRefused),
      ...Process.Runtime.createHealthRoutes(metrics, isReady, report)
    ],
    fallback: callers.handle
  })
  node.announce({ host: Process.Settings.advertisedHostOf(settings)._unsafeUnwrap(), port: server.port })
  log.info('gateway', 'Gateway listens.', { port: server.port })
  return {
    port: server.port,
    stop: async () => {
      push({ kind: 'stopping' })
      node.leave()
      clearInterval(holderTimer)
      await holder.close()
      const untilMs = clock() + settings.stopGraceMs
      await server.close(settings.stopGraceMs)
      while (tables.calls.count() > 0 && clock() < untilMs) await new Promise(resolve => setTimeout(resolve, BEAT_MS))
      await claims.flush(Math.max(CLAIM_FLUSH_MS, untilMs - clock()))
      clearInterval(reportTimer)
      callers.stop()
      claims.stop()
      node.stop()
      runtime.close()
      loop.stop()
      log.info('gateway', 'Gateway stopped.')
    }
  }
}
