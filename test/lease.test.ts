import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

const DURATION_MS = 1_000

/** Creates contenders for one lease in one table; all use the same clock, which only `advance` moves. */
function createContenders (count: number) {
  const table = TestKit.Tables.createMemoryTables()
  let nowMs = 0
  let nonceCount = 0
  const leases = Array.from({ length: count }, (_, index) => Control.Lease.createLease({
    tables: table,
    name: 'placement',
    holder: `holder-${index}`,
    durationMs: DURATION_MS,
    clock: () => nowMs,
    makeNonce: () => `nonce-${++nonceCount}`
  }))
  const lease = (index: number): Control.Lease.Lease => leases[index] as Control.Lease.Lease
  return { table, lease, leases, advance: (byMs: number) => { nowMs += byMs } }
}

describe('createLease', () => {
  describe('poll', () => {
    it('grants a free lease to the first and not to the second', async () => {
      const { lease } = createContenders(2)
      await lease(0).poll()
      await lease(1).poll()
      expect([lease(0).current()?.fencingNumber, lease(1).current()]).toEqual([1, undefined])
    })

    it('renews without a new fencing number', async () => {
      const { lease, advance } = createContenders(1)
      await lease(0).poll()
      advance(DURATION_MS / 2)
      await lease(0).poll()
      advance(DURATION_MS / 2 + 1)
      expect(lease(0).current()?.fencingNumber).toEqual(1)
    })

    it('passes an expired lease on with a higher fencing number, and its former holder no longer holds it', async () => {
      const { lease, advance } = createContenders(2)
      await lease(0).poll()
      await lease(1).poll()
      advance(DURATION_MS)
      await lease(1).poll()
      expect(lease(1).current()?.fencingNumber).toEqual(2)
      expect(lease(0).current()).toEqual(undefined)
      await lease(0).poll()
      expect(lease(0).current()).toEqual(undefined)
    })

    it('recovers a grant whose answer was lost', async () => {
      const { lease, table } = createContenders(1)
      table.nextWrites(['answerLost'])
      await lease(0).poll()
      expect(lease(0).current()?.fencingNumber).toEqual(1)
    })

    it('does not hold the lease after the store was down for longer than its duration', async () => {
      const { lease, table, advance } = createContenders(1)
      await lease(0).poll()
      table.setReadsDown(true)
      table.nextWrites(['refused'])
      advance(DURATION_MS)
      await lease(0).poll()
      expect(lease(0).current()).toEqual(undefined)
    })
  })

  describe('release', () => {
    it('lets the next contender acquire the lease before its duration has passed', async () => {
      const { lease, advance } = createContenders(2)
      await lease(0).poll()
      await lease(0).release()
      await lease(1).poll()
      advance(1)
      await lease(1).poll()
      expect(lease(1).current()?.fencingNumber).toEqual(2)
    })
  })

  it('never has two holders under any sequence of pauses, lost messages and outages', async () => {
    const step = FastCheck.record({
      leaseIndex: FastCheck.nat(2),
      advanceMs: FastCheck.nat(DURATION_MS),
      fate: FastCheck.constantFrom<TestKit.Tables.WriteFate>('answered', 'answered', 'answered', 'refused', 'lost', 'answerLost', 'late'),
      readsDown: FastCheck.integer({ min: 0, max: 4 }).map(number => number === 0),
      deliverLate: FastCheck.boolean()
    })
    await FastCheck.assert(FastCheck.asyncProperty(FastCheck.array(step, { minLength: 10, maxLength: 60 }), async steps => {
      const { table, lease, leases, advance } = createContenders(3)
      let highestFencingNumber = 0
      for (const { leaseIndex, advanceMs, fate, readsDown, deliverLate } of steps) {
        table.nextWrites([fate])
        table.setReadsDown(readsDown)
        if (deliverLate) table.deliverLate()
        await lease(leaseIndex).poll()
        const holders = leases.flatMap(contender => contender.current() ?? [])
        expect(holders.length <= 1).toEqual(true)
        const fencingNumber = holders[0]?.fencingNumber ?? highestFencingNumber
        expect(fencingNumber >= highestFencingNumber).toEqual(true)
        highestFencingNumber = fencingNumber
        advance(advanceMs)
      }
    }), { seed: 7, numRuns: 500 })
  })
})

