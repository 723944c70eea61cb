import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Follow from '../src/follow/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Store from '../platform/store.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

/** Plays of the model. */
const MODEL_RUN_COUNT = Number(process.env['RESTORE_SEEDS'] ?? 400)

const { eraOf, positionOf, revisionOf } = Follow.Positions
const row = (key: string, revision: number, value: unknown = {}, deleted = false): Follow.Rows.Row => ({ key, revision, value, deleted })

describe('Positions', () => {
  it('order revisions of a later era after all of an earlier one, and keep both numbers', () => {
    expect([positionOf(0, 9_000) < positionOf(1, 3), positionOf(1, 3) < positionOf(1, 4), positionOf(0, 7)]).toEqual([true, true, 7])
    const position = positionOf(1_000_000, 4_000_000_000)
    expect([eraOf(position), revisionOf(position), Number.isSafeInteger(position)]).toEqual([1_000_000, 4_000_000_000, true])
  })
})

describe('EraReader', () => {
  const readAll = (headers: ReadonlyArray<string | undefined>): Array<number | string> => {
    const reader = Store.createEraReader()
    return headers.map(header => reader.read(header).match<number | string>(era => era, reason => reason))
  }

  it('takes a store that names no era to be in era 0, until it names one', () => {
    expect(readAll([undefined, undefined, '3', '3', '4'])).toEqual([0, 0, 3, 3, 4])
  })

  it('uses no answer of an earlier era, without an era, or with one that is no number', () => {
    const earlier = 'answer of an earlier era'
    const unreadable = 'answer without a readable era'
    expect(readAll(['5', '4', undefined, '-1', 'x', '1e3', '', '9'.repeat(40), '5', '6'])).toEqual([5, earlier, unreadable, unreadable, unreadable, unreadable, unreadable, unreadable, 5, 6])
  })

  it('believes a jump by more than one only once two answers in a row name it', () => {
    expect(readAll(['5', '90', '5', '90', '91', '91', '5'])).toEqual([5, 'answer of a far later era', 5, 'answer of a far later era', 'answer of a far later era', 91, 'answer of an earlier era'])
  })
})

describe('Readings', () => {
  it('do not date a row of a restored store by readings of an earlier era', () => {
    const readings = Follow.Readings.createReadings()
    readings.record({ revision: positionOf(1, 90), atMs: 1_000 })
    readings.record({ revision: positionOf(2, 60), atMs: 2_000 })
    expect([positionOf(2, 50), positionOf(2, 61), positionOf(1, 91)].map(readings.notBeforeMs)).toEqual([-Infinity, 2_000, 1_000])
  })
})

describe('Mirror', () => {
  it('takes over rows whose revisions went back, and no row of the earlier era after that', () => {
    const mirror = Follow.Rows.createMirror()
    mirror.applySnapshot({ rows: [row('kept', positionOf(1, 5)), row('lost', positionOf(1, 9))], revision: positionOf(1, 9) })
    mirror.applySnapshot({ rows: [row('kept', positionOf(2, 5)), row('new', positionOf(2, 7))], revision: positionOf(2, 7) })
    mirror.apply({ rows: [row('lost', positionOf(1, 9)), row('late', positionOf(1, 12)), row('new', positionOf(1, 30))], revision: positionOf(1, 30) })
    expect([mirror.live().map(({ key }) => key), mirror.revision(), mirror.rowRevision()]).toEqual([['kept', 'new'], positionOf(2, 7), positionOf(2, 7)])
  })
})

describe('mayBeOutdated', () => {
  const known = Direct.listingOf('e', { bornAtMs: 5, weights: [{ model: 'm', version: 2 }] })
  const cases: ReadonlyArray<readonly [string, Routing.Endpoints.Listing | undefined, Partial<Routing.Endpoints.Listing>, boolean]> = [
    ['an endpoint that was removed', undefined, {}, true],
    ['one that was draining', { ...known, draining: true }, {}, true],
    ['an earlier start', known, { bornAtMs: 4 }, true],
    ['older weights of the same start', known, { weights: [{ model: 'm', version: 1 }] }, true],
    ['a later start', { ...known, draining: true }, { bornAtMs: 6, weights: [] }, false],
    ['one that drains now', known, { draining: true }, false],
    ['another load', known, { slotCount: 3 }, false]
  ]
  for (const [name, before, changes, expected] of cases) it(`is ${String(expected)} for ${name}`, () => { expect(Routing.Endpoints.mayBeOutdated(before, { ...known, ...changes })).toEqual(expected) })
})

describe('Follower', () => {
  it('puts removals off also where another process told of the new era first', async () => {
    const zone = row('zone', positionOf(1, 3))
    const wholePages = [{ rows: [zone], revision: positionOf(1, 9) }, { rows: [], revision: positionOf(2, 6) }]
    let readCount = 0
    const delivered: Follow.Rows.Row[] = []
    const follower = Follow.Follower.createFollower({
      table: 't',
      store: {
        readAll: async () => Neverthrow.ok(wholePages.shift() ?? { rows: [], revision: positionOf(2, 6) }),
        readSince: async () => {
          const failures: Follow.Rows.ReadFailure[] = [{ kind: 'unavailable', reason: 'away' }, { kind: 'historyGone' }]
          const failure = failures[readCount++]
          return failure === undefined ? await new Promise<never>(() => {}) : Neverthrow.err(failure)
        },
        write: async () => Neverthrow.ok(0),
        remove: async () => Neverthrow.ok(0)
      },
      askPeer: async () => ({ rows: [], revision: positionOf(2, 5) }),
      waitMs: () => 1_000,
      clock: () => performance.now(),
      storeClock: Follow.StoreClock.createStoreClock(() => performance.now()),
      readings: Follow.Readings.createReadings(),
      random: Core.Random.createRandom(1),
      onRows: rows => { delivered.push(...rows) },
      log: () => {}
    })
    await TestKit.Wait.until('the table is read whole again', 5_000, () => follower.mirror.live().length === 0 && wholePages.length === 0)
    follower.stop()
    expect(delivered).toEqual([zone])
  })
})

