/**
 * A whole deployment on loopback: platform stand-ins, endpoints, agents and gateways.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import * as StandIns from '../standins/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Manifests from './manifests.ts'
import * as Processes from './processes.ts'
import * as Shapes from './shapes.ts'
import * as Wait from './wait.ts'

/** The key of the system's own processes in tests. */
export const PEER_KEY = 'test-peer-key'
/** What a process logs of a violated invariant. */
export const VIOLATION_TEXT = 'invariant: Invariant violated.'
/** The operators' token in tests. */
export const OPERATOR_TOKEN = 'test-operator-token'

/** Settings of a deployment. */
export interface DeploymentOptions {
  readonly shape: Shapes.Shape
  /** Gateways in each zone; one unless named. */
  readonly gatewaysPerZone?: number
  readonly weightSizeBytes?: number
  readonly chunkSizeBytes?: number
  readonly originBytesPerSecond?: number
  /** Further settings of the origin. */
  readonly origin?: StandIns.WeightSource.SourceOptions
  readonly instanceLagMs?: number
  readonly engine?: StandIns.Engine.EngineOptions
  readonly plain?: StandIns.PlainService.PlainOptions
  /** Further settings of all agents. */
  readonly agentSettings?: Readonly<Record<string, string | number>>
  /** Further settings of all gateways. */
  readonly gatewaySettings?: Readonly<Record<string, string | number>>
  readonly logLevel?: string
}

/** An endpoint, its agent and where they stand. */
export interface Runner {
  readonly place: Shapes.RunnerPlace
  readonly service: Shapes.ServiceShape
  readonly engine: StandIns.Engine.Engine | undefined
  readonly plain: StandIns.PlainService.PlainService | undefined
  readonly endpointPort: number
  agent: Processes.Running
}

/** A gateway and where it stands. */
export interface GatewayPlace {
  readonly instanceId: string
  readonly zone: string
  readonly region: string
  process: Processes.Running
}

/** A running deployment. */
export interface Deployment {
  readonly shape: Shapes.Shape
  readonly table: StandIns.TableService.TableService
  readonly objects: StandIns.Faults.StandIn
  readonly origin: StandIns.WeightSource.WeightSource
  readonly instances: StandIns.InstanceList.InstanceList
  readonly runners: readonly Runner[]
  readonly gateways: readonly GatewayPlace[]
  /** Makes weights, adds them to the origin and returns the manifest that wants them. */
  makeManifest: (version: string, seed: number) => Schemas.Manifest.Manifest
  /** Commits a manifest through `fescuectl`. */
  commit: (manifest: Schemas.Manifest.Manifest) => Promise<Processes.Finished>
  ctl: (args: readonly string[], gatewayIndex?: number) => Promise<Processes.Finished>
  /** Waits until every engine holds the version and every gateway sees every endpoint live. */
  untilLive: (version: string, limitMs: number) => Promise<number>
  restartAgent: (runner: Runner) => Promise<void>
  restartGateway: (gateway: GatewayPlace) => Promise<void>
  /** Ends everything; throws when a process has reported a violated invariant. */
  stop: () => Promise<void>
}

/**
 * Starts a deployment with no manifest.
 *
 * @param options - Shape, sizes and faults.
 * @returns The deployment; stop it at the end.
 */
