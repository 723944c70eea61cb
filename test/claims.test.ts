import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Messages from '../src/gateway/messages.ts'
import * as Systems from '../src/gateway/systems/index.ts'
import * as GatewayTables from '../src/gateway/tables.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

const DEADLINE_MS = 5_000
const ANSWER: Schemas.Calls.Outcome = { httpStatus: 200, contentType: 'text/plain', bodyBase64: 'b2s=' }
const NOT_RUN: Messages.AttemptEnd = { run: 'notRun', code: 'overCapacity', reason: 'full' }
const UNKNOWN: Messages.AttemptEnd = { run: 'unknown', code: 'outcomeUnknown', reason: 'reset' }

/** A gateway's systems with two agents of one plain service. */
function createFixture (idempotent = false) {
  const held = Control.Documents.createHeldDocuments()
  const service = { name: 'filing-api', kind: 'plain' as const, runnerCount: 2, reportsLoad: true, maxConcurrentCount: 8, routes: [{ path: '/filings', method: 'POST' as const, idempotent }] }
  const shape = { ...TestKit.Shapes.CONSORTIUM, services: [service] }
  held.adopt({ kind: 'manifest', version: 1, body: TestKit.Manifests.makeManifest(shape, { version: 'v1', digest: 'a'.repeat(64), sizeBytes: 1 }) })
  let idCount = 0
  const tables = GatewayTables.createTables({ instanceId: 'gateway-1', kind: 'gateway', zone: 'kartli', region: 'kartli', incarnation: 'g1' }, held, () => 0, () => `id-${idCount++}`)
  const stepper = Core.Loop.createStepper<GatewayTables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, Core.Random.createRandom(5))
  const commands: Messages.Command[] = []
  const violations: Core.Invariants.Violation[] = []
  const step = (nowMs: number, ...inputs: Messages.Input[]): void => {
    const done = stepper(inputs, nowMs)
    commands.push(...done.commands)
    violations.push(...done.violations)
  }
  const last = <Kind extends Messages.Command['kind']>(kind: Kind): Extract<Messages.Command, { kind: Kind }> | undefined =>
    [...commands].reverse().find((command): command is Extract<Messages.Command, { kind: Kind }> => command.kind === kind)
  const count = (kind: Messages.Command['kind']): number => commands.filter(command => command.kind === kind).length
  const report = (instanceId: string, incarnation = 'i1'): Messages.Input => ({
    kind: 'report',
    endpointId: instanceId,
    report: { instanceId, service: 'filing-api', zone: 'kartli', incarnation, endpointIncarnation: 'e1', state: 'live', role: 'mixed', heldChunkCount: 0, wantedChunkCount: 0, limitCount: 8, activeCount: 0, queuedCount: 0, cold: false, clockMs: 0, versions: held.versions() }
  })
  const instances: Messages.Input = {
    kind: 'instances',
    instances: ['agent-1', 'agent-2'].map((instanceId, index) => ({ instanceId, kind: 'agent', zone: 'kartli', region: 'kartli', host: '127.0.0.1', port: 9_000 + index, service: 'filing-api', state: 'live' }))
  }
  const arrive = (nowMs: number, callId: string, fields: Partial<Messages.ArrivedCall> = {}): void => {
    step(nowMs, {
      kind: 'callArrived',
      call: { callId, workspace: 'operator-1', method: 'POST', path: '/filings', contentType: undefined, digest: 'd'.repeat(64), idempotencyKey: 'k', stream: false, adapter: undefined, priority: undefined, timeLeftMs: DEADLINE_MS, ...fields }
    })
  }
  const grant = (nowMs: number, revision = 1): void => {
    const write = last('writeClaim')?.write
    if (write !== undefined) step(nowMs, { kind: 'claimAnswered', callId: write.callId, claimKey: write.claimKey, result: { kind: 'granted', revision, record: write.record } })
  }
  const end = (nowMs: number, attemptEnd: Messages.AttemptEnd): void => {
    const envelope = last('dispatch')?.dispatch.envelope
    if (envelope !== undefined) step(nowMs, { kind: 'attemptEnded', callId: envelope.callId, attemptId: envelope.attemptId, end: attemptEnd })
  }
  const answerAsk = (nowMs: number, answer: Schemas.Calls.FenceAnswer | undefined): void => {
    const ask = last('askFence')
    if (ask !== undefined) step(nowMs, { kind: 'fenceAnswered', callId: ask.callId, attemptId: ask.question.attemptId, answer })
  }
  const find = (nowMs: number, callId: string, fields: Partial<Schemas.Calls.ClaimRecord> = {}): void => {
    const record: Schemas.Calls.ClaimRecord = { nonce: 'n', digest: 'd'.repeat(64), gatewayId: 'gateway-2', callId: 'other', attemptId: 'other-attempt', agentId: 'agent-1', agentIncarnation: 'i1', attemptExpiresAtMs: 9_000, state: 'claimed', claimedAtMs: 0, expiresAtMs: 1, ...fields }
    step(nowMs, { kind: 'claimAnswered', callId, claimKey: 'operator-1/k', result: { kind: 'held', revision: 7, record } })
  }
  step(0, instances, report('agent-1'), report('agent-2'))
  return { tables, step, last, count, report, arrive, grant, end, answerAsk, find, violations }
}

