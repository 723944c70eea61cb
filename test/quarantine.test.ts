import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

const { createGateway, arrivalOf, endOf, dispatchedBy, finishedBy, ENDPOINTS } = TestKit.Gateways
const { createAgent, offerOf, admittedBy, refusedBy } = TestKit.Agents
type Gateway = TestKit.Gateways.FakeGateway

const failed = { run: 'unknown', code: 'endpointFailed' } as const
const digestOf = (callId: string): string => Core.Hash.sha256(callId)

/** What the gateways have committed, applied to one document. */
function commitAll (gateways: readonly Gateway[], version: number, body: Schemas.Control.Quarantine, steps: ReadonlyArray<ReturnType<Gateway['run']>>): Schemas.Control.Quarantine {
  const merged = steps.flatMap(step => step.commands).reduce((entries, command) => command.kind === 'commitQuarantine' ? Control.Quarantines.merge(entries, command.change, 10_000) : entries, body)
  const document = { kind: 'quarantine' as const, version, body: merged }
  for (const gateway of gateways) {
    gateway.held.adopt(document)
    gateway.run([{ kind: 'document', document }])
  }
  return merged
}

describe('a call that crashes endpoints', () => {
  it('is refused after two crashes, and the calls that ran beside it are not', () => {
    const gateway = createGateway()
    gateway.list(ENDPOINTS)
    const first = ['poison', 'x', 'y'].map(callId => dispatchedBy(gateway.run([arrivalOf(callId)]))[0])
    const again = gateway.run(first.flatMap(dispatch => dispatch === undefined ? [] : [endOf(dispatch, failed)]))
    const repeated = dispatchedBy(again)
    expect(repeated.map(dispatch => dispatch.envelope.suspect)).toEqual([true, true, true])
    for (const dispatch of repeated) gateway.run([endOf(dispatch, dispatch.callId === 'poison' ? failed : { run: 'ran', code: 'ok' })])
    const last = Array.from({ length: 20 }, () => gateway.run([], 100))
    expect(last.flatMap(finishedBy).map(({ callId, code }) => [callId, code])).toEqual([['poison', 'endpointFailed']])
    const codeOf = (callId: string) => finishedBy(gateway.run([arrivalOf(`${callId}-again`, { digest: digestOf(callId) })]))[0]?.code
    expect([codeOf('poison'), codeOf('x'), codeOf('y')]).toEqual(['quarantined', undefined, undefined])
  })

  it('is recognised when its crashes were seen by different gateways', () => {
    const [one, two] = [createGateway(1), createGateway(2)]
    for (const gateway of [one, two]) gateway.list(ENDPOINTS)
    const crash = (crashId: string, others: string[]) => ({ crashes: [{ crashId, digests: ['poison', ...others].map(digestOf) }] })
    let body: Schemas.Control.Quarantine = { entries: [] }
    body = commitAll([one, two], 1, body, [one.report('kartli-1', crash('k1', ['x'])), one.run([], 1_100)])
    expect(body.entries.map(entry => entry.suspect)).toEqual([true, true])
    commitAll([one, two], 2, body, [two.report('adjara-1', crash('a1', ['z'])), two.run([], 1_100)])
    const codes = [one, two].map(gateway => finishedBy(gateway.run([arrivalOf('poison')]))[0]?.code)
    expect(codes).toEqual(['quarantined', 'quarantined'])
  })

  it('is not named while two calls share every crash', () => {
    const gateway = createGateway()
    gateway.list(ENDPOINTS)
    const crash = (crashId: string, ids: string[]) => ({ crashes: [{ crashId, digests: ids.map(digestOf) }] })
    gateway.report('kartli-1', crash('k1', ['p', 'q']))
    gateway.report('adjara-1', crash('a1', ['p', 'q']))
    expect(finishedBy(gateway.run([arrivalOf('p')])).length).toEqual(0)
    gateway.report('imereti-1', crash('i1', ['p']))
    expect([finishedBy(gateway.run([arrivalOf('p2', { digest: digestOf('p') })]))[0]?.code, finishedBy(gateway.run([arrivalOf('q')])).length]).toEqual(['quarantined', 0])
  })

  it('counts one crash once, however often it is reported', () => {
    const gateway = createGateway()
    gateway.list(ENDPOINTS)
    for (let index = 0; index < 5; index++) gateway.report('kartli-1', { crashes: [{ crashId: 'k1', digests: [digestOf('p')] }] })
    expect(finishedBy(gateway.run([arrivalOf('p')])).length).toEqual(0)
  })

  it('is cleared by a whole answer', () => {
    const gateway = createGateway()
    gateway.list(ENDPOINTS)
    gateway.report('kartli-1', { crashes: [{ crashId: 'k1', digests: [digestOf('p')] }] })
    const [dispatch] = dispatchedBy(gateway.run([arrivalOf('p')]))
    if (dispatch === undefined) throw new Error('not dispatched')
    gateway.run([endOf(dispatch, { run: 'ran', code: 'ok' })])
    gateway.report('adjara-1', { crashes: [{ crashId: 'a1', digests: [digestOf('p')] }] })
    expect(finishedBy(gateway.run([arrivalOf('p2', { digest: digestOf('p') })])).length).toEqual(0)
  })

  describe('cleared by a whole answer that is committed late', () => {
    const crash = (crashId: string) => ({ crashes: [{ crashId, digests: [digestOf('p')] }] })

    /** One gateway sees a crash and then a whole answer; until it commits, another one sees further crashes. */
    function commitClearAfter (crashIds: readonly string[], failCommit = false) {
      const [one, two] = [createGateway(1), createGateway(2)]
      for (const gateway of [one, two]) gateway.list(ENDPOINTS)
      let body = commitAll([one, two], 1, { entries: [] }, [one.report('kartli-1', crash('k1')), one.run([], 1_100)])
      const [dispatch] = dispatchedBy(one.run([arrivalOf('p')]))
      if (dispatch === undefined) throw new Error('not dispatched')
      const answered = [one.run([endOf(dispatch, { run: 'ran', code: 'ok' })]), one.run([], 1_100)]
      const [change] = answered.flatMap(step => step.commands).flatMap(command => command.kind === 'commitQuarantine' ? [command.change] : [])
      if (change === undefined) throw new Error('nothing was committed')
      body = commitAll([two], 2, body, [...crashIds.map(crashId => two.report('adjara-1', crash(crashId))), two.run([], 1_100)])
      const late = failCommit ? [one.run([{ kind: 'quarantineFailed', change }]), one.run([], 1_100)] : answered
      return { two, body: commitAll([one, two], 3, body, late) }
    }
    const entriesOf = (body: Schemas.Control.Quarantine) => body.entries.map(({ crashIds, suspect }) => [crashIds, suspect ?? false])

    it('does not clear a crash that came after it', () => {
      const { body } = commitClearAfter(['a1'])
      expect([entriesOf(body), body.lifted?.map(({ crashIds }) => crashIds)]).toEqual([[[['a1'], true]], [['k1']]])
    })

    it('does not lift the quarantine that two crashes after it caused', () => {
      const { two, body } = commitClearAfter(['a1', 'a2'])
      expect(entriesOf(body)).toEqual([[['a1', 'a2'], false]])
      expect(finishedBy(two.run([arrivalOf('p2', { digest: digestOf('p') })]))[0]?.code).toEqual('quarantined')
    })

    it('does not clear them when its commit failed at first', () => {
      expect(entriesOf(commitClearAfter(['a1'], true).body)).toEqual([[['a1'], true]])
    })

    it('clears the entry when no crash came after it', () => {
      expect(entriesOf(commitClearAfter([]).body)).toEqual([])
    })
  })

  it('runs again once an operator has lifted it', () => {
    const gateway = createGateway()
    gateway.list(ENDPOINTS)
    const reports = ['k1', 'k2'].map(crashId => gateway.report('kartli-1', { crashes: [{ crashId, digests: [digestOf('p')] }] }))
    const body = commitAll([gateway], 1, { entries: [] }, [...reports, gateway.run([], 1_100)])
    expect(finishedBy(gateway.run([arrivalOf('p')]))[0]?.code).toEqual('quarantined')
    commitAll([gateway], 2, Control.Quarantines.merge(body, { put: [], lift: [digestOf('p')] }, 10_000), [])
    expect(dispatchedBy(gateway.run([arrivalOf('p2', { digest: digestOf('p') })])).length).toEqual(1)
  })

  it('stays lifted when another gateway hears of the same crashes later, and counts a new crash as the first', () => {
    const [one, two] = [createGateway(1), createGateway(2)]
    for (const gateway of [one, two]) gateway.list(ENDPOINTS)
    const crash = (crashId: string) => ({ crashes: [{ crashId, digests: [digestOf('p')] }] })
    const put = commitAll([one], 1, { entries: [] }, [...['k1', 'k2'].map(crashId => one.report('kartli-1', crash(crashId))), one.run([], 1_100)])
    const late = [...['k1', 'k2'].map(crashId => two.report('kartli-1', crash(crashId))), two.run([], 1_100)]
    const lifted = Control.Quarantines.merge(put, { put: [], lift: [digestOf('p')] }, 10_000)
    expect(commitAll([one, two], 3, lifted, late).entries).toEqual([])
    expect(dispatchedBy(two.run([arrivalOf('p')])).length).toEqual(1)
    const again = commitAll([one, two], 4, lifted, [two.report('kartli-1', crash('k3')), two.run([], 1_100)])
    expect(again.entries.map(({ crashCount, suspect }) => [crashCount, suspect])).toEqual([[1, true]])
  })

  describe('while its key is claimed', () => {
    const claimsBy = (step: ReturnType<Gateway['run']>) => step.commands.flatMap(command => command.kind === 'writeClaim' ? [command.write] : [])
    /** A gateway that hears of crashes between the claim of a key and its answer; returns what it does at the answer. */
    function answerClaimAfter (crashIds: readonly string[]) {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      const [write] = claimsBy(gateway.run([arrivalOf('p', { idempotencyKey: 'k' })]))
      if (write === undefined) throw new Error('no claim was written')
      for (const crashId of crashIds) gateway.report('kartli-1', { crashes: [{ crashId, digests: [digestOf('p')] }] })
      return gateway.run([{ kind: 'claimAnswered', callId: 'p', claimKey: write.claimKey, result: { kind: 'granted', revision: 1, record: write.record } }], 20_000)
    }

    it('is refused when it is quarantined, and its key is released', () => {
      const answered = answerClaimAfter(['k1', 'k2'])
      expect([dispatchedBy(answered).length, finishedBy(answered).map(({ code }) => code)]).toEqual([0, ['quarantined']])
      expect(claimsBy(answered).map(({ kind, record }) => [kind, record.state])).toEqual([['release', 'released']])
    })

    it('is sent as a suspect when it became one', () => {
      expect(dispatchedBy(answerClaimAfter(['k1'])).map(({ envelope }) => envelope.suspect)).toEqual([true])
    })
  })

  it('expires', () => {
    const gateway = createGateway()
    gateway.list(ENDPOINTS)
    for (const crashId of ['k1', 'k2']) gateway.report('kartli-1', { crashes: [{ crashId, digests: [digestOf('p')] }] })
    expect(finishedBy(gateway.run([arrivalOf('p')]))[0]?.code).toEqual('quarantined')
    gateway.run([], 31 * 60_000)
    gateway.list(ENDPOINTS)
    expect(dispatchedBy(gateway.run([arrivalOf('p2', { digest: digestOf('p') })])).length).toEqual(1)
  })
})

