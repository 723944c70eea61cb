/**
 * A gateway that sends calls to endpoints directly: what it follows, where it listens, how it stops.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Core from '../core/index.ts'
import * as HttpServer from '../edge/httpServer.ts'
import * as Follow from '../follow/index.ts'
import * as Node from '../follow/node.ts'
import * as Routing from '../routing/index.ts'
import type * as Dialect from './dialect.ts'
import * as Ingress from './ingress.ts'
import * as Quarantine from './quarantine.ts'
import * as Upstream from './upstream.ts'

/** An address to listen on. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** Bounds that the deployment sets; they may change while the gateway runs. */
export interface GatewayBounds {
  readonly retries: Routing.Budgets.RetryBudgetLimit
  /** Time by which a named version has to be everywhere, in milliseconds. */
  readonly versionMs: number
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number
}

/** What a gateway needs. */
export interface GatewayOptions extends Node.NodeOptions {
  readonly callers: Address
  readonly readiness: Address
  readonly bounds: () => GatewayBounds
  readonly dialect: Dialect.Dialect
  readonly changeOf: (row: Follow.Rows.Row) => Routing.Deployment.OperatorChange | undefined
  /** Cuts an operators' row down to what agents act on. */
  readonly agentPartOf: (row: Follow.Rows.Row) => Follow.Rows.Row
  readonly listingOf: (row: Follow.Rows.Row) => Routing.Endpoints.Listing | undefined
  /** Names of the tables that operators and endpoints write. */
  readonly tables: { readonly operators: string, readonly endpoints: string }
}

/** A running gateway. */
export interface Gateway {
  /** Stops taking work and ends what is in flight. */
  stop: () => Promise<void>
}

/** Reads of endpoints' entries are held back for so long times the number of gateways, in milliseconds: their pages date versions, so all gateways together take one about every eighth of a second. */
const ENDPOINTS_WAIT_MS = 125
/** The longest such time, in milliseconds: of endpoints' entries only gateways tell one another. */
const ENDPOINTS_WAIT_LIMIT_MS = 4_000
/** Changes of endpoints' entries gather for so long before the next read, in milliseconds: agents tell the load in the meantime, and a leaving endpoint serves on for seconds. */
const ENDPOINTS_GATHER_MS = 300
/** The same for the system's own processes, which change seldom; most that the store allows is 30 s. */
const MEMBERS_WAIT_MS = 20_000
/** The largest head of a call, in bytes, as operators' limits usually have it; Node fixes it when the server is made. */
const HEAD_LIMIT_BYTES = 16_384
/** Limits until operators' own are known, in milliseconds; the usual ones of a deployment. */
const FIRST_HEADER_TIMEOUT_MS = 3_000
const FIRST_IDLE_TIMEOUT_MS = 15_000
/** Callers whose heads take too long are looked for so often, in milliseconds. */
const CHECK_INTERVAL_MS = 500
/** New connections may still come for so long after a stop was asked for, in milliseconds: the balancer leaves an instance out after two probes a second apart. */
const ROTATION_MS = 2_600
/** Time kept for closing before the process is killed, in milliseconds. */
const STOP_RESERVE_MS = 700
/** Connections that became idle during a stop are closed so often, in milliseconds. */
const STOP_BEAT_MS = 20
/** Calls stop beginning on an old version so long before the new one has to be everywhere, in milliseconds: queueing and the way there. */
const VERSION_RESERVE_MS = 600
/** Calls that have not begun on an old version are taken back so long before the new one has to be everywhere, in milliseconds: a beat and the way there. */
const WITHDRAW_RESERVE_MS = 100
const BEAT_MS = 100
/** Revisions are told again after so long without a change, in milliseconds, in case a datagram was lost. */
const RETELL_MS = 1_000
const BACKLOG_COUNT = 1_024
/** Ages and counts of beliefs are set so often for whoever reads the metrics, in milliseconds. */
const GAUGE_MS = 1_000
/** What is known of requests that crash endpoints is told again so often, in milliseconds, in case a datagram was lost. */
const QUARANTINE_BEAT_MS = 1_000
const MS_PER_SECOND = 1_000
/** While versions change, what calls may begin on is logged again so often, in milliseconds: lines of calls crowd older ones out of a log of bounded length. */
const VERSIONS_LOG_MS = 2_000

