/**
 * Connects an agent's decision loop to its I/O: endpoint, gateways, peers and control.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Process from '../process/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Weights from '../weights/index.ts'
import * as Calls from './calls.ts'
import * as CacheEvents from './cacheEvents.ts'
import * as Explain from './explain.ts'
import * as LoadReports from './loadReports.ts'
import type * as Messages from './messages.ts'
import * as Orders from './orders.ts'
import * as Procedures from './procedures.ts'
import * as Settings from './settings.ts'
import * as Systems from './systems/index.ts'
import * as Tables from './tables.ts'

/** A running agent. */
export interface Agent {
  readonly port: number
  report: () => Schemas.Control.AgentReport
  /** Stops gracefully: waits for running attempts, at most for the grace period in the settings. */
  stop: () => Promise<void>
}

/** Longest time between ticks of the loop, in milliseconds; also the interval at which stream pace is sampled. */
const LOOP_INTERVAL_MS = 50
const WEIGHT_EXCHANGE_TIMEOUT_MS = 2_000

/**
 * Starts an agent in a scope. Closing the scope stops it gracefully.
 *
 * @param settings - The agent's settings.
 * @returns The agent.
 */
export function open (settings: Settings.AgentSettings): Effect.Effect<Agent, Error, Scope.Scope> {
  return Edge.Launch.resource(async () => await start(settings), async agent => { await agent.stop() })
}

