import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as CallLimits from '../testkit/callLimits.ts'

const START_MS = 1_000_000
const STEP_MS = 5
const CALLS_PER_SECOND = 10
const KEPT_MS = 1_500

interface Gateway {
  readonly turns: Routing.Turns.Turns
  readonly sharers: Routing.Turns.Sharers | undefined
  /** How much its idea of the store's time is off, in milliseconds. */
  readonly offMs: number
}
interface Played { readonly sentAtMs: readonly number[], readonly mostInWindow: number }

const namesOf = (count: number): string[] => Array.from({ length: count }, (_, index) => `gateway-${index}`)
const gatewayOf = (name: string, names: readonly string[], offMs = 0): Gateway => ({
  turns: Routing.Turns.createTurns('endpoint', KEPT_MS),
  sharers: Routing.Turns.createSharers(name, names.filter(other => other !== name)),
  offMs
})

/** Offers each gateway calls at random times; each goes to the endpoint if a turn is open. */
const play = (gateways: readonly Gateway[], limitAt: (atMs: number, sentCount: number) => number, durationMs = 20_000, callsPerSecond = CALLS_PER_SECOND): Played => {
  const random = Core.Random.createRandom(3)
  const sentAtMs: number[] = []
  for (let nowMs = START_MS; nowMs < START_MS + durationMs; nowMs += STEP_MS) {
    for (const { turns, sharers, offMs } of gateways) {
      if (random.next() >= callsPerSecond * STEP_MS / 1_000) continue
      if (!Routing.Turns.isOpen(turns, limitAt(nowMs, sentAtMs.length), sharers, nowMs + offMs)) continue
      Routing.Turns.take(turns)
      sentAtMs.push(nowMs)
    }
  }
  return { sentAtMs, mostInWindow: CallLimits.mostWithin(sentAtMs, CallLimits.WINDOW_MS) }
}

