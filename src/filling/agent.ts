/**
 * Agent of one engine: it keeps the engine's weights up to date and reports its load to gateways.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as Follow from '../follow/index.ts'
import * as Routing from '../routing/index.ts'
import * as Pacer from '../weights/edge/pacer.ts'
import * as ChunkCache from './chunkCache.ts'
import * as Exchange from './exchange.ts'
import * as Fetcher from './fetcher.ts'
import * as Filler from './filler.ts'
import type * as Ports from './ports.ts'

/** Bounds from the settings; they may change while the agent runs. */
export interface AgentBounds {
  /** Time allowed for a named version to reach all endpoints, in milliseconds. */
  readonly versionMs: number
  /** Capacity of the instance's link, in bits per second. */
  readonly linkBitsPerSecond: number
}

/** Options of an agent. */
export interface AgentOptions extends Follow.Node.NodeOptions {
  /** Address of the agent's engine. */
  readonly endpoint: { readonly host: string, readonly port: number }
  /** Name of the engine's service. */
  readonly service: string
  readonly bounds: () => AgentBounds
  readonly engine: Ports.Engine
  /** Creates the client of the origin at an address. */
  readonly originAt: (address: string) => Ports.Origin
  /** Decodes a row of the operators' table; undefined if it has no meaning for the system. */
  readonly changeOf: (row: Follow.Rows.Row) => Routing.Deployment.OperatorChange | undefined
  /** Reduces a row of the operators' table to the part that agents use. */
  readonly agentPartOf: (row: Follow.Rows.Row) => Follow.Rows.Row
  /** Name of the operators' table. */
  readonly operatorsTable: string
}

/** Load that was last sent to gateways. */
interface SentLoad {
  /** The load as JSON. */
  readonly text: string
  /** Number of the engine's report with which it was sent. */
  readonly reportNumber: number
}

/** Running agent. */
export interface Agent {
  stop: () => Promise<void>
}

/** Time that an agent waits for the first answer of its engine before it fetches chunks, in milliseconds; engines that start with the agent hold the first version already. */
const ENGINE_GRACE_MS = 3_000
/** Interval at which the engine's report is read, in milliseconds: shorter than the time in which a batch ends a call. */
const REPORT_INTERVAL_MS = 100
/** Interval at which gateways of other zones get the load, in reports; they send calls here only when their own zone is full. */
const OTHER_ZONES_INTERVAL_COUNT = 3
/** Number of reports after which an unchanged load is sent again, well before gateways take it for stale. */
const RESEND_INTERVAL_COUNT = 6
/** Share of the link that chunks may use in each direction while the engine serves; the rest is for calls and answers. */
const CHUNK_LINK_SHARE = 0.85
const BITS_PER_BYTE = 8
/** Time over which announcements of verified chunks are collected into one message, in milliseconds. */
const ANNOUNCE_BATCH_MS = 20
/** Time for which the store holds a read of the members table while nothing changes, in milliseconds, before jitter; members change rarely. */
const MEMBERS_WAIT_MS = 20_000
/** Version that an engine loads while none has been named; versions are numbered from 1. */
const FIRST_VERSION = 1

/**
 * Starts an agent.
 *
 * @param options - The settings, clients and decoders.
 * @returns The agent.
 */
