import * as Http from 'node:http'
import type * as Net from 'node:net'
import { after, afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Filling from '../src/filling/index.ts'
import * as Follow from '../src/follow/index.ts'
import * as Operators from '../platform/operators.ts'
import * as Store from '../platform/store.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

/** Time within which a change has to be in force, in milliseconds. */
const BOUND_MS = 3_000
/** Time within which reads that began before the other processes were known end, in milliseconds. */
const SETTLE_MS = 15_000
const REGION = 'ra'

const row = (key: string, revision: number, value: unknown = {}, deleted = false): Follow.Rows.Row => ({ key, revision, value, deleted })
const memberOf = (name: string, port = 1): Follow.Members.Member => ({ name, kind: 'gateway', host: '127.0.0.1', port, zone: 'a', region: REGION, incarnation: name })
const readerOrderOf = (names: readonly string[]): string[] => Core.Hash.rendezvous(`readers of ${REGION}`, names)
/** Creates names that rank before others in the order of readers. */
const namesBefore = (count: number, others: readonly string[]): string[] => {
  const names: string[] = []
  for (let at = 0; names.length < count; at++) if (readerOrderOf([`before-${at}`, ...others])[0] === `before-${at}`) names.push(`before-${at}`)
  return names
}

type Line = { readonly sentence: string, readonly fields: Readonly<Record<string, any>> }
const versionOf = (lines: readonly Line[]): number => lines.filter(line => line.sentence === 'Deployment in force.').at(-1)?.fields.version ?? 0
const sourceOf = (lines: readonly Line[]): string => lines.filter(line => line.sentence === 'Rows come from elsewhere.' && line.fields.table === 'op').at(-1)?.fields.source ?? ''
const untilInForce = async (version: number, gateways: ReadonlyArray<{ readonly lines: readonly Line[] }>, limitMs = BOUND_MS): Promise<void> => {
  await TestKit.Wait.until(`version ${version} is in force`, limitMs, () => gateways.every(gateway => versionOf(gateway.lines) === version))
}

describe('rankNeighbours', () => {
  const gateways = ['g1', 'g2', 'g3', 'g4', 'g5'].map(name => memberOf(name))
  const neighboursOf = (own: string): string[] => Follow.Shared.rankNeighbours(own, REGION, gateways.filter(member => member.name !== own), gateways.some(member => member.name === own)).map(member => member.name)
  const readers = readerOrderOf(gateways.map(member => member.name)).slice(0, Follow.Shared.READER_COUNT)

  it('lets two gateways read the store, and the others read from these first', () => {
    expect(gateways.map(member => member.name).filter(name => neighboursOf(name).length === 0)).toEqual([...readers].sort())
    for (const name of ['g1', 'g2', 'g3', 'g4', 'g5', 'agent-1', 'agent-2'].filter(name => !readers.includes(name))) expect(neighboursOf(name).slice(0, 2).sort()).toEqual([...readers].sort())
  })

  it('spreads agents over the readers', () => {
    const firstChoices = Array.from({ length: 40 }, (_, at) => neighboursOf(`agent-${at}`)[0] ?? '')
    expect(readers.map(name => firstChoices.filter(first => first === name).length > 10)).toEqual([true, true])
  })

  it('lets an agent without gateways read the store', () => {
    expect(Follow.Shared.rankNeighbours('agent-1', REGION, [], false)).toEqual([])
  })
})

describe('Mirror', () => {
  it('keeps rows that are newer than an older snapshot', () => {
    const mirror = Follow.Rows.createMirror()
    mirror.applySnapshot({ rows: [row('a', 5), row('b', 6)], revision: 6, madeAtMs: 60 })
    mirror.apply({ rows: [row('a', 9, { newer: true }), row('c', 8), row('b', 8, undefined, true)], revision: 9, madeAtMs: 90 })
    expect(mirror.applySnapshot({ rows: [row('a', 5), row('b', 6)], revision: 7, madeAtMs: 70 })).toEqual([])
    expect([mirror.live().map(live => live.key), mirror.revision(), mirror.madeAtMs()]).toEqual([['a', 'c'], 9, 90])
  })
})

describe('Relay', () => {
  const closes: Array<() => Promise<void>> = []
  const serve = async (changes: Partial<Follow.Relay.RelayedTable> = {}): Promise<{ mirror: Follow.Rows.Mirror, arrive: () => void, close: () => void, read: (after: number | undefined, waitMs?: number, isPart?: boolean, onArriving?: () => void) => ReturnType<typeof Follow.Relay.longPoll> }> => {
    const mirror = Follow.Rows.createMirror()
    const listeners = new Set<() => void>()
    const entry: Follow.Relay.RelayedTable = {
      mirror,
      isKnown: () => true,
      partOf: whole => ({ ...whole, value: 'part' }),
      longPolling: { refusal: () => undefined, onArriving: listener => { listeners.add(listener); return () => { listeners.delete(listener) } } },
      ...changes
    }
    const relay = Follow.Relay.createRelayRoute(table => table === 't' ? entry : undefined)
    const server = await HttpServer.listen({ host: '127.0.0.1', port: 0, headersTimeoutMs: 1_000, routes: [relay.route] })
    closes.push(async () => { await server.close(0) })
    return {
      mirror,
      arrive: () => { for (const listener of listeners) listener() },
      close: relay.close,
      read: async (after, waitMs = 5_000, isPart = false, onArriving = () => {}) => await Follow.Relay.longPoll({ target: { host: '127.0.0.1', port: server.port }, table: 't', after, waitMs, isPart, onArriving })
    }
  }
  afterEach(async () => { for (const close of closes.splice(0)) await close() })
  const keysOf = async (read: ReturnType<typeof Follow.Relay.longPoll>): Promise<unknown> =>
    (await read).match(page => [page.rows.map(pageRow => pageRow.key), page.revision, page.madeAtMs], failure => failure.kind === 'historyGone' ? failure.kind : failure.reason)

  it('holds a read until a row changes', async () => {
    const { mirror, read } = await serve()
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6, madeAtMs: 60 })
    let arrivedCount = 0
    const held = read(6, 5_000, false, () => { arrivedCount++ })
    await TestKit.Wait.until('the read is held', BOUND_MS, () => arrivedCount > 0)
    mirror.apply({ rows: [], revision: 7, madeAtMs: 70 })
    mirror.apply({ rows: [row('b', 8)], revision: 8, madeAtMs: 80 })
    expect(await keysOf(held)).toEqual([['b'], 8, 80])
  })

  it('ends a held read without rows when its wait is over', async () => {
    const { mirror, read } = await serve()
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6, madeAtMs: 60 })
    expect(await keysOf(read(6, 10))).toEqual([[], 6, 60])
  })

  it('sends no changes where removals may be missing', async () => {
    const { mirror, read } = await serve()
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6, madeAtMs: 60 })
    expect(await keysOf(read(5))).toEqual('historyGone')
    expect(await keysOf(read(undefined))).toEqual([['a'], 6, 60])
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 9, madeAtMs: 90 })
    expect(await keysOf(read(6))).toEqual('historyGone')
  })

  it('sends rows from other processes that are newer than its own page neither as changes nor with a time', async () => {
    const { mirror, read } = await serve()
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6, madeAtMs: 60 })
    mirror.apply({ rows: [row('b', 8)], revision: 0 })
    expect(await keysOf(read(6, 50))).toEqual([[], 6, undefined])
    expect(await keysOf(read(undefined))).toEqual([['a', 'b'], 6, undefined])
    let arrivedCount = 0
    const held = read(6, 5_000, false, () => { arrivedCount++ })
    await TestKit.Wait.until('the read is held', BOUND_MS, () => arrivedCount > 0)
    mirror.apply({ rows: [row('b', 8)], revision: 8, madeAtMs: 80 })
    expect(await keysOf(held)).toEqual([['b'], 8, 80])
  })

  it('sends a keep-alive byte at once, and again while rows arrive', async () => {
    const { mirror, read, arrive } = await serve()
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6 })
    let arrivedCount = 0
    const held = read(6, 1_000, false, () => { arrivedCount++ })
    await TestKit.Wait.until('the first keep-alive byte', BOUND_MS, () => arrivedCount === 1)
    await TestKit.Wait.sleep(200)
    arrive()
    await TestKit.Wait.until('the next keep-alive byte', BOUND_MS, () => arrivedCount === 2)
    await held
  })

  it('refuses a table that it does not know, does not read from the store, or holds only in part', async () => {
    const cases: ReadonlyArray<readonly [Partial<Follow.Relay.RelayedTable>, boolean]> = [
      [{ isKnown: () => false }, false],
      [{ longPolling: { refusal: () => 'indirect', onArriving: () => () => {} } }, false],
      [{ longPolling: { refusal: () => 'lost', onArriving: () => () => {} } }, false],
      [{ isPart: true }, false],
      [{ isPart: true }, true]
    ]
    const answers: unknown[] = []
    for (const [changes, isPart] of cases) {
      const { mirror, read } = await serve(changes)
      mirror.applySnapshot({ rows: [row('a', 5)], revision: 6 })
      answers.push(await keysOf(read(undefined, 0, isPart)))
    }
    expect(answers).toEqual(['unknown', 'indirect', 'lost', 'unknown', [['a'], 6, undefined]])
  })

  it('refuses when it stopped reading from the store while it held a read', async () => {
    let refusal: Follow.Relay.Refusal | undefined
    const { mirror, read } = await serve({ longPolling: { refusal: () => refusal, onArriving: () => () => {} } })
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6 })
    const held = read(6, 200)
    setTimeout(() => { refusal = 'indirect' }, 50)
    expect(await keysOf(held)).toEqual('indirect')
  })

  it('times out early where a process does not confirm that it holds the read', async () => {
    const server = Http.createServer(() => {})
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    closes.push(async () => {
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
    })
    let kind: string | undefined
    void Follow.Relay.longPoll({ target: { host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port }, table: 't', after: 1, waitMs: 10_000, isPart: false, onArriving: () => {} })
      .then(answer => { kind = answer.isErr() ? answer.error.kind : 'rows' })
    await TestKit.Wait.until('the read times out', BOUND_MS, () => kind === 'silent')
  })

  it('ends held reads when it closes', async () => {
    const { mirror, read, close } = await serve()
    mirror.applySnapshot({ rows: [row('a', 5)], revision: 6 })
    let arrivedCount = 0
    const held = read(6, 5_000, false, () => { arrivedCount++ })
    await TestKit.Wait.until('the read is held', BOUND_MS, () => arrivedCount > 0)
    close()
    expect(await keysOf(held)).toEqual('stopping')
  })
})