describe('a keyed call', () => {
  it('is dispatched only once its claim is granted, with the time when it expires', () => {
    const { arrive, grant, count, last, violations } = createFixture()
    arrive(10, 'c1')
    expect(count('dispatch')).toEqual(0)
    grant(20)
    expect(last('dispatch')?.dispatch.envelope.expiresAtMs).toEqual(last('writeClaim')?.write.record.attemptExpiresAtMs)
    expect([count('dispatch'), violations.length]).toEqual([1, 0])
  })

  it('is answered before its outcome is saved', () => {
    const { arrive, grant, end, count, last } = createFixture()
    arrive(10, 'c1')
    grant(20)
    end(30, { run: 'ran', code: 'ok', outcome: ANSWER })
    expect([count('deliver'), last('writeClaim')?.write.kind, last('writeClaim')?.write.record.state]).toEqual([1, 'save', 'done'])
  })

  describe('whose store does not answer', () => {
    it('is held until its deadline, then refused as not run, its claim abandoned', () => {
      const { arrive, step, count, last } = createFixture()
      arrive(10, 'c1')
      step(DEADLINE_MS - 1)
      expect(count('finish')).toEqual(0)
      step(DEADLINE_MS + 10)
      expect([last('finish')?.code, last('abandonClaim')?.callId, count('dispatch')]).toEqual(['storeUnavailable', 'c1', 0])
    })

    it('is released when the claim is granted after the refusal', () => {
      const { arrive, step, grant, last, count } = createFixture()
      arrive(10, 'c1')
      const claim = last('writeClaim')
      step(DEADLINE_MS + 10)
      grant(DEADLINE_MS + 20, 3)
      expect([last('writeClaim')?.write.kind, last('writeClaim')?.write.revision, count('dispatch')]).toEqual(['release', 3, 0])
      expect(claim?.write.record.attemptId).toEqual(last('writeClaim')?.write.record.attemptId)
    })
  })

  describe('whose gateway paused while it was claimed', () => {
    it('is refused and released once the deadline has passed', () => {
      const { arrive, grant, last, count } = createFixture()
      arrive(10, 'c1')
      grant(DEADLINE_MS + 100)
      expect([last('finish')?.code, last('writeClaim')?.write.kind, count('dispatch')]).toEqual(['deadlinePassed', 'release', 0])
    })

    it('claims again when the agent has restarted meanwhile', () => {
      const { arrive, step, grant, report, last, count } = createFixture()
      arrive(10, 'c1')
      const agentId = last('writeClaim')?.write.record.agentId ?? ''
      step(20, report(agentId, 'i2'))
      grant(30, 4)
      expect([count('dispatch'), last('writeClaim')?.write.kind, last('writeClaim')?.write.revision]).toEqual([0, 'claim', 4])
    })
  })

  describe('that is refused by its agents', () => {
    it('leaves no claim that blocks a repeat', () => {
      const { arrive, grant, end, step, last, tables, violations } = createFixture()
      arrive(10, 'c1')
      for (let nowMs = 20; nowMs < DEADLINE_MS && tables.calls.count() > 0; nowMs += 20) {
        if (last('writeClaim')?.write.kind === 'claim') grant(nowMs, nowMs)
        end(nowMs + 5, NOT_RUN)
        step(nowMs + 10)
      }
      expect([last('writeClaim')?.write.kind, last('writeClaim')?.write.record.state]).toEqual(['release', 'released'])
      expect([Core.Codes.CODES[last('finish')?.code ?? 'ok'].run, violations.length]).toEqual(['notRun', 0])
    })
  })

  describe('whose connection breaks', () => {
    it('is answered with the outcome that the agent tells', () => {
      const { arrive, grant, end, answerAsk, last } = createFixture()
      arrive(10, 'c1')
      grant(20)
      end(30, UNKNOWN)
      expect(last('askFence')?.question.fence).toEqual(true)
      answerAsk(40, { state: 'done', outcome: ANSWER })
      expect([last('replay')?.outcome, last('writeClaim')?.write.record.state]).toEqual([ANSWER, 'done'])
    })

    it('waits while the agent runs it, and is not told in progress', () => {
      const { arrive, grant, end, answerAsk, step, last, count } = createFixture()
      arrive(10, 'c1')
      grant(20)
      end(30, UNKNOWN)
      answerAsk(40, { state: 'running' })
      step(1_000)
      expect([count('finish'), count('askFence')]).toEqual([0, 2])
      answerAsk(1_010, { state: 'done', outcome: ANSWER })
      expect(last('replay')?.callId).toEqual('c1')
    })

    it('is run elsewhere only after the promise never to run it', () => {
      const { arrive, grant, end, answerAsk, step, count, violations } = createFixture()
      arrive(10, 'c1')
      grant(20)
      end(30, UNKNOWN)
      answerAsk(40, { state: 'neverRun' })
      for (const nowMs of [50, 200, 400]) step(nowMs)
      grant(410, 2)
      expect([count('dispatch'), violations.length]).toEqual([2, 0])
    })

    it('stays unknown for ever when the agent has restarted', () => {
      const { arrive, grant, end, answerAsk, last, count } = createFixture()
      arrive(10, 'c1')
      grant(20)
      end(30, UNKNOWN)
      answerAsk(40, { state: 'unknown' })
      expect([last('finish')?.code, last('writeClaim')?.write.record.state, count('dispatch')]).toEqual(['outcomeUnknown', 'unknown', 1])
    })

    it('is not called unknown for ever while the agent is only unreachable', () => {
      const { arrive, grant, end, answerAsk, step, last, count } = createFixture()
      arrive(10, 'c1')
      grant(20)
      end(30, UNKNOWN)
      for (let nowMs = 40; nowMs < DEADLINE_MS; nowMs += 500) { answerAsk(nowMs, undefined); step(nowMs + 400) }
      expect(count('finish')).toEqual(0)
      step(DEADLINE_MS + 10)
      expect([last('finish')?.code, last('writeClaim')?.write.record.state]).toEqual(['agentUnreachable', 'claimed'])
    })
  })

  describe('whose connection goes silent', () => {
    it('is looked up, then taken from the agent when its answer does not come', () => {
      const { arrive, grant, step, answerAsk, last } = createFixture()
      arrive(10, 'c1')
      grant(20)
      step(1_600)
      expect(last('askFence')?.question.fence).toEqual(false)
      answerAsk(1_610, { state: 'done', outcome: ANSWER })
      step(2_300)
      answerAsk(2_310, { state: 'done', outcome: ANSWER })
      expect([last('cancelAttempt')?.callId, last('replay')?.callId]).toEqual(['c1', 'c1'])
    })

    it('is fenced before it is run elsewhere when the agent has not seen it', () => {
      const { arrive, grant, step, answerAsk, last, count } = createFixture()
      arrive(10, 'c1')
      grant(20)
      step(1_600)
      answerAsk(1_610, { state: 'unseen' })
      step(2_100)
      expect([last('askFence')?.question.fence, count('dispatch')]).toEqual([true, 1])
    })
  })

  describe('that outlasts its deadline or its caller', () => {
    it('is run to its end and saved for a repeat', () => {
      const { arrive, grant, step, end, last, count } = createFixture()
      arrive(10, 'c1')
      grant(20)
      step(1_000, { kind: 'callerGone', callId: 'c1' })
      expect(count('cancelAttempt')).toEqual(0)
      end(2_000, { run: 'ran', code: 'ok', outcome: ANSWER })
      expect([last('writeClaim')?.write.record.state, count('deliver')]).toEqual(['done', 0])
    })
  })
})

