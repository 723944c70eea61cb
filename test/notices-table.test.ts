import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Dialect from '../platform/dialect.ts'
import * as Notices from '../src/routing/notices.ts'
import * as Choice from '../src/routing/choice.ts'
import * as Endpoints from '../src/routing/endpoints.ts'
import * as Refusals from '../src/routing/refusals.ts'
import * as Direct from '../testkit/direct.ts'

const START = { endpointId: 'e', bornAtMs: 1 }
const NO_NOTICE: Notices.AnswerNotice = { isLeaving: false, quietForMs: 0, askedAtMs: 0, isRefused: false }
const LEAVING: Notices.AnswerNotice = { ...NO_NOTICE, isLeaving: true }
const quietNotice = (quietForMs: number): Notices.AnswerNotice => ({ ...NO_NOTICE, quietForMs, isRefused: true })
const YEAR_MS = 365 * 24 * 3_600_000

function noticesOf (...entries: ReadonlyArray<readonly [atMs: number, notice: Notices.AnswerNotice, start?: Endpoints.EndpointStart]>): Notices.Notices {
  const notices = Notices.createNotices()
  for (const [atMs, notice, start = START] of entries) notices.take(start, notice, atMs)
  return notices
}

describe('Notices', () => {
  describe('of a leaving endpoint', () => {
    it('apply only to the start that sent them', () => {
      const notices = noticesOf([0, LEAVING])
      expect([notices.holdOf(START, YEAR_MS), notices.holdOf({ endpointId: 'e', bornAtMs: 2 }, 1), notices.holdOf({ endpointId: 'other', bornAtMs: 1 }, 1)]).toEqual(['leaving', undefined, undefined])
    })

    it('are not revoked by an answer without the notice', () => {
      expect(noticesOf([0, LEAVING], [1, NO_NOTICE]).holdOf(START, 2)).toEqual('leaving')
    })

    it('expire if the endpoint does not report its start time', () => {
      const start = { endpointId: 'e', bornAtMs: undefined }
      const notices = noticesOf([0, LEAVING, start])
      expect([notices.holdOf(start, Notices.MAX_HOLD_MS - 1), notices.holdOf(start, Notices.MAX_HOLD_MS)]).toEqual(['leaving', undefined])
    })

    it('of an earlier start that arrive late do not apply to a later one', () => {
      const next = { endpointId: 'e', bornAtMs: 2 }
      expect(noticesOf([0, quietNotice(5_000), next], [1, LEAVING]).holdOf(next, 2)).toEqual('quiet')
    })
  })

  describe('of an endpoint that wants no calls', () => {
    it('expire, and are followed by one trial call at a time until one is accepted', () => {
      const notices = noticesOf([0, quietNotice(2_000)])
      const before = [notices.holdOf(START, 1_999), notices.holdOf(START, 2_000)]
      notices.recordSent(START, 2_000)
      const during = [notices.holdOf(START, 2_499), notices.holdOf(START, 2_500)]
      notices.recordSent(START, 2_500)
      notices.take(START, { ...NO_NOTICE, askedAtMs: 2_500 }, 2_600)
      notices.recordSent(START, 2_600)
      expect([...before, ...during, notices.holdOf(START, 2_601)]).toEqual(['quiet', undefined, 'returning', undefined, undefined])
    })

    it('are never shortened, and an answer to an earlier call does not end the trials', () => {
      const notices = noticesOf([0, quietNotice(2_000)], [10, quietNotice(100)], [20, { ...NO_NOTICE, askedAtMs: 0 }])
      notices.recordSent(START, 2_000)
      expect([notices.holdOf(START, 1_999), notices.holdOf(START, 2_001)]).toEqual(['quiet', 'returning'])
    })

    it('are limited in time', () => {
      const notices = noticesOf([0, quietNotice(YEAR_MS)])
      expect([notices.holdOf(START, Notices.MAX_HOLD_MS - 1), notices.holdOf(START, Notices.MAX_HOLD_MS)]).toEqual(['quiet', undefined])
    })
  })

  it('are kept for a limited number of endpoints', () => {
    expect(noticesOf(...Array.from({ length: 2_000 }, (_, at) => [at, LEAVING, { endpointId: `e${at}`, bornAtMs: 1 }] as const)).count()).toEqual(1_024)
  })

  it('outlive the list entry of the endpoint', () => {
    const context = Direct.surroundingsOf([Direct.listingOf('e')], { notices: noticesOf([0, LEAVING]) })
    Endpoints.handleUnlisted(context.endpoints, 'e', -Infinity, 1)
    Endpoints.applyListing(context.endpoints, Direct.listingOf('e'), 2)
    const requirements: Choice.CallRequirements = { service: Direct.ENGINE_SERVICE, model: 'm', promptTokens: 10, regions: [], triedIds: new Set() }
    expect([Choice.findCandidates(requirements, context, 3).length, Choice.countExcluded(requirements, context, 3)]).toEqual([0, { leaving: 1 }])
  })

  describe('of all endpoints of a service', () => {
    const requirements: Choice.CallRequirements = { service: Direct.ENGINE_SERVICE, model: 'm', promptTokens: 10, regions: [], triedIds: new Set() }
    const contextOf = (...entries: ReadonlyArray<readonly [string, Notices.AnswerNotice]>): Choice.RoutingContext => {
      const notices = noticesOf(...entries.map(([endpointId, notice]) => [0, notice, { endpointId, bornAtMs: 1 }] as const))
      return Direct.surroundingsOf([Direct.listingOf('a'), Direct.listingOf('b')], { notices })
    }

    it('give the time until the first accepts calls again, and 0 while one is open', () => {
      expect([contextOf(['a', quietNotice(3_000)], ['b', quietNotice(2_000)]), contextOf(['a', quietNotice(3_000)], ['b', LEAVING]), contextOf(['a', quietNotice(3_000)])]
        .map(context => Choice.quietEndsInMs(requirements, context, 500))).toEqual([1_500, 2_500, 0])
    })

    it('let a call wait only if the first endpoint opens soon enough', () => {
      const context = contextOf(['a', quietNotice(100)], ['b', quietNotice(2_000)])
      expect([Choice.opensInMs(requirements, context, 40, 400), Choice.opensInMs(requirements, contextOf(['a', quietNotice(2_000)], ['b', quietNotice(2_000)]), 40, 400)]).toEqual([60, Infinity])
    })

    it('spread the retries of callers over the time afterwards', () => {
      const random = Core.Random.createRandom(3)
      const returns = Array.from({ length: 100 }, () => Refusals.returnAfterMs('overCapacity', 30_000, random, 2_000))
      expect([Math.min(...returns) >= 2_000, Math.max(...returns) <= 3_400, new Set(returns.map(Math.round)).size > 50]).toEqual([true, true, true])
    })
  })
})