describe('Turns', () => {
  for (const [gatewayCount, limitPerSecond] of [[1, 1.5], [4, 1.5], [4, 0.3], [20, 1.2], [370, 1.5], [370, 50]] as const) {
    describe(`of ${gatewayCount} gateways at ${limitPerSecond} calls a second`, () => {
      const names = namesOf(gatewayCount)

      it('keep the sum to the rate and use most of it', t => {
        const { sentAtMs, mostInWindow } = play(names.map(name => gatewayOf(name, names)), () => limitPerSecond)
        t.diagnostic(`${mostInWindow} in 4 s, ${sentAtMs.length} in 20 s`)
        expect([mostInWindow <= limitPerSecond * (CallLimits.WINDOW_MS + KEPT_MS) / 1_000 + 1, sentAtMs.length > 0.8 * limitPerSecond * 20 - 1]).toEqual([true, true])
      })

      it('keep the sum within the rule while clocks and lists differ', t => {
        const gateways = names.map((name, index) => gatewayOf(name, index % 2 === 0 ? names : names.slice(1).concat(name), index % 3 * 60))
        const { mostInWindow } = play(gateways, () => limitPerSecond)
        t.diagnostic(`${mostInWindow} in 4 s`)
        expect(mostInWindow <= CallLimits.allowedCount(limitPerSecond)).toEqual(true)
      })

      it('add no calls when the rate changes with each answer', t => {
        const { mostInWindow } = play(names.map(name => gatewayOf(name, names)), (_atMs, sentCount) => limitPerSecond * (1 + sentCount % 2 / 10))
        t.diagnostic(`${mostInWindow} in 4 s`)
        expect(mostInWindow <= limitPerSecond * (CallLimits.WINDOW_MS + KEPT_MS) / 1_000 + 1).toEqual(true)
      })
    })
  }

  describe('of gateways that are asked for unequally many calls', () => {
    const names = namesOf(4)
    const demands = [30, 10, 10, 10]
    const limitPerSecond = 20
    const told = (gateway: Gateway, weights: readonly number[]): Gateway => {
      const sharers = gateway.sharers as Routing.Turns.Sharers
      const at = names.findIndex(name => sharers.own.hash === Routing.Turns.createSharer(name).hash)
      sharers.own.weight = weights[at]
      for (const [index, other] of sharers.others.entries()) other.weight = weights[index < at ? index : index + 1]
      return gateway
    }

    it('go to each by what it is asked for', () => {
      const played = names.map((name, index) => play([told(gatewayOf(name, names), demands)], () => limitPerSecond, 20_000, demands[index]).sentAtMs.length)
      const all = played.reduce((sum, count) => sum + count, 0)
      const shares = played.map(count => count / all)
      expect([Math.abs((shares[0] ?? 0) - 0.5) < 0.1, shares.slice(1).every(share => Math.abs(share - 1 / 6) < 0.1)]).toEqual([true, true])
    })

    it('keep the sum within the rule while what was told has not reached all', t => {
      const gateways = names.map((name, index) => told(gatewayOf(name, names), index === 0 ? demands : [10, 10, 10, 10]))
      const { mostInWindow } = play(gateways, () => limitPerSecond, 20_000, 30)
      t.diagnostic(`${mostInWindow} in 4 s`)
      expect(mostInWindow <= CallLimits.allowedCount(limitPerSecond)).toEqual(true)
    })
  })

  it('are not worked out one by one at a limit beyond any load, as a garbled answer may name', () => {
    const turns = Routing.Turns.createTurns('endpoint', KEPT_MS)
    const { sharers } = gatewayOf('gateway-1', namesOf(4))
    const open = [START_MS, START_MS + 5_000].map(atMs => Routing.Turns.isOpen(turns, 1e12, sharers, atMs))
    expect([open, turns.unusedAtMs.length, Routing.Turns.opensInMs(turns, sharers, START_MS, 60_000)]).toEqual([[true, true], 0, Infinity])
  })

  it('are nobody\'s while the other gateways or the store\'s time are not known', () => {
    const turns = Routing.Turns.createTurns('endpoint', KEPT_MS)
    const alone = Routing.Turns.createSharers('g', [])
    expect([Routing.Turns.isOpen(turns, 5, undefined, START_MS), Routing.Turns.isOpen(turns, 5, alone, Infinity)]).toEqual([false, false])
  })

  it('let a gateway that stood still use those of the time for which turns are kept, not all that it has missed', () => {
    const turns = Routing.Turns.createTurns('endpoint', KEPT_MS)
    const alone = Routing.Turns.createSharers('g', [])
    Routing.Turns.isOpen(turns, 2, alone, START_MS)
    Routing.Turns.isOpen(turns, 2, alone, START_MS + 10_000)
    expect(turns.unusedAtMs.length).toEqual(2 * KEPT_MS / 1_000)
  })

  it('go on now and then at a limit of nothing, so that its end is heard', () => {
    const names = namesOf(4)
    const { sentAtMs, mostInWindow } = play(names.map(name => gatewayOf(name, names)), () => 0, 60_000)
    expect([sentAtMs.length > 0, mostInWindow <= 2]).toEqual([true, true])
  })

  it('tell when the next one begins', () => {
    const names = namesOf(4)
    const { turns, sharers } = gatewayOf('gateway-2', names)
    let nowMs = START_MS
    Routing.Turns.isOpen(turns, 1.5, sharers, nowMs)
    const inMs = Routing.Turns.opensInMs(turns, sharers, nowMs, 60_000)
    nowMs += inMs
    expect([Routing.Turns.isOpen(turns, 1.5, sharers, nowMs - 1), Routing.Turns.isOpen(turns, 1.5, sharers, nowMs), Routing.Turns.opensInMs(turns, sharers, START_MS, 10)]).toEqual([false, true, Infinity])
  })
})

describe('Limits', () => {
  const said = (callsPerSecond: number | undefined, askedAtMs: number, heardAtMs: number): Routing.Limits.Statement => ({ callsPerSecond, askedAtMs, heardAtMs })

  it('begin with the first answer that names one', () => {
    expect([Routing.Limits.merge(undefined, said(undefined, 0, 1)), Routing.Limits.merge(undefined, said(2, 0, 1))?.callsPerSecond]).toEqual([undefined, 2])
  })

  it('are not ended by an answer to a call from before they were heard', () => {
    const named = said(2, 100, 200)
    expect([said(undefined, 50, 300), said(undefined, 150, 300), said(undefined, 200, 300)].map(told => Routing.Limits.merge(named, told)?.callsPerSecond)).toEqual([2, 2, undefined])
  })

  it('stay ended when an older answer is told of afterwards', () => {
    const ended = said(undefined, 300, 400)
    expect([said(2, 100, 200), said(2, 350, 380), said(2, 400, 500)].map(told => Routing.Limits.merge(ended, told)?.callsPerSecond)).toEqual([undefined, 2, 2])
  })

  it('end at an endpoint whose answers take longer than the time between its calls', () => {
    let known: Routing.Limits.Statement | undefined = said(2, 0, 1_000)
    for (let askedAtMs = 500; askedAtMs <= 5_000; askedAtMs += 500) known = Routing.Limits.merge(known, said(undefined, askedAtMs, askedAtMs + 1_000))
    expect(known?.callsPerSecond).toEqual(undefined)
  })

  it('take the stricter of two that cannot be put in order, and the later of two that can', () => {
    expect([said(3, 150, 250), said(3, 200, 300)].map(told => Routing.Limits.merge(said(2, 100, 200), told)?.callsPerSecond)).toEqual([2, 3])
  })
})
