import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Direct from '../testkit/direct.ts'

const { ENGINE, ENGINE_SERVICE, PLAIN_SERVICE, listingOf, surroundingsOf } = Direct
const NOW_MS = 10_000
const random = Core.Random.createRandom(1)

const requirementsOf = (changes: Partial<Routing.Choice.CallRequirements> = {}): Routing.Choice.CallRequirements =>
  ({ service: ENGINE_SERVICE, model: 'm', promptTokens: 1_000, regions: [], triedIds: new Set(), ...changes })
const idsOf = (candidates: readonly Routing.Choice.Candidate[]): string[] => candidates.map(candidate => candidate.row.listing.endpointId)
const loadOf = (activeCount: number, queuedCount = 0): Routing.Endpoints.LoadReport => ({ activeCount, queuedCount, pace: 1, loading: false, weights: undefined })

describe('Choice', () => {
  describe('findCandidates', () => {
    it('excludes endpoints that are draining, in a drained zone or another region, failing, or already tried', () => {
      const context = surroundingsOf([
        listingOf('ok'),
        listingOf('draining', { draining: true }),
        listingOf('away', { zone: 'b', region: 'rb' }),
        listingOf('drained', { zone: 'c' }),
        listingOf('other', { service: 'plain' }),
        listingOf('tried'),
        listingOf('failed')
      ], { drainedZones: new Set(['c']) })
      const failed = context.endpoints.get('failed')
      if (failed !== undefined) Routing.Endpoints.recordFailure(failed, NOW_MS)
      expect(idsOf(Routing.Choice.findCandidates(requirementsOf({ regions: [['ra'], []], triedIds: new Set(['tried']) }), context, NOW_MS))).toEqual(['ok'])
    })

    it('includes only engines that hold all weights of the model, in a version on which calls may still begin', () => {
      const context = surroundingsOf([
        listingOf('old'),
        listingOf('new', { weights: [{ model: 'm', version: 2 }] }),
        listingOf('empty', { weights: [] }),
        listingOf('another', { weights: [{ model: 'x', version: 2 }] })
      ], { oldestVersionOf: () => 2 })
      expect(idsOf(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS))).toEqual(['new'])
    })

    it('sends a cold endpoint at most this gateway\'s share of its limit in any second', () => {
      const context = surroundingsOf([listingOf('cold', { coldForMs: 60_000 })], { gatewayCount: 6 })
      const sentAtMs: number[] = []
      for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
        const [candidate] = Routing.Choice.findCandidates(requirementsOf(), context, nowMs)
        if (candidate === undefined) continue
        Routing.Choice.recordSent(candidate.row, 0, nowMs)
        candidate.row.ownCallCount--
        sentAtMs.push(nowMs)
      }
      const maxPerSecond = Math.max(...sentAtMs.map(fromMs => sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length))
      expect([maxPerSecond, sentAtMs.length]).toEqual([36 / 6, 5 * 36 / 6])
    })
  })

  describe('a silent endpoint', () => {
    it('is excluded while calls wait there, and chosen last once its agent is silent too', () => {
      const context = surroundingsOf([listingOf('quiet'), listingOf('well')])
      const quiet = context.endpoints.get('quiet') as Routing.Endpoints.EndpointRow
      for (const row of context.endpoints.rows()) Routing.Endpoints.applyLoadReport(row, loadOf(0), NOW_MS, 0)
      Routing.Choice.recordSent(quiet, 100, NOW_MS)
      expect(idsOf(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS + 400))).toEqual(['quiet', 'well'])
      expect(idsOf(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS + 500))).toEqual(['well'])
      quiet.ownCallCount = 0
      const well = context.endpoints.get('well') as Routing.Endpoints.EndpointRow
      Routing.Endpoints.applyLoadReport(well, loadOf(4), NOW_MS + 1_200, 0)
      expect(Routing.Choice.choose(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS + 1_200), random)?.row).toEqual(well)
    })
  })

  describe('choose', () => {
    it('prefers the zone of the gateway until another endpoint would begin the answer clearly sooner', () => {
      const context = surroundingsOf([listingOf('near'), listingOf('far', { zone: 'b', region: 'rb' })])
      const near = context.endpoints.get('near')
      expect(Routing.Choice.choose(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS), random)?.row.listing.endpointId).toEqual('near')
      if (near !== undefined) Routing.Endpoints.applyLoadReport(near, loadOf(16, 4), NOW_MS, 0)
      expect(Routing.Choice.choose(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS), random)?.row.listing.endpointId).toEqual('far')
    })

    it('spreads calls among equal endpoints', () => {
      const context = surroundingsOf(['e1', 'e2', 'e3', 'e4'].map(id => listingOf(id)))
      const chosen = Array.from({ length: 40 }, () => Routing.Choice.choose(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS), random)?.row.listing.endpointId)
      expect(new Set(chosen).size).toEqual(4)
    })
  })
})