describe('the dialect', () => {
  const dialect = Dialect.createDialect()

  it('reads the retry time of a refusal, and ignores values that are not a number of seconds', () => {
    const quietOf = (status: number, value: string): number => dialect.readAnswer(status, { 'retry-after': value }).quietForMs
    expect([quietOf(503, '2'), quietOf(503, '0.25'), quietOf(503, '0')]).toEqual([2_000, 250, 0])
    expect(['-1', '+1', '1e3', '', 'Infinity', 'soon', '1, 2', 'Wed, 21 Oct 2026 07:28:00 GMT'].map(value => quietOf(503, value))).toEqual(Array.from({ length: 8 }, () => 0))
    expect([200, 421, 429, 500].map(status => quietOf(status, '2'))).toEqual([0, 0, 0, 0])
  })

  it('reads from any answer of the endpoint itself that it is leaving', () => {
    const isLeaving = (status: number, value: string): boolean => dialect.readAnswer(status, { 'server-leaving': value }).isLeaving
    expect([isLeaving(200, '1'), isLeaving(500, '1'), isLeaving(503, '1, 1'), isLeaving(421, '1')]).toEqual([true, true, true, false])
    expect(['0', '', 'true', '11', '-1'].map(value => isLeaving(200, value))).toEqual([false, false, false, false, false])
  })
})
