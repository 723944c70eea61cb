/**
 * Wires an agent's loop to its edges.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import * as Schema from 'effect/Schema'
import * as Control from '../control/index.ts'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'
import * as Calls from './calls.ts'
import * as CacheEvents from './cacheEvents.ts'
import * as Explain from './explain.ts'
import type * as Messages from './messages.ts'
import * as Procedures from './procedures.ts'
import * as Settings from './settings.ts'
import * as Systems from './systems/index.ts'
import * as Tables from './tables.ts'
import * as Weights from './weights.ts'

/** A running agent. */
export interface Agent {
  readonly port: number
  report: () => Schemas.Control.AgentReport
}

const BEAT_MS = 50
const ENDPOINT_TIMEOUT_MS = 1_000
const ORDER_TIMEOUT_MS = 30_000

const EndpointLoad = Schema.Struct({
  incarnation: Schema.String,
  modelName: Schema.optional(Schema.String),
  modelVersion: Schema.optional(Schema.String),
  modelDigest: Schema.optional(Schema.String),
  role: Schema.optional(Schema.String),
  activeCount: Schema.Int,
  queuedCount: Schema.Int,
  capacityCount: Schema.Int,
  cold: Schema.Boolean
})
/** What is taken of an endpoint that answers but does not report its load. */
const SILENT_LOAD: Messages.EndpointLoad = { incarnation: '', activeCount: 0, queuedCount: 0, capacityCount: 0, cold: false }
const decodeLoad = Schemas.Decode.lenient(EndpointLoad)

/**
 * Opens an agent in a scope; closing the scope is its graceful shutdown.
 *
 * @param settings - The agent's settings.
 * @returns The agent.
 */
export function open (settings: Settings.AgentSettings): Effect.Effect<Agent, Error, Scope.Scope> {
  return Effect.map(Edge.Launch.resource(async () => await start(settings), async agent => { await agent.stop() }), agent => agent)
}

