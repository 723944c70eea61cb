import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { after, afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Follow from '../src/follow/index.ts'
import * as Ingress from '../src/ingress/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Dialect from '../platform/dialect.ts'
import * as Endpoints from '../platform/endpoints.ts'
import * as Operators from '../platform/operators.ts'
import * as Settings from '../platform/settings.ts'
import * as TestKit from '../testkit/index.ts'

const row = (key: string, value: unknown, deleted = false): Follow.Rows.Row => ({ key, revision: 1, value, deleted })

const settingsText = (slackCount: number): string => `
node_name = "n1"
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [7000]
seeds = []
zones = { a = "r" }
listen = {}
limits = { link_mbps = 5.0 }
bounds = { retry_budget_ratio = 0.2, retry_slack = ${slackCount}, budget_window_s = 10, version_ms = 8000, grace_s = 8 }
platform = { address = "127.0.0.1:1" }
`

describe('platform', () => {
  describe('listingOf', () => {
    const entry = { backend: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, state: 'ready', models: [{ name: 'm', version: 2 }], layers: { from: 0, target: 4, version: 2 } }

    it('reads an entry', () => {
      const listing = Endpoints.listingOf(row('i-1', entry), () => 'r')
      expect([listing?.host, listing?.port, listing?.draining, listing?.weights]).toEqual(['10.0.0.1', 80, false, [{ model: 'm', version: 2 }]])
    })

    it('returns no listing for an entry that cannot be read or has an unknown zone', () => {
      const wrong = [undefined, null, 'text', {}, { ...entry, state: 'resting' }, { ...entry, slots: 'many' }, { ...entry, address: 7 }, { ...entry, address: 'nowhere' }]
      expect(wrong.map(value => Endpoints.listingOf(row('i-1', value), () => 'r'))).toEqual(wrong.map(() => undefined))
      expect(Endpoints.listingOf(row('i-1', entry), () => '')).toEqual(undefined)
    })

    it('leaves out a model whose layers do not start with the first one', () => {
      expect(Endpoints.listingOf(row('i-1', { ...entry, layers: { from: 2, target: 4, version: 2 } }), () => 'r')?.weights).toEqual([])
    })
  })

  describe('changeOf', () => {
    it('decodes zones and versions, and reports a row that cannot be read', () => {
      expect(Operators.changeOf(row('evacuate/a', {}))).toEqual({ kind: 'zoneDrained', zone: 'a', drained: true })
      expect(Operators.changeOf(row('evacuate/a', undefined, true))).toEqual({ kind: 'zoneDrained', zone: 'a', drained: false })
      expect(Operators.changeOf(row('version/m', { model: 'm', version: 2 }))).toEqual({ kind: 'versionNamed', model: 'm', version: 2 })
      expect(Operators.changeOf(row('config', { version: 'x' }))?.kind).toEqual('unreadable')
    })
  })

  describe('dialect', () => {
    const dialect = Dialect.createDialect()

    it('forwards the caller\'s headers except those of one connection and those that it sets itself', () => {
      const raw = ['Host', 'h', 'Connection', 'close, X-Hop', 'X-Hop', '1', 'Authorization', 'Bearer k', 'X-Fescuespread-Tenant', 'forged', 'X-Fescuespread-Expect-Instance', 'forged', 'X-Fescuespread-Deadline-Ms', '9', 'X-Mine', '2']
      expect(dialect.forwardHeaders(raw, { endpointId: 'i', workspace: 'w', leftMs: 5, lastEventId: undefined, bodyBytes: undefined }))
        .toEqual(['Host', 'h', 'X-Mine', '2', 'X-Fescuespread-Expect-Instance', 'i', 'X-Fescuespread-Deadline-Ms', '5', 'X-Fescuespread-Tenant', 'w'])
    })

    it('reads the ids of all parts of a prompt but the last, whatever their form', () => {
      const partsOf = (value: string): readonly string[] => dialect.sharedPartsOf({ 'x-fescuespread-prefix-hash': value })
      expect(partsOf('5C1e07a2:800, 91bd3f06:410,e4402b7d:250')).toEqual(['5c1e07a2', '91bd3f06'])
      expect([partsOf('aa:1'), partsOf(''), dialect.sharedPartsOf({}), partsOf(',,:3,zz:1,aa,aa:x,bb:1')]).toEqual([[], [], [], ['aa']])
      expect([partsOf(`${'f'.repeat(33)}:1,bb:1`).length, partsOf(Array.from({ length: 2_000 }, (_, at) => at.toString(16)).join(',')).length]).toEqual([0, 32])
    })

    it('takes only status 421 and the runner\'s header as proof that a call was not executed', () => {
      const proofs = [421, 503, 429, 500].map(status => dialect.readAnswer(status, {}).isProvenNotRun)
      expect([...proofs, dialect.readAnswer(503, { 'x-fescuespread-not-executed': '1' }).isProvenNotRun]).toEqual([true, false, false, false, true])
    })
  })

  describe('settings', () => {
    it('reports what cannot be parsed', () => {
      expect(Settings.parse('node_name = 1').isErr()).toEqual(true)
      expect(Settings.parse('= broken').isErr()).toEqual(true)
    })

    describe('of a running process', () => {
      const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'settings-'))
      const file = Path.join(folder, 'node.toml')
      const write = (slackCount: number, more = ''): void => { Fs.writeFileSync(file, settingsText(slackCount) + more) }
      const startWatching = (): { settings: Settings.WatchedSettings, lines: string[] } => {
        const lines: string[] = []
        write(10)
        return { settings: Settings.watch(file, Settings.read(file)._unsafeUnwrap(), (_prefix, sentence, fields) => { lines.push(`${sentence} ${JSON.stringify(fields)}`) }), lines }
      }
      after(() => { Fs.rmSync(folder, { recursive: true }) })

      it('are read again on a signal, and the changed fields are logged', () => {
        const { settings, lines } = startWatching()
        write(20)
        settings.reload('SIGHUP')
        settings.close()
        expect([settings.current().retries.slackCount, lines]).toEqual([20, ['Settings read again. {"cause":"SIGHUP","changed":["retries"]}']])
      })

      it('are read again without a signal when the file changes', async () => {
        const { settings } = startWatching()
        write(30)
        await TestKit.Wait.until('the change', 5_000, () => settings.current().retries.slackCount === 30)
        settings.close()
      })

      it('stay in force while the file cannot be read', () => {
        const { settings, lines } = startWatching()
        write(20, '= broken')
        settings.reload('SIGHUP')
        settings.close()
        expect([settings.current().retries.slackCount, lines.length]).toEqual([10, 1])
      })
    })
  })
})

