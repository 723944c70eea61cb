import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Budgets from '../src/gateway/budgets.ts'
import * as Subset from '../src/gateway/subset.ts'
import * as TestKit from '../testkit/index.ts'

const { createGateway, arrivalOf, endOf, dispatchedBy, finishedBy, ENDPOINTS } = TestKit.Gateways
type Step = ReturnType<TestKit.Gateways.FakeGateway['run']>

const only = (step: Step) => {
  const [dispatch, ...others] = dispatchedBy(step)
  if (dispatch === undefined || others.length > 0) throw new Error(`expected one dispatch, found ${others.length + (dispatch === undefined ? 0 : 1)}`)
  return dispatch
}
const failed = { run: 'unknown', code: 'endpointFailed' } as const
const overCapacity = { run: 'notRun', code: 'overCapacity', retryAfterMs: 1_000 } as const

describe('routing', () => {
  describe('the choice of an endpoint', () => {
    it('stays in the zone while it has room, then spills over and says so', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      const chosen = Array.from({ length: 10 }, (_, index) => only(gateway.run([arrivalOf(`c${index}`)])).endpointId)
      expect(chosen.slice(0, 8)).toEqual(Array.from({ length: 8 }, () => 'kartli-1'))
      expect(chosen.slice(8).includes('kartli-1')).toEqual(false)
      const spilt = gateway.run([arrivalOf('spilt')]).decisions.find(decision => decision.sentence === 'Endpoint chosen.')
      expect(String(spilt?.fields.reason)).toInclude('spills over')
    })

    it('prefers the endpoint that holds the prefix, and yields to load', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      gateway.report('adjara-1', { prefixKeys: ['p'] })
      expect(only(gateway.run([arrivalOf('a', { prefixKey: 'p' })])).endpointId).toEqual('adjara-1')
      gateway.report('adjara-1', { prefixKeys: ['p'], activeCount: 6 })
      expect(only(gateway.run([arrivalOf('b', { prefixKey: 'p' })])).endpointId).toEqual('kartli-1')
    })

    it('gives no work to a drained zone', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      const drains = { kind: 'drains' as const, version: 1, body: { zones: ['kartli'], instanceIds: [] } }
      gateway.held.adopt(drains)
      const steps = [gateway.run([{ kind: 'document', document: drains }]), ...Array.from({ length: 6 }, (_, index) => gateway.run([arrivalOf(`c${index}`)]))]
      expect(steps.flatMap(dispatchedBy).some(dispatch => dispatch.endpointId === 'kartli-1')).toEqual(false)
      expect(steps.flatMap(step => step.violations)).toEqual([])
    })
  })

  describe('a subset', () => {
    const zones = ['a', 'b', 'c', 'd', 'e', 'f']
    const endpoints = Array.from({ length: 1_500 }, (_, index) => ({ instanceId: `e${index}`, zone: zones[index % 6] ?? '' }))
    const gateways = Array.from({ length: 370 }, (_, index) => ({ instanceId: `g${index}`, zone: zones[index % 6] ?? '' }))

    it('is bounded, mostly local, and leaves no endpoint out at full size', () => {
      const subsets = gateways.map(gateway => Subset.choose(gateway, gateways, endpoints))
      const sizes = subsets.map(subset => subset.length)
      expect([Math.min(...sizes) >= 16, Math.max(...sizes) <= 64]).toEqual([true, true])
      const zoneOf = new Map(endpoints.map(endpoint => [endpoint.instanceId, endpoint.zone]))
      const localCounts = new Map<string, number>()
      subsets.forEach((subset, index) => subset.forEach(id => {
        if (zoneOf.get(id) === gateways[index]?.zone) localCounts.set(id, (localCounts.get(id) ?? 0) + 1)
      }))
      expect(new Set(endpoints.map(endpoint => localCounts.get(endpoint.instanceId)))).toEqual(new Set([4]))
    })

    it('changes little when a gateway goes', () => {
      const self = gateways[0] ?? { instanceId: '', zone: '' }
      const before = new Set(Subset.choose(self, gateways, endpoints))
      const after = Subset.choose(self, gateways.filter(gateway => gateway.instanceId !== 'g6'), endpoints)
      expect(after.filter(id => !before.has(id)).length <= 4).toEqual(true)
    })

    it('holds every endpoint of a small service', () => {
      expect(Subset.choose({ instanceId: 'g', zone: 'a' }, gateways, endpoints.slice(0, 12)).length).toEqual(12)
    })
  })

  describe('repeats', () => {
    it('go to another endpoint after a refusal, within the workspace\'s budget', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      let repeatCount = 0
      for (let index = 0; index < 200; index++) {
        const first = only(gateway.run([arrivalOf(`c${index}`)]))
        const step = gateway.run([endOf(first, overCapacity)])
        const again = dispatchedBy(step)
        repeatCount += again.length
        expect(again.some(dispatch => dispatch.endpointId === first.endpointId)).toEqual(false)
        if (again[0] !== undefined) gateway.run([endOf(again[0], { run: 'ran', code: 'ok' })])
        if (index % 20 === 0) ENDPOINTS.forEach(({ endpointId }) => gateway.report(endpointId))
      }
      expect(repeatCount >= 20 && repeatCount <= 60).toEqual(true)
    })

    it('of one workspace leave the budget of another alone', () => {
      const budgets = Budgets.createBudgets()
      while (budgets.withdraw('burst', 0)) budgets.deposit('none')
      expect([budgets.withdraw('burst', 0), budgets.withdraw('other', 0)]).toEqual([false, true])
    })

    it('are refused at once, truthfully, with a time to come back', () => {
      const gateway = createGateway()
      gateway.list([{ endpointId: 'kartli-1', zone: 'kartli' }])
      const step = gateway.run([endOf(only(gateway.run([arrivalOf('a')])), overCapacity)])
      const [finished] = finishedBy(step)
      expect(finished?.code).toEqual('overCapacity')
      expect((finished?.retryAfterMs ?? 0) >= 500).toEqual(true)
    })

    it('never end as not run once an attempt may have run', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      const first = only(gateway.run([arrivalOf('a')]))
      const second = only(gateway.run([endOf(first, { run: 'unknown', code: 'outcomeUnknown' })]))
      const third = gateway.run([endOf(second, overCapacity)])
      const steps = [third, ...Array.from({ length: 20 }, () => gateway.run(dispatchedBy(third).map(dispatch => endOf(dispatch, overCapacity)), 100))]
      expect(steps.flatMap(finishedBy).map(({ code }) => code)).toEqual(['outcomeUnknown'])
      expect(steps.flatMap(step => step.violations)).toEqual([])
    })

    it('of a call that must not run twice wait for the agent\'s word', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS.map(endpoint => ({ ...endpoint })))
      const manifest = gateway.held.manifest()
      if (manifest === undefined) throw new Error('no manifest')
      gateway.held.adopt({ kind: 'manifest', version: 2, body: { ...manifest, services: manifest.services.map(service => ({ ...service, routes: service.routes.map(route => ({ ...route, idempotent: false })) })) } })
      const first = only(gateway.run([arrivalOf('a')]))
      const step = gateway.run([endOf(first, { run: 'unknown', code: 'outcomeUnknown' })])
      expect([dispatchedBy(step).length, step.commands.some(command => command.kind === 'askFence')]).toEqual([0, true])
    })
  })

  describe('an endpoint that fails', () => {
    it('is ejected and comes back, but never so many that the others cannot bear it', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      for (let index = 0; index < 30; index++) {
        const step = gateway.run([arrivalOf(`c${index}`)])
        gateway.run(dispatchedBy(step).map(dispatch => endOf(dispatch, { run: 'notRun', code: 'endpointUnreachable' })))
      }
      const ejected = [...gateway.tables.endpoints.rows()].filter(row => row.avoidUntilMs > 10_000)
      expect(ejected.length).toEqual(1)
      gateway.run([], 60_000)
      ENDPOINTS.forEach(({ endpointId }) => gateway.report(endpointId))
      expect(dispatchedBy(gateway.run([arrivalOf('later')])).length).toEqual(1)
    })
  })

  describe('a silent connection', () => {
    it('is replaced by a new one to the same endpoint before the endpoint is blamed', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      const first = only(gateway.run([arrivalOf('a')]))
      const second = only(gateway.run([endOf(first, { run: 'unknown', code: 'outcomeUnknown', silent: true })]))
      expect([second.endpointId, second.envelope.supersedes]).toEqual([first.endpointId, first.envelope.attemptId])
      const third = only(gateway.run([endOf(second, { run: 'unknown', code: 'outcomeUnknown', silent: true })]))
      expect(third.endpointId === first.endpointId).toEqual(false)
    })
  })

  describe('a hedge', () => {
    const learn = (gateway: TestKit.Gateways.FakeGateway): void => {
      for (let index = 0; index < 30; index++) {
        const dispatch = only(gateway.run([arrivalOf(`learn-${index}`)]))
        gateway.run([{ kind: 'attemptWon', callId: dispatch.callId, attemptId: dispatch.envelope.attemptId }], 50)
        gateway.run([endOf(dispatch, { run: 'ran', code: 'ok' })])
      }
    }

    it('goes to another endpoint when the answer is late, and the first answer wins', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      learn(gateway)
      ENDPOINTS.forEach(({ endpointId }) => gateway.report(endpointId))
      const first = only(gateway.run([arrivalOf('late')]))
      const hedge = only(gateway.run([], 1_000))
      expect(hedge.endpointId === first.endpointId).toEqual(false)
      gateway.run([{ kind: 'attemptWon', callId: 'late', attemptId: hedge.envelope.attemptId }])
      const ignored = gateway.run([endOf(first, failed)])
      expect([dispatchedBy(ignored).length, finishedBy(ignored).length]).toEqual([0, 0])
      expect(gateway.run([endOf(hedge, { run: 'ran', code: 'ok' })]).commands.map(command => command.kind)).toEqual(['deliver'])
    })

    it('is never given to a call that has a key', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      learn(gateway)
      gateway.run([arrivalOf('keyed', { idempotencyKey: 'k' })])
      expect(dispatchedBy(gateway.run([], 1_000))).toEqual([])
    })
  })

  describe('a begun stream', () => {
    it('goes on from the next token with the same model version, or ends as cut', () => {
      const gateway = createGateway()
      gateway.list(ENDPOINTS)
      const first = only(gateway.run([arrivalOf('s')]))
      const cut = { run: 'unknown', code: 'streamCut' } as const
      gateway.report('imereti-1', { modelVersion: 'v2' })
      gateway.report('adjara-1', { modelVersion: 'v1' })
      const progress = { kind: 'streamProgress' as const, callId: 's', attemptId: first.envelope.attemptId, nextIndex: 7 }
      const second = only(gateway.run([progress, endOf(first, cut)]))
      expect([second.endpointId, second.envelope.modelVersion, second.envelope.resumeFromIndex]).toEqual(['adjara-1', 'v1', 7])
      gateway.report('adjara-1', { modelVersion: 'v2' })
      gateway.report('kartli-1', { modelVersion: 'v2' })
      const steps = [gateway.run([endOf(second, cut)]), ...Array.from({ length: 100 }, () => gateway.run([], 100))]
      expect(steps.flatMap(finishedBy).map(({ code }) => code)).toEqual(['streamCut'])
    })
  })
})
