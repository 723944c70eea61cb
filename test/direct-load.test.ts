import { describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Routing from '../src/routing/index.ts'
import * as CallLimits from '../testkit/callLimits.ts'
import * as LoadReplay from '../testkit/loadReplay.ts'

const DURATION_SECONDS = 12
/** Prompts around the usual size. */
const usualPromptTokens = (draw: number): number => 400 + 1_154 * draw
const sustained = (callsPerSecond: number): LoadReplay.Load => ({ seed: 1, durationMs: DURATION_SECONDS * 1_000, callsPerSecond: () => callsPerSecond, promptTokens: usualPromptTokens })
const MODERATE_LOAD = sustained(60)
/** More calls than the endpoints bear. */
const OVERLOAD = sustained(120)
const BURSTS: LoadReplay.Load = { ...OVERLOAD, callsPerSecond: atMs => atMs % 4_000 < 1_000 ? 200 : 60 }

/** A decision that is kept for a load is worth this share of its calls at the least. */
const MIN_GAIN_SHARE = 0.1

const sendAll: typeof Routing.Admission.decide = (_asking, best) => best === undefined ? { kind: 'refuse', reason: 'noEndpoint' } : { kind: 'send', candidate: best }
const servedShare = (outcome: LoadReplay.Outcome): number => outcome.inGoal + outcome.late

describe('Decisions under load', () => {
  it('turn nobody away and are in time on a calm day', t => {
    const outcome = LoadReplay.play(MODERATE_LOAD)
    t.diagnostic(JSON.stringify(outcome))
    expect([outcome.inGoal > 0.98, outcome.refused]).toEqual([true, 0])
  })

  for (const [name, load] of [['sustained overload', OVERLOAD], ['bursts', BURSTS]] as const) {
    it(`answer more calls in time than sending all of them, in ${name}`, t => {
      const [actual, alternative] = [LoadReplay.play(load), LoadReplay.play(load, { decide: sendAll })]
      t.diagnostic(`as is ${JSON.stringify(actual)}`)
      t.diagnostic(`all sent ${JSON.stringify(alternative)}`)
      expect([actual.inGoal > alternative.inGoal + MIN_GAIN_SHARE, actual.lost < 0.01]).toEqual([true, true])
    })

    it(`leave places to calls in time without serving fewer, in ${name}`, t => {
      const [actual, alternative] = [LoadReplay.play(load), LoadReplay.play(load, { ignoresCrowding: true })]
      t.diagnostic(`as is ${JSON.stringify(actual)}`)
      t.diagnostic(`last places to late calls too ${JSON.stringify(alternative)}`)
      expect([actual.inGoal > alternative.inGoal + MIN_GAIN_SHARE, servedShare(actual) > 0.97 * servedShare(alternative)]).toEqual([true, true])
    })
  }

  it('give gateways their shares of free places rather than all of them, in overload', t => {
    const [actual, alternative] = [LoadReplay.play(OVERLOAD), LoadReplay.play(OVERLOAD, { gatewayCount: 1 })]
    t.diagnostic(`as is ${JSON.stringify(actual)}`)
    t.diagnostic(`every place everyone's ${JSON.stringify(alternative)}`)
    expect(actual.inGoal > alternative.inGoal).toEqual(true)
  })

  it('keep to limits that all endpoints name and turn nobody away for good while three quarters of them are asked for', t => {
    const limitPerSecond = 6
    const outcome = LoadReplay.play(sustained(40), { limitPerSecond })
    t.diagnostic(JSON.stringify(outcome))
    expect([outcome.mostInWindow <= CallLimits.allowedCount(limitPerSecond), outcome.refused + outcome.lost]).toEqual([true, 0])
  })

  it('spread returns, so that fewer callers are turned away twice, in overload', t => {
    const [actual, alternative] = [LoadReplay.play(OVERLOAD), LoadReplay.play(OVERLOAD, { returnAfterMs: () => 700 })]
    t.diagnostic(`as is ${JSON.stringify(actual)}`)
    t.diagnostic(`all after 700 ms ${JSON.stringify(alternative)}`)
    expect(actual.refusalsPerCall < alternative.refusalsPerCall).toEqual(true)
  })
})