describe('a repeat', () => {
  const cases: ReadonlyArray<[string, Partial<Schemas.Calls.ClaimRecord>, Core.Codes.CodeName]> = [
    ['of another body is a conflict', { digest: 'e'.repeat(64) }, 'keyConflict'],
    ['of a call whose outcome is unknown stays unknown', { state: 'unknown' }, 'outcomeUnknown']
  ]
  for (const [name, fields, code] of cases) {
    it(name, () => {
      const { arrive, find, last, count } = createFixture()
      arrive(10, 'c1')
      find(20, 'c1', fields)
      expect([last('finish')?.code, count('dispatch')]).toEqual([code, 0])
    })
  }

  it('of a finished call gets the saved answer', () => {
    const { arrive, find, last, count } = createFixture()
    arrive(10, 'c1')
    find(20, 'c1', { state: 'done', outcome: ANSWER })
    expect([last('replay')?.outcome, count('dispatch')]).toEqual([ANSWER, 0])
  })

  it('of a released call is claimed over the released record', () => {
    const { arrive, find, last } = createFixture()
    arrive(10, 'c1')
    find(20, 'c1', { state: 'released' })
    expect([last('writeClaim')?.write.kind, last('writeClaim')?.write.revision]).toEqual(['claim', 7])
  })

  const answers: ReadonlyArray<[Schemas.Calls.FenceAnswer, Core.Codes.CodeName]> = [
    [{ state: 'running' }, 'inProgress'],
    [{ state: 'unknown' }, 'outcomeUnknown'],
    [{ state: 'done' }, 'answerLost']
  ]
  for (const [answer, code] of answers) {
    it(`of an unfinished call is told ${code} when the agent answers ${answer.state}`, () => {
      const { arrive, find, answerAsk, last, count } = createFixture()
      arrive(10, 'c1')
      find(20, 'c1')
      answerAsk(30, answer)
      expect([last('finish')?.code, count('dispatch')]).toEqual([code, 0])
    })
  }

  it('takes the key over once the agent promises never to run the first call', () => {
    const { arrive, find, answerAsk, step, grant, last, count, violations } = createFixture()
    arrive(10, 'c1')
    find(20, 'c1')
    answerAsk(30, { state: 'unseen' })
    step(500)
    answerAsk(510, { state: 'neverRun' })
    step(520)
    expect([last('writeClaim')?.write.kind, last('writeClaim')?.write.revision, count('dispatch')]).toEqual(['claim', 7, 0])
    grant(530, 8)
    expect([count('dispatch'), violations.length]).toEqual([1, 0])
  })

  it('tells an agent that does not answer from one that is gone from the list', () => {
    const unreachable = createFixture()
    unreachable.arrive(10, 'c1')
    unreachable.find(20, 'c1')
    for (const nowMs of [30, 700, 1_900]) { unreachable.answerAsk(nowMs, undefined); unreachable.step(nowMs + 600) }
    expect(unreachable.last('finish')?.code).toEqual('agentUnreachable')
    const gone = createFixture()
    gone.step(16_000, gone.report('agent-1'), gone.report('agent-2'))
    gone.arrive(16_010, 'c1')
    gone.find(16_020, 'c1', { agentId: 'agent-9' })
    expect([gone.last('finish')?.code, gone.last('writeClaim')?.write.record.state]).toEqual(['outcomeUnknown', 'unknown'])
  })
})