describe('Mirror', () => {
  it('keeps newer rows and returns rows missing from a whole read as deleted', () => {
    const mirror = Follow.Rows.createMirror()
    mirror.apply({ rows: [{ key: 'a', revision: 5, value: 1, deleted: false }, { key: 'b', revision: 6, value: 2, deleted: false }], revision: 6 })
    expect(mirror.apply({ rows: [{ key: 'a', revision: 4, value: 0, deleted: false }], revision: 4 })).toEqual([])
    expect(mirror.applySnapshot({ rows: [{ key: 'b', revision: 6, value: 2, deleted: false }], revision: 9 })).toEqual([{ key: 'a', revision: 9, value: undefined, deleted: true }])
    expect([mirror.live().map(live => live.key), mirror.rowRevision()]).toEqual([['b'], 6])
  })
})

describe('Follower', () => {
  const page = (revision: number, ...keys: string[]): Follow.Rows.Page => ({ rows: keys.map(key => row(key, {})).map(entry => ({ ...entry, revision })), revision })
  const hang = async (): Promise<never> => await new Promise(() => {})
  const createFollower = (store: Partial<Follow.Rows.RowSource>, askPeer: Follow.Follower.FollowerOptions['askPeer'], seen: string[]): Follow.Follower.Follower => Follow.Follower.createFollower({
    table: 't',
    store: { readAll: async () => Neverthrow.ok(page(1, 'a')), readSince: hang, write: hang, remove: hang, ...store },
    askPeer,
    waitMs: () => 10,
    clock: () => performance.now(),
    storeClock: Follow.StoreClock.createStoreClock(() => performance.now()),
    readings: Follow.Readings.createReadings(),
    random: Core.Random.createRandom(1),
    onRows: rows => { seen.push(...rows.map(entry => entry.key)) },
    log: () => {}
  })

  it('takes rows from another process while the store refuses reads', async () => {
    const seen: string[] = []
    const follower = createFollower({ readAll: async () => Neverthrow.err({ kind: 'unavailable', reason: 'status 503' }) }, async () => page(3, 'b'), seen)
    await TestKit.Wait.until('the rows of the peer', 2_000, () => seen.includes('b'))
    expect([follower.isKnown(), follower.isStoreReachable()]).toEqual([true, false])
    follower.stop()
  })

  it('takes rows from another process when its own read hangs', async () => {
    const seen: string[] = []
    const follower = createFollower({}, async () => page(7, 'b'), seen)
    await TestKit.Wait.until('the first read', 2_000, () => seen.includes('a'))
    for (let revision = 2; revision <= 7; revision++) follower.handlePeerRevision(revision)
    await TestKit.Wait.until('the rows of the peer', 2_000, () => seen.includes('b'))
    follower.stop()
  })

  it('takes rows from another process when its own read hangs and the first attempts failed', async () => {
    const seen: string[] = []
    const answers: ReadonlyArray<Follow.Rows.Page | undefined> = [undefined, { rows: [], revision: 1 }, page(7, 'b')]
    let askCount = 0
    const follower = createFollower({}, async () => answers[askCount++], seen)
    await TestKit.Wait.until('the first read', 2_000, () => seen.includes('a'))
    await TestKit.Wait.until('the rows of the peer', 3_000, async () => {
      // Processes repeat the revision that they hold.
      follower.handlePeerRevision(7, 'peer')
      await TestKit.Wait.sleep(100)
      return seen.includes('b')
    })
    follower.stop()
  })

  it('is not behind processes that saw a removal before its own first read', async () => {
    const seen: string[] = []
    let askCount = 0
    const follower = createFollower({ readAll: async () => Neverthrow.ok({ rows: [{ key: 'a', revision: 1, value: {}, deleted: false }], revision: 9 }) }, async () => {
      askCount++
      return undefined
    }, seen)
    await TestKit.Wait.until('the first read', 2_000, () => seen.includes('a'))
    for (let count = 0; count < 5; count++) {
      follower.handlePeerRevision(7, 'peer')
      await TestKit.Wait.sleep(100)
    }
    expect([follower.isBehind(), askCount]).toEqual([false, 0])
    follower.stop()
  })

  it('gets removals from the store that another process did not know of when it was asked in the meantime', async () => {
    const seen: string[] = []
    const live = (): string[] => follower.mirror.live().map(entry => entry.key)
    let isDown = true
    const follower = createFollower({
      readAll: async () => Neverthrow.ok(page(6, 'a', 'gone')),
      readSince: async (_table, revision) => {
        if (isDown) return Neverthrow.err({ kind: 'unavailable', reason: 'status 503' })
        await TestKit.Wait.sleep(20)
        return revision >= 8 ? Neverthrow.ok({ rows: [], revision: 9 }) : Neverthrow.ok({ rows: [{ key: 'gone', revision: 8, value: undefined, deleted: true }], revision: 9 })
      }
    }, async (_table, revision) => revision >= 9 ? undefined : page(9, 'b'), seen)
    await TestKit.Wait.until('the rows of the peer', 2_000, () => seen.includes('b'))
    isDown = false
    await TestKit.Wait.until('the store', 2_000, () => follower.isStoreReachable())
    await TestKit.Wait.until('the removal', 2_000, () => !live().includes('gone'))
    follower.stop()
  })

  it('reads the whole table when the store no longer has the history', async () => {
    const seen: string[] = []
    let readCount = 0
    const follower = createFollower({
      readAll: async () => Neverthrow.ok(readCount++ === 0 ? page(1, 'a') : page(9, 'c')),
      readSince: async (_table, revision) => revision < 9 ? Neverthrow.err({ kind: 'historyGone' }) : await hang()
    }, async () => undefined, seen)
    await TestKit.Wait.until('the second read', 2_000, () => seen.includes('c'))
    expect(seen).toEqual(['a', 'c', 'a'])
    follower.stop()
  })

  describe('times of rows', () => {
    /** Lead of the store's clock over the clock of this process, in milliseconds. */
    const STORE_OFFSET_MS = 50_000
    type Answer = Awaited<ReturnType<Follow.Rows.RowSource['readSince']>>
    let nowMs = 0
    let contexts: Follow.Follower.RowsContext[] = []
    let readings: Follow.Readings.Readings
    let answer: ((given: Answer) => void) | undefined
    let follower: Follow.Follower.Follower

    const pageAt = (revision: number, madeAtMs: number): Answer => Neverthrow.ok({ ...page(revision, `k${revision}`), madeAtMs: madeAtMs + STORE_OFFSET_MS })
    const untilRead = async (): Promise<void> => { await TestKit.Wait.until('the read', 2_000, () => answer !== undefined) }
    /** Answers the pending read at a time of this process's clock. */
    const answerRead = async (atMs: number, result: Answer): Promise<void> => {
      await untilRead()
      nowMs = atMs
      const resolveRead = answer
      answer = undefined
      resolveRead?.(result)
      await untilRead()
    }
    const toProcessTime = (timeMs: number | undefined): number | undefined => timeMs === undefined ? undefined : timeMs - STORE_OFFSET_MS
    /** Returns the time of the page before the last rows, and the first and last refusal between them. */
    const lastTimes = (): unknown => contexts.slice(-1).map(({ before }) => [toProcessTime(before.completeAtMs), toProcessTime(before.outage?.fromMs), toProcessTime(before.outage?.toMs)])[0]

    beforeEach(() => {
      nowMs = 1_000
      contexts = []
      answer = undefined
      readings = Follow.Readings.createReadings()
      follower = Follow.Follower.createFollower({
        table: 't',
        store: {
          readAll: async () => {
            const isFirst = contexts.length === 0
            if (!isFirst) nowMs += 1_000
            return Neverthrow.ok({ ...page(isFirst ? 1 : 9, 'a'), madeAtMs: nowMs + STORE_OFFSET_MS })
          },
          readSince: async () => await new Promise<Answer>(resolve => { answer = resolve }),
          write: hang,
          remove: hang
        },
        askPeer: async () => undefined,
        waitMs: () => 10,
        clock: () => nowMs,
        storeClock: Follow.StoreClock.createStoreClock(() => nowMs),
        readings,
        random: Core.Random.createRandom(1),
        onRows: (_rows, context) => { contexts.push(context) },
        log: () => {}
      })
    })
    afterEach(() => { follower.stop() })

    it('are not known for the first rows', async () => {
      await untilRead()
      expect([lastTimes(), readings.notBeforeMs(1)]).toEqual([[-Infinity, undefined, undefined], -Infinity])
    })

    it('lie after the previous page, however long the request took', async () => {
      await answerRead(5_000, pageAt(2, 5_000))
      expect([lastTimes(), toProcessTime(readings.notBeforeMs(2))]).toEqual([[1_000, undefined, undefined], 1_000])
    })

    it('lie after the latest reading of any table or process that did not have them yet', async () => {
      for (const [revision, atMs] of [[1, 3_000], [2, 4_700], [1, 4_500]] as const) readings.record({ revision, atMs: atMs + STORE_OFFSET_MS })
      await answerRead(9_000, pageAt(2, 5_000))
      expect([lastTimes(), toProcessTime(readings.notBeforeMs(2))]).toEqual([[1_000, undefined, undefined], 4_500])
    })

    it('lie after the previous page when the whole table was read', async () => {
      await answerRead(2_000, Neverthrow.err({ kind: 'historyGone' }))
      expect(contexts.length).toEqual(2)
      expect(lastTimes()).toEqual([1_000, undefined, undefined])
    })

    it('lie after the previous page when the rows waited behind a large page', async () => {
      await answerRead(7_000, pageAt(2, 2_000))
      await answerRead(7_010, pageAt(3, 7_005))
      expect(lastTimes()).toEqual([2_000, undefined, undefined])
    })

    it('lie after the last answer when the read had timed out', async () => {
      await answerRead(9_000, Neverthrow.err({ kind: 'silent', reason: 'timed out' }))
      await answerRead(9_010, pageAt(2, 9_005))
      expect(lastTimes()).toEqual([1_000, undefined, undefined])
    })

    it('come with the refusals of the store while it was down, so that a version named on its return has a time', async () => {
      await answerRead(2_000, Neverthrow.err({ kind: 'unavailable', reason: 'status 503' }))
      await answerRead(9_000, Neverthrow.err({ kind: 'unavailable', reason: 'status 503' }))
      await answerRead(9_110, pageAt(2, 9_105))
      expect(lastTimes()).toEqual([1_000, 2_000, 9_000])
      await answerRead(9_120, pageAt(3, 9_115))
      expect(lastTimes()).toEqual([9_105, undefined, undefined])
    })

    it('come without refusals when reads were only rate-limited', async () => {
      await answerRead(2_000, Neverthrow.err({ kind: 'limited', reason: 'status 429' }))
      await answerRead(9_000, Neverthrow.err({ kind: 'limited', reason: 'status 429' }))
      await answerRead(9_110, pageAt(2, 9_105))
      expect(lastTimes()).toEqual([1_000, undefined, undefined])
    })

    it('come with the second of two reads that timed out', async () => {
      await answerRead(9_000, Neverthrow.err({ kind: 'silent', reason: 'timed out' }))
      await answerRead(18_000, Neverthrow.err({ kind: 'silent', reason: 'timed out' }))
      await answerRead(18_010, pageAt(2, 18_005))
      expect(lastTimes()).toEqual([1_000, 18_000, 18_000])
    })
  })
})

