import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Routing from '../src/routing/index.ts'
import * as LoadReplay from '../testkit/loadReplay.ts'

describe('SlotShares', () => {
  const gateways = (zone: string, demands: ReadonlyArray<number | undefined>): Routing.SlotShares.GatewayDemand[] => demands.map(callsPerSecond => ({ zone, callsPerSecond }))
  const SLOTS = new Map([['a', 48], ['b', 48]])
  const sharesOf = (all: readonly Routing.SlotShares.GatewayDemand[], slots = SLOTS): Routing.SlotShares.SlotShares[] =>
    all.map(own => Routing.SlotShares.computeShares({ own, others: all.filter(other => other !== own), slotCountByZone: slots }))

  it('add up to one in each zone, so that no free slot is claimed twice', () => {
    const shares = sharesOf([...gateways('a', [40, 5, undefined, 1_000]), ...gateways('b', [3, 0])])
    for (const zone of SLOTS.keys()) expect(Math.abs(shares.reduce((sum, share) => sum + (share.get(zone) ?? 0), 0) - 1) < 1e-9).toEqual(true)
  })

  it('follow demand within a zone', () => {
    const [busy, calm] = sharesOf(gateways('a', [20, 10]), new Map([['a', 48]]))
    expect(Math.round((busy?.get('a') ?? 0) / (calm?.get('a') ?? 1))).toEqual(2)
  })

  it('bound what a gateway gets that reports too much, and leave some to one that reports nothing', () => {
    const [lying, ...others] = sharesOf(gateways('a', [1_000_000, 10, 10, 10, 0]), new Map([['a', 48]]))
    expect([(lying?.get('a') ?? 1) <= 0.95, others.every(share => (share.get('a') ?? 0) > 0)]).toEqual([true, true])
  })

  it('let gateways of a zone without usable endpoints use those of other zones like their own', () => {
    const [homeless, , local] = sharesOf([...gateways('a', [10, 10]), ...gateways('b', [10, 10])], new Map([['b', 48]]))
    expect(homeless?.get('b')).toEqual(local?.get('b'))
  })

  it('keep most slots of a zone for its own gateways while these have room', () => {
    const [own, , far] = sharesOf([...gateways('a', [10, 10]), ...gateways('b', [10, 10])])
    expect((own?.get('a') ?? 0) > 5 * (far?.get('a') ?? 1)).toEqual(true)
  })

  it('are used only where an even division would leave less than a slot for each gateway', () => {
    expect([Routing.SlotShares.areByDemand(14, 16), Routing.SlotShares.areByDemand(22, 12)]).toEqual([false, true])
  })
})

describe('Spreading', () => {
  const candidates = [10, 40, 200].map(costMs => ({ costMs, costPerCallMs: 10 }))

  it('takes the best endpoint while no other calls are expected', () => {
    expect(Routing.Spreading.spread(candidates, 1, 0)).toEqual([1, 0, 0])
  })

  it('evens out the predicted times over all that are expected to be used', () => {
    const parts = Routing.Spreading.spread(candidates, 9, 0)
    expect(parts.map(part => Math.round(part * 9 * 10) / 10)).toEqual([6, 3, 0])
  })

  it('uses every endpoint when many calls are expected before the next reports', () => {
    expect(Routing.Spreading.spread(candidates, 100, 0).every(part => part > 0.2)).toEqual(true)
  })

  it('draws endpoints by their parts, and none from an empty list', () => {
    expect([0, 0.49, 0.5, 0.999].map(draw => Routing.Spreading.drawIndex([0.5, 0, 0.5], draw))).toEqual([0, 0, 2, 2])
    expect(Routing.Spreading.drawIndex(Routing.Spreading.spread([], 5, 20), 0.3)).toEqual(-1)
  })
})

describe('Thirty gateways over 39 endpoints with uneven demand', () => {
  /** One zone has four times the demand of each other one, and its first gateway three times the mean of its zone. */
  const LOAD = { seed: 2, durationMs: 5_000, callsPerSecond: () => 330, promptTokens: (draw: number) => 400 + 1_154 * draw, gatewaysPerZoneCount: 10, enginesPerZoneCount: 13, zoneShares: [4 / 6, 1 / 6, 1 / 6], firstGatewayShare: 0.3 }

  it('close at least half of the distance to perfect knowledge in refusals and slow answers, with the same reports', t => {
    const [current, even, perfect] = [LoadReplay.play(LOAD), LoadReplay.play(LOAD, { dividesEvenly: true }), LoadReplay.play(LOAD, { dividesEvenly: true, gatewayCount: 1, reportIntervalMs: 10 })]
    for (const [name, outcome] of Object.entries({ current, even, perfect })) t.diagnostic(`${name} ${JSON.stringify(outcome)}`)
    const closes = (value: (outcome: LoadReplay.Outcome) => number): boolean => value(even) - value(current) >= (value(even) - value(perfect)) / 2
    expect([closes(outcome => outcome.refusalsPerCall), closes(outcome => outcome.p95Ms), current.inGoal > even.inGoal, current.loadVariation < even.loadVariation]).toEqual([true, true, true, true])
  })
})
