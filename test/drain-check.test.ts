import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Control from '../src/control/index.ts'
import * as Edge from '../src/edge/index.ts'
import * as Changes from '../src/gateway/changes.ts'
import type * as OperatorOptions from '../src/gateway/operatorOptions.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

const SHAPE = TestKit.Shapes.CONSORTIUM
const MANIFEST = TestKit.Manifests.makeManifest(SHAPE, { version: 'v1', digest: 'a'.repeat(64), sizeBytes: 1 })
const NO_DRAINS: Schemas.Control.Drains = { zones: [], instanceIds: [] }

function reportsWith (activeCount: number): Schemas.Control.AgentReport[] {
  return SHAPE.services.flatMap(service => TestKit.Shapes.runnersOf(SHAPE, service).map(place => ({
    instanceId: place.instanceId,
    service: service.name,
    zone: place.zone,
    incarnation: 'i',
    endpointIncarnation: 'e',
    state: 'live' as const,
    role: 'mixed' as const,
    heldChunkCount: 0,
    wantedChunkCount: 0,
    limitCount: service.maxConcurrentCount,
    activeCount,
    queuedCount: 0,
    cold: false,
    versions: Control.Documents.NO_VERSIONS
  })))
}

describe('findShortfalls', () => {
  const drainsWithZone = (zone: string): Schemas.Control.Drains => Control.DrainCheck.applyChange(NO_DRAINS, { what: 'zone', name: zone, drained: true })

  it('finds no shortfall when the other zones can serve the demand', () => {
    expect(Control.DrainCheck.findShortfalls({ manifest: MANIFEST, reports: reportsWith(3), drains: drainsWithZone('imereti') })).toEqual([])
  })

  it('reports a service that would have no endpoint left', () => {
    const shortfalls = Control.DrainCheck.findShortfalls({ manifest: MANIFEST, reports: reportsWith(0), drains: drainsWithZone('kartli') })
    expect(shortfalls.map(shortfall => [shortfall.service, shortfall.refusedShare])).toEqual([['member-portal', 1]])
  })

  it('reports the share of the demand that would be refused', () => {
    const shortfalls = Control.DrainCheck.findShortfalls({ manifest: MANIFEST, reports: reportsWith(8), drains: drainsWithZone('imereti') })
    expect(shortfalls.map(shortfall => [shortfall.service, shortfall.remainingLimitCount, shortfall.demandCount, shortfall.refusedShare]))
      .toEqual([['fescue-llm', 40, 64, 1 - 40 / 64]])
  })
})

describe('applyChange', () => {
  it('drains an instance and returns it to service', () => {
    const drained = Control.DrainCheck.applyChange(NO_DRAINS, { what: 'instance', name: 'filing-api-1', drained: true })
    expect(drained.instanceIds).toEqual(['filing-api-1'])
    expect(Control.DrainCheck.applyChange(drained, { what: 'instance', name: 'filing-api-1', drained: false })).toEqual(NO_DRAINS)
  })
})

describe('changeDrain', () => {
  const PEER_KEY = 'peer-key-1'
  const servers: Edge.HttpServer.Server[] = []
  after(async () => { for (const server of servers) await server.close(0) })

  const startAgent = async (report: Schemas.Control.AgentReport): Promise<Schemas.Platform.Instance> => {
    const procedures = Edge.Rpc.router({ report: Edge.Rpc.peerProcedure.mutation(() => report) })
    const guard = Edge.Auth.createGuard({ peerKeys: () => [PEER_KEY], operatorTokens: () => [] })
    const server = await Edge.HttpServer.listen({ host: '127.0.0.1', port: 0, headersTimeoutMs: 1_000, routes: [Edge.Rpc.createRpcRoute(procedures, guard, () => {})] })
    servers.push(server)
    return { instanceId: report.instanceId, kind: 'agent', service: report.service, zone: report.zone, region: report.zone, host: '127.0.0.1', port: server.port, state: 'live' }
  }
  const drainOf = (name: string, force = false): Changes.DrainRequest => ({ what: 'zone', name, drained: true, force })

  /** A gateway before two idle endpoints in two zones; `beforeRead` runs once, after the check and before the commit reads the drains. */
  async function createGateway (beforeRead: (table: TestKit.Tables.MemoryTables) => Promise<void>) {
    const table = TestKit.Tables.createMemoryTables()
    const held = Control.Documents.createHeldDocuments()
    held.adopt({ kind: 'manifest', version: 1, body: MANIFEST })
    const reports = reportsWith(0).filter(report => ['filing-api-1', 'filing-api-2'].includes(report.instanceId))
    const instances = await Promise.all(reports.map(startAgent))
    let isPending = true
    const tables: TestKit.Tables.MemoryTables = {
      ...table,
      read: async rows => {
        if (isPending) { isPending = false; await beforeRead(table) }
        return await table.read(rows)
      }
    }
    const node = { held, instances: () => instances, adopt: held.adopt }
    const options = { node, tables, peerKey: () => PEER_KEY, log: { info: () => {}, warn: () => {} } } as unknown as OperatorOptions.OperatorOptions
    return { options, drainsInForce: () => (table.peek('control', 'drains')?.value as { body: Schemas.Control.Drains } | undefined)?.body.zones }
  }
  const drainElsewhere = async (table: TestKit.Tables.MemoryTables, name: string): Promise<void> => {
    await Control.Commits.commit(table, { kind: 'drains', nonce: name, change: body => Control.DrainCheck.applyChange((body ?? NO_DRAINS) as Schemas.Control.Drains, drainOf(name)) })
  }

  it('refuses a drain that passed its check, when another one since leaves no endpoint', async () => {
    const { options, drainsInForce } = await createGateway(async table => { await drainElsewhere(table, 'imereti') })
    const answer = await Changes.changeDrain(options, drainOf('kartli'))
    expect([answer.accepted, answer.shortfalls?.map(shortfall => shortfall.service), drainsInForce()]).toEqual([false, ['filing-api'], ['imereti']])
  })

  it('accepts it when the other one changes nothing of its check', async () => {
    const { options, drainsInForce } = await createGateway(async table => { await drainElsewhere(table, 'adjara') })
    const answer = await Changes.changeDrain(options, drainOf('kartli'))
    expect([answer.accepted, answer.version, drainsInForce()]).toEqual([true, 2, ['adjara', 'kartli']])
  })

  it('accepts it with force', async () => {
    const { options, drainsInForce } = await createGateway(async table => { await drainElsewhere(table, 'imereti') })
    const answer = await Changes.changeDrain(options, drainOf('kartli', true))
    expect([answer.accepted, drainsInForce()]).toEqual([true, ['imereti', 'kartli']])
  })
})