describe('Choice under overload', () => {
  it('lets only one of six gateways that see the same report fill a single free slot', () => {
    const draws = Core.Random.createRandom(3)
    let sentCount = 0
    const reportCount = 500
    for (let index = 0; index < reportCount; index++) {
      for (const zone of ['a', 'a', 'b', 'b', 'c', 'c']) {
        const context = surroundingsOf([listingOf('e')], { zone, region: `r${zone}`, gatewayCount: 6, zoneGatewayCount: 2 })
        const row = context.endpoints.get('e') as Routing.Endpoints.EndpointRow
        Routing.Endpoints.applyLoadReport(row, loadOf(15), NOW_MS, draws.next())
        while (Routing.Choice.availableSlotCount(row, context, NOW_MS) > 0) {
          Routing.Choice.recordSent(row, 100, NOW_MS)
          sentCount++
        }
      }
    }
    expect([sentCount / reportCount > 0.8, sentCount / reportCount < 1.2]).toEqual([true, true])
  })

  it('lets a gateway reuse the slot of its own ended call at once', () => {
    const context = surroundingsOf([listingOf('e')], { gatewayCount: 6, zoneGatewayCount: 2 })
    const row = context.endpoints.get('e') as Routing.Endpoints.EndpointRow
    for (let index = 0; index < 16; index++) Routing.Choice.recordSent(row, 100, NOW_MS)
    Routing.Endpoints.applyLoadReport(row, loadOf(16), NOW_MS, 0)
    const before = Routing.Choice.availableSlotCount(row, context, NOW_MS)
    row.ownCallCount--
    expect([before, Routing.Choice.availableSlotCount(row, context, NOW_MS)]).toEqual([0, 1])
  })
})

describe('Endpoints', () => {
  describe('busyCount', () => {
    it('adds what this gateway sent since the last report', () => {
      const context = surroundingsOf([listingOf('e')])
      const row = context.endpoints.get('e') as Routing.Endpoints.EndpointRow
      Routing.Endpoints.applyLoadReport(row, loadOf(5, 1), NOW_MS, 0)
      Routing.Choice.recordSent(row, 100, NOW_MS)
      expect([Routing.Endpoints.busyCount(row, NOW_MS + 50), Routing.Endpoints.busyCount(row, NOW_MS + 5_000)]).toEqual([7, 1])
    })
  })

  describe('handleUnlisted', () => {
    const STORE_REGAINED_AT_MS = NOW_MS - 500

    it('keeps an endpoint whose entry may have expired until two seconds after the return of the store', () => {
      const context = surroundingsOf([listingOf('lapsed'), listingOf('back')])
      Routing.Endpoints.handleUnlisted(context.endpoints, 'lapsed', STORE_REGAINED_AT_MS, NOW_MS)
      Routing.Endpoints.handleUnlisted(context.endpoints, 'back', STORE_REGAINED_AT_MS, NOW_MS)
      Routing.Endpoints.applyListing(context.endpoints, listingOf('back'), NOW_MS + 1_000)
      expect(idsOf(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS + 1_400))).toEqual(['lapsed', 'back'])
      expect(idsOf(Routing.Choice.findCandidates(requirementsOf(), context, NOW_MS + 1_500))).toEqual(['back'])
      expect(Routing.Endpoints.removeLapsed(context.endpoints, NOW_MS + 1_500)).toEqual(['lapsed'])
    })

    it('removes an endpoint at once if there was no store outage', () => {
      const context = surroundingsOf([listingOf('gone')])
      expect([Routing.Endpoints.handleUnlisted(context.endpoints, 'gone', NOW_MS - 5_000, NOW_MS), context.endpoints.count()]).toEqual([false, 0])
    })
  })

  describe('applyListing', () => {
    it('discards the state of an endpoint that restarted under the same id', () => {
      const context = surroundingsOf([listingOf('e')])
      const row = context.endpoints.get('e') as Routing.Endpoints.EndpointRow
      Routing.Endpoints.recordFailure(row, NOW_MS)
      Routing.Endpoints.applyListing(context.endpoints, listingOf('e', { bornAtMs: 2, weights: [] }), NOW_MS)
      const restarted = context.endpoints.get('e')
      expect([restarted?.failureCount, restarted?.weights]).toEqual([0, []])
    })
  })
})

