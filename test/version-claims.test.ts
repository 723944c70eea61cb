import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as Follow from '../src/follow/index.ts'
import * as Routing from '../src/routing/index.ts'

describe('Versions', () => {
  const GRACE_MS = 7_000
  const NO_PAGE: Routing.Versions.ReadProgress = { completeAtMs: -Infinity }
  const create = (): Routing.Versions.Versions => Routing.Versions.createVersions(() => ({ sendMs: GRACE_MS, beginMs: GRACE_MS + 500 }))
  const naming = (version: number, notBeforeMs = -Infinity, revision = version): Routing.Versions.VersionNaming => ({ model: 'm', version, revision, namedAtMs: undefined, notBeforeMs })

  it('allows the previous version until the new one is due', () => {
    const versions = create()
    versions.addNaming(naming(2, 1_000), NO_PAGE)
    expect([versions.oldestSendableOf('m', 7_999), versions.oldestSendableOf('m', 8_000)]).toEqual([1, 2])
  })

  it('lets calls begin on the previous version for longer than they may be sent to it', () => {
    const versions = create()
    versions.addNaming(naming(2, 1_000), NO_PAGE)
    expect([versions.oldestSendableOf('m', 8_000), versions.oldestBeginnableOf('m', 8_499), versions.oldestBeginnableOf('m', 8_500)]).toEqual([2, 1, 2])
  })

  it('treats a version that was named before the start as overdue until another process sends a claim', () => {
    const versions = create()
    versions.addNaming(naming(2), NO_PAGE)
    expect(versions.oldestSendableOf('m', 0)).toEqual(2)
    versions.addNaming(naming(2, 0), NO_PAGE)
    expect([versions.oldestSendableOf('m', 100), versions.oldestSendableOf('m', 7_000)]).toEqual([1, 2])
  })

  it('never allows an older version again', () => {
    const versions = create()
    versions.addNaming(naming(3, 10), NO_PAGE)
    versions.addNaming(naming(2, 0), NO_PAGE)
    expect([versions.newestVersionOf('m'), versions.oldestSendableOf('m', 7_000), versions.oldestSendableOf('m', 7_010)]).toEqual([3, 2, 3])
  })

  it('allows only the version directly before the newest if there are no claims for older ones', () => {
    const versions = create()
    versions.addNaming(naming(3, 2_000), NO_PAGE)
    expect([versions.oldestSendableOf('m', 2_000), versions.oldestSendableOf('m', 9_000)]).toEqual([2, 3])
  })

  it('applies a superseded version that it learns after the newest', () => {
    const versions = create()
    versions.addNaming(naming(3, 2_000), NO_PAGE)
    versions.addNaming(naming(2, 0), NO_PAGE)
    expect([versions.oldestSendableOf('m', 6_999), versions.oldestSendableOf('m', 7_000), versions.oldestSendableOf('m', 9_000)]).toEqual([1, 2, 3])
  })

  it('allows for versions that it may have missed before the newest from its own last page on', () => {
    const versions = create()
    versions.addNaming(naming(4, 6_000), { completeAtMs: 1_000 })
    expect([versions.oldestSendableOf('m', 7_999), versions.oldestSendableOf('m', 8_000), versions.oldestSendableOf('m', 13_000)]).toEqual([1, 3, 4])
    expect(versions.namedVersionsOf('m').map(({ version }) => version)).toEqual([4])
  })

  it('uses the strongest of several claims', () => {
    const versions = create()
    versions.addNaming(naming(2, 4_000), NO_PAGE)
    versions.addNaming(naming(2, 30), NO_PAGE)
    expect([versions.oldestSendableOf('m', 10_999), versions.oldestSendableOf('m', 11_000)]).toEqual([1, 2])
  })

  it('drops the claims that follow from a later write of the same version', () => {
    const versions = create()
    versions.addNaming(naming(2, 4_000, 9), NO_PAGE)
    versions.addNaming(naming(2, 30, 5), NO_PAGE)
    expect([versions.oldestSendableOf('m', 7_029), versions.oldestSendableOf('m', 7_030)]).toEqual([1, 2])
    versions.addNaming(naming(2, 4_000, 9), NO_PAGE)
    expect(versions.oldestSendableOf('m', 7_030)).toEqual(2)
  })

  it('gives a version that is named after an outage of the store its full time', () => {
    const versions = create()
    versions.addNaming(naming(2), { completeAtMs: 1_000, outage: { fromMs: 2_000, toMs: 10_000 } })
    expect([versions.oldestSendableOf('m', 16_999), versions.oldestSendableOf('m', 17_000)]).toEqual([1, 2])
    expect(versions.namingsToShare(12_000).map(({ notBeforeMs }) => notBeforeMs)).toEqual([1_000])
  })

  it('counts an outage of the store only until it answered another process', () => {
    const versions = create()
    versions.addNaming(naming(2), { completeAtMs: 1_000, outage: { fromMs: 2_000, toMs: 10_000 } })
    versions.applyRevisionTimes({ notBeforeMs: () => -Infinity, answeredAfterMs: timeMs => timeMs + 500 })
    expect([versions.oldestSendableOf('m', 9_499), versions.oldestSendableOf('m', 9_500)]).toEqual([1, 2])
  })

  it('sends others the newest version and every claim that still allows an older one', () => {
    const versions = create()
    for (const [version, notBeforeMs] of [[2, -Infinity], [3, 0], [4, 5_000]] as const) versions.addNaming(naming(version, notBeforeMs), NO_PAGE)
    const toldVersions = (nowMs: number): number[] => versions.namingsToShare(nowMs).map(({ version }) => version)
    expect([toldVersions(6_000), toldVersions(7_500), toldVersions(13_000), toldVersions(Infinity)]).toEqual([[3, 4], [4], [4], [4]])
  })

  describe('among processes that read and send news in any order', () => {
    const PROCESS_COUNT = 3
    interface Process { readonly versions: Routing.Versions.Versions, readonly readings: Follow.Readings.Readings, completeAtMs: number }
    const stepArbitrary = FastCheck.record({
      kind: FastCheck.constantFrom('read', 'glance', 'tell', 'restart'),
      from: FastCheck.nat(PROCESS_COUNT - 1),
      to: FastCheck.nat(PROCESS_COUNT - 1),
      afterMs: FastCheck.nat(3_000),
      /** Time until an answer of the store arrives. */
      delayMs: FastCheck.nat(6_000)
    })
    const createProcess = (): Process => ({ versions: create(), readings: Follow.Readings.createReadings(), completeAtMs: -Infinity })

    it('never allows a version older than the one that is due', () => {
      const namingTimes = FastCheck.array(FastCheck.integer({ min: 0, max: 20_000 }), { minLength: 1, maxLength: 5 }).map(times => times.sort((a, b) => a - b))
      FastCheck.assert(FastCheck.property(namingTimes, FastCheck.array(stepArbitrary, { maxLength: 40 }), (times, steps) => {
        /** The store's revision rises by one every millisecond. */
        const revisionAt = (atMs: number): number => atMs
        const newestAt = (atMs: number): number => 1 + times.filter(timeMs => timeMs < atMs).length
        const processes = Array.from({ length: PROCESS_COUNT }, createProcess)
        const arrivals: Array<{ atMs: number, take: () => void }> = []
        const scheduleRead = (process: Process, atMs: number): void => {
          const version = newestAt(atMs)
          const revision = revisionAt(atMs)
          arrivals.push({
            atMs,
            take: () => {
              if (process.completeAtMs >= atMs) return
              const before = { completeAtMs: process.completeAtMs }
              process.completeAtMs = atMs
              process.readings.record({ revision, atMs })
              const writtenAtMs = times[version - 2]
              if (writtenAtMs === undefined) return
              const rowRevision = revisionAt(writtenAtMs) + 1
              process.versions.addNaming({ model: 'm', version, revision: rowRevision, namedAtMs: atMs, notBeforeMs: process.readings.notBeforeMs(rowRevision) }, before)
            }
          })
        }
        let nowMs = 0
        for (const { kind, from, to, afterMs, delayMs } of steps) {
          nowMs += afterMs
          for (const arrival of arrivals.splice(0).sort((a, b) => a.atMs - b.atMs)) {
            if (arrival.atMs <= nowMs) arrival.take()
            else arrivals.push(arrival)
          }
          const sender = processes[from] ?? createProcess()
          const receiver = processes[to] ?? sender
          const handlers: Record<typeof kind, () => void> = {
            read: () => { scheduleRead(sender, nowMs + delayMs) },
            glance: () => { sender.readings.record({ revision: revisionAt(nowMs), atMs: nowMs }) },
            tell: () => {
              const named = sender.versions.namingsToShare(nowMs)
              const reading = sender.readings.latest()
              for (const told of named) receiver.versions.addNaming(told, { completeAtMs: receiver.completeAtMs })
              if (reading !== undefined) receiver.readings.record(reading)
            },
            restart: () => { processes[from] = createProcess() }
          }
          handlers[kind]()
          for (const { versions, readings } of processes) {
            versions.applyRevisionTimes(readings)
            const dueVersion = Math.min(versions.newestVersionOf('m'), newestAt(nowMs - GRACE_MS))
            expect(versions.oldestSendableOf('m', nowMs) >= dueVersion).toEqual(true)
          }
        }
      }), { numRuns: 2_000 })
    })
  })

  it('comes to the same bound as a process that sent it its versions', () => {
    FastCheck.assert(FastCheck.property(FastCheck.array(FastCheck.tuple(FastCheck.integer({ min: 2, max: 6 }), FastCheck.option(FastCheck.integer({ min: 0, max: 20_000 }), { nil: undefined }))), FastCheck.integer({ min: 0, max: 20_000 }), FastCheck.integer({ min: 0, max: 20_000 }), (events, toldAtMs, laterMs) => {
      const first = create()
      for (const [version, notBeforeMs] of events) first.addNaming(naming(version, notBeforeMs), NO_PAGE)
      const second = create()
      for (const told of first.namingsToShare(toldAtMs)) second.addNaming(told, NO_PAGE)
      expect(second.oldestSendableOf('m', toldAtMs + laterMs)).toEqual(first.oldestSendableOf('m', toldAtMs + laterMs))
    }))
  })
})
