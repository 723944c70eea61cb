import * as Dgram from 'node:dgram'
import { after, afterEach, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Upstream from '../src/ingress/upstream.ts'
import * as Endpoints from '../platform/endpoints.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000
/** Time in which each gateway sends news several times, in milliseconds. */
const NEWS_MS = 1_500
const DEPTH = 100_000
const BAD_PORTS: readonly unknown[] = [0, -1, 65_536, 99_999, 1e308, 1.5, '8080']

/** Text of a JSON object with a very deeply nested field beside others. */
const deepText = (fields: object = {}): Buffer => Buffer.from(`${JSON.stringify({ ...fields, depth: 0 }).slice(0, -1)},"layers":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}`)

describe('a malformed entry of another writer', () => {
  let stage: Direct.DirectStage
  let second: Direct.StartedGateway
  const list = (key: string, address: string): void => { stage.store.put('servers', key, { backend: 'plain', address, zone: 'a', version: 'v1', slots: 16, state: 'ready', cold_remaining_ms: 0, born: 1 }) }
  const isServed = async (gateway: Direct.StartedGateway): Promise<boolean> => (await gateway.call({ path: '/read/1' })).status === 200
  const untilServed = async (): Promise<void> => {
    await TestKit.Wait.until('calls are answered at both gateways', TIMEOUT_MS, async () => (await isServed(stage.first)) && await isServed(second))
  }
  /** Errors that would have ended a process. */
  const uncaughtErrors: string[] = []
  const recordUncaught = (error: Error): void => { uncaughtErrors.push(error.message) }
  before(async () => {
    process.on('uncaughtException', recordUncaught)
    stage = await Direct.startDirectStage([{ instanceId: 'plain-1', service: 'plain' }])
    second = await stage.addGateway('g2')
    await untilServed()
  })
  after(async () => {
    await stage.stop()
    process.off('uncaughtException', recordUncaught)
  })
  afterEach(() => { expect(uncaughtErrors.splice(0)).toEqual([]) })

  it('with a port out of range names neither an endpoint nor a process', () => {
    const rowOf = (value: object): Follow.Rows.Row => ({ key: 'odd', revision: 1, value, deleted: false })
    const listingOf = (port: unknown): unknown => Endpoints.listingOf(rowOf({ backend: 'plain', address: `127.0.0.1:${String(port)}`, zone: 'a', slots: 16, state: 'ready' }), () => 'ra')
    const memberOf = (port: unknown): unknown => Follow.Members.membersOf([rowOf({ name: 'odd', kind: 'gateway', host: '127.0.0.1', port, zone: 'a', region: 'ra', incarnation: 'odd' })])[0]
    expect([listingOf(8080), memberOf(8080)].map(known => known === undefined)).toEqual([false, false])
    expect(BAD_PORTS.filter(port => typeof port === 'number').flatMap(port => [listingOf(port), memberOf(port)]).filter(known => known !== undefined)).toEqual([])
  })

  for (const port of BAD_PORTS) {
    it(`does not end processes when it names the port ${String(port)} of an endpoint`, async () => {
      const runner = stage.runners[0]
      stage.store.drop('servers', runner?.instanceId ?? '')
      list('odd', `127.0.0.1:${String(port)}`)
      await TestKit.Wait.until('the endpoint is gone', TIMEOUT_MS, async () => !(await isServed(stage.first)) && !(await isServed(second)))
      const statuses = [(await stage.call({ path: '/read/1' })).status, (await second.call({ path: '/book/1' })).status]
      stage.store.drop('servers', 'odd')
      if (runner !== undefined) stage.list(runner)
      await untilServed()
      expect(statuses).toEqual([503, 503])
    })

    it(`does not end processes when it names the port ${String(port)} of a process`, async () => {
      stage.store.put(Follow.Members.MEMBERS_TABLE, 'odd', { name: 'odd', kind: 'gateway', host: '127.0.0.1', port, zone: 'a', region: 'ra', incarnation: 'odd' })
      stage.deploy({ version: 100 + BAD_PORTS.indexOf(port) })
      await TestKit.Wait.sleep(NEWS_MS)
      stage.store.drop(Follow.Members.MEMBERS_TABLE, 'odd')
      await untilServed()
    })

    it(`does not end processes when a datagram names the port ${String(port)}`, async () => {
      const socket = Dgram.createSocket('udp4')
      const load = { host: '127.0.0.1', port, activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: [] }
      await new Promise<void>(resolve => { socket.send(JSON.stringify({ sender: 'odd', revisions: {}, load }), stage.first.peerPort, '127.0.0.1', () => { resolve() }) })
      socket.close()
      await untilServed()
    })
  }

  for (const [table, key] of [['op', 'evacuate/odd'], ['op', 'version/odd'], ['servers', 'odd'], [Follow.Members.MEMBERS_TABLE, 'odd']] as const) {
    it(`does not keep other processes from following the table when ${table}/${key} is very deeply nested`, async () => {
      const cutOff = await stage.addGateway(`cut-off-${table}-${key.replace('/', '-')}`)
      await TestKit.Wait.until('the gateway serves', TIMEOUT_MS, async () => await isServed(cutOff))
      cutOff.refuse(true)
      stage.store.cut()
      stage.store.put(table, key, deepText({ backend: 'plain', address: '127.0.0.1:1', zone: 'a', slots: 1, state: 'ready', name: 'odd', kind: 'gateway', host: '127.0.0.1', port: 1, region: 'ra', incarnation: 'odd', model: 'odd', version: 1 }))
      const version = 1_000 + stage.lines.length
      stage.deploy({ version })
      await TestKit.Wait.until('the deployment is in force at the gateway that the store refuses', TIMEOUT_MS, () => cutOff.lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === version))
      stage.store.drop(table, key)
      await untilServed()
    })
  }
})

describe('a call to an address that cannot be used', () => {
  it('fails without having been sent', async () => {
    const upstream = Upstream.createUpstream()
    const failed = new Promise<string>(resolve => {
      const exchange = upstream.send({ host: '127.0.0.1', port: 99_999, method: 'GET', path: '/', rawHeaders: [], body: undefined, maxIdleMs: 1_000 }, { onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailed: resolve })
      expect(exchange.isSent()).toEqual(false)
    })
    expect(await failed).toEqual('connecting')
    upstream.close()
  })
})
