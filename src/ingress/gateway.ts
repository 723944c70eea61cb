/**
 * A gateway process that sends calls to endpoints directly: the tables that it follows, its servers, its messages to other processes, and its shutdown.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Net from 'node:net'
import * as Core from '../core/index.ts'
import * as ClientConnections from '../edge/clientConnections.ts'
import * as ClientMemory from '../edge/clientMemory.ts'
import * as Faults from '../edge/faults.ts'
import * as HttpServer from '../edge/httpServer.ts'
import * as Listening from '../edge/listening.ts'
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

/** Bounds from the settings; they may change while the gateway runs. */
export interface GatewayBounds {
  readonly retries: Routing.Budgets.RetryBudgetLimit
  /** Time within which a newly named version has to be in use everywhere, in milliseconds. */
  readonly versionMs: number
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number
}

/** Resources that a gateway may use. */
export interface GatewayLimits {
  readonly memoryBytes: number | undefined
  readonly descriptorCount: number | undefined
}

/** Settings and dependencies of a gateway. */
export interface GatewayOptions extends Node.NodeOptions {
  /** Where callers connect. */
  readonly callerAddress: Address
  /** Where the balancer's readiness probes connect. */
  readonly readinessAddress: Address
  readonly bounds: () => GatewayBounds
  /** Resources that the process may use; undefined if they are not limited. */
  readonly limits: () => GatewayLimits
  readonly dialect: Dialect.Dialect
  /** Decodes an operators' row; undefined for a row without meaning to the system. */
  readonly operatorChangeOf: (row: Follow.Rows.Row) => Routing.Deployment.OperatorChange | undefined
  /** Reduces an operators' row to the part that agents use. */
  readonly agentRowOf: (row: Follow.Rows.Row) => Follow.Rows.Row
  /** Decodes an endpoint's entry; undefined for one that names no usable endpoint. */
  readonly listingOf: (row: Follow.Rows.Row) => Routing.Endpoints.Listing | undefined
  /** Names of the tables that operators and endpoints write. */
  readonly tables: { readonly operators: string, readonly endpoints: string }
}

/** A running gateway. */
export interface Gateway {
  /** Takes no more calls after a while, waits within the grace period for those in flight, and closes everything. */
  stop: () => Promise<void>
}

/** Time that the store may hold a read of the endpoints' entries open, for each gateway, in milliseconds: a page shows up to when no newer version was named, and all gateways together receive one about every eighth of a second. */
const ENDPOINTS_WAIT_PER_GATEWAY_MS = 125
/** Maximum of that time, in milliseconds: only gateways notify each other of changes of endpoints' entries. */
const ENDPOINTS_WAIT_LIMIT_MS = 4_000
/** Minimum time during which changes of endpoints' entries are collected before the next read, in milliseconds: agents report the load in the meantime, and an endpoint that leaves still serves for seconds. */
const ENDPOINTS_BATCH_DELAY_MS = 300
/** The same time for each gateway, in milliseconds: endpoints change all the time in a large deployment, and the reads of all gateways together do not grow with their number. */
const ENDPOINTS_BATCH_DELAY_PER_GATEWAY_MS = 20
/** Maximum of that time, in milliseconds. */
const ENDPOINTS_BATCH_DELAY_LIMIT_MS = 1_000
/** Time that the store may hold a read of the member table open, in milliseconds: members change seldom. The store allows 30 s at most. */
const MEMBERS_WAIT_MS = 20_000
/** Maximum size of a call's headers, in bytes: the usual limit of operators. Node fixes it when the server is created. */
const HEADER_LIMIT_BYTES = 16_384
/** Time-outs until the operators' limits are known, in milliseconds: the usual ones of a deployment. */
const DEFAULT_HEADER_TIMEOUT_MS = 3_000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
/** Interval between checks for callers whose headers take too long, in milliseconds. */
const HEADER_TIMEOUT_CHECK_INTERVAL_MS = 500
/** Time after a stop request during which new connections are still accepted, in milliseconds: the balancer removes an instance after two failed probes a second apart. */
const BALANCER_REMOVAL_MS = 2_600
/** Time reserved for closing before the process is killed, in milliseconds. */
const STOP_RESERVE_MS = 700
/** Time within which the first call has to arrive on a connection that was opened shortly before the stop, in milliseconds. */
const FIRST_CALL_PATIENCE_MS = 500
/** Interval at which idle connections are closed during a stop, in milliseconds. */
const STOP_POLL_INTERVAL_MS = 20
/** Margin for queueing and the network delay, in milliseconds: calls are no longer sent to an old version from this time before the new one has to be in use everywhere. */
const VERSION_SEND_RESERVE_MS = 600
/** Margin for a tick and the network delay, in milliseconds: calls that have not begun on an old version are withdrawn at this time before the new one has to be in use everywhere. */
const VERSION_BEGIN_RESERVE_MS = 100
const TICK_INTERVAL_MS = 100
/** Interval at which unchanged revisions are sent again, in milliseconds, in case a datagram was lost. */
const REVISIONS_RESEND_INTERVAL_MS = 1_000
const LISTEN_BACKLOG_COUNT = 1_024
/** Interval at which the gauges of data ages, endpoints and weight versions are updated, in milliseconds. */
const GAUGE_INTERVAL_MS = 1_000
/** Interval at which evidence on requests that crash endpoints is sent again, in milliseconds, in case a datagram was lost. */
const QUARANTINE_TICK_INTERVAL_MS = 1_000
const MS_PER_SECOND = 1_000
/** Maximum number of connections on the readiness address: the balancer needs one, operators a few. */
const PROBE_CONNECTION_LIMIT_COUNT = 64
/** Interval at which the version that calls may begin on is logged again while a new one spreads, in milliseconds: the lines of calls displace older lines in a log of limited length. */
const VERSIONS_LOG_INTERVAL_MS = 2_000