describe('StoreClock', () => {
  let ownMs = 0
  const createClock = (): Follow.StoreClock.StoreClock => Follow.StoreClock.createStoreClock(() => ownMs)

  it('is unknown before any time was observed', () => {
    const storeClock = createClock()
    expect([storeClock.now(), storeClock.toLocalMs(5)]).toEqual([Infinity, -Infinity])
  })

  it('follows the answer with the shortest delay', () => {
    ownMs = 1_000
    const storeClock = createClock()
    storeClock.observeAnswer(10_900)
    ownMs = 1_100
    storeClock.observeAnswer(11_098)
    ownMs = 5_000
    storeClock.observeAnswer(12_000)
    expect([storeClock.now(), storeClock.toStoreMs(1_100), storeClock.toLocalMs(11_098)]).toEqual([14_998, 11_098, 1_100])
  })

  it('stays right when its own clock had stopped', () => {
    ownMs = 1_000
    const storeClock = createClock()
    storeClock.observeAnswer(11_000)
    ownMs = 1_010
    storeClock.observeAnswer(16_008)
    expect(storeClock.now()).toEqual(16_008)
  })

  it('follows the times of other processes, and does not pass them on', () => {
    ownMs = 1_000
    const storeClock = createClock()
    storeClock.observePeer(11_200)
    expect([storeClock.now(), storeClock.nowByAnswers()]).toEqual([11_200, undefined])
    storeClock.observeAnswer(11_300)
    expect([storeClock.now(), storeClock.nowByAnswers()]).toEqual([11_300, 11_300])
  })

  it('follows another process when all its own answers were slow', () => {
    ownMs = 1_000
    const storeClock = createClock()
    storeClock.observeAnswer(8_000)
    ownMs = 2_000
    storeClock.observePeer(12_000)
    expect([storeClock.now(), storeClock.nowByAnswers()]).toEqual([12_000, 9_000])
    ownMs = 3_000
    storeClock.observeAnswer(9_500)
    expect(storeClock.now()).toEqual(13_000)
  })

  it('does not drift with the fastest clock of processes that exchange their times', () => {
    let storeMs = 0
    const rates = [1, 1.0001, 0.9999]
    const clocks = rates.map(rate => Follow.StoreClock.createStoreClock(() => storeMs * rate))
    for (storeMs = 0; storeMs <= 86_400_000; storeMs += 20_000) {
      for (const storeClock of clocks) storeClock.observeAnswer(storeMs)
      for (const from of clocks) for (const to of clocks) to.observePeer(from.nowByAnswers() ?? 0)
    }
    storeMs -= 20_000
    expect(clocks.every(storeClock => Math.abs(storeClock.now() - storeMs) < 50)).toEqual(true)
  })

  it('drops old answers, since clocks drift', () => {
    ownMs = 0
    const storeClock = createClock()
    storeClock.observeAnswer(10_000)
    for (const atMs of [61_000, 122_000, 183_000]) {
      ownMs = atMs
      storeClock.observeAnswer(9_990 + atMs)
    }
    expect(storeClock.now()).toEqual(9_990 + 183_000)
  })
})

