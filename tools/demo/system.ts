/**
 * A deployment in which every part is a process of its own, stand-ins included.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Path from 'node:path'
import * as HttpClient from '../../src/edge/httpClient.ts'
import * as TestKit from '../../testkit/index.ts'

/** An endpoint process and the agent beside it. */
export interface RunnerProcess {
  readonly place: TestKit.Shapes.RunnerPlace
  readonly service: TestKit.Shapes.ServiceShape
  readonly endpoint: TestKit.Processes.Running
  readonly agent: TestKit.Processes.Running
}

/** A gateway process and its availability zone. */
export interface GatewayProcess {
  readonly zone: string
  readonly process: TestKit.Processes.Running
}

/** The running system. */
export interface System {
  readonly shape: TestKit.Shapes.Shape
  readonly operatorToken: string
  readonly table: TestKit.Processes.Running
  readonly origin: TestKit.Processes.Running
  readonly runners: readonly RunnerProcess[]
  readonly gateways: readonly GatewayProcess[]
  ctl: (args: readonly string[]) => Promise<TestKit.Processes.Finished>
  stop: () => Promise<void>
}

/** Settings of the demo's stand-ins. */
export interface SystemOptions {
  readonly shape: TestKit.Shapes.Shape
  readonly originBytesPerSecond: number
}

const STANDIN = Path.join(TestKit.Processes.ROOT, 'dist', 'standin.js')
const COLD_MS = 500
const TOKEN_MS = 5
const INSTANCE_LAG_MS = 500
const REQUEST_TIMEOUT_MS = 5_000

/**
 * Starts every process of a deployment.
 *
 * @param options - Shape and rates.
 * @returns The running system; stop it at the end.
 */
export async function startSystem (options: SystemOptions): Promise<System> {
  const { shape } = options
  const operatorToken = Crypto.randomBytes(12).toString('hex')
  const peerKey = Crypto.randomBytes(24).toString('hex')
  const started: TestKit.Processes.Running[] = []
  const standIn = async (kind: string, ...flags: string[]): Promise<TestKit.Processes.Running> => {
    const running = await TestKit.Processes.start({ name: kind, args: [STANDIN, kind, ...flags] })
    started.push(running)
    return running
  }
  const [table, objects, instances, origin] = await Promise.all([
    standIn('table'),
    standIn('objects'),
    standIn('instances', '--lag-ms', String(INSTANCE_LAG_MS)),
    standIn('weights', '--rate-bytes-per-second', String(options.originBytesPerSecond))
  ])
  const shared = {
    tableService: `127.0.0.1:${table.port}`,
    objectStore: `127.0.0.1:${objects.port}`,
    instanceList: `127.0.0.1:${instances.port}`,
    peerKey
  }
  const register = async (kind: string, place: TestKit.Shapes.RunnerPlace, port: number, service?: string): Promise<void> => {
    const instance = { ...place, kind, host: '127.0.0.1', port, service, state: 'live' }
    await request(instances.port, 'PUT', `/instances/${place.instanceId}`, instance)
  }
  const startRunner = async (service: TestKit.Shapes.ServiceShape, place: TestKit.Shapes.RunnerPlace): Promise<RunnerProcess> => {
    const endpoint = service.kind === 'engine'
      ? await standIn('engine', '--capacity-count', String(service.maxConcurrentCount), '--cold-capacity-count', '2', '--cold-ms', String(COLD_MS), '--token-ms', String(TOKEN_MS))
      : await standIn('plain', '--work-ms', '5')
    const agent = await TestKit.Processes.startDaemon('agent', {
      ...shared,
      ...place,
      service: service.name,
      endpoint: `127.0.0.1:${endpoint.port}`,
      origin: `127.0.0.1:${origin.port}`
    })
    started.push(agent)
    await register('agent', place, agent.port, service.name)
    return { place, service, endpoint, agent }
  }
  const startGateway = async (zone: { name: string, region: string }): Promise<GatewayProcess> => {
    const place = { instanceId: `gateway-${zone.name}`, zone: zone.name, region: zone.region }
    const gateway = await TestKit.Processes.startDaemon('gateway', { ...shared, ...place, operatorToken })
    started.push(gateway)
    await register('gateway', place, gateway.port)
    return { zone: zone.name, process: gateway }
  }
  const runners = await Promise.all(shape.services.flatMap(service => TestKit.Shapes.runnersOf(shape, service).map(async place => await startRunner(service, place))))
  const gateways = await Promise.all(shape.zones.map(startGateway))
  return {
    shape,
    operatorToken,
    table,
    origin,
    runners,
    gateways,
    ctl: async args => await TestKit.Processes.runCtl(args, { FESCUE_GATEWAY: `127.0.0.1:${gateways[0]?.process.port ?? 0}`, FESCUE_TOKEN: operatorToken }),
    stop: async () => {
      await Promise.all([...gateways.map(gateway => gateway.process), ...runners.map(runner => runner.agent)].map(async running => await running.stop()))
      await Promise.all(started.map(async running => { await running.kill() }))
    }
  }
}

/**
 * Asks a stand-in with JSON.
 *
 * @param port - The stand-in's port.
 * @param method - The HTTP method.
 * @param path - The path.
 * @param value - The value to send, if any.
 * @returns The answer's value.
 */
export async function request (port: number, method: string, path: string, value?: unknown): Promise<any> {
  return (await HttpClient.sendJson({ host: '127.0.0.1', port }, method, path, value, REQUEST_TIMEOUT_MS)).value
}
