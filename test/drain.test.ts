import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Agent from '../src/agent/index.ts'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

function createAgent () {
  const held = Control.Documents.createHeldDocuments()
  const identity = { instanceId: 'filing-api-1', kind: 'agent' as const, zone: 'kartli', region: 'kartli', incarnation: 'i1', service: 'filing-api' }
  const tables = Agent.Tables.createTables(identity, held)
  const step = Core.Loop.createStepper<Agent.Tables.Tables, Agent.Messages.Input, Agent.Messages.Command>(tables, Agent.Systems.SYSTEMS, Core.Random.createRandom(1))
  const manifest = TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version: 'v1', digest: 'a'.repeat(64), sizeBytes: 1 })
  held.adopt({ kind: 'manifest', version: 1, body: manifest })
  const assignment: Schemas.Control.Assignment = { instanceId: identity.instanceId, service: 'filing-api', role: 'mixed', adapters: [] }
  held.adopt({ kind: 'placement', version: 1, body: { fencingNumber: 1, manifestVersion: 1, assignments: [assignment] } })
  const load: Agent.Messages.EndpointLoad = { incarnation: 'e1', activeCount: 0, queuedCount: 0, capacityCount: 16, cold: false }
  let nowMs = 0
  const run = (...inputs: Agent.Messages.Input[]) => step([{ kind: 'endpointSeen', load }, ...inputs], ++nowMs)
  const drain = (version: number, zones: string[]): void => { held.adopt({ kind: 'drains', version, body: { zones, instanceIds: [] } }) }
  return { tables, run, drain, state: () => Agent.Tables.stateOf(tables) }
}

const offer = (attemptId: string): Agent.Messages.Input => ({
  kind: 'callOffered',
  envelope: {
    callId: `call-${attemptId}`,
    attemptId,
    gatewayId: 'g',
    workspace: 'operator-1',
    service: 'filing-api',
    method: 'POST',
    path: '/filings',
    timeLeftMs: 1_000,
    priority: 1,
    idempotent: false,
    stream: false,
    resumeFromIndex: 0,
    digest: 'd'.repeat(64),
    agentIncarnation: 'i1'
  }
})

describe('drainSystem', () => {
  it('refuses new work as draining and lets calls in flight finish', () => {
    const agent = createAgent()
    agent.run()
    expect(agent.run(offer('a')).commands).toEqual([{ kind: 'admit', attemptId: 'a', workspace: 'operator-1', queuedMs: 0 }])
    agent.drain(1, ['kartli'])
    const refused = agent.run(offer('b')).commands
    expect(refused.map(command => command.kind === 'refuse' && command.refusal.code)).toEqual(['draining'])
    expect([agent.state(), agent.tables.attempts.has('a')]).toEqual(['draining', true])
    expect(agent.run({ kind: 'callEnded', attemptId: 'a', ending: 'whole' }).violations).toEqual([])
  })

  it('ramps the limit up again after the drain', () => {
    const agent = createAgent()
    agent.run()
    agent.tables.limiter.limitCount = 16
    agent.drain(1, ['kartli'])
    agent.run()
    agent.drain(2, [])
    agent.run()
    expect([agent.state(), agent.tables.endpoint.limitCount]).toEqual(['live', 1])
  })

  it('drains and resumes as the platform\'s instance list says', () => {
    const agent = createAgent()
    agent.run({ kind: 'listed', state: 'leaving' })
    expect(agent.state()).toEqual('draining')
    agent.run({ kind: 'listed', state: 'live' })
    expect(agent.state()).toEqual('live')
  })

  it('stays in service when the list lags and does not contain the instance', () => {
    const agent = createAgent()
    agent.run({ kind: 'listed', state: undefined })
    expect(agent.state()).toEqual('live')
  })

  it('refuses new work once the agent is stopping', () => {
    const agent = createAgent()
    agent.run({ kind: 'stopping' })
    expect(agent.run(offer('a')).commands.map(command => command.kind)).toEqual(['refuse'])
  })
})
