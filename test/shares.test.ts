import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Agent from '../src/agent/index.ts'
import * as TestKit from '../testkit/index.ts'

const { createAgent, offerOf, admittedBy, refusedBy } = TestKit.Agents

const SERVICE_MS = 1_000

/** Creates an agent with a warm endpoint and a known mean service time. */
function createWarmAgent (limitCount: number): TestKit.Agents.FakeAgent {
  const agent = createAgent()
  agent.see({ capacityCount: limitCount })
  agent.warm(limitCount)
  agent.tables.fairness.meanServiceMs = SERVICE_MS
  return agent
}

describe('shares between workspaces', () => {
  it('refuses the workspace that bursts and admits the others', () => {
    const agent = createWarmAgent(8)
    const admitted = new Map<string, number>()
    const refused = new Map<string, number>()
    const increment = (counts: Map<string, number>, workspace: string): void => { counts.set(workspace, (counts.get(workspace) ?? 0) + 1) }
    const otherWorkspaces = ['operator-4', 'operator-5', 'operator-6', 'operator-7']
    for (let tick = 0; tick < 400; tick++) {
      const burst = Array.from({ length: 5 }, (_, index) => offerOf(`b${tick}-${index}`, 'operator-8'))
      const others = tick % 8 === 0 ? otherWorkspaces.map(name => offerOf(`${name}-${tick}`, name)) : []
      const finishedAttempts = [...agent.tables.attempts.rows()].filter(row => row.state === 'running' && tick * 100 + 1_000 - row.admittedAtMs >= SERVICE_MS)
      const step = agent.run([...burst, ...others, ...finishedAttempts.map(row => ({ kind: 'callEnded' as const, attemptId: row.envelope.attemptId, ending: 'whole' as const }))], 100)
      for (const command of step.commands) {
        if (command.kind === 'admit') increment(admitted, command.workspace)
        if (command.kind === 'refuse') increment(refused, command.workspace ?? '')
      }
      expect(step.violations).toEqual([])
    }
    expect(otherWorkspaces.map(name => refused.get(name) ?? 0)).toEqual([0, 0, 0, 0])
    expect(otherWorkspaces.every(name => (admitted.get(name) ?? 0) >= 49)).toEqual(true)
    expect((refused.get('operator-8') ?? 0) > 1_000).toEqual(true)
  })

  it('admits in proportion to the weights when every workspace offers more than its share', () => {
    const agent = createWarmAgent(1)
    const order: string[] = []
    for (let tick = 0; tick < 100; tick++) {
      const ended = [...agent.tables.attempts.rows()].filter(row => row.state === 'running').map(row => ({ kind: 'callEnded' as const, attemptId: row.envelope.attemptId, ending: 'whole' as const }))
      const step = agent.run([offerOf(`h${tick}`, 'operator-1'), offerOf(`l${tick}`, 'operator-9'), ...ended], SERVICE_MS)
      order.push(...admittedBy(step).map(id => id.slice(0, 1)))
    }
    const heavyShare = order.filter(id => id === 'h').length / order.length
    expect(heavyShare > 0.7 && heavyShare < 0.9).toEqual(true)
  })

  it('evicts an attempt from a full queue for a workspace below its share, and reports overShare', () => {
    const agent = createWarmAgent(1)
    agent.run(Array.from({ length: 5 }, (_, index) => offerOf(`b${index}`, 'operator-8', { timeLeftMs: 60_000 })))
    agent.tables.attempts.workspace('operator-8').virtualMs += 10_000
    while (agent.tables.attempts.queuedCount() < 4) agent.tables.attempts.set(`f${agent.tables.attempts.count()}`, { envelope: { ...(offerOf('x', 'operator-8') as { envelope: Agent.Tables.AttemptRow['envelope'] }).envelope, attemptId: `f${agent.tables.attempts.count()}` }, state: 'queued', offeredAtMs: 0, deadlineMs: Infinity, admittedAtMs: 0, answerStartedAtMs: 0 })
    const refused = refusedBy(agent.run([offerOf('o', 'operator-9')]))
    expect(refused.map(({ refusal }) => refusal.code)).toEqual(['overShare'])
    expect(agent.tables.attempts.workspace('operator-9').queue.has('o')).toEqual(true)
  })

  it('returns limit, share and retry delay with each refusal, at once', () => {
    const agent = createWarmAgent(1)
    const step = agent.run(Array.from({ length: 20 }, (_, index) => offerOf(`b${index}`, 'operator-8')))
    const refused = refusedBy(step)
    expect(refused.length > 10).toEqual(true)
    for (const { refusal } of refused) {
      expect(refusal.limitCount).toEqual(1)
      expect((refusal.shareCount ?? 0) > 0).toEqual(true)
      expect((refusal.retryAfterMs ?? 0) >= 1_000).toEqual(true)
    }
  })

  it('admits the calls of a workspace in order of priority', () => {
    const agent = createWarmAgent(1)
    agent.tables.fairness.meanServiceMs = 100
    agent.run([offerOf('first')])
    agent.run([offerOf('low', 'operator-1', { priority: 1 }), offerOf('high', 'operator-1', { priority: 9 })])
    expect(admittedBy(agent.run([{ kind: 'callEnded', attemptId: 'first', ending: 'whole' }]))).toEqual(['high'])
  })

  it('refuses a call that cannot be admitted before its deadline', () => {
    const agent = createWarmAgent(1)
    agent.run([offerOf('a'), offerOf('b')])
    const refused = refusedBy(agent.run([offerOf('c', 'operator-1', { timeLeftMs: 50 })]))
    expect(refused.map(({ attemptId }) => attemptId)).toEqual(['c'])
  })

  it('refuses queued calls when the endpoint starts to drain, so that they can be sent elsewhere at once', () => {
    const agent = createWarmAgent(1)
    agent.run([offerOf('a'), offerOf('b')])
    const refused = refusedBy(agent.run([{ kind: 'stopping' }]))
    expect(refused.map(({ attemptId, refusal }) => [attemptId, refusal.code])).toEqual([['b', 'draining']])
  })

  it('explains the limit, and who was refused for which reason', () => {
    const agent = createWarmAgent(1)
    agent.run(Array.from({ length: 20 }, (_, index) => offerOf(`b${index}`, 'operator-8')))
    const explained = Agent.Explain.explain(agent.tables, 2_000)
    const share = explained.shares.find(({ workspace }) => workspace === 'operator-8')
    expect([explained.limitCount, share?.runningCount, share?.lastRefusal?.code]).toEqual([1, 1, 'overShare'])
  })
})