export async function createDeployment (options: DeploymentOptions): Promise<Deployment> {
  const { shape } = options
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-'))
  const table = await StandIns.TableService.createTableService()
  const objects = await StandIns.ObjectStore.createObjectStore()
  const origin = await StandIns.WeightSource.createWeightSource({ rateBytesPerSecond: options.originBytesPerSecond, ...options.origin })
  const instances = await StandIns.InstanceList.createInstanceList({ lagMs: options.instanceLagMs })
  const shared = {
    tableService: `127.0.0.1:${table.port}`,
    objectStore: `127.0.0.1:${objects.port}`,
    instanceList: `127.0.0.1:${instances.port}`,
    peerKey: PEER_KEY,
    pollMs: 200,
    logLevel: options.logLevel ?? 'info'
  }
  const register = (kind: 'gateway' | 'agent', place: Shapes.RunnerPlace, port: number, service?: string): void => {
    instances.put({ ...place, kind, host: '127.0.0.1', port, service, state: 'live' })
  }
  const violations: string[] = []
  const startWatched = async (program: 'gateway' | 'agent', settings: Readonly<Record<string, string | number>>): Promise<Processes.Running> => {
    const running = await Processes.startDaemon(program, settings)
    running.onLine(line => { if (line.msg === VIOLATION_TEXT) violations.push(`${running.name}: ${JSON.stringify(line)}`) })
    return running
  }
  const startAgent = async (place: Shapes.RunnerPlace, service: Shapes.ServiceShape, endpointPort: number): Promise<Processes.Running> => {
    const agent = await startWatched('agent', {
      ...shared,
      ...place,
      service: service.name,
      endpoint: `127.0.0.1:${endpointPort}`,
      origin: `127.0.0.1:${origin.port}`,
      ...options.agentSettings
    })
    register('agent', place, agent.port, service.name)
    return agent
  }
  const startGateway = async (place: Shapes.RunnerPlace): Promise<Processes.Running> => {
    const gateway = await startWatched('gateway', { ...shared, ...place, operatorToken: OPERATOR_TOKEN, leaseDurationMs: 2_000, ...options.gatewaySettings })
    register('gateway', place, gateway.port)
    return gateway
  }
  const startRunner = async (service: Shapes.ServiceShape, place: Shapes.RunnerPlace): Promise<Runner> => {
    const engine = service.kind === 'engine' ? await StandIns.Engine.createEngine({ capacityCount: service.maxConcurrentCount, ...options.engine }) : undefined
    const plain = service.kind === 'plain' ? await StandIns.PlainService.createPlainService(options.plain) : undefined
    const endpointPort = engine?.port ?? plain?.port ?? 0
    return { place, service, engine, plain, endpointPort, agent: await startAgent(place, service, endpointPort) }
  }
  const runners = await Promise.all(shape.services.flatMap(service => Shapes.runnersOf(shape, service).map(async place => await startRunner(service, place))))
  const gateways = await Promise.all(shape.zones.flatMap(zone => Array.from({ length: options.gatewaysPerZone ?? 1 }, async (_, index): Promise<GatewayPlace> => {
    const place = { instanceId: `gateway-${zone.name}-${index + 1}`, zone: zone.name, region: zone.region }
    return { ...place, process: await startGateway(place) }
  })))

  const ctl = async (args: readonly string[], gatewayIndex = 0): Promise<Processes.Finished> =>
    await Processes.runCtl(args, { FESCUE_GATEWAY: `127.0.0.1:${gateways[gatewayIndex]?.process.port ?? 0}`, FESCUE_TOKEN: OPERATOR_TOKEN })
  return {
    shape,
    table,
    objects,
    origin,
    instances,
    runners,
    gateways,
    makeManifest: (version, seed) => {
      const made = StandIns.WeightSource.makeWeights(seed, options.weightSizeBytes ?? 1 << 20, options.chunkSizeBytes ?? 1 << 17)
      origin.add(made)
      return Manifests.makeManifest(shape, { version, digest: made.digest, sizeBytes: made.manifest.sizeBytes })
    },
    commit: async manifest => {
      const file = Path.join(folder, 'manifest.json')
      Fs.writeFileSync(file, JSON.stringify(manifest, null, 2))
      return await ctl(['manifest', 'commit', file])
    },
    ctl,
    untilLive: async (version, limitMs) => await Wait.until(`version ${version} live everywhere`, limitMs, async () => {
      if (!runners.every(runner => runner.engine === undefined || runner.engine.state().modelVersion === version)) return false
      const seen = await Promise.all(gateways.map(async (_, index) => JSON.parse((await ctl(['status', '--json'], index)).stdout) as { endpoints: Array<{ state: string, modelVersion?: string, modelName?: string }> }))
      return seen.every(status => status.endpoints.filter(endpoint => endpoint.state === 'live' && (endpoint.modelName === undefined || endpoint.modelVersion === version)).length === runners.length)
    }),
    restartAgent: async runner => {
      await runner.agent.kill()
      runner.agent = await startAgent(runner.place, runner.service, runner.endpointPort)
    },
    restartGateway: async gateway => {
      await gateway.process.kill()
      gateway.process = await startGateway({ instanceId: gateway.instanceId, zone: gateway.zone, region: gateway.region })
    },
    stop: async () => {
      await Promise.all([...gateways.map(gateway => gateway.process), ...runners.map(runner => runner.agent)].map(async running => { await running.kill() }))
      await Promise.all([table, objects, origin, instances, ...runners.flatMap(runner => runner.engine ?? runner.plain ?? [])].map(async standIn => { await standIn.close() }))
      Fs.rmSync(folder, { recursive: true, force: true })
      if (violations.length > 0) throw new Error(`invariants were violated:\n${violations.join('\n')}`)
    }
  }
}
