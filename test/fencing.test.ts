import { describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Messages from '../src/agent/messages.ts'
import * as Fencing from '../src/agent/systems/fencing.ts'
import * as AgentTables from '../src/agent/tables.ts'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Schemas from '../src/schema/index.ts'

const MINUTE_MS = 60_000

function envelopeOf (attemptId: string, fields: Partial<Schemas.Calls.CallEnvelope> = {}): Schemas.Calls.CallEnvelope {
  return {
    callId: `call-${attemptId}`,
    attemptId,
    gatewayId: 'gateway-1',
    workspace: 'operator-1',
    service: 'filing-api',
    method: 'POST',
    path: '/filings',
    timeLeftMs: 5_000,
    priority: 1,
    idempotent: false,
    stream: false,
    resumeFromIndex: 0,
    digest: 'd'.repeat(64),
    claimKey: 'operator-1/k',
    agentIncarnation: 'i1',
    expiresAtMs: 5_000,
    ...fields
  }
}

function createFixture () {
  const tables = AgentTables.createTables({ instanceId: 'agent-1', kind: 'agent', zone: 'kartli', region: 'kartli', service: 'filing-api', incarnation: 'i1' }, Control.Documents.createHeldDocuments())
  const step = Core.Loop.createStepper<AgentTables.Tables, Messages.Input, Messages.Command>(tables, [Fencing.fencingSystem], Core.Random.createRandom(1))
  const ask = (nowMs: number, attemptId: string, fields: Partial<Schemas.Calls.FenceQuestion> = {}): Schemas.Calls.FenceAnswer | undefined => {
    const question = { attemptId, agentIncarnation: 'i1', expiresAtMs: 5_000, fence: true, ...fields }
    const command = step([{ kind: 'fenceAsked', askId: 'ask', question }], nowMs).commands.find(found => found.kind === 'answerFence')
    return command?.kind === 'answerFence' ? command.answer : undefined
  }
  const recordEnding = (nowMs: number, envelope: Schemas.Calls.CallEnvelope, state: AgentTables.FinishedRow['state'], outcome?: Schemas.Calls.Outcome): void => {
    const system: AgentTables.System = { name: 'remember', run: (_tables, tick) => { Fencing.recordEnding(tables, tick, envelope, state, outcome) } }
    Core.Loop.createStepper<AgentTables.Tables, Messages.Input, Messages.Command>(tables, [system], Core.Random.createRandom(1))([], nowMs)
  }
  /** Returns whether an attempt that arrives now is fenced, so that admission isRefused it. */
  const isRefused = (nowMs: number, envelope: Schemas.Calls.CallEnvelope): boolean => {
    step([{ kind: 'callOffered', envelope }], nowMs)
    return tables.finished.get(envelope.attemptId)?.state === 'fenced'
  }
  return { tables, step, ask, recordEnding, isRefused }
}

const OUTCOME: Schemas.Calls.Outcome = { httpStatus: 200, contentType: 'text/plain', bodyBase64: 'b2s=' }

describe('fencingSystem', () => {
  describe('an attempt that has not arrived', () => {
    it('is not fenced by a query without fence, and still admitted when it arrives', () => {
      const { ask, isRefused } = createFixture()
      expect(ask(0, 'a1', { fence: false })?.state).toEqual('unseen')
      expect(isRefused(1, envelopeOf('a1'))).toEqual(false)
    })

    it('is refused whenever it arrives after it was fenced', () => {
      const { ask, isRefused, tables } = createFixture()
      expect(ask(0, 'a1')?.state).toEqual('neverRun')
      expect(isRefused(4_999, envelopeOf('a1'))).toEqual(true)
      expect(isRefused(20 * MINUTE_MS, envelopeOf('a1'))).toEqual(true)
      expect(ask(20 * MINUTE_MS, 'a1')?.state).toEqual('neverRun')
      expect(tables.finished.count()).toEqual(1)
    })

    it('is not fenced by a query without an expiry', () => {
      const { ask } = createFixture()
      expect(ask(0, 'a1', { expiresAtMs: undefined })?.state).toEqual('unseen')
    })
  })

  describe('an attempt that arrives after it has expired', () => {
    it('is refused because of its age', () => {
      const { isRefused } = createFixture()
      expect(isRefused(5_000, envelopeOf('a1'))).toEqual(true)
    })
  })

  describe('a query for an earlier incarnation of the agent', () => {
    it('is answered as unknown', () => {
      const { ask } = createFixture()
      expect(ask(0, 'a1', { agentIncarnation: 'i0' })?.state).toEqual('unknown')
    })
  })

  describe('a finished attempt', () => {
    it('is answered with its outcome', () => {
      const { ask, recordEnding } = createFixture()
      recordEnding(10, envelopeOf('a1'), 'done', OUTCOME)
      expect(ask(20, 'a1')).toEqual({ state: 'done', outcome: OUTCOME })
    })

    it('is answered as unknown, not as never run, after its eviction', () => {
      const { ask, recordEnding, step, tables } = createFixture()
      recordEnding(10, envelopeOf('a1'), 'done', OUTCOME)
      step([], 5_000 + 15 * MINUTE_MS)
      expect([tables.finished.count(), tables.retention.keptBytes]).toEqual([0, 0])
      expect(ask(5_001 + 15 * MINUTE_MS, 'a1')?.state).toEqual('unknown')
      expect(ask(5_001 + 15 * MINUTE_MS, 'a2', { expiresAtMs: 5_001 + 16 * MINUTE_MS })?.state).toEqual('neverRun')
    })

    it('that was refused can be queried, and is refused again when it arrives late', () => {
      const { ask, recordEnding, isRefused } = createFixture()
      recordEnding(10, envelopeOf('a1'), 'neverRun')
      expect(ask(20, 'a1')?.state).toEqual('neverRun')
      expect(isRefused(6_000, envelopeOf('a1'))).toEqual(true)
    })

    it('is not retained if it cannot be queried', () => {
      const { recordEnding, tables } = createFixture()
      recordEnding(10, envelopeOf('a1', { idempotent: true, claimKey: undefined }), 'done', OUTCOME)
      expect(tables.finished.count()).toEqual(0)
    })
  })

  describe('answers above the maximum size', () => {
    it('are dropped oldest first, while the state of the attempts is retained', () => {
      const { ask, recordEnding, tables } = createFixture()
      const body = 'x'.repeat(1024 * 1024)
      for (let index = 0; index < 10; index++) recordEnding(10, envelopeOf(`a${index}`), 'done', { ...OUTCOME, bodyBase64: body })
      expect(tables.retention.keptBytes <= 8 * 1024 * 1024).toEqual(true)
      expect(ask(20, 'a0')).toEqual({ state: 'done', outcome: undefined })
      expect(ask(20, 'a9')?.outcome?.bodyBase64.length).toEqual(body.length)
    })
  })

  describe('attempts above the maximum count', () => {
    it('are evicted, so that late arrivals are refused and queries are answered as unknown', () => {
      const { ask, recordEnding, isRefused, tables } = createFixture()
      for (let index = 0; index <= 100_000; index++) recordEnding(10, envelopeOf(`a${index}`), 'unknown')
      expect(ask(20, 'b1')?.state).toEqual('unknown')
      expect(tables.finished.count() <= 100_000).toEqual(true)
      expect(isRefused(30, envelopeOf('b2'))).toEqual(true)
      expect(isRefused(30, envelopeOf('b3', { expiresAtMs: 5_001 }))).toEqual(false)
    })
  })
})