describe('Settler', () => {
  it('leaves unchanged rows alone, takes changed ones at once and puts off removals', () => {
    const settler = Follow.Restores.createSettler(Follow.Restores.doubtRemovals)
    const before = new Map([row('same', 1, 'a'), row('changed', 2, 'a'), row('lost', 3, 'a')].map(known => [known.key, known]))
    const current = new Map([row('same', 11, 'a'), row('changed', 12, 'b'), row('lost', 13, undefined, true), row('new', 14)].map(found => [found.key, found]))
    const { immediate, deferred } = settler.settle(before, current)
    expect([immediate.map(({ key }) => key), deferred.map(({ key }) => key)]).toEqual([['changed', 'new'], ['lost']])
    expect(settler.release(deferred, current).map(({ key }) => key)).toEqual(['lost'])
  })

  it('puts a removal off once more when the store is restored again meanwhile', () => {
    const settler = Follow.Restores.createSettler(Follow.Restores.doubtRemovals)
    const lost = (revision: number): ReadonlyMap<string, Follow.Rows.Row> => new Map([['lost', row('lost', revision, undefined, true)]])
    const first = settler.settle(new Map([['lost', row('lost', 3, 'a')]]), lost(11))
    const second = settler.settle(lost(11), lost(21))
    expect([first.deferred.length, settler.release(first.deferred, lost(21)), second.deferred.length]).toEqual([1, [], 1])
    expect(settler.release(second.deferred, lost(21)).length).toEqual(1)
  })

  it('drops what was put off when the store writes the row again', () => {
    const settler = Follow.Restores.createSettler(Follow.Restores.doubtRemovals)
    const gone = row('zone', 11, undefined, true)
    const { deferred } = settler.settle(new Map([['zone', row('zone', 3, 'a')]]), new Map([['zone', gone]]))
    const again = row('zone', 12, 'a')
    settler.recordChanges([again])
    expect(settler.release(deferred, new Map([['zone', again]]))).toEqual([])
  })

  it('ends in the state of the store, whatever is written, lost and restored in between', () => {
    const KEYS = ['a', 'b', 'c']
    const step = FastCheck.oneof(
      FastCheck.record({ kind: FastCheck.constant('write' as const), key: FastCheck.constantFrom(...KEYS), value: FastCheck.nat(3) }),
      FastCheck.record({ kind: FastCheck.constant('remove' as const), key: FastCheck.constantFrom(...KEYS) }),
      FastCheck.record({ kind: FastCheck.constantFrom('copy' as const, 'restore' as const, 'read' as const, 'wait' as const, 'lateAnswer' as const) })
    )
    FastCheck.assert(FastCheck.property(FastCheck.array(step, { maxLength: 40 }), steps => {
      let [era, revision] = [1, 1]
      let store = new Map<string, Follow.Rows.Row>()
      let copy = { rows: new Map(store), revision }
      const mirror = Follow.Rows.createMirror()
      const settler = Follow.Restores.createSettler(Follow.Restores.doubtRemovals)
      const inForce = new Map<string, unknown>()
      const putOff: Array<readonly Follow.Rows.Row[]> = []
      const earlierPages: Follow.Rows.Page[] = []
      const deliver = (rows: readonly Follow.Rows.Row[]): void => { for (const { key, value, deleted } of rows) if (deleted) inForce.delete(key); else inForce.set(key, value) }
      const inEra = (found: Follow.Rows.Row): Follow.Rows.Row => ({ ...found, revision: positionOf(era, found.revision) })
      const read = (): void => {
        const page = { rows: [...store.values()].map(inEra), revision: positionOf(era, revision) }
        earlierPages.push(page)
        const before = new Map(mirror.all())
        const isNewEra = eraOf(mirror.revision()) < era && before.size > 0
        const rows = mirror.applySnapshot(page)
        if (!isNewEra) {
          settler.recordChanges(rows)
          deliver(rows)
          return
        }
        const { immediate, deferred } = settler.settle(before, mirror.all())
        deliver(immediate)
        putOff.push(deferred)
      }
      const wait = (): void => { for (const deferred of putOff.splice(0)) deliver(settler.release(deferred, mirror.all())) }
      const handlers: Record<(typeof steps)[number]['kind'], (key: string, value: number) => void> = {
        write: (key, value) => { store.set(key, row(key, ++revision, value)) },
        remove: key => { if (store.delete(key)) revision++ },
        copy: () => { copy = { rows: new Map(store), revision } },
        restore: () => { [store, revision, era] = [new Map(copy.rows), copy.revision, era + 1] },
        read,
        wait,
        lateAnswer: () => {
          const late = earlierPages[Math.floor(earlierPages.length / 2)]
          if (late !== undefined && eraOf(late.revision) < eraOf(mirror.revision())) expect(mirror.apply(late)).toEqual([])
        }
      }
      for (const one of steps) handlers[one.kind]('key' in one ? one.key : '', 'value' in one ? one.value : 0)
      read()
      wait()
      expect(new Map([...inForce].sort())).toEqual(new Map([...store.values()].map(({ key, value }): [string, unknown] => [key, value]).sort()))
    }), { numRuns: MODEL_RUN_COUNT, seed: 40 })
  })
})