describe('an agent', () => {
  it('runs one suspect at a time beside other calls', () => {
    const agent = createAgent()
    agent.warm(8)
    const admitted = admittedBy(agent.run([offerOf('s1', 'operator-1', { suspect: true }), offerOf('s2', 'operator-2', { suspect: true }), offerOf('n', 'operator-3')]))
    expect(admitted.sort()).toEqual(['n', 's1'])
    expect(admittedBy(agent.run([{ kind: 'callEnded', attemptId: 's1', ending: 'whole' }]))).toEqual(['s2'])
  })

  it('refuses a quarantined call although its gateway has not heard', () => {
    const agent = createAgent()
    agent.tables.held.adopt({ kind: 'quarantine', version: 1, body: { entries: [{ digest: digestOf('p'), service: 'fescue-llm', crashCount: 2, expiresAtMs: Date.now() + 1e9 }] } })
    expect(refusedBy(agent.run([offerOf('p')])).map(({ refusal }) => refusal.code)).toEqual(['quarantined'])
  })

  describe('whose queue holds a call when its digest is judged', () => {
    /** An agent that runs one call, and then learns of a digest that it holds in its queue. */
    function createQueueingAgent (suspect: boolean) {
      const agent = createAgent()
      const admitted = admittedBy(agent.run([offerOf('first', 'operator-1', suspect ? { suspect } : {}), offerOf('p', 'operator-2'), offerOf('n', 'operator-3')]))
      const entry = { digest: digestOf('p'), service: 'fescue-llm', crashCount: 2, expiresAtMs: Date.now() + 1e9, ...suspect ? { suspect } : {} }
      agent.tables.held.adopt({ kind: 'quarantine', version: 1, body: { entries: [entry] } })
      return { agent, admitted }
    }

    it('refuses it as quarantined and does not run it', () => {
      const { agent, admitted } = createQueueingAgent(false)
      const step = agent.run()
      expect([admitted, refusedBy(step).map(({ attemptId, refusal }) => [attemptId, refusal.code])]).toEqual([['first'], [['p', 'quarantined']]])
      agent.warm(8)
      expect(admittedBy(agent.run([{ kind: 'callEnded', attemptId: 'first', ending: 'whole' }]))).toEqual(['n'])
    })

    it('does not run it beside another suspect', () => {
      const { agent, admitted } = createQueueingAgent(true)
      agent.warm(8)
      expect([admitted, admittedBy(agent.run())]).toEqual([['first'], ['n']])
      expect(admittedBy(agent.run([{ kind: 'callEnded', attemptId: 'first', ending: 'whole' }]))).toEqual(['p'])
    })
  })

  it('reports the calls in flight at a crash, and none at a clean restart', () => {
    const agent = createAgent()
    agent.warm(8)
    agent.run([offerOf('a'), offerOf('b')])
    agent.run([{ kind: 'callEnded', attemptId: 'a', ending: 'failed' }])
    agent.see({ incarnation: 'endpoint-2' })
    expect(agent.tables.crashes.map(({ crashId, digests }) => [crashId, [...digests].sort()])).toEqual([['endpoint-1', ['a', 'b'].map(digestOf).sort()]])
    agent.run([{ kind: 'callEnded', attemptId: 'b', ending: 'failed' }])
    agent.run([], 20_000)
    agent.see({ incarnation: 'endpoint-3' })
    expect(agent.tables.crashes.length).toEqual(1)
  })
})

describe('Quarantines', () => {
  it('stays bounded and drops suspects first', () => {
    const entry = (index: number, suspect: boolean): Schemas.Control.QuarantineEntry => ({ digest: digestOf(String(index)), service: 's', crashCount: 2, expiresAtMs: 20_000 + index, ...suspect ? { suspect } : {} })
    const put = [...Array.from({ length: 200 }, (_, index) => entry(index, false)), ...Array.from({ length: 200 }, (_, index) => entry(200 + index, true))]
    const merged = Control.Quarantines.merge(undefined, { put, lift: [] }, 10_000)
    expect([merged.entries.length, merged.entries.filter(({ suspect }) => suspect !== true).length]).toEqual([Control.Quarantines.MAX_ENTRY_COUNT, 200])
    expect(Control.Quarantines.merge(merged, { put: [], lift: [] }, 1e9).entries).toEqual([])
  })
})
