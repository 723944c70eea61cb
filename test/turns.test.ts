import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as CallLimits from '../testkit/callLimits.ts'

const START_MS = 1_000_000
const STEP_MS = 5
const CALLS_PER_SECOND = 10
const TURN_LIFETIME_MS = 1_500

interface Gateway {
  readonly turns: Routing.Turns.Turns
  readonly sharers: Routing.Turns.Sharers | undefined
  /** Error of the gateway's estimate of the store's time, in milliseconds. */
  readonly clockOffsetMs: number
}
interface PlayResult { readonly sentAtMs: readonly number[], readonly mostInWindow: number }

const namesOf = (count: number): string[] => Array.from({ length: count }, (_, index) => `gateway-${index}`)
const gatewayOf = (name: string, names: readonly string[], clockOffsetMs = 0): Gateway => ({
  turns: Routing.Turns.createTurns('endpoint', TURN_LIFETIME_MS),
  sharers: Routing.Turns.createSharers(name, names.filter(other => other !== name)),
  clockOffsetMs
})

/** Offers calls to each gateway at random times; a call is sent if the gateway has an open turn. */
const play = (gateways: readonly Gateway[], limitPerSecondAt: (atMs: number, sentCount: number) => number, durationMs = 20_000, callsPerSecond = CALLS_PER_SECOND): PlayResult => {
  const random = Core.Random.createRandom(3)
  const sentAtMs: number[] = []
  for (let nowMs = START_MS; nowMs < START_MS + durationMs; nowMs += STEP_MS) {
    for (const { turns, sharers, clockOffsetMs } of gateways) {
      if (random.next() >= callsPerSecond * STEP_MS / 1_000) continue
      if (!Routing.Turns.hasOpenTurn(turns, limitPerSecondAt(nowMs, sentAtMs.length), sharers, nowMs + clockOffsetMs)) continue
      Routing.Turns.useTurn(turns)
      sentAtMs.push(nowMs)
    }
  }
  return { sentAtMs, mostInWindow: CallLimits.mostWithin(sentAtMs, CallLimits.WINDOW_MS) }
}

