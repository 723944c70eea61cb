import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as Core from '../src/core/index.ts'
import * as ClaimCleaner from '../src/gateway/claimCleaner.ts'
import * as ClaimRecords from '../src/gateway/claimRecords.ts'
import * as ClaimWriter from '../src/gateway/claimWriter.ts'
import type * as Messages from '../src/gateway/messages.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

const FLUSH_MS = 60_000
let fixtureCount = 0

function recordOf (attemptId: string, fields: Partial<Schemas.Calls.ClaimRecord> = {}): Schemas.Calls.ClaimRecord {
  return { nonce: `nonce-${attemptId}`, digest: 'd'.repeat(64), gatewayId: 'gateway-1', callId: `call-${attemptId}`, attemptId, agentId: 'agent-1', agentIncarnation: 'i1', state: 'claimed', claimedAtMs: 0, expiresAtMs: 1_000, ...fields }
}

function writeOf (claimKey: string, attemptId: string, fields: Partial<Messages.ClaimWrite> = {}): Messages.ClaimWrite {
  return { kind: 'claim', callId: `call-${attemptId}`, claimKey, revision: 0, record: recordOf(attemptId), reclaims: false, ...fields }
}

/** A writer over tables in memory, in time that passes only while it waits. */
function createFixture (tables = TestKit.Tables.createMemoryTables()) {
  let nowMs = 0
  let idCount = 0
  const prefix = fixtureCount++
  const results = new Map<string, Messages.ClaimResult>()
  let transactionCount = 0
  const writer = ClaimWriter.createClaimWriter({
    tables: { ...tables, transact: async transaction => { transactionCount++; return await tables.transact(transaction) } },
    onResult: (_claimKey, callId, result) => { results.set(callId, result) },
    clock: () => nowMs,
    wait: async delayMs => { nowMs += delayMs; await new Promise(resolve => setImmediate(resolve)) },
    random: Core.Random.createRandom(1),
    makeId: () => `${prefix}-${idCount++}`,
    gatherMs: 2,
    saveGatherMs: 20,
    intervalMs: () => 10
  })
  const stateOf = (claimKey: string): string | undefined => (tables.peek(ClaimWriter.CLAIM_TABLE, claimKey)?.value as Schemas.Calls.ClaimRecord | undefined)?.state
  return { tables, writer, results, stateOf, transactionCount: () => transactionCount }
}

