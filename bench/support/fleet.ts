/**
 * Fleets of idle processes for the benches of control: two regions with six availability zones.
 *
 * @packageDocumentation
 */
import * as Edge from '../../src/edge/index.ts'
import type * as Operators from '../../src/gateway/operators.ts'
import * as TestKit from '../../testkit/index.ts'

/** A running fleet. */
export interface Fleet {
  readonly deployment: TestKit.Deployment.Deployment
  /** Every daemon of the fleet at the moment. */
  processes: () => TestKit.Processes.Running[]
  /** Commits a manifest through a gateway and returns its version, or undefined when it was refused. */
  commit: (gatewayIndex: number, name: string) => Promise<number | undefined>
}

const ZONES = ['kartli', 'imereti', 'adjara', 'sudvestur', 'nordur', 'austur'].map((name, index) => ({ name, region: index < 3 ? 'georgia' : 'iceland' }))
const START_LIMIT_MS = 30_000
const COMMIT_TIMEOUT_MS = 10_000
const DIGEST = 'a'.repeat(64)

/**
 * Starts a fleet of plain endpoints and waits until every process is ready.
 *
 * @param gatewaysPerZone - Gateways in each zone.
 * @param agentCount - Agents in all.
 * @param pollMs - How often watchers read the store, in milliseconds.
 * @returns The fleet; stop its deployment at the end.
 */
export async function createFleet (gatewaysPerZone: number, agentCount: number, pollMs: number): Promise<Fleet> {
  const shape: TestKit.Shapes.Shape = {
    name: 'fleet',
    zones: ZONES,
    services: [{ name: 'filing-api', kind: 'plain', runnerCount: agentCount, reportsLoad: true, maxConcurrentCount: 16, routes: [{ path: '/filings', method: 'GET', idempotent: true }] }],
    workspaces: TestKit.Shapes.CONSORTIUM.workspaces
  }
  const deployment = await TestKit.Deployment.createDeployment({ shape, gatewaysPerZone, agentSettings: { pollMs }, gatewaySettings: { pollMs }, instanceLagMs: 500 })
  const processes = (): TestKit.Processes.Running[] => [...deployment.gateways.map(gateway => gateway.process), ...deployment.runners.map(runner => runner.agent)]
  const manifest = (name: string) => ({ ...TestKit.Manifests.makeManifest(shape, { version: 'v1', digest: DIGEST, sizeBytes: 1 }), name })
  const commit = async (gatewayIndex: number, name: string): Promise<number | undefined> => {
    const port = deployment.gateways[gatewayIndex % deployment.gateways.length]?.process.port ?? 0
    const client = Edge.Rpc.createClient<Operators.GatewayRouter>({ host: '127.0.0.1', port }, () => TestKit.Deployment.OPERATOR_TOKEN, COMMIT_TIMEOUT_MS)
    const answer = await client.commit.mutate({ manifest: manifest(name) }).catch(() => undefined)
    return answer?.accepted === true ? answer.version : undefined
  }
  await TestKit.Wait.until('first commit', START_LIMIT_MS, async () => await commit(0, 'first') !== undefined)
  await TestKit.Wait.until('every process is ready', START_LIMIT_MS, async () => (await Promise.all(processes().map(isReady))).every(ready => ready))
  return { deployment, processes, commit }
}

/**
 * Asks a process whether it is ready.
 *
 * @param running - The process.
 * @returns Whether it is.
 */
export async function isReady (running: TestKit.Processes.Running): Promise<boolean> {
  const answer = await Edge.HttpClient.send({ target: { host: '127.0.0.1', port: running.port }, method: 'GET', path: '/ready', timeoutMs: 2_000 }).catch(() => undefined)
  return answer?.status === 200
}