describe('Admission', () => {
  const pendingCallOf = (changes: Partial<Routing.Admission.PendingCall> = {}): Routing.Admission.PendingCall => ({ ageMs: 0, waitedMs: 0, goalMs: 400, leftMs: 6_000, resuming: false, isCrowded: false, ...changes })
  const candidate = (firstMs: number, hasPlace = true): Routing.Choice.Candidate =>
    ({ row: surroundingsOf([listingOf('e')]).endpoints.get('e') as Routing.Endpoints.EndpointRow, predictedMs: firstMs, hasFreeSlot: hasPlace, freeSlotCount: hasPlace ? 1 : 0, penaltyMs: 0 })
  const emptyQueue = { aheadCount: 0, slotIntervalMs: 50 }

  it('sends what begins in time', () => {
    expect(Routing.Admission.decide(pendingCallOf(), candidate(300), emptyQueue, true).kind).toEqual('send')
  })

  it('reserves the last free slot for on-time calls while such calls are refused', () => {
    const late = { ageMs: 900, isCrowded: true }
    const kinds = [
      Routing.Admission.decide(pendingCallOf(late), candidate(100), emptyQueue, true).kind,
      Routing.Admission.decide(pendingCallOf(late), { ...candidate(100), freeSlotCount: 2 }, emptyQueue, true).kind,
      Routing.Admission.decide(pendingCallOf({ ...late, resuming: true }), candidate(100), emptyQueue, true).kind,
      Routing.Admission.decide(pendingCallOf({ ...late, isCrowded: false }), candidate(100), emptyQueue, true).kind,
      Routing.Admission.decide(pendingCallOf({ isCrowded: true }), candidate(100), emptyQueue, true).kind
    ]
    expect(kinds).toEqual(['refuse', 'send', 'send', 'send', 'send'])
  })

  it('sends a late call to an idle endpoint of another zone although calls in time were turned away', () => {
    const context = surroundingsOf([listingOf('far', { zone: 'b' })], { gatewayCount: 6, zoneGatewayCount: 2 })
    Routing.Endpoints.applyLoadReport(context.endpoints.get('far') as Routing.Endpoints.EndpointRow, { activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: undefined }, NOW_MS, 0)
    const [idle] = Routing.Choice.findCandidates({ service: ENGINE_SERVICE, model: 'm', promptTokens: 900, regions: [], triedIds: new Set() }, context, NOW_MS)
    expect(Routing.Admission.decide(pendingCallOf({ ageMs: 900, isCrowded: true }), idle, emptyQueue, true).kind).toEqual('send')
  })

  it('counts a service as crowded for a while after an on-time call was refused', () => {
    const crowding = Routing.Crowding.createCrowding()
    crowding.recordRefusal('s', 1_000)
    expect([crowding.isCrowded('s', 1_599), crowding.isCrowded('s', 1_600), crowding.isCrowded('other', 1_000)]).toEqual([true, false, false])
  })

  it('refuses at once a call that would wait too long', () => {
    expect(Routing.Admission.decide(pendingCallOf(), candidate(900, false), { aheadCount: 5, slotIntervalMs: 50 }, true)).toEqual({ kind: 'refuse', reason: 'overCapacity' })
  })

  it('lets a call wait for a slot that will soon be free, for a limited time', () => {
    expect(Routing.Admission.decide(pendingCallOf(), candidate(900, false), emptyQueue, true).kind).toEqual('wait')
    expect(Routing.Admission.decide(pendingCallOf({ waitedMs: 130, ageMs: 130 }), candidate(900, false), emptyQueue, true).kind).toEqual('refuse')
  })

  it('queues a call at an endpoint only with time to spare', () => {
    expect([200, 300].map(firstMs => Routing.Admission.decide(pendingCallOf(), candidate(firstMs, false), emptyQueue, true).kind)).toEqual(['send', 'wait'])
  })

  it('sends a late call only to a free slot', () => {
    const late = { ageMs: 1_500 }
    expect(Routing.Admission.decide(pendingCallOf(late), candidate(300, true), emptyQueue, true).kind).toEqual('send')
    expect(Routing.Admission.decide(pendingCallOf(late), candidate(300, false), { aheadCount: 20, slotIntervalMs: 50 }, true).kind).toEqual('refuse')
  })

  it('sends a call that cannot be answered on time to a free slot instead of letting it wait', () => {
    expect(Routing.Admission.decide(pendingCallOf({ ageMs: 300 }), candidate(200, true), emptyQueue, true).kind).toEqual('send')
  })

  it('resumes a broken stream at any endpoint that can answer before the deadline', () => {
    expect(Routing.Admission.decide(pendingCallOf({ resuming: true, ageMs: 2_000, leftMs: 4_000 }), candidate(900, false), emptyQueue, true).kind).toEqual('send')
  })

  it('refuses at once if no endpoint may serve the call or too little time remains', () => {
    expect(Routing.Admission.decide(pendingCallOf(), undefined, emptyQueue, false)).toEqual({ kind: 'refuse', reason: 'noEndpoint' })
    expect(Routing.Admission.decide(pendingCallOf({ leftMs: 50 }), candidate(10), emptyQueue, true)).toEqual({ kind: 'refuse', reason: 'outOfTime' })
  })
})

