import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import type * as Follow from '../src/follow/index.ts'
import * as Store from '../platform/store.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

/** Time within which a change has to be in force, in milliseconds. */
const BOUND_MS = 3_000
/** Time within which gateways know one another, in milliseconds. */
const SETTLE_MS = 15_000
const BITS_PER_BYTE = 8
const ROUTE_COUNT = 1_680

/** How a store treats the reads of one gateway. */
type StoreState = 'reachable' | 'refusing' | 'silent'
type Line = Direct.DirectStage['lines'][number]

const versionOf = (lines: readonly Line[]): number => lines.filter(line => line.sentence === 'Deployment in force.').at(-1)?.fields.version ?? 0

describe('a deployment of many routes', () => {
  const closes: Array<() => Promise<void>> = []
  afterEach(async () => { for (const close of closes.splice(0).reverse()) await close() })

  const startLink = async (stage: Direct.DirectStage, linkMbps: number): Promise<TestKit.SlowProxy.SlowProxy> => {
    const link = await TestKit.SlowProxy.createSlowProxy(stage.first.peerPort, linkMbps * 1e6 / BITS_PER_BYTE)
    closes.push(link.close)
    return link
  }
  /** Starts a gateway in a region of its own that reaches the first one only over a link. */
  const startFarGateway = async (stage: Direct.DirectStage, proxy: TestKit.SlowProxy.SlowProxy, name = 'far'): Promise<{ readonly gateway: Direct.StartedGateway, setStore: (state: StoreState) => void }> => {
    const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: stage.store.port }))
    let state: StoreState = 'reachable'
    const overLink = (row: Follow.Rows.Row): Follow.Rows.Row => row.key === 'g1' && row.value !== undefined ? { ...row, value: { ...row.value as object, port: proxy.port } } : row
    const answers: Record<StoreState, (read: ReturnType<Follow.Rows.RowSource['readAll']>) => ReturnType<Follow.Rows.RowSource['readAll']>> = {
      reachable: async read => (await read).map(page => ({ ...page, rows: page.rows.map(overLink) })),
      refusing: async () => Neverthrow.err({ kind: 'unavailable', reason: 'status 503' }),
      silent: async () => await new Promise<never>(() => {})
    }
    const answer = async (read: ReturnType<Follow.Rows.RowSource['readAll']>): ReturnType<Follow.Rows.RowSource['readAll']> => await read.then(async () => await answers[state](read))
    const gateway = await stage.addGateway(name, {
      region: `region of ${name}`,
      zone: `zone of ${name}`,
      store: { ...source, readAll: async (...args) => await answer(source.readAll(...args)), readSince: async (...args) => await answer(source.readSince(...args)) }
    })
    return { gateway, setStore: next => { state = next } }
  }
  const deployRoutes = (stage: Direct.DirectStage, version: number): void => {
    const { routes, ...deployment } = Direct.deploymentOf({ origin: '127.0.0.1:9' }) as { routes: object[] }
    const added = Array.from({ length: ROUTE_COUNT }, (_, at) => ({ ...routes[3], name: `added-${at}`, prefix: `/added/${at}/`, hostname: at === 0 ? 'h' : `host-${at}.example` }))
    stage.deploy({ ...deployment, version, routes: [...routes, ...added] })
  }

  for (const state of ['refusing', 'silent'] as const) {
    for (const linkMbps of [17, 5, 2.5]) {
      it(`is in force in time at a gateway whose store is ${state} and whose link to the others carries ${linkMbps} Mbit/s`, async () => {
        const stage = await Direct.startDirectStage([])
        closes.push(stage.stop)
        const { gateway, setStore } = await startFarGateway(stage, await startLink(stage, linkMbps))
        await TestKit.Wait.until('the gateway knows the first one', SETTLE_MS, () => versionOf(gateway.lines) === 1)
        await TestKit.Wait.sleep(2_500)
        setStore(state)
        deployRoutes(stage, 2)
        await TestKit.Wait.until('the deployment is in force at the first gateway', BOUND_MS, () => versionOf(stage.lines) === 2)
        await TestKit.Wait.until('the deployment is in force at the far gateway', BOUND_MS, () => versionOf(gateway.lines) === 2)
        expect(versionOf(gateway.lines)).toEqual(2)
      })
    }
  }

  it('is in force in time at six gateways that the store refuses and that share a link of 5 Mbit/s to the only one that has it', async () => {
    const stage = await Direct.startDirectStage([])
    closes.push(stage.stop)
    const link = await startLink(stage, 5)
    const far = await Promise.all(Array.from({ length: 6 }, async (_, at) => await startFarGateway(stage, link, `far-${at}`)))
    const isInForce = (version: number): boolean => far.every(({ gateway }) => versionOf(gateway.lines) === version)
    await TestKit.Wait.until('the gateways know the first one', SETTLE_MS, () => isInForce(1))
    await TestKit.Wait.sleep(2_500)
    for (const { setStore } of far) setStore('refusing')
    deployRoutes(stage, 2)
    await TestKit.Wait.until('the deployment is in force at the first gateway', BOUND_MS, () => versionOf(stage.lines) === 2)
    await TestKit.Wait.until('the deployment is in force at the far gateways', BOUND_MS, () => isInForce(2))
    expect(far.map(({ gateway }) => versionOf(gateway.lines))).toEqual(far.map(() => 2))
  })

  it('makes a gateway that has not got it yet refuse calls for now that the one before does not allow', async () => {
    const stage = await Direct.startDirectStage([])
    closes.push(stage.stop)
    const { gateway, setStore } = await startFarGateway(stage, await startLink(stage, 0.05))
    await TestKit.Wait.until('the gateway is in force', SETTLE_MS, () => versionOf(gateway.lines) === 1)
    const statusesOf = async (): Promise<readonly number[]> => [(await gateway.call({ path: '/added/0/1' })).status, (await gateway.call({ path: '/read/1', key: 'unknown' })).status]
    await TestKit.Wait.sleep(2_500)
    expect(await statusesOf()).toEqual([404, 401])
    setStore('refusing')
    deployRoutes(stage, 2)
    await TestKit.Wait.until('the gateway has heard of the deployment', BOUND_MS, async () => (await statusesOf()).every(status => status === 503))
    const answer = await gateway.call({ path: '/added/0/1' })
    expect([answer.status, JSON.parse(answer.text).error, Number(answer.headers['retry-after'] ?? 0) >= 0]).toEqual([503, 'outdated', true])
    setStore('reachable')
    await TestKit.Wait.until('the gateway has the deployment', SETTLE_MS, () => versionOf(gateway.lines) === 2)
    await TestKit.Wait.until('unknown keys are denied', BOUND_MS, async () => (await statusesOf())[1] === 401)
  })
})