export async function open (options: AgentOptions): Promise<Agent> {
  const { clock, log } = options
  const openedAtMs = clock()
  const cache = ChunkCache.createChunkCache()
  const versions = Routing.Versions.createVersions(() => ({ sendMs: options.bounds().versionMs, beginMs: options.bounds().versionMs }))
  let origin: { readonly address: string, readonly client: Ports.Origin } | undefined
  let isEngineReachable: boolean | undefined
  let isReporting = false
  let reportCount = 0
  let sentToOwnZone: SentLoad = { text: '', reportNumber: 0 }
  let sentToOtherZones: SentLoad = { text: '', reportNumber: 0 }
  const notifiedIncarnations = new Set<string>()

  const linkBytesPerSecond = (): number => options.bounds().linkBitsPerSecond / BITS_PER_BYTE
  const upload = Pacer.createPacer(linkBytesPerSecond() * CHUNK_LINK_SHARE, 0)
  const download = Pacer.createPacer(linkBytesPerSecond() * CHUNK_LINK_SHARE, 0)
  const node = await Follow.Node.open(options, { kind: 'agent', endpoint: options.endpoint }, [
    Exchange.createRoute(cache, (model, version) => fetcher.isFetching(model, version), upload)
  ])
  const announcements = new Map<string, { model: string, version: number, indexes: number[], receiver: string }>()
  const flushAnnouncements = (): void => {
    for (const { receiver, ...held } of announcements.values()) node.sendNews({ revisions: {}, held }, 'agent', member => member.name === receiver)
    announcements.clear()
  }
  const announce = (model: string, version: number, indexes: readonly number[], receivers: readonly string[]): void => {
    if (announcements.size === 0 && receivers.length > 0) setTimeout(flushAnnouncements, ANNOUNCE_BATCH_MS)
    for (const receiver of receivers) {
      const key = `${receiver} ${model}/${version}`
      const entry = announcements.get(key) ?? { model, version, indexes: [], receiver }
      entry.indexes.push(...indexes)
      announcements.set(key, entry)
    }
  }
  const revisions = (): Follow.News.News['revisions'] => ({ [options.operatorsTable]: operators.follower.mirror.rowRevision() })
  const versionNews = (): NonNullable<Follow.News.News['named']> => Follow.News.versionNews(versions, node.storeClock.now())
  const agentsOf = Core.Memo.memoizeByIdentity((members: readonly Follow.Members.Member[]) => members.filter(member => member.kind === 'agent'))
  const otherAgents = (): readonly Follow.Members.Member[] => agentsOf(node.members())
  const ownService = (): Routing.Deployment.Service | undefined => operators.deployment()?.services.find(service => service.name === options.service)
  const fetcher = Fetcher.createFetcher({
    name: options.name,
    region: options.region,
    origin: () => origin?.client,
    cache,
    chunkCountOf: model => ownService()?.engine?.models.includes(model) === true ? ownService()?.engine?.chunkCount : undefined,
    members: otherAgents,
    knowsMembers: node.knowsMembers,
    sendRollCall: () => { node.sendNews({ revisions: revisions(), rollCall: true, named: versionNews() }, 'agent') },
    versionMs: () => options.bounds().versionMs,
    download,
    adoptStaged: async chunkSet => { await filler.adoptStaged(chunkSet) },
    announce,
    random: options.random,
    clock,
    metrics: options.metrics,
    log
  })
  const filler = Filler.createFiller({
    name: options.name,
    engine: options.engine,
    cache,
    members: otherAgents,
    knowsGateways: () => node.members().some(member => member.kind === 'gateway'),
    versionMs: () => options.bounds().versionMs,
    isResumable: () => (operators.deployment()?.routes ?? []).every(route => route.resumable || !route.targets.some(target => target.service === options.service)),
    progressOf: fetcher.progressOf,
    supersededAtMs: (model, loaded) => node.storeClock.toLocalMs(versions.newestUntilMs(model, loaded)),
    onServing: serving => {
      for (const pacer of [download, upload]) pacer.setRate(linkBytesPerSecond() * (serving ? CHUNK_LINK_SHARE : 1))
    },
    clock,
    log
  })
  const shared = Follow.Shared.createSharedSource({ ...options, ...node.followerOptions, table: options.operatorsTable, own: options, members: node.members, knowsMembers: node.knowsMembers, awaitsMembers: node.awaitsMembers, isPart: true, mayReadStore: false, neighbourWaitMs: Follow.Operators.NEIGHBOUR_WAIT_MS })
  const operators = Follow.Operators.followOperators({
    ...node.followerOptions,
    store: shared,
    askPeer: shared.askPeer,
    table: options.operatorsTable,
    waitMs: Follow.Operators.INDIRECT_WAIT_MS,
    changeOf: options.changeOf,
    onDeployed: deployment => {
      const address = deployment.services.find(service => service.originAddress !== undefined)?.originAddress
      if (address !== undefined && address !== origin?.address) origin = { address, client: options.originAt(address) }
    },
    versions
  })
  node.relayTable(options.operatorsTable, shared.relayed(operators.follower, options.agentPartOf))
  node.followMembers(MEMBERS_WAIT_MS)
  node.receiveNews(news => {
    Follow.News.learnVersions(versions, news, operators.follower, node.storeClock, log)
    operators.follower.handlePeerRevision(news.revisions[options.operatorsTable] ?? 0, news.sender)
    fetcher.recordContact(news.sender)
    if (news.rollCall === true) {
      node.sendNews({ revisions: {}, rollCall: false, named: versionNews() }, 'agent', member => member.name === news.sender)
      fetcher.answerRollCall(news.sender)
    }
    if (news.proof !== undefined) filler.adoptProof(news.proof)
    if (news.held !== undefined) fetcher.recordHolder(news.sender, news.held.model, news.held.version, news.held.indexes)
  })

  const currentGoals = (): readonly Fetcher.Goal[] => {
    const model = ownService()?.engine?.models[0]
    if (model === undefined) return []
    const named = versions.namedVersionsOf(model)
    if (named.length === 0) return [{ model, version: FIRST_VERSION, namedAtMs: -Infinity }]
    return named.map(({ version, namedAtMs, notBeforeMs }) => ({ model, version, namedAtMs: node.storeClock.toLocalMs(namedAtMs ?? notBeforeMs) }))
  }
  const isForwardedBy = Core.Memo.memoizeByIdentity((members: readonly Follow.Members.Member[]) => Follow.LoadForwarding.isForwarded(options.zone, members))
  const sendLoad = (report: Ports.EngineReport): void => {
    reportCount++
    const load: Follow.News.LoadNews = {
      ...options.endpoint,
      ...(report.bornAtMs === undefined ? {} : { bornAtMs: report.bornAtMs }),
      activeCount: report.activeCount,
      queuedCount: report.queuedCount,
      pace: report.pace,
      loading: report.loading || filler.isRetiring(),
      ...(filler.isRetiring() && !report.loading ? { retiring: true } : {}),
      orderCount: report.orderCount ?? 0,
      provenOrderCount: filler.provenOrderCount(),
      weights: [...report.weights ?? []]
    }
    const text = JSON.stringify(load)
    const isDue = (sent: SentLoad): boolean => text !== sent.text || reportCount - sent.reportNumber >= RESEND_INTERVAL_COUNT
    const isDueInOwnZone = isDue(sentToOwnZone)
    const isDueInOtherZones = reportCount % OTHER_ZONES_INTERVAL_COUNT === 0 && isDue(sentToOtherZones)
    if (isDueInOwnZone) sentToOwnZone = { text, reportNumber: reportCount }
    if (isDueInOtherZones) sentToOtherZones = { text, reportNumber: reportCount }
    if (!isDueInOwnZone && !isDueInOtherZones) return
    // Where the zone has gateways enough, they pass its loads on to those of other zones.
    node.sendNews({ revisions: revisions(), load }, 'gateway', member => member.zone === options.zone ? isDueInOwnZone : isDueInOtherZones && !isForwardedBy(node.members()))
  }
  /** Sends the named versions to processes that have just joined and can no longer read superseded ones from the store. */
  const notifyJoined = (): void => {
    const joined = node.members().filter(member => !notifiedIncarnations.has(member.incarnation))
    if (joined.length === 0) return
    for (const { incarnation } of joined) notifiedIncarnations.add(incarnation)
    const named = versionNews()
    if (named.length === 0) return
    for (const kind of ['agent', 'gateway'] as const) node.sendNews({ revisions: revisions(), named }, kind, member => joined.includes(member))
  }
  const logReachability = (isReachable: boolean): void => {
    if (isReachable === isEngineReachable) return
    isEngineReachable = isReachable
    log('weights', isReachable ? 'Engine answers.' : 'Engine does not answer.', options.endpoint)
  }
  const reportTimer = setInterval(() => {
    versions.applyRevisionTimes(node.readings)
    notifyJoined()
    if (isReporting) return
    isReporting = true
    const askedAtMs = clock()
    void options.engine.report().then(async report => {
      logReachability(report !== undefined)
      const goals = currentGoals()
      if (report !== undefined) {
        sendLoad(report)
        void filler.advance(goals, report, askedAtMs)
      }
      if (report !== undefined || clock() - openedAtMs > ENGINE_GRACE_MS) void fetcher.advance(goals, filler.loadedVersionOf(goals.at(-1)?.model ?? ''))
    }).finally(() => { isReporting = false })
  }, REPORT_INTERVAL_MS)
  log('agent', 'Agent started.', { endpoint: options.endpoint, service: options.service, incarnation: node.incarnation })
  return {
    stop: async () => {
      clearInterval(reportTimer)
      operators.follower.stop()
      // Without the entry, gateways that start now would use what the platform lists.
      const keepsEntry = !filler.stop()
      await node.close({ keepsEntry })
      log('agent', 'Agent stopped.')
    }
  }
}