/**
 * Opens a gateway.
 *
 * @param options - Settings, edges and decoders.
 * @returns The gateway, once it listens.
 */
export async function open (options: GatewayOptions): Promise<Gateway> {
  const { clock, log, metrics, random } = options
  const endpoints: Routing.Endpoints.Endpoints = Core.Table.createTable('endpoints')
  /** The endpoint that was listed last at each address, by host and port. */
  const rowByAddress = new Map<string, Routing.Endpoints.EndpointRow>()
  const versions = Routing.Versions.createVersions(() => ({ sendMs: options.bounds().versionMs - VERSION_RESERVE_MS, beginMs: options.bounds().versionMs - WITHDRAW_RESERVE_MS }))
  const upstream = Upstream.createUpstream()
  const budget = Routing.Budgets.createRetryBudget(() => options.bounds().retries)
  const demand = Routing.Demand.createDemand(clock())
  const notices = Routing.Notices.createNotices()
  let index: Routing.Deployment.DeploymentIndex | undefined
  /** The oldest version of each model on which calls begin, as logged last. */
  const oldestLogged = new Map<string, { readonly version: number, readonly atMs: number }>()
  let stopping = false

  const node = await Node.open(options, 'gateway', news => {
    if (news.load !== undefined) takeLoad(news.load)
    Follow.News.learnNamed(versions, news, operators.follower, node.storeClock, log)
    for (const told of news.limits ?? []) learnLimit(told, news.sender)
    if (news.requests !== undefined) quarantine.learn(news.requests)
    if (news.callsPerSecond !== undefined) sharerOf(news.sender).weight = news.callsPerSecond
    operators.follower.hint(news.revisions[options.tables.operators] ?? 0)
    listed.hint(news.revisions[options.tables.endpoints] ?? 0)
  })
  const quarantine = Quarantine.createQuarantine({ name: options.name, node, store: options.store, clock, random, metrics, log })
  const members = (): readonly Follow.Members.Member[] => node.members()
  /** All gateways that were heard of, by name: each keeps the weight that it told last. */
  const sharers = new Map<string, Routing.Turns.Sharer>()
  const sharerOf = (name: string): Routing.Turns.Sharer => {
    const known = sharers.get(name) ?? Routing.Turns.createSharer(name)
    sharers.set(name, known)
    return known
  }
  const sharersOf = Core.Memo.byIdentity((others: readonly Follow.Members.Member[]): Routing.Turns.Sharers =>
    ({ own: sharerOf(options.name), others: others.filter(member => member.kind === 'gateway').map(member => sharerOf(member.name)) }))

  const takeLoad = (load: Follow.News.LoadNews): void => {
    const row = rowByAddress.get(`${load.host}:${load.port}`)
    if (row === undefined || endpoints.get(row.listing.endpointId) !== row) return
    if (load.bornAtMs !== undefined && row.listing.bornAtMs !== undefined && load.bornAtMs !== row.listing.bornAtMs) return
    Routing.Endpoints.applyLoadReport(row, load, clock(), random.next())
    ingress.wake()
  }
  const takeLimit = (row: Routing.Endpoints.EndpointRow, told: Routing.Limits.LimitStatement, source: string): boolean => {
    const { endpointId } = row.listing
    const before = row.limit?.callsPerSecond
    if (!Routing.Endpoints.recordLimit(row, told, clock())) return false
    const limitPerSecond = row.limit?.callsPerSecond
    if (limitPerSecond === undefined) log('endpoints', 'Endpoint names no limit any more.', { endpointId, limitPerSecondBefore: before, source })
    else log('endpoints', 'Endpoint names a limit.', { endpointId, limitPerSecond, limitPerSecondBefore: before, source })
    return true
  }
  /** Takes what another gateway heard of an endpoint's limit. */
  const learnLimit = ({ endpointId, bornAtMs, callsPerSecond, askedAtMs, heardAtMs }: Follow.News.LimitNews, source: string): void => {
    const row = endpoints.get(endpointId)
    if (row === undefined || row.listing.bornAtMs !== bornAtMs) return
    takeLimit(row, { callsPerSecond, askedAtMs: node.storeClock.toOwn(askedAtMs), heardAtMs: node.storeClock.toOwn(heardAtMs) }, source)
  }
  const takeListing = (row: Follow.Rows.Row): void => {
    const nowMs = clock()
    const before = endpoints.get(row.key)
    const listing = row.deleted ? undefined : options.listingOf(row)
    if (listing !== undefined) {
      const listed = Routing.Endpoints.applyListing(endpoints, listing, nowMs)
      const address = `${listing.host}:${listing.port}`
      // An address has one endpoint at a time, and an endpoint one start: whatever was there before has ended.
      for (const ended of [before, rowByAddress.get(address)]) if (ended !== undefined && ended !== listed) ingress.noteEnded(ended)
      rowByAddress.set(address, listed)
      if (before?.listing.draining !== listing.draining || before.listing.bornAtMs !== listing.bornAtMs || before.weights?.[0]?.version !== listing.weights?.[0]?.version) {
        log('endpoints', 'Endpoint listed.', { endpointId: listing.endpointId, service: listing.service, host: listing.host, port: listing.port, zone: listing.zone, draining: listing.draining, coldForMs: listing.coldForMs, weights: listing.weights, revision: row.revision })
      }
      return
    }
    if (before === undefined) return
    const lapsed = Routing.Endpoints.handleUnlisted(endpoints, row.key, row.deleted ? listed.regainedAtMs() ?? -Infinity : -Infinity, nowMs)
    log('endpoints', row.deleted ? 'Endpoint no longer listed.' : 'Endpoint entry not readable.', { endpointId: row.key, lapsed, revision: row.revision })
  }

  const shared = Follow.Shared.createSharedSource({ ...options, ...node.followerOptions, table: options.tables.operators, own: options, members, knowsMembers: node.knowsMembers, isPart: false })
  const operators = Follow.Operators.followOperators({
    ...node.followerOptions,
    store: shared,
    askPeer: shared.askPeer,
    table: options.tables.operators,
    changeOf: options.changeOf,
    onDeployed: deployment => {
      index = Routing.Deployment.createIndex(deployment)
      server.headersTimeout = deployment.limits.headerTimeoutMs
      server.keepAliveTimeout = deployment.limits.idleTimeoutMs
      metrics.gauge('deployment_version', deployment.version)
    },
    versions,
    onChanged: () => { ingress.wake() }
  })
  const listed = Follow.Follower.createFollower({
    ...node.followerOptions,
    table: options.tables.endpoints,
    waitMs: () => Math.min(ENDPOINTS_WAIT_LIMIT_MS, gatewayCount(members()) * ENDPOINTS_WAIT_MS),
    gatherMs: ENDPOINTS_GATHER_MS,
    onRows: rows => {
      for (const row of rows) takeListing(row)
      ingress.wake()
    }
  })
  node.relay(options.tables.operators, shared.relayed(operators.follower, options.agentPartOf))
  // Whoever asks cannot know when the store was back here: a removal on which this gateway does not act yet would end calls to live endpoints there.
  const isKept = (row: Follow.Rows.Row): boolean => row.deleted && endpoints.get(row.key)?.keptUntilMs !== undefined
  node.relay(options.tables.endpoints, { isKnown: listed.isKnown, mirror: { ...listed.mirror, since: revision => Follow.Rows.withhold(listed.mirror.since(revision), isKept) } })
  node.followMembers(MEMBERS_WAIT_MS)

  const ingress = Ingress.createIngress({
    dialect: options.dialect,
    upstream,
    index: () => index,
    surroundings: () => ({
      endpoints,
      notices,
      zone: options.zone,
      region: options.region,
      drainedZones: operators.drainedZones,
      oldestVersionOf: model => versions.oldestSendableOf(model, node.storeClock.now()),
      gatewayCount: gatewayCount(members()),
      zoneGatewayCount: gatewayCount(members().filter(member => member.zone === options.zone)),
      sharers: node.knowsMembers() ? sharersOf(members()) : undefined,
      storeMs: node.storeClock.now()
    }),
    oldestBegunOf: model => versions.oldestBeginnableOf(model, node.storeClock.now()),
    budget,
    demand,
    notices,
    quarantine,
    clock,
    random,
    metrics,
    log,
    onLimit: (row, told) => {
      // An answer from before the endpoint started again says nothing of its new start.
      if (endpoints.get(row.listing.endpointId) !== row) return
      if (told.callsPerSecond !== undefined) row.limitReceivedAtMs = clock()
      if (!takeLimit(row, told, options.name)) return
      node.tell({ revisions: {}, limits: Follow.News.limitNews([row], node.storeClock, clock()) }, 'gateway')
    },
    isStopping: () => stopping
  })
  const server = Http.createServer({ maxHeaderSize: HEAD_LIMIT_BYTES, connectionsCheckingInterval: CHECK_INTERVAL_MS, requestTimeout: 0, headersTimeout: FIRST_HEADER_TIMEOUT_MS, keepAliveTimeout: FIRST_IDLE_TIMEOUT_MS }, ingress.handle)
  const isReady = (): boolean => index !== undefined && listed.isKnown() && !stopping
  const readiness = Http.createServer((_request, response) => { HttpServer.sendJson(response, isReady() ? 200 : 503, { ready: isReady() }) })
  await listen(server, options.callers)
  await listen(readiness, options.readiness)

  let toldRevision = 0
  let toldAtMs = 0
  const tellRevisions = (nowMs: number): void => {
    const revision = Math.max(operators.follower.mirror.rowRevision(), listed.mirror.rowRevision())
    if (revision === toldRevision && nowMs - toldAtMs < RETELL_MS) return
    toldRevision = revision
    toldAtMs = nowMs
    const limits = Follow.News.limitNews(endpoints.rows(), node.storeClock, nowMs)
    const callsPerSecond = Math.round(demand.perSecond(nowMs))
    // The weight that this gateway goes by is the one that the others know.
    sharerOf(options.name).weight = callsPerSecond
    node.tell({
      named: Follow.News.namedNews(versions, node.storeClock.now()),
      revisions: { [options.tables.operators]: operators.follower.mirror.rowRevision(), [options.tables.endpoints]: listed.mirror.rowRevision() },
      callsPerSecond,
      ...(limits.length === 0 ? {} : { limits })
    }, 'gateway')
  }
  let toldAgents = ''
  /** Agents read the store seldom: claims of gateways date versions more closely than their own, and the revision shows an agent whose source froze that it is behind. */
  const tellAgents = (): void => {
    const named = Follow.News.namedNews(versions, node.storeClock.now())
    const revisions = { [options.tables.operators]: operators.follower.mirror.rowRevision() }
    const text = JSON.stringify([named, revisions])
    if (text === toldAgents) return
    toldAgents = text
    node.tell({ revisions, named }, 'agent', member => member.zone === options.zone)
  }
  const tellBeliefs = setInterval(() => {
    const nowMs = clock()
    const ages = { operators: operators.follower.freshAtMs(), endpoints: listed.freshAtMs(), loads: Math.min(...[...endpoints.rows()].map(row => row.load === undefined ? nowMs : row.loadAtMs)) }
    for (const [belief, atMs] of Object.entries(ages)) metrics.gauge('belief_age_seconds', Math.max(0, nowMs - Math.min(atMs, nowMs)) / MS_PER_SECOND, { belief })
    for (const [state, count] of Object.entries(Routing.Endpoints.countStates(endpoints, nowMs, notices))) metrics.gauge('endpoints', count, { state })
    for (const { model, version } of versions.newestVersions()) {
      metrics.gauge('weights_version', version, { model })
      metrics.gauge('weights_oldest_version', versions.oldestSendableOf(model, node.storeClock.now()), { model })
    }
  }, GAUGE_MS)
  const quarantineBeat = setInterval(quarantine.beat, QUARANTINE_BEAT_MS)
  const logOldestVersions = (nowMs: number): void => {
    const storeMs = node.storeClock.now()
    const sinceMs = (atMs: number | undefined): number | undefined => atMs === undefined || !Number.isFinite(storeMs - atMs) ? undefined : Math.round(storeMs - atMs)
    for (const { model, version: newest } of versions.newestVersions()) {
      const version = versions.oldestSendableOf(model, storeMs)
      const before = oldestLogged.get(model)
      const isChanged = version !== before?.version
      if (!isChanged && (version === newest || nowMs - before.atMs < VERSIONS_LOG_MS)) continue
      oldestLogged.set(model, { version, atMs: nowMs })
      const named = versions.versionsOf(model).map(entry => ({ version: entry.version, revision: entry.revision, sinceNamedMs: sinceMs(entry.namedAtMs), sinceNotBeforeMs: sinceMs(entry.notBeforeMs) }))
      if (isChanged) log('weights', 'Oldest version changed.', { model, version, versionBefore: before?.version, named })
      else log('weights', 'Version still spreads.', { model, version, named })
    }
  }
  const beat = setInterval(() => {
    const nowMs = clock()
    for (const endpointId of Routing.Endpoints.removeLapsed(endpoints, nowMs)) log('endpoints', 'Endpoint gone.', { endpointId, reason: 'its entry did not come back' })
    versions.applyRevisionTimes(node.readings)
    tellRevisions(nowMs)
    tellAgents()
    logOldestVersions(nowMs)
    metrics.gauge('calls_active', ingress.activeCount())
  }, BEAT_MS)
  log('gateway', 'Gateway started.', { callers: options.callers, incarnation: node.incarnation })

  return {
    stop: async () => {
      const startedMs = clock()
      stopping = true
      log('gateway', 'Gateway stops.', { activeCount: ingress.activeCount() })
      await pause(ROTATION_MS)
      server.close()
      const untilMs = startedMs + options.bounds().graceMs - STOP_RESERVE_MS
      do {
        // An answer that began before the stop did not tell its caller to use another connection.
        server.closeIdleConnections()
        await pause(STOP_BEAT_MS)
      } while (ingress.activeCount() > 0 && clock() < untilMs)
      await pause(STOP_BEAT_MS)
      server.closeIdleConnections()
      log('gateway', 'Gateway stopped.', { activeCount: ingress.activeCount(), tookMs: Math.round(clock() - startedMs) })
      clearInterval(beat)
      clearInterval(tellBeliefs)
      clearInterval(quarantineBeat)
      operators.follower.stop()
      listed.stop()
      quarantine.stop()
      ingress.stop()
      upstream.close()
      readiness.close()
      readiness.closeAllConnections()
      await node.close()
    }
  }
}

/** Counts the gateways, this one included. */
function gatewayCount (members: readonly Follow.Members.Member[]): number {
  return 1 + members.filter(member => member.kind === 'gateway').length
}

async function listen (server: Http.Server, address: Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, BACKLOG_COUNT, resolve)
  })
}

async function pause (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