async function start (settings: Settings.AgentSettings): Promise<Agent & { stop: () => Promise<void> }> {
  const identity: Tables.AgentIdentity = {
    instanceId: settings.instanceId,
    kind: 'agent',
    zone: settings.zone,
    region: settings.region,
    service: settings.service,
    incarnation: Crypto.randomUUID()
  }
  const log = Edge.Log.createLog('agent', settings.instanceId, settings.logLevel)
  const metrics = Edge.Metrics.createMetrics()
  const violate = Edge.Violations.createReporter(log, metrics)
  const clock = (): number => performance.now()
  const random = Core.Random.createRandom(Crypto.randomInt(2 ** 31))
  const endpoint = Edge.HttpClient.targetOf(settings.endpoint)
  const peerKeys = Settings.peerKeysOf(settings)._unsafeUnwrap()
  const peerKey = peerKeys.current
  const guard = Edge.Auth.createGuard({ peerKeys: peerKeys.accepted, operatorTokens: () => [] })
  const stopReloading = Edge.Keys.reloadOnHangup({ peerKeys }, log.keysRead)
  const onRefused = (path: string, reason: string): void => {
    metrics.count('peer_calls_refused_total', { reason })
    log.warn('control', 'Procedure refused.', { path, reason })
  }
  const asks = new Map<string, (answer: Schemas.Calls.FenceAnswer) => void>()

  const node = Control.Node.createNode({
    identity,
    tables: Platform.TableClient.createTableClient(Edge.HttpClient.targetOf(settings.tableService), settings.storeTimeoutMs),
    instanceList: Edge.HttpClient.targetOf(settings.instanceList),
    peerKey,
    random,
    clock,
    pollMs: settings.pollMs,
    log,
    violate,
    onDocument: document => { loop?.push({ kind: 'document', document }) },
    onInstances: instances => {
      push({ kind: 'listed', state: instances.find(instance => instance.instanceId === identity.instanceId)?.state })
    }
  })
  const tables = Tables.createTables(identity, node.held)
  const push = (input: Messages.Input): void => { loop?.push(input) }
  const relay = Calls.createRelay({ endpoint, maxBodyBytes: settings.maxBodyBytes, guard, onRefused, tables, push, log })
  const collector = Weights.createCollector({
    instanceId: identity.instanceId,
    sources: [settings.weightStore, settings.origin].filter(address => address !== '').map(Edge.HttpClient.targetOf),
    peers: () => node.instances().filter(instance => instance.kind === 'agent' && instance.instanceId !== identity.instanceId && instance.service === settings.service).slice(0, 4),
    endpoint,
    log,
    onProgress: (digest, heldCount, wantedCount, whole) => { push({ kind: 'weightsProgress', digest, heldCount, wantedCount, whole }) }
  })

  const perform: Core.Loop.Handlers<Messages.Command> = {
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
      asks.get(command.askId)?.(command.answer)
      asks.delete(command.askId)
    },
    fetchWeights: command => { collector.want(command.digests) },
    order: command => { void giveOrder(command) }
  }
  const giveOrder = async (command: Extract<Messages.Command, { kind: 'order' }>): Promise<void> => {
    const model = command.assignment.model
    const order = {
      kind: 'load',
      fencingNumber: command.fencingNumber,
      modelName: model?.name,
      modelVersion: model?.version,
      digest: model?.digest,
      chunks: model === undefined ? [] : collector.manifestOf(model.digest)?.chunks
    }
    const answer = await Edge.HttpClient.sendJson(endpoint, 'POST', '/orders', order, ORDER_TIMEOUT_MS).catch((error: Error) => ({ status: 0, value: error.message }))
    push({ kind: 'orderAnswered', accepted: answer.status === 200, reason: answer.status === 200 ? undefined : JSON.stringify(answer.value) })
  }
  const loop = Core.Loop.createLoop({
    step: Core.Loop.createStepper<Tables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, random),
    perform: command => { Core.Loop.dispatch(perform, command) },
    record: log.decision,
    violate,
    clock,
    beatMs: BEAT_MS
  })
  const seeEndpoint = async (): Promise<void> => {
    const answer = await Edge.HttpClient.sendJson(endpoint, 'GET', '/load', undefined, ENDPOINT_TIMEOUT_MS).catch(() => undefined)
    const load = answer?.status === 200 ? decodeLoad(answer.value) : undefined
    if (load?.isOk() === true) push({ kind: 'endpointSeen', load: load.value })
    else push({ kind: 'endpointSeen', load: answer !== undefined && Tables.serviceOf(tables)?.reportsLoad === false ? SILENT_LOAD : undefined })
  }
  const cacheEvents = CacheEvents.createReader(endpoint, () => tables.endpoint.incarnation, events => { push({ kind: 'cacheEvents', events }) })
  const endpointTimer = setInterval(() => {
    void seeEndpoint()
    if (Tables.serviceOf(tables)?.kind === 'engine') void cacheEvents.poll()
  }, settings.endpointPollMs)
  const paceTimer = setInterval(() => {
    const pace = relay.takePace()
    if (pace !== undefined) push({ kind: 'paceSeen', pace })
  }, BEAT_MS)

  const procedures = Procedures.createProcedures({
    node,
    report: () => Tables.reportOf(tables),
    explain: () => Explain.explain(tables, clock()),
    fence: async question => await new Promise(resolve => {
      const askId = Crypto.randomUUID()
      asks.set(askId, resolve)
      push({ kind: 'fenceAsked', askId, question })
    })
  })
  const server = await Edge.HttpServer.listen({
    host: settings.listenHost,
    port: settings.listenPort,
    headersTimeoutMs: 10_000,
    routes: [
      relay.route,
      ...collector.routes,
      Edge.Rpc.createRpcRoute(procedures, guard, onRefused),
      metrics.route,
      { method: 'GET', path: '/live', handle: (_request, response) => { Edge.HttpServer.sendJson(response, 200, { live: true }) } },
      { method: 'GET', path: '/ready', handle: (_request, response) => { Edge.HttpServer.sendJson(response, node.ready() ? 200 : 503, Tables.reportOf(tables)) } }
    ]
  })
  node.announce({ host: settings.listenHost, port: server.port, service: settings.service })
  log.info('agent', 'Agent listens.', { port: server.port })
  return {
    port: server.port,
    report: () => Tables.reportOf(tables),
    stop: async () => {
      push({ kind: 'stopping' })
      node.leave()
      const deadlineMs = clock() + settings.stopGraceMs
      while (tables.attempts.count() > 0 && clock() < deadlineMs) await new Promise(resolve => setTimeout(resolve, BEAT_MS))
      await server.close(Math.max(0, deadlineMs - clock()))
      clearInterval(endpointTimer)
      clearInterval(paceTimer)
      relay.stop()
      collector.stop()
      stopReloading()
      node.stop()
      loop.stop()
      log.info('agent', 'Agent stopped.')
    }
  }
}