describe('learnVersions', () => {
  const storeClock = Follow.StoreClock.createStoreClock(() => 0)
  const GRACE_MS = 7_000
  const learn = (versions: Routing.Versions.Versions, named: Follow.News.News['named'], completeAtMs: number): void => {
    Follow.News.learnVersions(versions, { sender: 'other', revisions: {}, named }, { completeness: () => ({ completeAtMs }) }, storeClock, () => {})
  }

  it('assumes that a version without a time was named after its own rows were last complete', () => {
    const versions = Routing.Versions.createVersions(() => ({ sendMs: GRACE_MS, beginMs: GRACE_MS }))
    learn(versions, [{ model: 'm', version: 2, revision: 5 }], 3_000)
    expect([versions.oldestSendableOf('m', 9_999), versions.oldestSendableOf('m', 10_000)]).toEqual([1, 2])
  })

  it('treats a superseded version without a time as overdue', () => {
    const versions = Routing.Versions.createVersions(() => ({ sendMs: GRACE_MS, beginMs: GRACE_MS }))
    learn(versions, [{ model: 'm', version: 3, revision: 6, notBeforeMs: 3_000 }, { model: 'm', version: 2, revision: 5 }], -Infinity)
    expect(versions.oldestSendableOf('m', 3_100)).toEqual(2)
  })
})

describe('Splitter', () => {
  it('passes on whole events only, however the bytes are split', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
    for (let size = 1; size < text.length; size++) {
      const splitter = Ingress.Events.createSplitter()
      let passed = ''
      let lastEventId: string | undefined
      for (let at = 0; at < text.length; at += size) {
        const whole = splitter.push(Buffer.from(text.slice(at, at + size)))
        passed += whole?.bytes.toString() ?? ''
        lastEventId = whole?.lastEventId ?? lastEventId
      }
      expect([passed, lastEventId, splitter.pendingBytes()]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', '2', 8])
    }
  })
})
