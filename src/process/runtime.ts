/**
 * What every daemon needs from its surroundings.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Core from '../core/index.ts'
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import * as Settings from './settings.ts'

/** A daemon's surroundings. */
export interface Runtime {
  readonly log: Edge.Log.Log
  readonly metrics: Edge.Metrics.Metrics
  readonly random: Core.Random.Random
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Takes violated invariants. */
  readonly violate: (violation: Core.Invariants.Violation) => void
  readonly store: Platform.TableClient.TableClient
  readonly instanceList: Edge.HttpClient.Target
  /** Returns the key that this process signs with. */
  readonly peerKey: () => string
  readonly guard: Edge.Auth.Guard
  /** Takes requests that carried no valid key. */
  readonly onRefused: (path: string, reason: string) => void
  /** Releases what the runtime holds. */
  close: () => void
}

/** What a daemon is. */
export interface RuntimeOptions {
  readonly program: string
  readonly settings: Settings.SharedSettings
  /** The operators' tokens, where operators are served. */
  readonly operatorTokens?: Edge.Keys.KeyRing
}

const SEED_LIMIT = 2 ** 31

/**
 * Creates a daemon's surroundings from settings that were checked.
 *
 * @param options - The program and its settings.
 * @returns The runtime; close it at the end.
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
 * Makes the routes that a platform and its monitoring ask.
 *
 * @param metrics - The metrics.
 * @param isReady - Tells whether the process may be given work.
 * @param report - Makes the process's report.
 * @returns The routes `/metrics`, `/live` and `/ready`.
 */
export function createHealthRoutes (metrics: Edge.Metrics.Metrics, isReady: () => boolean, report: () => object): Edge.HttpServer.Route[] {
  return [
    metrics.route,
    { method: 'GET', path: '/live', handle: (_request, response) => { Edge.HttpServer.sendJson(response, 200, { live: true }) } },
    { method: 'GET', path: '/ready', handle: (_request, response) => { Edge.HttpServer.sendJson(response, isReady() ? 200 : 503, report()) } }
  ]
}