describe('EngineModel', () => {
  describe('firstTokenMs', () => {
    it('grows with the prompt tokens ahead and with a full batch', () => {
      const idle = Routing.EngineModel.firstTokenMs(ENGINE, { busyCount: 0, waitingCount: 0, tokensAheadCount: 0, pace: 1 }, 1_000)
      const behind = Routing.EngineModel.firstTokenMs(ENGINE, { busyCount: 0, waitingCount: 0, tokensAheadCount: 6_000, pace: 1 }, 1_000)
      const full = Routing.EngineModel.firstTokenMs(ENGINE, { busyCount: 16, waitingCount: 4, tokensAheadCount: 0, pace: 1 }, 1_000)
      expect([idle < 100, behind > 350, full > 400]).toEqual([true, true, true])
    })
  })
})

describe('Waiting', () => {
  it('orders resumed streams first, then by rank, then on-time calls before late ones, then by age', () => {
    const rankOf = (index: number): Routing.Ranks.Rank => ({ index, count: 2 })
    const entry = (name: string, changes: Partial<Routing.Waiting.WaitingCall>): Routing.Waiting.WaitingCall & { name: string } =>
      ({ name, service: 's', resuming: false, late: false, rank: rankOf(1), priority: 1, arrivedAtMs: 0, ...changes })
    const waiting = Routing.Waiting.createWaitingQueue<Routing.Waiting.WaitingCall & { name: string }>()
    for (const waiter of [entry('late', { late: true }), entry('second', { arrivedAtMs: 5 }), entry('first', { arrivedAtMs: 1 }), entry('urgent', { rank: rankOf(0), arrivedAtMs: 9 }), entry('lateUrgent', { rank: rankOf(0), late: true }), entry('resuming', { resuming: true, late: true })]) waiting.add(waiter)
    expect(waiting.inOrder().map(waiter => waiter.name)).toEqual(['resuming', 'urgent', 'lateUrgent', 'first', 'second', 'late'])
  })

  it('orders on-time calls first, then by priority, then by age, where calls have no ranks', () => {
    const entry = (name: string, changes: Partial<Routing.Waiting.WaitingCall>): Routing.Waiting.WaitingCall & { name: string } =>
      ({ name, service: 's', resuming: false, late: false, rank: undefined, priority: 1, arrivedAtMs: 0, ...changes })
    const waiting = Routing.Waiting.createWaitingQueue<Routing.Waiting.WaitingCall & { name: string }>()
    for (const waiter of [entry('late', { late: true }), entry('second', { arrivedAtMs: 5 }), entry('first', { arrivedAtMs: 1 }), entry('urgent', { priority: 0, arrivedAtMs: 9 }), entry('resuming', { resuming: true, late: true })]) waiting.add(waiter)
    expect(waiting.inOrder().map(waiter => waiter.name)).toEqual(['resuming', 'urgent', 'first', 'second', 'late'])
  })
})