/**
 * Starts a gateway.
 *
 * @param options - Settings and dependencies.
 * @returns The gateway, once it accepts connections; rejects if an address cannot be listened on.
 */
export async function open (options: GatewayOptions): Promise<Gateway> {
  const { clock, log, metrics, random } = options
  const endpoints: Routing.Endpoints.Endpoints = Core.Table.createTable('endpoints')
  /** The endpoint listed last at each address, by host and port. */
  const endpointByAddress = new Map<string, Routing.Endpoints.EndpointRow>()
  const versions = Routing.Versions.createVersions(() => ({ sendMs: options.bounds().versionMs - VERSION_SEND_RESERVE_MS, beginMs: options.bounds().versionMs - VERSION_BEGIN_RESERVE_MS }))
  const upstream = Upstream.createUpstream()
  const budget = Routing.Budgets.createRetryBudget(() => options.bounds().retries)
  const demand = Routing.Demand.createDemand(clock())
  const rankShares = Routing.Ranks.createRankShares()
  const notices = Routing.Notices.createNotices()
  const { memoryBytes, descriptorCount } = options.limits()
  const clientBudgetBytes = ClientMemory.budgetBytesOf(memoryBytes)
  const clientMemory = ClientMemory.createClientMemory(clientBudgetBytes)
  const connectionLimitCount = (): number => ClientConnections.connectionLimitOf({ budgetBytes: clientBudgetBytes, descriptorCount })
  const clientPressure = ClientConnections.createPressureLog(clock, (sentence, fields) => { log('clients', sentence, fields) })
  const recordClosedClient = (cause: ClientConnections.ClosedCause): void => {
    metrics.count('client_connections_closed_total', { cause })
    clientPressure.record(cause)
  }
  let index: Routing.Deployment.DeploymentIndex | undefined
  /** The oldest version on which calls may begin, as logged last, by model. */
  const loggedOldestVersions = new Map<string, { readonly version: number, readonly atMs: number }>()
  let sharing: { readonly shares: Routing.SlotShares.SlotShares, readonly totalCallsPerSecond: number } | undefined
  let stopping = false
  let callsEndByMs = Infinity

  const node = await Node.open(options, { kind: 'gateway' })
  const quarantine = Quarantine.createQuarantine({ name: options.name, node, store: options.store, clock, random, metrics, log })
  const members = (): readonly Follow.Members.Member[] => node.members()
  /** All gateways seen so far, by name: each keeps the weight that it sent last. */
  const sharers = new Map<string, Routing.Turns.Sharer>()
  const sharerOf = (name: string): Routing.Turns.Sharer => {
    const sharer = sharers.get(name) ?? Routing.Turns.createSharer(name)
    sharers.set(name, sharer)
    return sharer
  }
  const sharersOf = Core.Memo.memoizeByIdentity((others: readonly Follow.Members.Member[]): Routing.Turns.Sharers =>
    ({ own: sharerOf(options.name), others: others.filter(member => member.kind === 'gateway').map(member => sharerOf(member.name)) }))

  const managedAddressesOf = Core.Memo.memoizeByIdentity((others: readonly Follow.Members.Member[]): ReadonlySet<string> =>
    new Set(others.flatMap(({ endpoint }) => endpoint === undefined ? [] : [`${endpoint.host}:${endpoint.port}`])))

  /** Applies a load report as of a time, in milliseconds, unless a later one is known. */
  const applyLoad = (load: Follow.News.LoadNews, atMs: number): void => {
    const row = endpointByAddress.get(`${load.host}:${load.port}`)
    if (row === undefined || endpoints.get(row.listing.endpointId) !== row) return
    if (load.bornAtMs !== undefined && row.listing.bornAtMs !== undefined && load.bornAtMs !== row.listing.bornAtMs) {
      Routing.Endpoints.recordOtherStart(row, load.bornAtMs, clock())
      return
    }
    if (row.load !== undefined && atMs < row.loadAtMs) return
    Routing.Endpoints.applyLoadReport(row, load, atMs, random.next())
    ingress.retryWaiting()
  }
  /** Load reports that agents of the zone sent to this gateway, by address of the endpoint. */
  const zoneLoads = new Map<string, { readonly load: Follow.News.LoadNews, readonly atMs: number }>()
  const recordLoad = (load: Follow.News.LoadNews): void => {
    const address = `${load.host}:${load.port}`
    if (endpointByAddress.get(address)?.listing.zone === options.zone) zoneLoads.set(address, { load, atMs: clock() })
    applyLoad(load, clock())
  }
  const ownMember: Pick<Follow.Members.Member, 'name' | 'kind' | 'zone'> = { name: options.name, kind: 'gateway', zone: options.zone }
  const forwardersOf = Core.Memo.memoizeByIdentity((others: readonly Follow.Members.Member[]) => Follow.LoadForwarding.forwardersOf(options.zone, [...others, ownMember]))
  let forwardedTurn = -1
  /** Passes load reports of the zone's endpoints on to the gateways of other zones whose turn it is. */
  const forwardLoads = (nowMs: number): void => {
    const turn = Follow.LoadForwarding.turnAt(node.storeClock.now())
    if (turn === forwardedTurn || !Number.isFinite(turn)) return
    forwardedTurn = turn
    for (const [address, { atMs }] of zoneLoads) if (nowMs - atMs > Follow.LoadForwarding.REPORT_LIFETIME_MS) zoneLoads.delete(address)
    const receivers = Follow.LoadForwarding.receiversIn(forwardersOf(members()), options.name, turn)
    if (receivers.size === 0 || zoneLoads.size === 0) return
    const forwardedLoads = [...zoneLoads.values()].map(({ load, atMs }) => ({ ageMs: Math.round(nowMs - atMs), load }))
    node.sendNews({ revisions: {}, forwardedLoads }, 'gateway', member => receivers.has(member.name))
  }
  const applyLimit = (row: Routing.Endpoints.EndpointRow, statement: Routing.Limits.LimitStatement, source: string): boolean => {
    const { endpointId } = row.listing
    const before = row.limit?.callsPerSecond
    if (!Routing.Endpoints.recordLimit(row, statement, clock())) return false
    const limitPerSecond = row.limit?.callsPerSecond
    if (limitPerSecond === undefined) log('endpoints', 'Endpoint names no limit any more.', { endpointId, limitPerSecondBefore: before, source })
    else log('endpoints', 'Endpoint names a limit.', { endpointId, limitPerSecond, limitPerSecondBefore: before, source })
    return true
  }
  /** Applies an endpoint's rate limit that another gateway received. */
  const applyLimitNews = ({ endpointId, bornAtMs, callsPerSecond, askedAtMs, heardAtMs }: Follow.News.LimitNews, source: string): void => {
    const row = endpoints.get(endpointId)
    if (row === undefined || row.listing.bornAtMs !== bornAtMs) return
    applyLimit(row, { callsPerSecond, askedAtMs: node.storeClock.toLocalMs(askedAtMs), heardAtMs: node.storeClock.toLocalMs(heardAtMs) }, source)
  }
  const applyListing = (row: Follow.Rows.Row): void => {
    const nowMs = clock()
    const before = endpoints.get(row.key)
    const listing = row.deleted ? undefined : options.listingOf(row)
    if (listing !== undefined) {
      const currentRow = Routing.Endpoints.applyListing(endpoints, listing, nowMs)
      const address = `${listing.host}:${listing.port}`
      // Only one endpoint can be at an address, and an endpoint has one start at a time: an earlier one has ended.
      const atAddress = endpointByAddress.get(address)
      for (const ended of [before, atAddress]) if (ended !== undefined && ended !== currentRow) ingress.recordEndpointEnd(ended)
      if (atAddress !== undefined && atAddress !== currentRow) {
        Routing.Endpoints.recordOtherStart(atAddress, listing.bornAtMs, nowMs)
        Routing.Endpoints.recordOtherStart(currentRow, atAddress.listing.bornAtMs, nowMs)
      }
      endpointByAddress.set(address, currentRow)
      if (before?.listing.draining !== listing.draining || before.listing.bornAtMs !== listing.bornAtMs || before.weights?.[0]?.version !== listing.weights?.[0]?.version) {
        log('endpoints', 'Endpoint listed.', { endpointId: listing.endpointId, service: listing.service, host: listing.host, port: listing.port, zone: listing.zone, draining: listing.draining, coldForMs: listing.coldForMs, weights: listing.weights, ...Follow.Positions.logFields(row.revision) })
      }
      return
    }
    if (before === undefined) return
    const lapsed = Routing.Endpoints.handleUnlisted(endpoints, row.key, row.deleted ? endpointFollower.recoveredAtMs() ?? -Infinity : -Infinity, nowMs)
    log('endpoints', row.deleted ? 'Endpoint no longer listed.' : 'Endpoint entry not readable.', { endpointId: row.key, lapsed, ...Follow.Positions.logFields(row.revision) })
  }

  const shared = Follow.Shared.createSharedSource({ ...options, ...node.followerOptions, table: options.tables.operators, own: options, members, knowsMembers: node.knowsMembers, awaitsMembers: node.awaitsMembers, isPart: false, mayReadStore: true, neighbourWaitMs: Follow.Operators.NEIGHBOUR_WAIT_MS })
  const operators = Follow.Operators.followOperators({
    ...node.followerOptions,
    store: shared,
    askPeer: shared.askPeer,
    table: options.tables.operators,
    waitMs: Follow.Operators.STORE_WAIT_MS,
    changeOf: options.operatorChangeOf,
    onDeployed: deployment => {
      index = Routing.Deployment.createIndex(deployment)
      server.headersTimeout = deployment.limits.headerTimeoutMs
      server.keepAliveTimeout = deployment.limits.idleTimeoutMs
      metrics.gauge('deployment_version', deployment.version)
    },
    versions,
    onChanged: () => { ingress.retryWaiting() }
  })
  const endpointFollower = Follow.Follower.createFollower({
    ...node.followerOptions,
    table: options.tables.endpoints,
    waitMs: () => Math.min(ENDPOINTS_WAIT_LIMIT_MS, gatewayCount(members()) * ENDPOINTS_WAIT_PER_GATEWAY_MS),
    batchDelayMs: () => endpointsBatchDelayMs(gatewayCount(members())),
    isDoubtful: (inForce, found) => {
      const listing = found.deleted ? undefined : options.listingOf(found)
      // Entries that the store lacks are kept for a while in any case (`Endpoints.handleUnlisted`).
      return listing !== undefined && Routing.Endpoints.mayBeOutdated(inForce.deleted ? undefined : options.listingOf(inForce), listing)
    },
    onRows: rows => {
      for (const row of rows) applyListing(row)
      ingress.retryWaiting()
    }
  })
  node.relayTable(options.tables.operators, shared.relayed(operators.follower, options.agentRowOf))
  // Removals that this gateway does not act on yet are not passed on: the process that asks does not know when this gateway reached the store again, and would end calls to live endpoints.
  const isRemovalDeferred = (row: Follow.Rows.Row): boolean => row.deleted && endpoints.get(row.key)?.keptUntilMs !== undefined
  node.relayTable(options.tables.endpoints, { isKnown: endpointFollower.isKnown, mirror: { ...endpointFollower.mirror, since: revision => Follow.Rows.withhold(endpointFollower.mirror.since(revision), isRemovalDeferred) } })
  node.followMembers(MEMBERS_WAIT_MS)

  const ingress = Ingress.createIngress({
    dialect: options.dialect,
    upstream,
    deploymentIndex: () => index,
    isDeploymentOutdated: () => operators.follower.isBehind(),
    routingContext: () => ({
      endpoints,
      notices,
      zone: options.zone,
      region: options.region,
      drainedZones: operators.drainedZones,
      oldestVersionOf: model => versions.oldestSendableOf(model, node.storeClock.now()),
      // Until the list of processes is known, an agent may be beside any endpoint.
      isManaged: ({ host, port }) => !node.knowsMembers() || managedAddressesOf(members()).has(`${host}:${port}`),
      gatewayCount: gatewayCount(members()),
      zoneGatewayCount: gatewayCount(members().filter(member => member.zone === options.zone)),
      sharers: node.knowsMembers() ? sharersOf(members()) : undefined,
      storeMs: node.storeClock.now(),
      rankShares,
      slotShares: sharing?.shares,
      totalCallsPerSecond: sharing?.totalCallsPerSecond
    }),
    oldestStartableVersionOf: model => versions.oldestBeginnableOf(model, node.storeClock.now()),
    budget,
    demand,
    rankShares,
    clientMemory,
    onSmallParts: socket => { callers.handleSmallParts(socket) },
    notices,
    quarantine,
    clock,
    random,
    metrics,
    log,
    onLimit: (row, statement) => {
      // An answer from before the endpoint restarted says nothing about its new start.
      if (endpoints.get(row.listing.endpointId) !== row) return
      if (statement.callsPerSecond !== undefined) row.limitReceivedAtMs = clock()
      if (!applyLimit(row, statement, options.name)) return
      node.sendNews({ revisions: {}, limits: Follow.News.recentLimitNews([row], node.storeClock, clock()) }, 'gateway')
    },
    isStopping: () => stopping,
    callsEndByMs: () => callsEndByMs
  })
  /** Tells an agent that has restarted what its predecessor reported as sound. */
  const returnProof = ({ host, port, bornAtMs, orderCount, provenOrderCount }: Follow.News.LoadNews, agent: string): void => {
    const row = endpointByAddress.get(`${host}:${port}`)
    if (orderCount === undefined || provenOrderCount !== undefined || row?.listing.bornAtMs !== bornAtMs || row?.loaded?.provenOrderCount !== orderCount) return
    node.sendNews({ revisions: {}, proof: { bornAtMs, orderCount } }, 'agent', member => member.name === agent)
  }
  node.receiveNews(message => {
    if (message.load !== undefined) {
      recordLoad(message.load)
      returnProof(message.load, message.sender)
    }
    for (const { ageMs, load } of message.forwardedLoads ?? []) applyLoad(load, clock() - ageMs)
    Follow.News.learnVersions(versions, message, operators.follower, node.storeClock, log)
    for (const limitNews of message.limits ?? []) applyLimitNews(limitNews, message.sender)
    if (message.requests !== undefined) quarantine.applyNews(message.requests)
    if (message.callsPerSecond !== undefined) sharerOf(message.sender).weight = message.callsPerSecond
    operators.follower.handlePeerRevision(message.revisions[options.tables.operators] ?? 0, message.sender)
    endpointFollower.handlePeerRevision(message.revisions[options.tables.endpoints] ?? 0, message.sender)
  })
  const server = Http.createServer({ maxHeaderSize: HEADER_LIMIT_BYTES, connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: 0, headersTimeout: DEFAULT_HEADER_TIMEOUT_MS, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS })
  const callers = ClientConnections.bound(server, ingress.handle, { limitCount: connectionLimitCount, memory: clientMemory, clock, onClosed: recordClosedClient })
  const isReady = (): boolean => index !== undefined && endpointFollower.isKnown() && !stopping
  const readiness = Http.createServer({ maxHeaderSize: HEADER_LIMIT_BYTES, connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: 0, headersTimeout: DEFAULT_HEADER_TIMEOUT_MS })
  const probes = ClientConnections.bound(readiness, (request, response) => {
    request.resume()
    HttpServer.sendJson(response, isReady() ? 200 : 503, { ready: isReady() })
  }, { limitCount: () => PROBE_CONNECTION_LIMIT_COUNT, memory: clientMemory, clock, onClosed: recordClosedClient })
  await listen(server, options.callerAddress, options)
  await listen(readiness, options.readinessAddress, options)

  /** Computes this gateway's shares of free slots anew. */
  const updateSharing = (nowMs: number): void => {
    if (!node.knowsMembers()) { sharing = undefined; return }
    const own = { zone: options.zone, callsPerSecond: demand.perSecond(nowMs) }
    const others = members().filter(member => member.kind === 'gateway').map(member => ({ zone: member.zone, callsPerSecond: sharerOf(member.name).weight }))
    const slotCountByZone = new Map<string, number>()
    for (const { listing, load } of endpoints.rows()) {
      if (listing.draining || operators.drainedZones.has(listing.zone) || load?.loading === true) continue
      slotCountByZone.set(listing.zone, (slotCountByZone.get(listing.zone) ?? 0) + listing.slotCount)
    }
    sharing = { shares: Routing.SlotShares.computeShares({ own, others, slotCountByZone }), totalCallsPerSecond: others.reduce((sum, { callsPerSecond = own.callsPerSecond }) => sum + callsPerSecond, own.callsPerSecond) }
  }
  let sentRevision = 0
  let revisionsSentAtMs = 0
  const broadcastRevisions = (nowMs: number): void => {
    const revision = Math.max(operators.follower.mirror.rowRevision(), endpointFollower.mirror.rowRevision())
    if (revision === sentRevision && nowMs - revisionsSentAtMs < REVISIONS_RESEND_INTERVAL_MS) return
    sentRevision = revision
    revisionsSentAtMs = nowMs
    const limits = Follow.News.recentLimitNews(endpoints.rows(), node.storeClock, nowMs)
    const callsPerSecond = Math.round(demand.perSecond(nowMs))
    // This gateway uses the same weight for itself that the others receive.
    sharerOf(options.name).weight = callsPerSecond
    node.sendNews({
      named: Follow.News.versionNews(versions, node.storeClock.now()),
      revisions: { [options.tables.operators]: operators.follower.mirror.rowRevision(), [options.tables.endpoints]: endpointFollower.mirror.rowRevision() },
      callsPerSecond,
      ...(limits.length === 0 ? {} : { limits })
    }, 'gateway')
  }
  let lastAgentMessage = ''
  /** Sends the named versions and the revision to the agents of the zone, on a change. Agents read the store seldom: gateways know more exactly when a version was named, and the revision shows an agent whose source froze that it is behind. */
  const notifyAgents = (): void => {
    const named = Follow.News.versionNews(versions, node.storeClock.now())
    const revisions = { [options.tables.operators]: operators.follower.mirror.rowRevision() }
    const text = JSON.stringify([named, revisions])
    if (text === lastAgentMessage) return
    lastAgentMessage = text
    node.sendNews({ revisions, named }, 'agent', member => member.zone === options.zone)
  }
  const gaugeTimer = setInterval(() => {
    const nowMs = clock()
    const ages = { operators: operators.follower.freshAtMs(), endpoints: endpointFollower.freshAtMs(), loads: Math.min(...[...endpoints.rows()].map(row => row.load === undefined ? nowMs : row.loadAtMs)) }
    for (const [belief, atMs] of Object.entries(ages)) metrics.gauge('belief_age_seconds', Math.max(0, nowMs - Math.min(atMs, nowMs)) / MS_PER_SECOND, { belief })
    metrics.gauge('client_connections', callers.count() + probes.count())
    metrics.gauge('client_memory_bytes', clientMemory.usedBytes())
    clientPressure.check()
    for (const [zone, share] of sharing?.shares ?? []) metrics.gauge('free_slot_share', share, { zone })
    for (const [service, variation] of Routing.Endpoints.loadVariations(endpoints, nowMs)) metrics.gauge('load_variation', variation, { service })
    for (const [state, count] of Object.entries(Routing.Endpoints.countStates(endpoints, nowMs, notices))) metrics.gauge('endpoints', count, { state })
    for (const { model, version } of versions.newestVersions()) {
      metrics.gauge('weights_version', version, { model })
      metrics.gauge('weights_oldest_version', versions.oldestSendableOf(model, node.storeClock.now()), { model })
    }
  }, GAUGE_INTERVAL_MS)
  const quarantineTimer = setInterval(quarantine.tick, QUARANTINE_TICK_INTERVAL_MS)
  const logOldestVersions = (nowMs: number): void => {
    const storeMs = node.storeClock.now()
    const sinceMs = (atMs: number | undefined): number | undefined => atMs === undefined || !Number.isFinite(storeMs - atMs) ? undefined : Math.round(storeMs - atMs)
    for (const { model, version: newest } of versions.newestVersions()) {
      const version = versions.oldestSendableOf(model, storeMs)
      const before = loggedOldestVersions.get(model)
      const isChanged = version !== before?.version
      if (!isChanged && (version === newest || nowMs - before.atMs < VERSIONS_LOG_INTERVAL_MS)) continue
      loggedOldestVersions.set(model, { version, atMs: nowMs })
      const named = versions.versionsOf(model).map(entry => ({ version: entry.version, revision: entry.revision, sinceNamedMs: sinceMs(entry.namedAtMs), sinceNotBeforeMs: sinceMs(entry.notBeforeMs) }))
      if (isChanged) log('weights', 'Oldest version changed.', { model, version, versionBefore: before?.version, named })
      else log('weights', 'Version still spreads.', { model, version, named })
    }
  }
  const tickTimer = setInterval(() => {
    const nowMs = clock()
    for (const endpointId of Routing.Endpoints.removeLapsed(endpoints, nowMs)) log('endpoints', 'Endpoint gone.', { endpointId, reason: 'its entry did not come back' })
    versions.applyRevisionTimes(node.readings)
    updateSharing(nowMs)
    broadcastRevisions(nowMs)
    forwardLoads(nowMs)
    notifyAgents()
    logOldestVersions(nowMs)
    metrics.gauge('calls_active', ingress.activeCount())
  }, TICK_INTERVAL_MS)
  log('gateway', 'Gateway started.', { callers: options.callerAddress, incarnation: node.incarnation })

  return {
    stop: async () => {
      const startedMs = clock()
      stopping = true
      log('gateway', 'Gateway stops.', { activeCount: ingress.activeCount() })
      await sleep(BALANCER_REMOVAL_MS)
      // Closing the HTTP server would also close connections whose answers have ended but are not sent yet.
      Net.Server.prototype.close.call(server)
      callsEndByMs = startedMs + options.bounds().graceMs - STOP_RESERVE_MS
      do {
        // An answer that began before the stop has no `Connection: close`, so its connection has to be closed here.
        callers.closeIdle(FIRST_CALL_PATIENCE_MS)
        await sleep(STOP_POLL_INTERVAL_MS)
      } while ((ingress.activeCount() > 0 || callers.unansweredCount() > 0) && clock() < callsEndByMs)
      ingress.endCalls()
      await sleep(STOP_POLL_INTERVAL_MS)
      callers.closeIdle(FIRST_CALL_PATIENCE_MS)
      log('gateway', 'Gateway stopped.', { activeCount: ingress.activeCount(), unansweredCount: callers.unansweredCount(), tookMs: Math.round(clock() - startedMs) })
      clearInterval(tickTimer)
      clearInterval(gaugeTimer)
      clearInterval(quarantineTimer)
      operators.follower.stop()
      endpointFollower.stop()
      quarantine.stop()
      ingress.stop()
      upstream.close()
      callers.stop()
      probes.stop()
      readiness.close()
      readiness.closeAllConnections()
      await node.close()
    }
  }
}

/**
 * Returns the time during which changes of endpoints' entries are collected before the next read.
 *
 * @param gatewayCount - The number of gateways.
 * @returns The time, in milliseconds.
 */
export function endpointsBatchDelayMs (gatewayCount: number): number {
  return Math.min(ENDPOINTS_BATCH_DELAY_LIMIT_MS, Math.max(ENDPOINTS_BATCH_DELAY_MS, gatewayCount * ENDPOINTS_BATCH_DELAY_PER_GATEWAY_MS))
}

/** Returns the number of gateways, this one included. */
function gatewayCount (members: readonly Follow.Members.Member[]): number {
  return 1 + members.filter(member => member.kind === 'gateway').length
}

async function listen (server: Http.Server, { host, port }: Address, { metrics, log }: Pick<GatewayOptions, 'metrics' | 'log'>): Promise<void> {
  const faults = Faults.createFaults({ metrics, log })
  await Listening.bind(server, () => { server.listen(port, host, LISTEN_BACKLOG_COUNT) }, {
    onWaiting: reason => { log('process', 'Address not free yet.', { host, port, reason }) },
    onError: error => { faults.record('server', error) }
  })
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
