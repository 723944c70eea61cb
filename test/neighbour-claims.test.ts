import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Follow from '../src/follow/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Operators from '../platform/operators.ts'
import * as TestKit from '../testkit/index.ts'

const versionRow = (version: number, revision: number): Follow.Rows.Row => ({ key: 'version/m', revision, value: { model: 'm', version }, deleted: false })
const TIMEOUT_MS = 5_000
const neverAnswer = async (): Promise<never> => await new Promise<never>(() => {})

describe('a neighbour that has a row from another process that is newer than its own page', () => {
  it('does not claim to a process further behind that the row had not been written before', async () => {
    // Store: version 2 at revision 8 (8_000 ms), version 3 at revision 12 (12_000 ms).
    const neighbourMirror = Follow.Rows.createMirror()
    neighbourMirror.applySnapshot({ rows: [], revision: 6, madeAtMs: 6_000 })
    neighbourMirror.apply({ rows: [versionRow(2, 8)], revision: 11, madeAtMs: 11_000 })
    // Relayed by another process.
    neighbourMirror.apply({ rows: [versionRow(3, 12)], revision: 0 })
    const relay = Follow.Relay.createRelayRoute(() => ({ mirror: neighbourMirror, isKnown: () => true, longPolling: { refusal: () => undefined, onArriving: () => () => {} } }))
    const server = await HttpServer.listen({ host: '127.0.0.1', port: 0, headersTimeoutMs: 1_000, routes: [relay.route] })
    after(async () => {
      relay.close()
      await server.close(0)
    })
    const versions = Routing.Versions.createVersions(() => ({ sendMs: 7_400, beginMs: 7_900 }))
    const readings = Follow.Readings.createReadings()
    let readCount = 0
    const operators = Follow.Operators.followOperators({
      waitMs: Follow.Operators.INDIRECT_WAIT_MS,
      table: 'op',
      store: {
        readAll: async () => Neverthrow.ok({ rows: [], revision: 7, madeAtMs: 7_000 }),
        readSince: async (table, revision) => readCount++ > 1
          ? await neverAnswer()
          : await Follow.Relay.longPoll({ target: { host: '127.0.0.1', port: server.port }, table, after: revision, waitMs: 30, isPart: false, onArriving: () => { } }),
        write: neverAnswer,
        remove: neverAnswer
      },
      askPeer: async () => undefined,
      clock: () => performance.now(),
      storeClock: Follow.StoreClock.createStoreClock(() => performance.now()),
      readings,
      random: Core.Random.createRandom(1),
      log: () => {},
      changeOf: Operators.changeOf,
      versions
    })
    after(() => { operators.follower.stop() })
    await TestKit.Wait.until('the first page is read', 3_000, () => readCount > 1)
    neighbourMirror.apply({ rows: [versionRow(3, 12)], revision: 12, madeAtMs: 12_000 })
    await TestKit.Wait.until('version 3 is known', 3_000, () => versions.newestVersionOf('m') === 3)
    versions.applyRevisionTimes(readings)
    // Version 2 was named at 8_000: version 1 is overdue from 16_000 on at the latest.
    expect(versions.oldestSendableOf('m', 16_100) > 1).toEqual(true)
  })
})

const row = (key: string, revision: number): Follow.Rows.Row => ({ key, revision, value: {}, deleted: false })

describe('a gateway whose replaced read from a neighbour is answered after all', () => {
  it('acts on the rows of that answer', async () => {
    const mirrors = new Map<string, Follow.Rows.Mirror>()
    const firstPage = { rows: [], revision: 10, madeAtMs: 10_000 }
    const serve = async (name: string): Promise<Follow.Members.Member> => {
      const mirror = Follow.Rows.createMirror()
      mirror.applySnapshot(firstPage)
      mirrors.set(name, mirror)
      const relay = Follow.Relay.createRelayRoute(() => ({ mirror, isKnown: () => true, longPolling: { refusal: () => undefined, onArriving: () => () => {} } }))
      const server = await HttpServer.listen({ host: '127.0.0.1', port: 0, headersTimeoutMs: 1_000, routes: [relay.route] })
      after(async () => {
        relay.close()
        await server.close(0)
      })
      return { name, kind: 'gateway', host: '127.0.0.1', port: server.port, zone: 'a', region: 'ra', incarnation: name }
    }
    const names: string[] = []
    for (let at = 0; names.length < 2; at++) if (Core.Hash.rendezvous('readers of ra', [`n${at}`, 'own'])[0] === `n${at}`) names.push(`n${at}`)
    const members = [await serve(names[0] ?? ''), await serve(names[1] ?? '')]
    const [firstNeighbour, secondNeighbour] = Follow.Shared.rankNeighbours('own', 'ra', members, true).map(member => mirrors.get(member.name) as Follow.Rows.Mirror)
    let storeReadCount = 0
    const store: Follow.Rows.RowSource = {
      readAll: async () => Neverthrow.ok(firstPage),
      readSince: async (_table, revision) => revision < 12 && ++storeReadCount === 1 ? Neverthrow.ok({ rows: [row('status', 12)], revision: 12, madeAtMs: 12_000 }) : await neverAnswer(),
      write: neverAnswer,
      remove: neverAnswer
    }
    const clock = (): number => performance.now()
    const random = Core.Random.createRandom(1)
    const shared = Follow.Shared.createSharedSource({ table: 'op', store, own: { name: 'own', region: 'ra' }, members: () => members, knowsMembers: () => true, awaitsMembers: () => false, seeds: () => [], isPart: false, mayReadStore: true, neighbourWaitMs: Follow.Operators.NEIGHBOUR_WAIT_MS, clock, random, metrics: Metrics.createMetrics(), log: () => {} })
    const operators = Follow.Operators.followOperators({
      waitMs: Follow.Operators.INDIRECT_WAIT_MS,
      table: 'op',
      store: shared,
      askPeer: shared.askPeer,
      clock,
      storeClock: Follow.StoreClock.createStoreClock(clock),
      readings: Follow.Readings.createReadings(),
      random,
      log: () => {},
      changeOf: Operators.changeOf,
      versions: Routing.Versions.createVersions(() => ({ sendMs: 7_400, beginMs: 7_900 }))
    })
    after(() => { operators.follower.stop() })
    const { mirror } = operators.follower
    shared.relayed(operators.follower, wholeRow => wholeRow)
    await TestKit.Wait.until('the table is read', 3_000, () => operators.follower.isKnown())
    await TestKit.Wait.sleep(50)
    // News of a newer row that the neighbour does not have yet: the pending read is replaced by one of the store.
    operators.follower.handlePeerRevision(12)
    await TestKit.Wait.until('the store has answered', 3_000, () => mirror.revision() === 12)
    secondNeighbour?.apply({ rows: [row('status', 12)], revision: 12, madeAtMs: 12_000 })
    // The neighbour then gets the row and answers the replaced read.
    firstNeighbour?.apply({ rows: [row('status', 12), row('evacuate/a', 13)], revision: 14, madeAtMs: 14_000 })
    await TestKit.Wait.until('the read from the second neighbour ends', 5_000, () => mirror.revision() > 12)
    // From here on all processes have the row, and announce it in news.
    secondNeighbour?.apply({ rows: [row('evacuate/a', 13)], revision: 14, madeAtMs: 14_000 })
    operators.follower.handlePeerRevision(13)
    await TestKit.Wait.until('the zone is drained', TIMEOUT_MS, () => operators.drainedZones.has('a'))
    expect(mirror.live().map(liveRow => liveRow.key).sort((a, b) => a < b ? -1 : 1)).toEqual(['evacuate/a', 'status'])
  })
})