describe('a call without a key', () => {
  it('is not repeated when its outcome is unknown', () => {
    const { arrive, end, answerAsk, last, count } = createFixture()
    arrive(10, 'c1', { idempotencyKey: undefined })
    end(20, UNKNOWN)
    answerAsk(30, { state: 'unknown' })
    expect([last('finish')?.code, count('dispatch'), count('writeClaim')]).toEqual(['outcomeUnknown', 1, 0])
  })

  it('is repeated on proof that it was not run', () => {
    const { arrive, end, step, count, violations } = createFixture()
    arrive(10, 'c1', { idempotencyKey: undefined })
    end(20, NOT_RUN)
    for (const nowMs of [100, 300]) step(nowMs)
    expect([count('dispatch'), violations.length]).toEqual([2, 0])
  })
})

describe('an idempotent call whose attempt ended unknown', () => {
  it('is never refused as not run', () => {
    const { arrive, end, step, last, tables, violations } = createFixture(true)
    arrive(10, 'c1', { idempotencyKey: undefined })
    end(20, UNKNOWN)
    for (let nowMs = 100; nowMs < DEADLINE_MS && tables.calls.count() > 0; nowMs += 100) { end(nowMs, NOT_RUN); step(nowMs + 50) }
    expect([Core.Codes.CODES[last('finish')?.code ?? 'ok'].run, violations.length]).toEqual(['unknown', 0])
  })
})