describe('Turns', () => {
  for (const [gatewayCount, limitPerSecond] of [[1, 1.5], [4, 1.5], [4, 0.3], [20, 1.2], [370, 1.5], [370, 50]] as const) {
    describe(`of ${gatewayCount} gateways at ${limitPerSecond} calls per second`, () => {
      const names = namesOf(gatewayCount)

      it('keep the total within the rate and use most of it', t => {
        const { sentAtMs, mostInWindow } = play(names.map(name => gatewayOf(name, names)), () => limitPerSecond)
        t.diagnostic(`${mostInWindow} in 4 s, ${sentAtMs.length} in 20 s`)
        expect([mostInWindow <= limitPerSecond * (CallLimits.WINDOW_MS + TURN_LIFETIME_MS) / 1_000 + 1, sentAtMs.length > 0.8 * limitPerSecond * 20 - 1]).toEqual([true, true])
      })

      it('keep the total within the allowed count while clocks and member lists differ', t => {
        const gateways = names.map((name, index) => gatewayOf(name, index % 2 === 0 ? names : names.slice(1).concat(name), index % 3 * 60))
        const { mostInWindow } = play(gateways, () => limitPerSecond)
        t.diagnostic(`${mostInWindow} in 4 s`)
        expect(mostInWindow <= CallLimits.allowedCount(limitPerSecond)).toEqual(true)
      })

      it('add no calls when the rate changes with each answer', t => {
        const { mostInWindow } = play(names.map(name => gatewayOf(name, names)), (_atMs, sentCount) => limitPerSecond * (1 + sentCount % 2 / 10))
        t.diagnostic(`${mostInWindow} in 4 s`)
        expect(mostInWindow <= limitPerSecond * (CallLimits.WINDOW_MS + TURN_LIFETIME_MS) / 1_000 + 1).toEqual(true)
      })
    })
  }

  describe('of gateways with unequal demand', () => {
    const names = namesOf(4)
    const demands = [30, 10, 10, 10]
    const limitPerSecond = 20
    const withWeights = (gateway: Gateway, weights: readonly number[]): Gateway => {
      const sharers = gateway.sharers as Routing.Turns.Sharers
      const gatewayIndex = names.findIndex(name => sharers.own.hash === Routing.Turns.createSharer(name).hash)
      sharers.own.weight = weights[gatewayIndex]
      for (const [index, other] of sharers.others.entries()) other.weight = weights[index < gatewayIndex ? index : index + 1]
      return gateway
    }

    it('are divided in proportion to demand', () => {
      const sentCounts = names.map((name, index) => play([withWeights(gatewayOf(name, names), demands)], () => limitPerSecond, 20_000, demands[index]).sentAtMs.length)
      const totalCount = sentCounts.reduce((sum, count) => sum + count, 0)
      const shares = sentCounts.map(count => count / totalCount)
      expect([Math.abs((shares[0] ?? 0) - 0.5) < 0.1, shares.slice(1).every(share => Math.abs(share - 1 / 6) < 0.1)]).toEqual([true, true])
    })

    it('keep the total within the allowed count while not all gateways know the reported weights', t => {
      const gateways = names.map((name, index) => withWeights(gatewayOf(name, names), index === 0 ? demands : [10, 10, 10, 10]))
      const { mostInWindow } = play(gateways, () => limitPerSecond, 20_000, 30)
      t.diagnostic(`${mostInWindow} in 4 s`)
      expect(mostInWindow <= CallLimits.allowedCount(limitPerSecond)).toEqual(true)
    })
  })

  it('are not determined one by one at an excessive limit, as a garbled answer may state', () => {
    const turns = Routing.Turns.createTurns('endpoint', TURN_LIFETIME_MS)
    const { sharers } = gatewayOf('gateway-1', namesOf(4))
    const open = [START_MS, START_MS + 5_000].map(atMs => Routing.Turns.hasOpenTurn(turns, 1e12, sharers, atMs))
    expect([open, turns.unusedAtMs.length, Routing.Turns.nextTurnInMs(turns, sharers, START_MS, 60_000)]).toEqual([[true, true], 0, Infinity])
  })

  it('belong to no gateway while the other gateways or the store\'s time are not known', () => {
    const turns = Routing.Turns.createTurns('endpoint', TURN_LIFETIME_MS)
    const alone = Routing.Turns.createSharers('g', [])
    expect([Routing.Turns.hasOpenTurn(turns, 5, undefined, START_MS), Routing.Turns.hasOpenTurn(turns, 5, alone, Infinity)]).toEqual([false, false])
  })

  it('that a paused gateway has missed can be used only within their lifetime', () => {
    const turns = Routing.Turns.createTurns('endpoint', TURN_LIFETIME_MS)
    const alone = Routing.Turns.createSharers('g', [])
    Routing.Turns.hasOpenTurn(turns, 2, alone, START_MS)
    Routing.Turns.hasOpenTurn(turns, 2, alone, START_MS + 10_000)
    expect(turns.unusedAtMs.length).toEqual(2 * TURN_LIFETIME_MS / 1_000)
  })

  it('still allow occasional calls at a limit of zero, so that the end of the limit is noticed', () => {
    const names = namesOf(4)
    const { sentAtMs, mostInWindow } = play(names.map(name => gatewayOf(name, names)), () => 0, 60_000)
    expect([sentAtMs.length > 0, mostInWindow <= 2]).toEqual([true, true])
  })

  it('show when the next one begins', () => {
    const names = namesOf(4)
    const { turns, sharers } = gatewayOf('gateway-2', names)
    let nowMs = START_MS
    Routing.Turns.hasOpenTurn(turns, 1.5, sharers, nowMs)
    const untilNextMs = Routing.Turns.nextTurnInMs(turns, sharers, nowMs, 60_000)
    nowMs += untilNextMs
    expect([Routing.Turns.hasOpenTurn(turns, 1.5, sharers, nowMs - 1), Routing.Turns.hasOpenTurn(turns, 1.5, sharers, nowMs), Routing.Turns.nextTurnInMs(turns, sharers, START_MS, 10)]).toEqual([false, true, Infinity])
  })
})

describe('Limits', () => {
  const statementOf = (callsPerSecond: number | undefined, askedAtMs: number, heardAtMs: number): Routing.Limits.LimitStatement => ({ callsPerSecond, askedAtMs, heardAtMs })

  it('begin with the first answer that states one', () => {
    expect([Routing.Limits.merge(undefined, statementOf(undefined, 0, 1)), Routing.Limits.merge(undefined, statementOf(2, 0, 1))?.callsPerSecond]).toEqual([undefined, 2])
  })

  it('are not ended by the answer to a call that was sent before they were received', () => {
    const named = statementOf(2, 100, 200)
    expect([statementOf(undefined, 50, 300), statementOf(undefined, 150, 300), statementOf(undefined, 200, 300)].map(received => Routing.Limits.merge(named, received)?.callsPerSecond)).toEqual([2, 2, undefined])
  })

  it('stay ended when an older answer is received afterwards', () => {
    const ended = statementOf(undefined, 300, 400)
    expect([statementOf(2, 100, 200), statementOf(2, 350, 380), statementOf(2, 400, 500)].map(received => Routing.Limits.merge(ended, received)?.callsPerSecond)).toEqual([undefined, 2, 2])
  })

  it('end at an endpoint whose answers take longer than the interval between calls', () => {
    let current: Routing.Limits.LimitStatement | undefined = statementOf(2, 0, 1_000)
    for (let askedAtMs = 500; askedAtMs <= 5_000; askedAtMs += 500) current = Routing.Limits.merge(current, statementOf(undefined, askedAtMs, askedAtMs + 1_000))
    expect(current?.callsPerSecond).toEqual(undefined)
  })

  it('merge to the stricter of two whose order is unknown, and to the later of two whose order is known', () => {
    expect([statementOf(3, 150, 250), statementOf(3, 200, 300)].map(received => Routing.Limits.merge(statementOf(2, 100, 200), received)?.callsPerSecond)).toEqual([2, 3])
  })
})