async function start (settings: Settings.AgentSettings): Promise<Agent> {
  const identity: Tables.AgentIdentity = {
    instanceId: settings.instanceId,
    kind: 'agent',
    zone: settings.zone,
    region: settings.region,
    service: settings.service,
    incarnation: Crypto.randomUUID()
  }
  const runtime = Process.Runtime.createRuntime({ program: 'agent', settings })
  const { log, metrics, violate, clock, random, peerKey, guard, onRefused } = runtime
  const endpoint = Edge.HttpClient.targetOf(settings.endpoint)
  const pendingFenceAnswers = new Map<string, (answer: Schemas.Calls.FenceAnswer) => void>()

  const node = Control.Node.createNode({
    identity,
    tables: runtime.store,
    instanceList: runtime.instanceList,
    peerKey,
    random,
    clock,
    pollMs: settings.pollMs,
    log,
    violate,
    count: metrics.count,
    onDocument: document => { loop?.push({ kind: 'document', document }) },
    onInstances: instances => {
      push({ kind: 'membersSeen', members: instances.filter(instance => instance.kind === 'agent') })
      push({ kind: 'listed', state: instances.find(instance => instance.instanceId === identity.instanceId)?.state })
    }
  })
  const swarmTables = Weights.Tables.createTables({
    ...identity,
    memoryBytes: settings.weightMemoryBytes,
    borderBytesPerSecond: Weights.Pacer.rateFromSetting(settings.weightBorderBytesPerSecond)
  }, weightSources(settings))
  const tables = Tables.createTables(identity, node.held, swarmTables)
  const push = (input: Messages.Input): void => { loop?.push(input) }
  const relay = Calls.createRelay({ endpoint, maxBodyBytes: settings.maxBodyBytes, guard, onRefused, tables, push, log })
  const swarm = Weights.Swarm.createSwarm({
    tables: swarmTables,
    push: input => { push({ kind: 'weights', input }) },
    endpoint,
    uploadBytesPerSecond: Weights.Pacer.rateFromSetting(settings.weightUploadBytesPerSecond),
    downloadBytesPerSecond: Weights.Pacer.rateFromSetting(settings.weightDownloadBytesPerSecond),
    metrics,
    authorize: (path, coveredText) => Edge.Auth.sign(peerKey(), { method: 'GET', path, covered: coveredText }),
    isPeer: (request, path, coveredText) => {
      const caller = guard.identify(request, path, undefined, coveredText)
      if (caller.role !== 'peer') onRefused(path, caller.reason ?? 'wrongKey')
      return caller.role === 'peer'
    },
    exchange: async (address, request) => await Edge.Rpc.createClient<Procedures.AgentRouter>(address, peerKey, WEIGHT_EXCHANGE_TIMEOUT_MS).exchangeWeights.mutate(request)
  })
  const orders = Orders.createOrderSender({ endpoint, manifestOf: swarm.manifestOf, push })

  const commandHandlers: Core.Loop.Handlers<Messages.Command> = {
    admit: command => {
      metrics.count('attempts_admitted_total', { workspace: command.workspace })
      metrics.observeSeconds('queue_seconds', command.queuedMs / 1_000)
      relay.admit(command.attemptId)
    },
    refuse: command => {
      metrics.count('attempts_refused_total', { code: command.refusal.code, workspace: command.workspace ?? '' })
      relay.refuse(command.attemptId, command.refusal)
    },
    cancel: command => { relay.cancel(command.attemptId) },
    answerFence: command => {
      pendingFenceAnswers.get(command.askId)?.(command.answer)
      pendingFenceAnswers.delete(command.askId)
    },
    weights: command => { swarm.perform(command.command) },
    order: command => { orders.send(command.order) }
  }
  const loop = Core.Loop.createLoop({
    step: Core.Loop.createStepper<Tables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, random),
    perform: command => { Core.Loop.dispatch(commandHandlers, command) },
    record: log.decision,
    violate,
    clock,
    maxTickIntervalMs: LOOP_INTERVAL_MS
  })
  const loadReports = LoadReports.createReader({ endpoint, reportsLoad: () => Tables.serviceOf(tables)?.reportsLoad, clock, log, push })
  const cacheEvents = CacheEvents.createReader(endpoint, () => tables.endpoint.incarnation, events => { push({ kind: 'cacheEvents', events }) })
  const endpointTimer = setInterval(() => {
    void loadReports.poll()
    if (Tables.serviceOf(tables)?.kind === 'engine') void cacheEvents.poll()
  }, settings.endpointPollMs)
  const paceTimer = setInterval(() => {
    const pace = relay.collectPace()
    if (pace !== undefined) push({ kind: 'paceSeen', pace })
  }, LOOP_INTERVAL_MS)

  const procedures = Procedures.createProcedures({
    node,
    report: () => Tables.reportOf(tables),
    exchangeWeights: swarm.answer,
    explain: () => Explain.explain(tables, clock()),
    fence: async question => await new Promise(resolve => {
      const askId = Crypto.randomUUID()
      pendingFenceAnswers.set(askId, resolve)
      push({ kind: 'fenceAsked', askId, question })
    })
  })
  const server = await Edge.HttpServer.listen({
    host: settings.listenHost,
    port: settings.listenPort,
    headersTimeoutMs: 10_000,
    routes: [
      relay.route,
      ...swarm.routes,
      Edge.Rpc.createRpcRoute(procedures, guard, onRefused),
      ...Process.Runtime.createHealthRoutes(metrics, node.ready, () => Tables.reportOf(tables))
    ]
  })
  node.announce({ host: Process.Settings.advertisedHostOf(settings)._unsafeUnwrap(), port: server.port, service: settings.service })
  log.info('agent', 'Agent listening.', { port: server.port })
  return {
    port: server.port,
    report: () => Tables.reportOf(tables),
    stop: async () => {
      push({ kind: 'stopping' })
      node.leave()
      const deadlineMs = clock() + settings.stopGraceMs
      while (tables.attempts.count() > 0 && clock() < deadlineMs) await new Promise(resolve => setTimeout(resolve, LOOP_INTERVAL_MS))
      await server.close(Math.max(0, deadlineMs - clock()))
      clearInterval(endpointTimer)
      clearInterval(paceTimer)
      relay.stop()
      swarm.stop()
      runtime.close()
      node.stop()
      loop.stop()
      log.info('agent', 'Agent stopped.')
    }
  }
}

function weightSources (settings: Settings.AgentSettings): Array<Pick<Weights.Tables.SourceRow, 'sourceId' | 'address' | 'crossesBorder'>> {
  const sources = [
    { sourceId: 'weightStore', address: settings.weightStore, region: settings.weightStoreRegion },
    { sourceId: 'origin', address: settings.origin, region: settings.originRegion }
  ]
  return sources.filter(source => source.address !== '').map(({ sourceId, address, region }) =>
    ({ sourceId, address: Edge.HttpClient.targetOf(address), crossesBorder: region !== '' && region !== settings.region }))
}
