import { describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Routing from '../src/routing/index.ts'
import * as CallLimits from '../testkit/callLimits.ts'
import * as LoadReplay from '../testkit/loadReplay.ts'

const DURATION_SECONDS = 12
/** Returns a prompt size around the usual one. */
const usualPromptTokens = (draw: number): number => 400 + 1_154 * draw
const sustained = (callsPerSecond: number): LoadReplay.Load => ({ seed: 1, durationMs: DURATION_SECONDS * 1_000, callsPerSecond: () => callsPerSecond, promptTokens: usualPromptTokens })
const MODERATE_LOAD = sustained(60)
/** More calls than the endpoints can serve. */
const OVERLOAD = sustained(120)
const BURSTS: LoadReplay.Load = { ...OVERLOAD, callsPerSecond: atMs => atMs % 4_000 < 1_000 ? 200 : 60 }

/** Minimum gain of a rule over its alternative, as a share of all calls. */
const MIN_GAIN_SHARE = 0.1

const sendAll: typeof Routing.Admission.decide = (_call, best) => best === undefined ? { kind: 'refuse', reason: 'noEndpoint' } : { kind: 'send', candidate: best }
const servedShare = (outcome: LoadReplay.Outcome): number => outcome.inGoal + outcome.late

describe('Decisions under load', () => {
  it('refuse no calls and answer on time under moderate load', t => {
    const outcome = LoadReplay.play(MODERATE_LOAD)
    t.diagnostic(JSON.stringify(outcome))
    expect([outcome.inGoal > 0.98, outcome.refused]).toEqual([true, 0])
  })

  for (const [name, load] of [['sustained overload', OVERLOAD], ['bursts', BURSTS]] as const) {
    it(`answer more calls on time than sending all of them, under ${name}`, t => {
      const [actual, alternative] = [LoadReplay.play(load), LoadReplay.play(load, { decide: sendAll })]
      t.diagnostic(`current ${JSON.stringify(actual)}`)
      t.diagnostic(`all sent ${JSON.stringify(alternative)}`)
      expect([actual.inGoal > alternative.inGoal + MIN_GAIN_SHARE, actual.lost < 0.01]).toEqual([true, true])
    })

    it(`reserve slots for on-time calls without serving fewer calls, under ${name}`, t => {
      const [actual, alternative] = [LoadReplay.play(load), LoadReplay.play(load, { ignoresCrowding: true })]
      t.diagnostic(`current ${JSON.stringify(actual)}`)
      t.diagnostic(`last slots for late calls too ${JSON.stringify(alternative)}`)
      expect([actual.inGoal > alternative.inGoal + MIN_GAIN_SHARE, servedShare(actual) > 0.97 * servedShare(alternative)]).toEqual([true, true])
    })
  }

  it('answer more calls on time if each gateway uses only its share of free slots, under overload', t => {
    const [actual, alternative] = [LoadReplay.play(OVERLOAD), LoadReplay.play(OVERLOAD, { gatewayCount: 1 })]
    t.diagnostic(`current ${JSON.stringify(actual)}`)
    t.diagnostic(`no shares of slots ${JSON.stringify(alternative)}`)
    expect(actual.inGoal > alternative.inGoal).toEqual(true)
  })

  it('respect the limits that all endpoints state, and refuse no call for good at three quarters of the total limit', t => {
    const limitPerSecond = 6
    const outcome = LoadReplay.play(sustained(40), { limitPerSecond })
    t.diagnostic(JSON.stringify(outcome))
    expect([outcome.mostInWindow <= CallLimits.allowedCount(limitPerSecond), outcome.refused + outcome.lost]).toEqual([true, 0])
  })

  it('spread retry delays, so that fewer callers are refused twice, under overload', t => {
    const [actual, alternative] = [LoadReplay.play(OVERLOAD), LoadReplay.play(OVERLOAD, { returnAfterMs: () => 700 })]
    t.diagnostic(`current ${JSON.stringify(actual)}`)
    t.diagnostic(`fixed delay of 700 ms ${JSON.stringify(alternative)}`)
    expect(actual.refusalsPerCall < alternative.refusalsPerCall).toEqual(true)
  })
})
