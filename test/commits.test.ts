import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Commits from '../src/control/commits.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

describe('Commits', () => {
  const wait = async (): Promise<void> => {}
  const drainChange = (zone: string, nonce: string): Commits.Change => ({
    kind: 'drains',
    nonce,
    change: body => ({ zones: [...((body as Schemas.Control.Drains | undefined)?.zones ?? []), zone], instanceIds: [] })
  })
  const manifestOf = (version: string) => TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version, digest: 'a'.repeat(64), sizeBytes: 1 })
  const manifestChange = (version: string, nonce: string, expectedVersion?: number): Commits.Change => ({ kind: 'manifest', nonce, expectedVersion, change: () => manifestOf(version) })
  const createTables = TestKit.Tables.createMemoryTables

  describe('commit', () => {
    it('raises the version by one, as seen by reads of versions and documents', async () => {
      const tables = createTables()
      await Commits.commit(tables, manifestChange('v1', 'a'))
      const second = await Commits.commit(tables, manifestChange('v2', 'b'))
      expect(second._unsafeUnwrap().version).toEqual(2)
      expect((await Commits.readVersions(tables))._unsafeUnwrap()).toEqual({ manifest: 2, placement: 0, drains: 0, quarantine: 0 })
      expect((await Commits.readDocuments(tables, ['manifest']))._unsafeUnwrap()).toEqual([{ kind: 'manifest', version: 2, body: manifestOf('v2') }])
    })

    it('accepts one of two concurrent commits and returns the document in force to the other', async () => {
      const tables = createTables()
      const results = await Promise.all([Commits.commit(tables, manifestChange('v1', 'a', 0)), Commits.commit(tables, manifestChange('v2', 'b', 0))])
      const failure = results[1]?._unsafeUnwrapErr()
      expect(results[0]?.isOk()).toEqual(true)
      expect([failure?.code, failure?.current?.version]).toEqual(['versionConflict', 1])
    })

    it('is accepted when its answer was lost after it took effect', async () => {
      const tables = createTables()
      tables.nextWrites(['answerLost'])
      expect((await Commits.commit(tables, manifestChange('v1', 'a'), { wait }))._unsafeUnwrap().version).toEqual(1)
      expect(tables.peek(Commits.HISTORY_TABLE, '0000000002')).toEqual(undefined)
    })

    for (const [what, change] of [['a manifest', manifestChange('v1', 'a')], ['drains', drainChange('kartli', 'a')]] as const) {
      it(`is accepted when another commit of ${what} has followed`, async () => {
        const tables = createTables()
        tables.nextWrites(['answerLost'])
        tables.setReadsDown(false)
        let followed = false
        const follow = async (): Promise<void> => {
          if (followed) return
          followed = true
          tables.setReadsDown(false)
          await Commits.commit(tables, { ...change, nonce: 'b' })
        }
        const transact = tables.transact
        const overtaken = { ...tables, transact: async (transaction: Schemas.Platform.Transaction) => { const answer = await transact(transaction); if (answer.isErr()) await follow(); return answer } }
        expect((await Commits.commit(overtaken, change, { wait }))._unsafeUnwrap().version).toEqual(1)
        expect((await Commits.readVersions(tables))._unsafeUnwrap()[change.kind]).toEqual(2)
      })
    }

    it('commits once more when the write was lost, without applying it twice', async () => {
      const tables = createTables()
      await Commits.commit(tables, drainChange('kartli', 'a'))
      tables.nextWrites(['lost'])
      const committed = (await Commits.commit(tables, drainChange('adjara', 'b'), { wait }))._unsafeUnwrap()
      expect([committed.version, committed.body]).toEqual([2, { zones: ['kartli', 'adjara'], instanceIds: [] }])
    })

    for (const earlierCount of [0, 1]) {
      it(`keeps a late write from taking effect after ${earlierCount} earlier commits`, async () => {
        const tables = createTables()
        if (earlierCount === 1) await Commits.commit(tables, drainChange('kartli', 'a'))
        tables.nextWrites(['late'])
        const committed = (await Commits.commit(tables, drainChange('adjara', 'b'), { wait }))._unsafeUnwrap()
        expect(tables.deliverLate()).toEqual(0)
        expect(committed.version).toEqual(earlierCount + 1)
      })
    }

    it('reports an unknown outcome when the table service stays unreachable', async () => {
      const tables = createTables()
      tables.nextWrites(['answerLost'])
      const transact = tables.transact
      const unavailable = { ...tables, transact: async (transaction: Schemas.Platform.Transaction) => { const answer = await transact(transaction); tables.setReadsDown(true); return answer } }
      expect((await Commits.commit(unavailable, manifestChange('v1', 'a'), { wait }))._unsafeUnwrapErr().code).toEqual('acceptedUnknown')
    })

    it('fails without effect when the table service refuses it', async () => {
      const tables = createTables()
      tables.nextWrites(['refused'])
      expect((await Commits.commit(tables, manifestChange('v1', 'a'), { wait }))._unsafeUnwrapErr().code).toEqual('storeUnavailable')
      expect((await Commits.readVersions(tables))._unsafeUnwrap().manifest).toEqual(0)
    })
  })
})
