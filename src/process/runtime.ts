/**
 * Services that every daemon uses: log, metrics, clock, random numbers, platform clients and authentication.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import * as Settings from './settings.ts'

/** Services that a daemon runs with. */
export interface Runtime {
  readonly log: Edge.Log.Log
  readonly metrics: Edge.Metrics.Metrics
  readonly random: Core.Random.Random
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Reports a violated invariant. */
  readonly violate: (violation: Core.Invariants.Violation) => void
  readonly store: Platform.TableClient.TableClient
  readonly instanceList: Edge.HttpClient.Target
  /** Returns the key with which this process signs its calls to peers. */
  readonly peerKey: () => string
  readonly guard: Edge.Auth.Guard
  /** Called with the path of each request without a valid key, and the reason for its refusal. */
  readonly onRefused: (path: string, reason: string) => void
  /** Stops reloading keys on SIGHUP. */
  close: () => void
}

/** Program, settings and tokens of a daemon. */
export interface RuntimeOptions {
  readonly program: string
  readonly settings: Settings.SharedSettings
  /** The operators' tokens, if the daemon serves operators. */
  readonly operatorTokens?: Edge.Keys.KeyRing
}

const SEED_LIMIT = 2 ** 31

/**
 * Creates the runtime of a daemon from settings that have been validated.
 *
 * @param options - The program and its settings.
 * @returns The runtime, which must be closed when the daemon stops.
 */
export function createRuntime (options: RuntimeOptions): Runtime {
  const { program, settings, operatorTokens } = options
  const log = Edge.Log.createLog(program, settings.instanceId, settings.logLevel)
  const metrics = Edge.Metrics.createMetrics()
  const seed = Crypto.randomInt(SEED_LIMIT)
  const peerKeys = Settings.createPeerKeyRing(settings)._unsafeUnwrap()
  const keyRings = { peerKeys, ...(operatorTokens === undefined ? {} : { operatorTokens }) }
  return {
    log,
    metrics,
    random: Core.Random.createRandom(seed),
    clock: () => performance.now(),
    violate: Edge.Violations.createReporter(log, metrics, seed),
    store: Platform.TableClient.createTableClient(Edge.HttpClient.targetOf(settings.tableService), settings.storeTimeoutMs),
    instanceList: Edge.HttpClient.targetOf(settings.instanceList),
    peerKey: peerKeys.current,
    guard: Edge.Auth.createGuard({ peerKeys: peerKeys.accepted, operatorTokens: operatorTokens?.accepted ?? (() => []) }),
    onRefused: (path, reason) => {
      metrics.count('peer_calls_refused_total', { reason })
      log.warn('control', 'Procedure refused.', { path, reason })
    },
    close: Edge.Keys.reloadOnHangup(keyRings, log.keysRead)
  }
}

/**
 * Creates the routes for metrics and health checks.
 *
 * @param metrics - The metrics.
 * @param isReady - Returns whether the process can take work.
 * @param report - Returns the body of the readiness answer.
 * @returns The routes `/metrics`, `/live` and `/ready`.
 */
export function createHealthRoutes (metrics: Edge.Metrics.Metrics, isReady: () => boolean, report: () => object): Edge.HttpServer.Route[] {
  return [
    metrics.route,
    { method: 'GET', path: '/live', handle: (_request, response) => { Edge.HttpServer.sendJson(response, 200, { live: true }) } },
    { method: 'GET', path: '/ready', handle: (_request, response) => { Edge.HttpServer.sendJson(response, isReady() ? 200 : 503, report()) } }
  ]
}
