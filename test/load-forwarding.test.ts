import * as Dgram from 'node:dgram'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Direct from '../testkit/direct.ts'
import * as Fleet from '../testkit/fleet.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 10_000
const TURN_COUNT = 40
/** Gateways of the stage with the one that joins; no other process reads the store for a change of the list. */
const GATEWAY_COUNT = 5

type Process = Pick<Follow.Members.Member, 'name' | 'kind' | 'zone'>

/** Creates the processes of a deployment: gateways and agents in each of its zones. */
const processesOf = (zoneCount: number, gatewayCount: number, agentCount: number): Process[] => Array.from({ length: zoneCount }, (_, zone) => [
  ...Array.from({ length: gatewayCount }, (_, at): Process => ({ name: `g${zone}-${at}`, kind: 'gateway', zone: `z${zone}` })),
  ...Array.from({ length: agentCount }, (_, at): Process => ({ name: `a${zone}-${at}`, kind: 'agent', zone: `z${zone}` }))
]).flat()

/** Counts the messages with loads of other zones that reach a gateway in a turn, by turn. */
const messagesByTurn = (processes: readonly Process[], receiver: Process): number[] => {
  const senders = processes.filter(({ kind, zone }) => kind === 'gateway' && zone !== receiver.zone)
  const forwarders = new Map([...new Set(senders.map(({ zone }) => zone))].map(zone => [zone, Follow.LoadForwarding.forwardersOf(zone, processes)]))
  return Array.from({ length: TURN_COUNT }, (_, turn) => senders.filter(({ name, zone }) => Follow.LoadForwarding.receiversIn(forwarders.get(zone) ?? new Map(), name, turn).has(receiver.name)).length)
}

describe('LoadForwarding', () => {
  it('sends each gateway one message of each other zone in a turn, however many gateways and agents there are', () => {
    for (const [gatewayCount, agentCount] of [[3, 5], [7, 17], [60, 300]] as const) {
      const processes = processesOf(5, gatewayCount, agentCount)
      expect(new Set(messagesByTurn(processes, processes[0] as Process))).toEqual(new Set([4]))
    }
  })

  it('reaches each gateway in every other turn while one forwarder of the zone is gone', () => {
    const processes = processesOf(2, 7, 17)
    const forwarders = Follow.LoadForwarding.forwardersOf('z1', processes)
    for (const { name, kind, zone } of processes) {
      if (kind !== 'gateway' || zone !== 'z0') continue
      const [dead, other = ''] = forwarders.get(name) ?? []
      const turns = [0, 1].filter(turn => Follow.LoadForwarding.receiversIn(forwarders, other, turn).has(name))
      expect([dead !== other, turns.length]).toEqual([true, 1])
    }
  })

  it('leaves a zone with fewer than three gateways to its agents', () => {
    const processes = processesOf(3, 2, 3)
    expect([Follow.LoadForwarding.isForwarded('z0', processes), Follow.LoadForwarding.forwardersOf('z0', processes).size]).toEqual([false, 0])
  })
})

describe('a zone with three gateways', () => {
  const stops: Array<() => Promise<void>> = []
  afterEach(async () => { for (const stop of stops.splice(0).reverse()) await stop() })
  const startZone = async (): Promise<{ readonly stage: Direct.DirectStage, readonly zoneGateways: readonly Direct.StartedGateway[], readonly far: Direct.StartedGateway }> => {
    const stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm', eventMs: 5, eventCount: 3 }])
    stops.push(stage.stop)
    const zoneGateways = [stage.first, await stage.addGateway('g2'), await stage.addGateway('g3')]
    const far = await stage.addGateway('far', { zone: 'b', region: 'rb' })
    await TestKit.Wait.until('all gateways know the endpoint', TIMEOUT_MS, () => [...zoneGateways, far].every(({ lines }) => ['Deployment in force.', 'Endpoint listed.'].every(sentence => lines.some(line => line.sentence === sentence))))
    return { stage, zoneGateways, far }
  }

  it('tells a gateway of another zone the load that an agent told the gateways of its own', async () => {
    const { stage, zoneGateways, far } = await startZone()
    const socket = Dgram.createSocket('udp4')
    const load: Follow.News.LoadNews = { host: '127.0.0.1', port: stage.runners[0]?.port ?? 0, activeCount: 9, queuedCount: 2, pace: 1, loading: false, weights: [{ model: 'm', version: 1 }] }
    const timer = setInterval(() => { for (const { peerPort } of zoneGateways) socket.send(JSON.stringify({ sender: 'a1', revisions: {}, load }), peerPort, '127.0.0.1') }, 100)
    stops.push(async () => {
      clearInterval(timer)
      socket.close()
    })
    const busyCounts = (): unknown[] => far.lines.filter(line => line.sentence === 'Call sent.').map(line => line.fields['busyCount'])
    const callTimer = setInterval(() => { void far.call() }, 200)
    try {
      await TestKit.Wait.until('the other zone knows the load', TIMEOUT_MS, () => busyCounts().some(count => Number(count) >= 11))
    } finally {
      clearInterval(callTimer)
    }
  })

  it('has its agents follow the list of processes without reading the store again', async () => {
    const { stage } = await startZone()
    const fleet = Fleet.createFleet({ store: stage.store, model: 'm', chunkCount: 1, chunkBytes: 1, linkBitsPerSecond: 1e9, versionMs: 8_000, isOriginUp: () => false })
    const agents = await Promise.all(['a1', 'a2', 'a3', 'a4', 'a5', 'a6'].map(async name => await fleet.start(name, 'ra', {})))
    stops.push(...agents.map(agent => agent.stop))
    await TestKit.Wait.sleep(3_000)
    await stage.addGateway('g4')
    const isFromGateway = (line: { readonly sentence: string, readonly fields: Readonly<Record<string, any>> }): boolean => line.sentence === 'Rows come from elsewhere.' && line.fields['table'] === Follow.Members.MEMBERS_TABLE && line.fields['source'] !== 'store'
    await TestKit.Wait.until('the agents have read the new entry from gateways', TIMEOUT_MS, () => agents.every(({ lines }) => lines.some(isFromGateway)))
    expect(stage.store.reads.filter(read => read.table === Follow.Members.MEMBERS_TABLE && read.keys.includes('g4')).length).toBeLessThanOrEqual(GATEWAY_COUNT)
  })
})