describe('Retries', () => {
  const history = (changes: Partial<Routing.Retries.CallHistory> = {}): Routing.Retries.CallHistory =>
    ({ kind: 'nonIdempotent', resumable: false, ranCount: 0, sentCount: 1, runLimitCount: 2, leftMs: 1_000, ...changes })

  it('retries a call that must not run twice only if it provably did not run', () => {
    expect(Routing.Retries.nextStep('notRun', history())).toEqual('retry')
    expect(Routing.Retries.nextStep('unknown', history({ ranCount: 1 }))).toEqual('fail')
    expect(Routing.Retries.nextStep('notRun', history({ ranCount: 1, sentCount: 2 }))).toEqual('fail')
  })

  it('never reports that a call did not run if one of its attempts may have run', () => {
    const ends: Routing.Retries.AttemptEnd[] = ['notRun', 'notSent', 'failed', 'unknown', 'broken']
    const steps = ends.map(end => Routing.Retries.finalStep(end, history({ ranCount: 1 })))
    expect(steps.includes('refuse')).toEqual(false)
  })

  it('resumes a broken stream that is resumable, within the run limit of its route', () => {
    expect(Routing.Retries.nextStep('broken', history({ kind: 'stream', resumable: true, ranCount: 1 }))).toEqual('retry')
    expect(Routing.Retries.nextStep('broken', history({ kind: 'stream', resumable: true, ranCount: 2, sentCount: 2 }))).toEqual('fail')
    expect(Routing.Retries.nextStep('broken', history({ kind: 'stream', ranCount: 1 }))).toEqual('fail')
  })
})

describe('Silence', () => {
  const pendingAnswer = { hasBegun: false, endpointQuietMs: 0, goalMs: 500, pauseGoalMs: 400 }

  it('gives an endpoint that answers other calls more time than a silent one', () => {
    expect([Routing.Silence.answerTimeoutMs(pendingAnswer), Routing.Silence.answerTimeoutMs({ ...pendingAnswer, endpointQuietMs: 800 })]).toEqual([2_000, 1_000])
  })

  it('uses the pause goal for a stream that has begun', () => {
    expect(Routing.Silence.answerTimeoutMs({ ...pendingAnswer, hasBegun: true })).toEqual(1_000)
  })

  it('never considers a plain answer lost within the time of several passes', () => {
    expect(Routing.Silence.answerTimeoutMs({ ...pendingAnswer, goalMs: 100, endpointQuietMs: 800 })).toEqual(700)
  })
})

describe('Reasons that exclude endpoints', () => {
  it('are counted for the endpoints of the service', () => {
    const context = Direct.surroundingsOf([
      Direct.listingOf('well'),
      Direct.listingOf('leaving', { draining: true }),
      Direct.listingOf('bare', { weights: [] }),
      Direct.listingOf('old'),
      Direct.listingOf('away', { zone: 'b' }),
      Direct.listingOf('other', { service: 'plain' })
    ], { drainedZones: new Set(['b']) })
    const requirements: Routing.Choice.CallRequirements = { service: Direct.ENGINE_SERVICE, model: 'm', promptTokens: 10, regions: [], triedIds: new Set(['old']) }
    expect(Routing.Choice.countExcluded(requirements, context, 0)).toEqual({ draining: 1, weights: 1, tried: 1, zoneDrained: 1 })
    expect(Routing.Choice.findCandidates(requirements, context, 0).map(candidate => candidate.row.listing.endpointId)).toEqual(['well'])
  })
})

