import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Language from '../tools/scenarios/language.ts'
import * as Run from '../tools/scenarios/run.ts'
import * as Plan from '../tools/soak/plan.ts'
import * as Scenario from '../tools/soak/scenario.ts'
import * as Soak from '../tools/soak/soak.ts'
import * as Worlds from '../tools/soak/worlds/index.ts'

describe('soak', () => {
  describe('runSoak', () => {
    it('finds no violation in a short soak and tells the same twice', async () => {
      const options = { seed: 7, runCount: 50, worlds: Worlds.WORLD_NAMES }
      const first = await Soak.runSoak(options)
      expect(first.failure?.violations).toEqual(undefined)
      expect(await Soak.runSoak(options)).toEqual(first)
    })
  })

  describe('textOf', () => {
    it('writes a plan that the scenario language replays', async () => {
      const plan: Plan.Plan = { world: 'agent', seed: 3, actions: [{ waitMs: 400, name: 'offerMany', amount: 5 }, { waitMs: 10, name: 'instanceDeath', amount: 0 }] }
      const text = Scenario.textOf(plan, 'a title')
      expect(Language.parse(text)._unsafeUnwrap().map(statement => statement.kind)).toEqual(['givenFakes', 'wait', 'do', 'wait', 'do', 'expect'])
      expect(await Run.runScenario({ file: 'a.scenario', text })).toEqual({ file: 'a.scenario', passed: true, messages: [] })
    })
  })
})

describe('agent', () => {
  it('refuses what waits in the queue when the endpoint changes its version', async () => {
    const text = 'given fakes agent seed 0\nwait 2 ms\ndo offer 0\nwait 499 ms\ndo offer 0\ndo versionChange 0\ndo offer 3\ndo offer 0\nexpect violations is 0\n'
    expect((await Run.runScenario({ file: 'queued.scenario', text })).messages).toEqual([])
  })
})