describe('a read from other processes', () => {
  const closes: Array<() => Promise<void>> = []
  afterEach(async () => { for (const close of closes.splice(0)) await close() })
  const page = (keys: readonly string[]): string => JSON.stringify({ known: true, revision: 9, rows: keys.map(key => row(key, 9)) })
  /** Serves a page in pieces. */
  const servePage = async (name: string, text: string, pieceCount = 1, pieceMs = 0, firstPieceMs = 0): Promise<Follow.Relay.Peer & { readonly requestCount: () => number }> => {
    let requestCount = 0
    const server = Http.createServer((_request, response) => {
      requestCount++
      const pieceLength = Math.ceil(text.length / pieceCount)
      const write = (at: number): void => {
        if (at >= text.length) { response.end(); return }
        response.write(text.slice(at, at + pieceLength))
        setTimeout(() => { write(at + pieceLength) }, pieceMs)
      }
      setTimeout(() => { write(0) }, firstPieceMs)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    closes.push(async () => {
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
    })
    return { name, host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port, requestCount: () => requestCount }
  }
  const ask = async (groups: ReadonlyArray<readonly Follow.Relay.Peer[]>, holders: readonly string[] = []): Promise<readonly string[] | undefined> => {
    const reader = Follow.Relay.createPeerReader({ peers: () => groups, random: Core.Random.createRandom(1), isPart: false, metrics: Metrics.createMetrics(), log: () => {} })
    return (await reader('t', 1, new Set(holders)))?.rows.map(pageRow => pageRow.key)
  }

  it('takes rows that arrive slowly, and asks nobody else meanwhile', async () => {
    const [slow, other] = [await servePage('slow', page(['a']), 7, 200), await servePage('other', page(['b']))]
    expect([await ask([[slow], [other]]), other.requestCount()]).toEqual([['a'], 0])
  })

  it('takes rows however long they arrive, where no other process has them', async () => {
    expect(await ask([[await servePage('slow', page(['a']), 7, 700)]])).toEqual(['a'])
  })

  it('asks another process beside a slow one well before that answers', async () => {
    const [slow, other] = [await servePage('slow', page(['a']), 1, 0, 2_000), await servePage('other', page(['b']))]
    expect(await ask([[slow], [other]])).toEqual(['b'])
  })

  it('asks another process beside one that does not answer, and takes the first answer', async () => {
    const [silent, other] = [await servePage('silent', page(['a']), 1, 0, 60_000), await servePage('other', page(['b']))]
    const startedAtMs = performance.now()
    expect(await ask([[silent], [other]])).toEqual(['b'])
    expect(performance.now() - startedAtMs < BOUND_MS).toEqual(true)
  })

  it('takes the late answer of a process whose link is full where no other has the rows', async () => {
    const [late, gone] = [await servePage('late', page(['a']), 1, 0, 1_200), { name: 'gone', host: '127.0.0.1', port: await Direct.freePort() }]
    expect(await ask([[late], [gone]])).toEqual(['a'])
  })

  it('does not wait for a process that sends a byte now and then', async () => {
    const [trickling, other] = [await servePage('trickling', page(['a']), 1_000, 300), await servePage('other', page(['b']))]
    expect(await ask([[trickling], [other]])).toEqual(['b'])
  })

  it('asks processes that are known to have newer rows first, then others, and passes over those that have none', async () => {
    const [behind, holder] = [await servePage('behind', page([])), await servePage('holder', page(['b']))]
    expect([await ask([[behind], [holder]], ['holder']), behind.requestCount()]).toEqual([['b'], 0])
    expect(await ask([[behind], [holder]], ['a process that is gone'])).toEqual(['b'])
  })

  describe('for a process in whose region all others are as far behind', () => {
    const start = async (): Promise<{ readonly mirror: Follow.Rows.Mirror, readonly far: { readonly requestCount: () => number }, readonly readsNear: () => number, readonly ask: () => Promise<Follow.Rows.Page | undefined> }> => {
      const [near, far] = [await servePage('near', page([])), await servePage('far', page(['a']))]
      const mirror = Follow.Rows.createMirror()
      mirror.applySnapshot({ rows: [], revision: 1 })
      const read = async (): ReturnType<Follow.Rows.RowSource['readAll']> => Neverthrow.err({ kind: 'unavailable', reason: 'not asked' })
      const source = Follow.Shared.createSharedSource({
        table: 't',
        store: { readAll: read, readSince: read, write: async () => Neverthrow.ok(0), remove: async () => Neverthrow.ok(0) },
        own: { name: 'own', region: REGION },
        members: () => [memberOf('near', near.port), { ...memberOf('far', far.port), region: 'rb' }],
        knowsMembers: () => true,
        awaitsMembers: () => false,
        seeds: () => [],
        isPart: false,
        mayReadStore: true,
        neighbourWaitMs: BOUND_MS,
        clock: () => performance.now(),
        random: Core.Random.createRandom(1),
        metrics: Metrics.createMetrics(),
        log: () => {}
      })
      source.relayed({ mirror, isKnown: () => true, isStoreReachable: () => true }, whole => whole)
      return { mirror, far, readsNear: near.requestCount, ask: async () => await source.askPeer('t', 1, new Set(['far'])) }
    }

    it('takes the rows from another region', async () => {
      const { ask, readsNear } = await start()
      expect([(await ask())?.rows.map(pageRow => pageRow.key), readsNear() > 0]).toEqual([['a'], true])
    })

    it('does not cross to another region once the store has delivered the rows', async () => {
      const { ask, far, mirror, readsNear } = await start()
      const asked = ask()
      await TestKit.Wait.until('the own region is asked', BOUND_MS, () => readsNear() > 0)
      mirror.apply({ rows: [row('a', 9)], revision: 9 })
      expect([await asked, far.requestCount()]).toEqual([undefined, 0])
    })
  })

  it('gives up when no process has the table', async () => {
    const unknown = await servePage('unknown', JSON.stringify({ known: false, revision: 0, rows: [] }))
    expect([await ask([[unknown], [unknown]]), await ask([])]).toEqual([undefined, undefined])
  })
})

describe('a change of operators', () => {
  const stages: Direct.DirectStage[] = []
  const stops: Array<() => Promise<void>> = []
  const start = async (): Promise<Direct.DirectStage> => {
    const stage = await Direct.startDirectStage([])
    stages.push(stage)
    return stage
  }
  const readsOf = (stage: Direct.DirectStage, key: string): number => stage.store.reads.filter(read => read.table === 'op' && read.keys.includes(key)).length
  const untilReadersUsed = async (gateways: readonly Direct.StartedGateway[], names: readonly string[]): Promise<void> => {
    const readers = readerOrderOf(names).slice(0, Follow.Shared.READER_COUNT)
    await TestKit.Wait.until('the others read from the readers', SETTLE_MS, () => gateways.every(gateway => readers.includes(gateway.name) || readers.includes(sourceOf(gateway.lines))))
  }
  const listGateway = (stage: Direct.DirectStage, name: string, port: number): void => { stage.store.put(Follow.Members.MEMBERS_TABLE, name, memberOf(name, port)) }
  /** Listens like a frozen process: accepts requests and sends no answers, or only their first byte. */
  const startFrozenProcess = async (writesFirstByte: boolean): Promise<{ readonly port: number, readonly requestsTaken: () => number }> => {
    let requestCount = 0
    const server = Http.createServer((_request, response) => {
      requestCount++
      if (writesFirstByte) response.write(' ')
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    stops.push(async () => {
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
    })
    return { port: (server.address() as Net.AddressInfo).port, requestsTaken: () => requestCount }
  }
  after(async () => {
    await Promise.all(stages.map(async stage => { await stage.stop() }))
    await Promise.all(stops.map(async stop => { await stop() }))
  })

  it('is read from the store twice in a region of four gateways, and is in force at all of them', async () => {
    const stage = await start()
    const names = ['g1', 'g2', 'g3', 'g4']
    const gateways = [stage.first, ...await Promise.all(names.slice(1).map(async name => await stage.addGateway(name)))]
    await untilReadersUsed(gateways, names)
    const before = readsOf(stage, 'config')
    stage.deploy({ version: 2 })
    await untilInForce(2, gateways)
    const metrics = await stage.metrics()
    expect([metrics.includes('fescuespread_store_calls_total{table="op",kind="whole"} 1'), metrics.includes('fescuespread_pages_read_total{table="op",source="store"}')]).toEqual([true, true])
    stage.store.put('op', 'evacuate/a', {})
    const all = (sentence: string): boolean => gateways.every(gateway => gateway.lines.some(line => line.sentence === sentence))
    await TestKit.Wait.until('the zone is out of service', BOUND_MS, () => all('Zone taken out of service.'))
    stage.store.drop('op', 'evacuate/a')
    await TestKit.Wait.until('the zone is back', BOUND_MS, () => all('Zone back in service.'))
    expect([readsOf(stage, 'config') - before, readsOf(stage, 'evacuate/a')]).toEqual([2, 4])
  })

  it('reaches an agent from a gateway, without routes and keys', async () => {
    const stage = await start()
    const lines: Line[] = []
    const origins: string[] = []
    const agent = await Filling.Agent.open({
      name: 'a1',
      host: '127.0.0.1',
      port: await Direct.freePort(),
      zone: 'a',
      region: REGION,
      seeds: () => [],
      store: Store.createRowSource(() => ({ host: '127.0.0.1', port: stage.store.port })),
      clock: () => performance.now(),
      random: Core.Random.createRandom(1),
      metrics: Metrics.createMetrics(),
      log: (_prefix, sentence, fields = {}) => { lines.push({ sentence, fields }) },
      endpoint: { host: '127.0.0.1', port: 1 },
      service: 'llm',
      bounds: () => ({ versionMs: 8_000, linkBitsPerSecond: 1e9 }),
      engine: { report: async () => undefined, listStaged: async () => undefined, readStaged: async () => undefined, stage: async () => false, loadStaged: async () => 'lost', unload: async () => 'lost' },
      originAt: address => {
        origins.push(address)
        return { manifest: async () => Neverthrow.err('not needed'), chunk: async () => Neverthrow.err('not needed') }
      },
      changeOf: Operators.changeOf,
      agentPartOf: Operators.agentPartOf,
      operatorsTable: Operators.OPERATORS_TABLE
    })
    stops.push(agent.stop)
    await TestKit.Wait.until('the agent reads from the gateway', SETTLE_MS, () => sourceOf(lines) === 'g1')
    const readsBefore = readsOf(stage, 'config')
    const deployment = Direct.deploymentOf({ origin: '127.0.0.1:9' }) as { routes: object[] }
    const routes = Array.from({ length: 60 }, (_, at) => ({ ...deployment.routes[at % deployment.routes.length], name: `r${at}`, prefix: `/r${at}/` }))
    stage.deploy({ ...deployment, version: 2, routes })
    stage.store.put('op', 'version/m', { model: 'm', version: 2 })
    await TestKit.Wait.until('the origin is known', BOUND_MS, () => origins.includes('127.0.0.1:9'))
    await TestKit.Wait.until('the version is named', BOUND_MS, () => lines.some(line => line.sentence === 'Version named.' && line.fields.version === 2))
    const inForceLine = lines.filter(line => line.sentence === 'Deployment in force.').at(-1)
    expect([inForceLine?.fields.version, inForceLine?.fields.routeCount, inForceLine?.fields.workspaceCount, readsOf(stage, 'config') - readsBefore]).toEqual([2, 2, undefined, 1])
  })

  describe('when the readers of the region fail', () => {
    for (const [readersState, listReaders] of Object.entries<(stage: Direct.DirectStage, names: readonly string[]) => Promise<void>>({
      'are gone': async (stage, names) => { for (const name of names) listGateway(stage, name, await Direct.freePort()) },
      'do not answer': async (stage, names) => { for (const name of names) listGateway(stage, name, (await startFrozenProcess(false)).port) },
      'have frozen while they held reads': async (stage, names) => {
        const frozen = await Promise.all(names.map(async () => await startFrozenProcess(true)))
        for (const [at, name] of names.entries()) listGateway(stage, name, frozen[at]?.port ?? 0)
        await TestKit.Wait.until('a read is held', SETTLE_MS, () => frozen.some(reader => reader.requestsTaken() > 0))
      }
    })) {
      it(`as they ${readersState}, is in force in time at the others`, async () => {
        const stage = await start()
        const others = [stage.first, await stage.addGateway('g2'), await stage.addGateway('far', { region: 'rb', zone: 'b' })]
        await listReaders(stage, namesBefore(2, ['g1', 'g2']))
        await TestKit.Wait.sleep(1_500)
        stage.deploy({ version: 2 })
        await untilInForce(2, others)
      })
    }

    it('as their own reads of the store hang, is in force in time at all gateways', async () => {
      const stage = await start()
      const silence = new Promise<never>(() => {})
      let isSilent = false
      const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: stage.store.port }))
      const store: Follow.Rows.RowSource = {
        ...source,
        readSince: async (...args) => {
          const answer = await source.readSince(...args)
          return isSilent && args[0] === 'op' ? await silence : answer
        }
      }
      const readers = await Promise.all(namesBefore(2, ['g1']).map(async name => await stage.addGateway(name, { store })))
      const far = await stage.addGateway('far', { region: 'rb', zone: 'b' })
      const gateways = [stage.first, ...readers, far]
      await TestKit.Wait.until('the gateway reads from another one', SETTLE_MS, () => readers.some(reader => reader.name === sourceOf(stage.lines)))
      isSilent = true
      stage.deploy({ version: 2 })
      await untilInForce(2, gateways)
      expect(stage.lines.some(line => line.sentence === 'Neighbour passed over.')).toEqual(true)
    })

    it('as one is stopped, is in force in time at the others', async () => {
      const stage = await start()
      const [first = '', second = ''] = namesBefore(2, ['g1'])
      const readers = [await stage.addGateway(first), await stage.addGateway(second)]
      const isSource = (reader: Direct.StartedGateway): boolean => reader.name === sourceOf(stage.lines)
      await TestKit.Wait.until('the gateway reads from another one', SETTLE_MS, () => readers.some(isSource))
      await readers.find(isSource)?.stop()
      stage.deploy({ version: 2 })
      await untilInForce(2, [stage.first, ...readers.filter(reader => !isSource(reader))])
    })
  })

  it('and entries of endpoints are asked of gateways by one that the store refuses, not of agents that do not follow them', async () => {
    const stage = await start()
    const cutOff = await stage.addGateway('g2')
    const tablesAsked: string[] = []
    const agent = Http.createServer((request, response) => {
      tablesAsked.push(new URL(request.url ?? '/', 'http://agent').searchParams.get('table') ?? '')
      HttpServer.sendJson(response, 200, { known: false, revision: 0, rows: [] })
    })
    await new Promise<void>(resolve => { agent.listen(0, '127.0.0.1', resolve) })
    stops.push(async () => {
      agent.closeAllConnections()
      await new Promise(resolve => { agent.close(resolve) })
    })
    for (const name of Array.from({ length: 12 }, (_, at) => `agent-${at}`)) stage.store.put(Follow.Members.MEMBERS_TABLE, name, { ...memberOf(name, (agent.address() as Net.AddressInfo).port), kind: 'agent' })
    await TestKit.Wait.until('the deployment is in force', SETTLE_MS, () => versionOf(cutOff.lines) === 1)
    await TestKit.Wait.sleep(2_500)
    cutOff.refuse(true)
    stage.store.cut()
    await TestKit.Wait.sleep(500)
    for (const key of ['e1', 'e2', 'e3']) {
      stage.store.put('servers', key, { backend: 'plain', address: '127.0.0.1:9', zone: 'a', version: 'v1', slots: 16, state: 'draining', cold_remaining_ms: 0, born: 1 })
      await TestKit.Wait.until('the entry is known', BOUND_MS, () => cutOff.lines.some(line => line.sentence === 'Endpoint listed.' && line.fields.endpointId === key))
    }
    expect(tablesAsked.filter(table => table === 'servers')).toEqual([])
  })

  it('that removed a row before the readers started is not missed', async () => {
    const stage = await start()
    const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: stage.store.port }))
    let isCutOff = false
    const failRead = async (): ReturnType<Follow.Rows.RowSource['readSince']> => Neverthrow.err({ kind: 'unavailable', reason: 'cut off' })
    const late = await stage.addGateway('late', {
      region: 'rc',
      store: {
        ...source,
        readAll: async (...args) => isCutOff && args[0] === 'op' ? await failRead() : await source.readAll(...args),
        readSince: async (...args) => {
          const answer = await source.readSince(...args)
          return isCutOff && args[0] === 'op' ? await failRead() : answer
        }
      }
    })
    stage.store.put('op', 'evacuate/a', {})
    await TestKit.Wait.until('the zone is out of service', SETTLE_MS, () => late.lines.some(line => line.sentence === 'Zone taken out of service.'))
    // That gateway would know of the removal.
    await stage.first.stop()
    isCutOff = true
    stage.store.drop('op', 'evacuate/a')
    const names: string[] = []
    for (let at = 0; names.length < 2; at++) if (Core.Hash.rendezvous('readers of rc', [`early-${at}`, 'late'])[0] === `early-${at}`) names.push(`early-${at}`)
    for (const name of names) await stage.addGateway(name, { region: 'rc' })
    await TestKit.Wait.until('the zone is back', SETTLE_MS, () => late.lines.some(line => line.sentence === 'Zone back in service.'))
    expect([names.includes(sourceOf(late.lines)), versionOf(late.lines)]).toEqual([true, 1])
  })
})