describe('Budgets', () => {
  it('keep the retries of all gateways within the shared limit when every call fails', () => {
    const gatewayCount = 6
    const bound = { ratio: 0.2, slackCount: 106, windowMs: 10_000 }
    const budgets = Array.from({ length: gatewayCount }, () => Routing.Budgets.createRetryBudget(() => bound))
    let repeatCount = 0
    for (let index = 0; index < 1_000; index++) {
      const budget = budgets[index % gatewayCount] as Routing.Budgets.RetryBudget
      budget.recordCall('s', index * 10)
      if (budget.take('s', gatewayCount, index * 10)) repeatCount++
    }
    expect(repeatCount <= 0.2 * 1_000 + 106).toEqual(true)
    expect(repeatCount > 100).toEqual(true)
  })

  it('show whether a retry could be taken, without taking it', () => {
    const budget = Routing.Budgets.createRetryBudget(() => ({ ratio: 0, slackCount: 1.25, windowMs: 10_000 }))
    expect([budget.allows('s', 1, 0), budget.allows('s', 1, 0), budget.take('s', 1, 0), budget.allows('s', 1, 1)]).toEqual([true, true, true, false])
  })

  it('follow a limit that changes while calls fail', () => {
    let slackCount = 100
    const budget = Routing.Budgets.createRetryBudget(() => ({ ratio: 0, slackCount, windowMs: 10_000 }))
    expect(budget.take('s', 1, 0)).toEqual(true)
    slackCount = 1
    expect(budget.take('s', 1, 1)).toEqual(false)
  })
})

describe('Refusals', () => {
  it('spreads the retry delays and keeps them within what callers honour', () => {
    const times = Array.from({ length: 200 }, () => Routing.Refusals.returnAfterMs('overCapacity', 6_000, random))
    expect([Math.max(...times) <= 2_000, Math.max(...times) - Math.min(...times) > 1_000]).toEqual([true, true])
    expect(Routing.Refusals.returnAfterMs('overCapacity', 300, random) <= 100).toEqual(true)
  })
})

describe('Ages', () => {
  it('recognizes the retry of a caller by its shorter deadline', () => {
    const ages = Routing.Ages.createCallAges()
    expect([ages.estimateAgeMs('r', 6_000), ages.estimateAgeMs('r', 5_990), ages.estimateAgeMs('r', 4_000) > 900, ages.estimateAgeMs('other', 4_000)]).toEqual([0, 0, true, 0])
  })

  it('does not mistake a first call with a somewhat shorter deadline for a retry', () => {
    const ages = Routing.Ages.createCallAges()
    expect([ages.estimateAgeMs('r', 6_000), ages.estimateAgeMs('r', 5_050)]).toEqual([0, 0])
  })
})

describe('Deployment', () => {
  const route = (name: string, prefix: string): Routing.Deployment.Route =>
    ({ name, host: 'h', prefix, kind: 'idempotent', targets: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], runLimitCount: 1, timeoutMs: 1, goalMs: 1, pauseGoalMs: 1, priority: 0, anonymous: true, resumable: false, regions: [] })

  it('finds the route with the longest prefix of the host', () => {
    const index = Routing.Deployment.createIndex({ version: 1, routes: [route('short', '/a/'), route('long', '/a/b/')], services: [PLAIN_SERVICE], workspaces: undefined, limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    expect([index.routeOf('h', '/a/b/c')?.name, index.routeOf('h', '/a/c')?.name, index.routeOf('x', '/a/c'), index.routeOf('h', '/a')]).toEqual(['long', 'short', undefined, undefined])
  })

  it('splits calls by weight', () => {
    expect([Routing.Deployment.chooseTarget(route('r', '/'), 0.89), Routing.Deployment.chooseTarget(route('r', '/'), 0.91)]).toEqual(['a', 'b'])
  })
})
