import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Ingress from '../src/ingress/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as CallLimits from '../testkit/callLimits.ts'
import * as Direct from '../testkit/direct.ts'

const { ENGINE_SERVICE, listingOf, surroundingsOf } = Direct
const NOW_MS = 10_000
const REQUIREMENTS: Routing.Choice.CallRequirements = { service: ENGINE_SERVICE, model: 'm', promptTokens: 1_000, regions: [], triedIds: new Set() }

describe('a cold endpoint whose limit in calls per second is below the number of gateways', () => {
  it('gets no more calls from all of them together than its limit', t => {
    const names = Array.from({ length: 100 }, (_, index) => `g${index}`)
    const gateways = names.map(name => surroundingsOf([listingOf('cold', { coldForMs: 60_000 })], { gatewayCount: 100, zoneGatewayCount: 50, sharers: Routing.Turns.createSharers(name, names.filter(other => other !== name)) }))
    const sentAtMs: number[] = []
    for (let nowMs = 0; nowMs < 3_000; nowMs += 10) {
      for (const context of gateways) {
        const [candidate] = Routing.Choice.findCandidates(REQUIREMENTS, { ...context, storeMs: nowMs }, nowMs)
        if (candidate === undefined) continue
        Routing.Choice.recordSent(candidate.row, 0, nowMs)
        candidate.row.ownCallCount--
        sentAtMs.push(nowMs)
      }
    }
    const maxPerSecond = CallLimits.mostWithin(sentAtMs, 1_000)
    t.diagnostic(`${maxPerSecond} calls in a second`)
    expect([maxPerSecond > 0, maxPerSecond <= ENGINE_SERVICE.coldCallsPerSecond * 1.5 + 5]).toEqual([true, true])
  })
})

describe('a gateway that does not know the other gateways yet', () => {
  const context = surroundingsOf([listingOf('cold', { coldForMs: 60_000 }), listingOf('warm')], { sharers: undefined })

  it('sends no calls to cold endpoints', () => {
    expect(Routing.Choice.findCandidates(REQUIREMENTS, context, NOW_MS).map(candidate => candidate.row.listing.endpointId)).toEqual(['warm'])
  })

  it('uses only the retry budget from its own calls, not the shared allowance', () => {
    const budget = Routing.Budgets.createRetryBudget(() => ({ ratio: 0.2, slackCount: 100, windowMs: 10_000 }))
    for (let count = 0; count < 10; count++) budget.recordCall('llm', NOW_MS)
    const taken = Array.from({ length: 20 }, () => budget.take('llm', Routing.Choice.sharingGatewayCount(context), NOW_MS))
    expect(taken.filter(Boolean).length).toEqual(1)
  })
})

describe('the reads of entries while these keep changing', () => {
  const READS_PER_SECOND_LIMIT = 50
  it('do not grow with the number of gateways up to a fleet of fifty, and stay as frequent in a small one', () => {
    const delaysMs = [1, 6, 15, 35, 50, 370].map(Ingress.Gateway.endpointsBatchDelayMs)
    expect(delaysMs).toEqual([300, 300, 300, 700, 1_000, 1_000])
    expect([15, 35, 50].map(count => count * 1_000 / Ingress.Gateway.endpointsBatchDelayMs(count) <= READS_PER_SECOND_LIMIT)).toEqual([true, true, true])
  })
})
