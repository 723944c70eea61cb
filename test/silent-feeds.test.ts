import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Follow from '../src/follow/index.ts'
import * as Store from '../platform/store.ts'
import * as Direct from '../testkit/direct.ts'
import * as SilentProxy from '../testkit/silentProxy.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000
/** Time after a reset of connections from which operators' changes are bound again, in milliseconds. */
const STABLE_MS = 3_000
/** Time within which an acknowledged change has to be in force, in milliseconds. */
const APPLY_MS = 2_000

type Answer = Awaited<ReturnType<Follow.Rows.RowSource['readSince']>>

/** A store whose reads are answered by the test, in the order in which they were sent. */
function createManualStore (): { readonly store: Follow.Rows.RowSource, readonly reads: Array<{ readonly table: string, readonly answer: (answer: Answer) => void }> } {
  const reads: Array<{ readonly table: string, readonly answer: (answer: Answer) => void }> = []
  const read = async (table: string): Promise<Answer> => await new Promise(resolve => { reads.push({ table, answer: resolve }) })
  return { store: { readAll: read, readSince: read, write: async () => Neverthrow.ok(0), remove: async () => Neverthrow.ok(0) }, reads }
}

const SILENT: Answer = Neverthrow.err({ kind: 'silent', reason: 'timed out' })
const LOST: Answer = Neverthrow.err({ kind: 'unavailable', reason: 'refused' })
const pageOf = (revision: number): Answer => Neverthrow.ok({ rows: [], revision })

describe('a read that the store holds', () => {
  const secure = (): ReturnType<typeof createManualStore> & { readonly secured: Follow.Rows.RowSource } => {
    const manual = createManualStore()
    return { ...manual, secured: Follow.HeldReads.secureHeldReads(manual.store, { metrics: { count: () => {} }, log: () => {} }) }
  }
  const tablesOf = (reads: ReadonlyArray<{ readonly table: string }>): string[] => reads.map(({ table }) => table)

  // Guards against changes that stay unread until the wait of a read on a silent connection is over.
  it('is repeated once another read gets no answer in time, and the first answer counts', async () => {
    const { secured, reads } = secure()
    const held = secured.readSince('op', 1, 8_000)
    const other = secured.readSince('servers', 1, 500)
    reads[1]?.answer(SILENT)
    expect([await other, tablesOf(reads)]).toEqual([SILENT, ['op', 'servers', 'op']])
    reads[2]?.answer(pageOf(2))
    expect(await held).toEqual(pageOf(2))
  })

  it('is repeated once only, and its repeat reveals nothing about the others', async () => {
    const { secured, reads } = secure()
    const held = [secured.readSince('op', 1, 8_000), secured.readSince('members', 1, 20_000)]
    const other = secured.readSince('servers', 1, 500)
    reads[2]?.answer(SILENT)
    await other
    reads[3]?.answer(SILENT)
    reads[4]?.answer(LOST)
    await TestKit.Wait.sleep(0)
    expect(tablesOf(reads)).toEqual(['op', 'members', 'servers', 'op', 'members'])
    reads[0]?.answer(pageOf(3))
    reads[1]?.answer(SILENT)
    expect(await Promise.all(held)).toEqual([pageOf(3), SILENT])
    expect(reads.length).toEqual(5)
  })

  it('is not repeated when it began after the first sign of silence and both sends of an earlier read get no answer', async () => {
    const { secured, reads } = secure()
    const held = secured.readSince('op', 1, 8_000)
    const other = secured.readSince('servers', 1, 500)
    reads[1]?.answer(SILENT)
    await other
    const later = secured.readSince('members', 1, 20_000)
    for (const at of [2, 0]) reads[at]?.answer(SILENT)
    expect([await held, tablesOf(reads)]).toEqual([SILENT, ['op', 'servers', 'op', 'members']])
    reads[3]?.answer(pageOf(2))
    expect([await later, reads.length]).toEqual([pageOf(2), 4])
  })

  it('is not repeated when another read is refused', async () => {
    const { secured, reads } = secure()
    void secured.readSince('op', 1, 8_000)
    const other = secured.readSince('servers', 1, 500)
    reads[1]?.answer(LOST)
    await other
    expect(reads.length).toEqual(2)
  })
})

describe('a gateway whose connections to the store all go silent at once', () => {
  let stage: Direct.DirectStage
  let proxy: SilentProxy.SilentProxy
  let gateways: Direct.StartedGateway[] = []
  beforeEach(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }])
    proxy = await SilentProxy.createSilentProxy(stage.store.port)
    const store = (): Follow.Rows.RowSource => Store.createRowSource(() => ({ host: '127.0.0.1', port: proxy.port }))
    // No gateway may learn of the change from one that reads the store itself.
    await stage.first.stop()
    gateways = await Promise.all(['ra', 'rb', 'rc'].map(async region => await stage.addGateway(`silent-${region}`, { store: store(), region })))
  })
  afterEach(async () => {
    await stage.stop()
    await proxy.close()
  })

  // Guards against changes that are in force up to 8 s late at all gateways, as no feed ends soon by chance.
  it('puts a change into force in time once the time for a reset of connections is over', async () => {
    const isInForce = (version: number) => (): boolean => gateways.every(({ lines }) => lines.some(line => line.sentence === 'Deployment in force.' && line.fields.version === version))
    stage.deploy({ version: 10 })
    await TestKit.Wait.until('the first change is in force', TIMEOUT_MS, isInForce(10))
    await TestKit.Wait.sleep(100)
    expect(proxy.silence() > 0).toEqual(true)
    await TestKit.Wait.sleep(STABLE_MS)
    stage.deploy({ version: 11 })
    await TestKit.Wait.until('the second change is in force', APPLY_MS, isInForce(11))
  })
})