describe('createHolder', () => {
  it('cannot commit a plan after another holder has taken over', async () => {
    const table = TestKit.Tables.createMemoryTables()
    let nowMs = 0
    const held = Control.Documents.createHeldDocuments()
    const manifest = TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version: 'v1', digest: 'a'.repeat(64), sizeBytes: 1 })
    held.adopt({ kind: 'manifest', version: 1, body: manifest })
    const refusals: string[] = []
    const makeHolder = (instanceId: string, tables = table) => Control.PlacementHolder.createHolder({
      tables,
      instanceId,
      leaseDurationMs: DURATION_MS,
      clock: () => nowMs,
      held,
      instances: () => [],
      onDocument: () => {},
      log: (_sentence, fields) => { refusals.push((fields as { code?: string }).code ?? 'none') }
    })
    // The first holder is paused between its grant and its commit of a plan; meanwhile the second takes over.
    const second = makeHolder('second')
    let paused = true
    const first = makeHolder('first', {
      ...table,
      read: async rows => {
        if (paused && rows[0]?.table === 'control') {
          paused = false
          await second.poll()
          nowMs += DURATION_MS
          await second.poll()
        }
        return await table.read(rows)
      }
    })
    await first.poll()
    expect(refusals.filter(code => code === 'staleFencing').length).toEqual(1)
    const stored = table.peek('control', 'placement')?.value as { version: number, body: { fencingNumber: number } }
    expect([stored.version, stored.body.fencingNumber]).toEqual([1, 2])
  })

  describe('a holder whose documents are older than those in the store', () => {
    const manifestOf = (version: string) => TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version, digest: Core.Hash.sha256(version), sizeBytes: 1 })
    const instancesOf = (count: number): Schemas.Platform.Instance[] => Array.from({ length: count }, (_, index) => ({
      instanceId: `fescue-llm-${index}`, kind: 'agent', service: 'fescue-llm', zone: 'kartli', region: 'kartli', host: '127.0.0.1', port: 1, state: 'live'
    }))
    const commitManifest = async (table: TestKit.Tables.MemoryTables, version: string) =>
      (await Control.Commits.commit(table, { kind: 'manifest', change: () => manifestOf(version), nonce: version }))._unsafeUnwrap()

    /** A holder that held all documents, then heard no more of them; meanwhile another one places version v2 and gives up the lease. */
    async function createLateHolder () {
      const table = TestKit.Tables.createMemoryTables()
      let nowMs = 0
      const sentences: string[] = []
      const makeHolder = (instanceId: string, instances: () => Schemas.Platform.Instance[]) => {
        const held = Control.Documents.createHeldDocuments()
        const holder = Control.PlacementHolder.createHolder({
          tables: table, instanceId, leaseDurationMs: DURATION_MS, clock: () => nowMs, held, instances, onDocument: held.adopt, log: sentence => { sentences.push(sentence) }
        })
        return { held, ...holder }
      }
      let instanceCount = 1
      const first = makeHolder('first', () => instancesOf(1))
      const late = makeHolder('late', () => instancesOf(instanceCount))
      const oldManifest = await commitManifest(table, 'v1')
      first.held.adopt(oldManifest)
      late.held.adopt(oldManifest)
      await first.poll()
      for (const document of (await Control.Commits.readDocuments(table))._unsafeUnwrap()) late.held.adopt(document)
      first.held.adopt(await commitManifest(table, 'v2'))
      await first.poll()
      await first.close()
      instanceCount = 2
      sentences.length = 0
      const planInForce = () => (table.peek('control', 'placement')?.value as { body: Schemas.Control.PlacementPlan }).body
      return { late, sentences, planInForce, poll: async () => { nowMs += 1; await late.poll() } }
    }

    it('does not take the plan back to the manifest before', async () => {
      const { late, sentences, planInForce, poll } = await createLateHolder()
      expect(planInForce().manifestVersion).toEqual(2)
      await poll()
      await poll()
      expect([planInForce().manifestVersion, planInForce().assignments[0]?.model?.version]).toEqual([2, 'v2'])
      expect(sentences).toEqual(['Plan put off.'])
      expect(late.held.versions().manifest).toEqual(2)
    })

    it('commits its plan from the newer documents at the next poll', async () => {
      const { planInForce, poll } = await createLateHolder()
      for (let count = 0; count < 3; count++) await poll()
      expect([planInForce().fencingNumber, planInForce().manifestVersion, planInForce().assignments.length]).toEqual([2, 2, 2])
    })
  })
})