describe('createClaimWriter', () => {
  describe('many claims', () => {
    it('go into one transaction', async () => {
      const { writer, results, transactionCount } = createFixture()
      for (let index = 0; index < 50; index++) writer.write(writeOf(`w/${index}`, `a${index}`))
      await writer.flush(FLUSH_MS)
      expect([...results.values()].every(result => result.kind === 'granted')).toEqual(true)
      expect(transactionCount()).toEqual(1)
    })

    it('are not spoilt by one conflict', async () => {
      const { writer, results, transactionCount } = createFixture()
      writer.write(writeOf('w/taken', 'first'))
      await writer.flush(FLUSH_MS)
      for (const name of ['x', 'taken', 'y']) writer.write(writeOf(`w/${name}`, `a-${name}`))
      await writer.flush(FLUSH_MS)
      expect(['call-a-x', 'call-a-taken', 'call-a-y'].map(callId => results.get(callId)?.kind)).toEqual(['granted', 'held', 'granted'])
      expect(transactionCount()).toEqual(3)
    })
  })

  describe('a lost answer', () => {
    it('is settled by reading back the nonce', async () => {
      const { tables, writer, results, transactionCount } = createFixture()
      tables.nextWrites(['answerLost'])
      writer.write(writeOf('w/k', 'a1'))
      await writer.flush(FLUSH_MS)
      expect(results.get('call-a1')?.kind).toEqual('granted')
      expect(transactionCount()).toEqual(1)
    })

    it('of a write that arrives late never grants the key twice', async () => {
      const first = createFixture()
      const second = createFixture(first.tables)
      first.tables.nextWrites(['late', 'refused'])
      first.writer.write(writeOf('w/k', 'a1'))
      await new Promise(resolve => setImmediate(resolve))
      second.writer.write(writeOf('w/k', 'a2'))
      await second.writer.flush(FLUSH_MS)
      first.tables.deliverLate()
      await first.writer.flush(FLUSH_MS)
      const kinds = [first.results.get('call-a1')?.kind, second.results.get('call-a2')?.kind]
      expect([...kinds].sort()).toEqual(['granted', 'held'])
    })

    it('of an abandoned claim leaves the key released, also when the write arrives late', async () => {
      const { tables, writer, results, stateOf } = createFixture()
      tables.nextWrites(['late', 'refused', 'refused'])
      writer.write(writeOf('w/k', 'a1'))
      while (tables.peek(ClaimWriter.CLAIM_TABLE, 'w/k') === undefined && writer.pendingCount() > 0) {
        writer.abandon('call-a1')
        await new Promise(resolve => setImmediate(resolve))
      }
      await writer.flush(FLUSH_MS)
      expect(tables.deliverLate()).toEqual(0)
      expect(results.size).toEqual(0)
      expect([undefined, 'released'].includes(stateOf('w/k'))).toEqual(true)
    })

    it('of a claim that took effect before it was abandoned is released', async () => {
      const { tables, writer, stateOf } = createFixture()
      tables.nextWrites(['answerLost', 'refused'])
      tables.setReadsDown(true)
      writer.write(writeOf('w/k', 'a1'))
      while (tables.peek(ClaimWriter.CLAIM_TABLE, 'w/k') === undefined) await new Promise(resolve => setImmediate(resolve))
      writer.abandon('call-a1')
      tables.setReadsDown(false)
      await writer.flush(FLUSH_MS)
      expect(stateOf('w/k')).toEqual('released')
    })
  })

  describe('a save', () => {
    it('replaces an outcome that was given up as unknown for the same attempt', async () => {
      const { writer, results, stateOf } = createFixture()
      writer.write(writeOf('w/k', 'a1'))
      await writer.flush(FLUSH_MS)
      const granted = results.get('call-a1')
      const revision = granted?.kind === 'granted' ? granted.revision : -1
      writer.write(writeOf('w/k', 'a1', { kind: 'save', revision, record: recordOf('a1', { nonce: 'n2', state: 'unknown' }) }))
      writer.write(writeOf('w/k', 'a1', { kind: 'save', revision, record: recordOf('a1', { nonce: 'n3', state: 'done' }) }))
      await writer.flush(FLUSH_MS)
      expect(stateOf('w/k')).toEqual('done')
    })

    it('does not replace what another attempt saved', async () => {
      const { writer, stateOf, tables } = createFixture()
      writer.write(writeOf('w/k', 'a1', { kind: 'save', record: recordOf('a1', { state: 'done' }) }))
      await writer.flush(FLUSH_MS)
      writer.write(writeOf('w/k', 'a2', { kind: 'save', record: recordOf('a2', { state: 'unknown' }) }))
      await writer.flush(FLUSH_MS)
      expect(stateOf('w/k')).toEqual('done')
      expect((tables.peek(ClaimWriter.CLAIM_TABLE, 'w/k')?.value as Schemas.Calls.ClaimRecord).attemptId).toEqual('a1')
    })
  })

  describe('any order of failures', () => {
    it('grants a key once until it is released', async () => {
      const fate = FastCheck.constantFrom<TestKit.Tables.WriteFate>('answered', 'answerLost', 'lost', 'late', 'refused')
      const step = FastCheck.record({ writer: FastCheck.nat(2), key: FastCheck.nat(2), abandons: FastCheck.boolean(), delivers: FastCheck.boolean() })
      await FastCheck.assert(FastCheck.asyncProperty(FastCheck.array(fate, { maxLength: 40 }), FastCheck.array(step, { minLength: 1, maxLength: 12 }), async (fates, steps) => {
        const tables = TestKit.Tables.createMemoryTables()
        const fixtures = [0, 1, 2].map(() => createFixture(tables))
        tables.nextWrites(fates)
        for (const [index, { writer, key, abandons, delivers }] of steps.entries()) {
          const fixture = fixtures[writer]
          fixture?.writer.write(writeOf(`w/${key}`, `a${index}-${key}`))
          await new Promise(resolve => setImmediate(resolve))
          if (abandons && fixture?.results.has(`call-a${index}-${key}`) === false) fixture.writer.abandon(`call-a${index}-${key}`)
          if (delivers) tables.deliverLate()
        }
        for (const fixture of fixtures) await fixture.writer.flush(FLUSH_MS)
        tables.deliverLate()
        for (const key of [0, 1, 2]) {
          const granted = fixtures.flatMap(fixture => [...fixture.results]).filter(([callId, result]) => callId.endsWith(`-${key}`) && result.kind === 'granted')
          const record = tables.peek(ClaimWriter.CLAIM_TABLE, `w/${key}`)?.value as Schemas.Calls.ClaimRecord | undefined
          if (granted.length > 1) return false
          if (record?.state === 'claimed' && granted[0]?.[0] !== record.callId) return false
        }
        return true
      }), { seed: 5, numRuns: 150 })
    })
  })
})

describe('clean', () => {
  it('deletes expired claims and leaves those that were taken again', async () => {
    const { tables, writer, results, stateOf } = createFixture()
    writer.write(writeOf('w/old', 'a1'))
    writer.write(writeOf('w/again', 'a2'))
    await writer.flush(FLUSH_MS)
    const granted = results.get('call-a2')
    writer.write(writeOf('w/again', 'a3', { revision: granted?.kind === 'granted' ? granted.revision : -1, record: recordOf('a3', { expiresAtMs: 2 * ClaimRecords.KEEP_CLAIM_MS }) }))
    await writer.flush(FLUSH_MS)
    expect(await ClaimCleaner.clean({ tables, wallClock: () => ClaimRecords.KEEP_CLAIM_MS })).toEqual(1)
    expect([stateOf('w/old'), stateOf('w/again')]).toEqual([undefined, 'claimed'])
    expect(await ClaimCleaner.clean({ tables, wallClock: () => ClaimRecords.KEEP_CLAIM_MS })).toEqual(0)
  })
})
