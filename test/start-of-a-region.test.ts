import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Link from '../standins/link.ts'
import * as Direct from '../testkit/direct.ts'
import * as Fleet from '../testkit/fleet.ts'
import * as TestKit from '../testkit/index.ts'

const REGION = 'rb'
const GATEWAY_NAMES = ['g2', 'g3', 'g4', 'g5']
const AGENT_NAMES = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']
/** Routes of a deployment whose row has some 200 KB, as after a day of changes. */
const ROUTE_COUNT = 800
/** A border between regions, in bytes per second: it bears two copies of the row in the time that a neighbour is waited for, and not ten. */
const BORDER_BYTES_PER_SECOND = 500_000
/** A border over which two copies take longer than processes wait for neighbours that do not listen yet, in bytes per second. */
const SLOW_BORDER_BYTES_PER_SECOND = 200_000
/** Entries of other regions; ten copies of the list take 1.5 s on the slow border. */
const OTHER_PROCESS_COUNT = 100
const TIMEOUT_MS = 15_000

type Line = { readonly sentence: string, readonly fields: Readonly<Record<string, any>> }

describe('a region whose processes all start at once', () => {
  const stops: Array<() => Promise<void>> = []
  afterEach(async () => { for (const stop of stops.splice(0).reverse()) await stop() })

  const untilInForce = async (processes: ReadonlyArray<{ readonly lines: readonly Line[] }>): Promise<void> => {
    await TestKit.Wait.until('the deployment is in force', TIMEOUT_MS, () => processes.every(({ lines }) => lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === 2)))
  }
  /** Starts the processes behind a full border; their entries of before they lost power are still listed, and those of `deadNames` do not come back. */
  const startRegion = async (deadNames: readonly string[] = [], borderBytesPerSecond = BORDER_BYTES_PER_SECOND, otherProcessCount = 0): Promise<{ readonly readCount: () => number, readonly processes: ReadonlyArray<{ readonly lines: readonly Line[] }> }> => {
    const stage = await Direct.startDirectStage([])
    stops.push(stage.stop)
    const deployment = Direct.deploymentOf({ origin: '127.0.0.1:9' }) as { routes: object[] }
    const routes = Array.from({ length: ROUTE_COUNT }, (_, at) => ({ ...deployment.routes[at % deployment.routes.length], name: `r${at}`, prefix: `/r${at}/` }))
    stage.deploy({ ...deployment, version: 2, routes })
    await untilInForce([stage.first])
    const ports = new Map<string, number>()
    for (const name of GATEWAY_NAMES) {
      const port = await Direct.freePort()
      ports.set(name, port)
      stage.store.put(Follow.Members.MEMBERS_TABLE, name, { name, kind: 'gateway', host: '127.0.0.1', port, zone: 'b', region: REGION, incarnation: 'before' })
    }
    for (let at = 0; at < otherProcessCount; at++) stage.store.put(Follow.Members.MEMBERS_TABLE, `other-${at}`, { name: `other-${at}`, kind: 'agent', host: '127.0.0.1', port: 1, zone: 'c', region: 'rc', incarnation: 'before' })
    const fleet = Fleet.createFleet({ store: stage.store, model: 'm', chunkCount: 1, chunkBytes: 1, linkBitsPerSecond: 1e9, versionMs: 8_000, isOriginUp: () => false })
    stage.store.faults.link = Link.createLink(borderBytesPerSecond)
    const isConfig = (read: { readonly table: string, readonly keys: readonly string[] }): boolean => read.table === 'op' && read.keys.includes('config')
    const countBefore = stage.store.reads.filter(isConfig).length
    const [agents, gateways] = await Promise.all([
      Promise.all(AGENT_NAMES.map(async name => await fleet.start(name, REGION, {}))),
      Promise.all(GATEWAY_NAMES.filter(name => !deadNames.includes(name)).map(async name => await stage.addGateway(name, { region: REGION, zone: 'b', port: ports.get(name) ?? 0 })))
    ])
    stops.push(...agents.map(agent => agent.stop))
    return { readCount: () => stage.store.reads.filter(isConfig).length - countBefore, processes: [...agents, ...gateways] }
  }

  it('draws the deployment over the border once for each reader', async () => {
    const { readCount, processes } = await startRegion()
    await untilInForce(processes)
    expect(readCount()).toEqual(Follow.Shared.READER_COUNT)
  })

  it('draws it so also where that takes longer than a process waits for others that start', async () => {
    const { readCount, processes } = await startRegion([], SLOW_BORDER_BYTES_PER_SECOND)
    await untilInForce(processes)
    expect(readCount()).toEqual(Follow.Shared.READER_COUNT)
  })

  it('draws it so also where the list of processes takes longer than a second', async () => {
    const { readCount, processes } = await startRegion([], SLOW_BORDER_BYTES_PER_SECOND, OTHER_PROCESS_COUNT)
    await untilInForce(processes)
    expect(readCount()).toEqual(Follow.Shared.READER_COUNT)
  })

  it('draws it once while one of the readers stays gone', async () => {
    const [dead = ''] = Follow.Shared.readersOf(REGION, GATEWAY_NAMES)
    const { readCount, processes } = await startRegion([dead])
    await untilInForce(processes)
    expect(readCount()).toEqual(Follow.Shared.READER_COUNT - 1)
  })

  it('does without the readers while both stay gone', async () => {
    const { processes } = await startRegion(Follow.Shared.readersOf(REGION, GATEWAY_NAMES))
    await untilInForce(processes)
  })
})
