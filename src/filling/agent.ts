/**
 * An agent that fills the engine beside it and tells gateways of its load.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import * as Follow from '../follow/index.ts'
import type * as Routing from '../routing/index.ts'
import * as Exchange from './exchange.ts'
import * as Filler from './filler.ts'
import * as Library from './library.ts'
import type * as Ports from './ports.ts'
import * as Switching from './switching.ts'

/** What an agent needs. */
export interface AgentOptions extends Follow.Node.NodeOptions {
  /** The engine beside the agent. */
  readonly endpoint: { readonly host: string, readonly port: number }
  /** The engine's service. */
  readonly service: string
  readonly versionMs: number
  readonly engine: Ports.Engine
  readonly originAt: (address: string) => Ports.Origin
  readonly changeOf: (row: Follow.Rows.Row) => Routing.Deployment.OperatorChange | undefined
  /** Name of the table that operators write. */
  readonly operatorsTable: string
}

/** A running agent. */
export interface Agent {
  stop: () => Promise<void>
}

/** Time between two reports of the engine, in milliseconds: shorter than the time in which a batch ends a call. */
const REPORT_MS = 100
/** Gateways in other zones hear of the load less often, in reports: they send here only what their own zone cannot take. */
const FAR_EVERY_COUNT = 3
/** A load that did not change is told again after so many reports. */
const RETELL_COUNT = 5
const OPERATORS_WAIT_MS = 4_000
const MEMBERS_WAIT_MS = 20_000
/** Versions count from 1. */
const FIRST_VERSION = 1

/**
 * Opens an agent.
 *
 * @param options - Settings, edges and decoders.
 * @returns The agent.
 */
export async function open (options: AgentOptions): Promise<Agent> {
  const { clock, log } = options
  const library = Library.createLibrary()
  const named = new Map<string, { readonly version: number, readonly namedAtMs: number }>()
  let deployment: Routing.Deployment.Deployment | undefined
  let origin: { readonly address: string, readonly client: Ports.Origin } | undefined
  let working: { readonly model: string, readonly version: number, loaded: boolean } | undefined
  let reachable: boolean | undefined
  let busy = false
  let reportCount = 0
  let toldText = ''
  let toldAtCount = 0

  const node = await Follow.Node.open(options, 'agent', news => { operators.hint(news.revisions[options.operatorsTable] ?? 0) }, [
    Exchange.createRoute(library, (model, version) => filler.isFetching(model, version))
  ])
  const filler = Filler.createFiller({
    name: options.name,
    region: options.region,
    engine: options.engine,
    origin: () => origin?.client,
    library,
    agents: () => node.members().filter(member => member.kind === 'agent'),
    versionMs: options.versionMs,
    clock,
    metrics: options.metrics,
    log
  })
  const takeChange: Core.Loop.Handlers<Routing.Deployment.OperatorChange> = {
    deployed: change => {
      if (deployment !== undefined && change.deployment.version <= deployment.version) return
      deployment = change.deployment
      const address = deployment.services.find(service => service.originAddress !== undefined)?.originAddress
      if (address !== undefined && address !== origin?.address) origin = { address, client: options.originAt(address) }
    },
    zoneDrained: () => {},
    versionNamed: ({ model, version }) => {
      if (version <= (named.get(model)?.version ?? FIRST_VERSION)) return
      named.set(model, { version, namedAtMs: clock() })
      log('weights', 'Version named.', { model, version })
    },
    unreadable: ({ key, reason }) => { log('control', 'Change not readable.', { key, reason }) }
  }
  const operators = Follow.Follower.createFollower({
    ...node.followerOptions,
    table: options.operatorsTable,
    waitMs: OPERATORS_WAIT_MS,
    onRows: rows => {
      for (const row of rows) {
        const change = options.changeOf(row)
        if (change !== undefined) Core.Loop.dispatch(takeChange, change)
      }
    }
  })
  node.relay(options.operatorsTable, operators)
  node.followMembers(MEMBERS_WAIT_MS)

  const goalOf = (report: Ports.EngineReport): Filler.Goal | undefined => {
    const model = deployment?.services.find(service => service.name === options.service)?.engine?.models[0]
    if (model === undefined) return undefined
    const newest = named.get(model)
    const loaded = (report.weights ?? []).some(held => held.model === model && held.version >= (working?.version ?? Infinity))
    const volume = working === undefined ? undefined : library.volumeOf(model, working.version)
    const heldShare = volume === undefined ? 0 : volume.heldCount / volume.manifest.digests.length
    const version = Switching.versionToFill(working === undefined ? undefined : { version: working.version, heldShare, loaded }, newest?.version ?? FIRST_VERSION)
    working = { model, version, loaded }
    return { model, version, namedAtMs: newest?.version === version ? newest.namedAtMs : -Infinity }
  }
  const tellLoad = (report: Ports.EngineReport): void => {
    reportCount++
    const load: Follow.News.LoadNews = {
      ...options.endpoint,
      ...(report.bornAtMs === undefined ? {} : { bornAtMs: report.bornAtMs }),
      activeCount: report.activeCount,
      queuedCount: report.queuedCount,
      pace: report.pace,
      loading: report.loading,
      weights: [...report.weights ?? []]
    }
    const text = JSON.stringify(load)
    if (text === toldText && reportCount - toldAtCount < RETELL_COUNT) return
    toldText = text
    toldAtCount = reportCount
    const far = reportCount % FAR_EVERY_COUNT === 0
    node.tell({ revisions: { [options.operatorsTable]: operators.mirror.rowRevision() }, load }, 'gateway', member => far || member.zone === options.zone)
  }
  const noteReachable = (now: boolean): void => {
    if (now === reachable) return
    reachable = now
    log('weights', now ? 'Engine answers.' : 'Engine does not answer.', options.endpoint)
  }
  const beat = setInterval(() => {
    if (busy) return
    busy = true
    void options.engine.report().then(async report => {
      noteReachable(report !== undefined)
      if (report === undefined) return
      tellLoad(report)
      const goal = goalOf(report)
      if (goal !== undefined) void filler.advance(goal, report)
    }).finally(() => { busy = false })
  }, REPORT_MS)
  log('agent', 'Agent started.', { endpoint: options.endpoint, service: options.service, incarnation: node.incarnation })
  return {
    stop: async () => {
      clearInterval(beat)
      operators.stop()
      node.close()
      log('agent', 'Agent stopped.')
    }
  }
}
