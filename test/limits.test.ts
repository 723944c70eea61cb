import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as TestKit from '../testkit/index.ts'

const { createAgent, offerOf, admittedBy } = TestKit.Agents
type Agent = TestKit.Agents.FakeAgent

const GAP_MS = 20
const endOf = (attemptId: string, ending: 'whole' | 'failed' = 'whole') => ({ kind: 'callEnded' as const, attemptId, ending, httpStatus: 200 })
const paceOf = (gapMs: number, quietMs = 0) => ({ kind: 'paceSeen' as const, pace: { gapSumMs: gapMs * 8, gapCount: 8, quietMs } })

/** Runs attempts one after another until the limit is reached. */
function ramp (agent: Agent, limitCount: number): number {
  for (let index = 0; index < 100; index++) {
    if (agent.tables.limiter.limitCount >= limitCount) return index
    agent.run([offerOf(`ramp-${index}`)])
    agent.run([paceOf(GAP_MS), endOf(`ramp-${index}`)], 200)
  }
  return Infinity
}

describe('the limit of an endpoint', () => {
  describe('after a start', () => {
    it('admits one call however many are offered', () => {
      const agent = createAgent()
      expect(admittedBy(agent.run(Array.from({ length: 5 }, (_, index) => offerOf(`a${index}`))))).toEqual(['a0'])
    })

    it('doubles up to what the endpoint reports, not the manifest\'s limit', () => {
      const agent = createAgent()
      agent.see({ capacityCount: 4 })
      expect(ramp(agent, 4) < 20).toEqual(true)
      expect([agent.tables.limiter.limitCount, agent.tables.limiter.phase]).toEqual([4, 'warm'])
    })

    it('stays at one while the endpoint reports that it is cold', () => {
      const agent = createAgent()
      agent.see({ cold: true })
      expect(ramp(agent, 2)).toEqual(Infinity)
    })

    it('grows more slowly when nothing tells whether it is cold', () => {
      const reporting = ramp(createAgent(true), 8)
      const silent = ramp(createAgent(false), 8)
      expect(silent > reporting).toEqual(true)
      expect(silent < 100).toEqual(true)
    })
  })

  describe('of an endpoint that turns cold without warning', () => {
    it('admits nothing more at the first slow sample and collapses when it lasts', () => {
      const agent = createAgent(false)
      ramp(agent, 4)
      agent.run(['a', 'b'].map(id => offerOf(id)))
      agent.run([paceOf(GAP_MS * 3)], 60)
      expect([agent.tables.limiter.limitCount, agent.tables.limiter.isCappedAtRunning]).toEqual([4, true])
      expect(admittedBy(agent.run([offerOf('c')]))).toEqual([])
      for (let index = 0; index < 8; index++) agent.run([paceOf(GAP_MS * 3)], 60)
      expect([agent.tables.limiter.limitCount, agent.tables.limiter.phase]).toEqual([1, 'cold'])
    })

    it('goes on after a single stall', () => {
      const agent = createAgent(false)
      ramp(agent, 4)
      agent.run([offerOf('a')])
      agent.run([paceOf(GAP_MS * 4)], 60)
      agent.run([paceOf(GAP_MS)], 60)
      expect(admittedBy(agent.run([offerOf('b')]))).toEqual(['b'])
    })

    it('holds admission while a stream is quiet for several warm gaps', () => {
      const agent = createAgent(false)
      ramp(agent, 4)
      agent.run([offerOf('a')])
      agent.run([{ kind: 'paceSeen', pace: { gapSumMs: 0, gapCount: 0, quietMs: GAP_MS * 4 } }], 60)
      expect(admittedBy(agent.run([offerOf('b')]))).toEqual([])
    })

    it('collapses at a failure, a new incarnation, an overload status and a missing report', () => {
      const signs: ReadonlyArray<(agent: Agent) => void> = [
        agent => { agent.run([endOf('a', 'failed')]) },
        agent => { agent.see({ incarnation: 'endpoint-2' }) },
        agent => { agent.run([{ ...endOf('a'), httpStatus: 503 }]) },
        agent => { agent.run([{ kind: 'endpointSeen', load: undefined }]) }
      ]
      const limits = signs.map(give => {
        const agent = createAgent()
        ramp(agent, 8)
        agent.run([offerOf('a')])
        give(agent)
        return agent.tables.limiter.limitCount
      })
      expect(limits).toEqual([1, 1, 1, 1])
    })
  })

  describe('at every moment', () => {
    it('is never exceeded, whatever order things come in', () => {
      const agent = createAgent()
      const violations = Array.from({ length: 400 }, (_, index) => {
        const running = [...agent.tables.attempts.rows()].filter(row => row.state === 'running')
        const ended = index % 3 === 0 ? running.slice(0, 2).map(row => endOf(row.envelope.attemptId, index % 50 === 0 ? 'failed' : 'whole')) : []
        const step = agent.run([offerOf(`n${index}`, `operator-${index % 4}`), ...ended, paceOf(index % 37 === 0 ? GAP_MS * 5 : GAP_MS)], 40)
        return step.violations.length
      })
      expect(Math.max(...violations)).toEqual(0)
    })
  })
})
