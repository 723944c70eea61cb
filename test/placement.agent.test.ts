import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Messages from '../src/agent/messages.ts'
import * as Systems from '../src/agent/systems/index.ts'
import * as Tables from '../src/agent/tables.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Weights from '../src/weights/index.ts'

const modelOf = (version: string): Schemas.Manifest.Model => ({ name: 'm', version, digest: Core.Hash.sha256(version), sizeBytes: 10 })
const ADAPTER: Schemas.Manifest.Adapter = { name: 'ad', model: 'm', version: 'a1', digest: Core.Hash.sha256('ad'), sizeBytes: 10 }

interface PlanOptions {
  readonly version?: string
  readonly fencingNumber: number
  readonly adapters?: readonly Schemas.Manifest.Adapter[]
  readonly role?: Schemas.Manifest.Role
  readonly assigned?: boolean
}

function createAgent () {
  const held = Control.Documents.createHeldDocuments()
  const location = { instanceId: 'a0', zone: 'east-1', region: 'east' }
  const weights = Weights.Tables.createTables({ ...location, memoryBytes: 1e9, borderBytesPerSecond: Infinity }, [])
  const tables = Tables.createTables({ ...location, kind: 'agent', service: 's', incarnation: 'i1' }, held, weights)
  const step = Core.Loop.createStepper<Tables.Tables, Messages.Input, Messages.Command>(tables, Systems.SYSTEMS, Core.Random.createRandom(1))
  const violations: Core.Invariants.Violation[] = []
  let nowMs = 1_000
  let version = 0
  const tick = (...inputs: Messages.Input[]): Messages.Command[] => {
    nowMs += 10
    const result = step(inputs, nowMs)
    violations.push(...result.violations)
    return [...result.commands]
  }
  held.adopt({
    kind: 'manifest',
    version: 1,
    body: {
      name: 'n',
      zones: [{ name: 'east-1', region: 'east' }],
      models: [],
      adapters: [],
      services: [{ name: 's', kind: 'engine', model: 'm', reportsLoad: true, maxConcurrentCount: 4, placements: [], routes: [] }],
      workspaces: []
    }
  })
  const orders = (commands: readonly Messages.Command[]): Messages.Order[] => commands.flatMap(command => command.kind === 'order' ? [command.order] : [])
  return {
    tables,
    violations,
    tick,
    advance: (durationMs: number) => { nowMs += durationMs; return orders(tick()) },
    adoptPlan: (options: PlanOptions) => {
      const assignment = { instanceId: 'a0', service: 's', role: options.role ?? 'mixed' as const, model: modelOf(options.version ?? 'v1'), adapters: options.adapters ?? [] }
      held.adopt({ kind: 'placement', version: ++version, body: { fencingNumber: options.fencingNumber, manifestVersion: 1, assignments: options.assigned === false ? [] : [assignment] } })
      return orders(tick())
    },
    reportLoad: (load: Partial<Messages.EndpointLoad> = {}, askedAtMs = nowMs + 10) => orders(tick({ kind: 'endpointSeen', askedAtMs, load: { incarnation: 'e1', activeCount: 0, queuedCount: 0, capacityCount: 4, cold: false, ...load } })),
    deliverWeights: (digest: string) => {
      const chunk = Core.Hash.sha256(`${digest} chunk`)
      tick({ kind: 'weights', input: { kind: 'manifestFetched', digest, sourceId: 'x', manifest: { sizeBytes: 10, chunkSizeBytes: 10, wholeDigest: digest, chunks: [chunk] } } })
      tick({ kind: 'weights', input: { kind: 'chunkFetched', fetchId: 'f', chunkDigest: chunk, ending: 'whole', sizeBytes: 10 } })
      const hashed = orders(tick({ kind: 'weights', input: { kind: 'chunksHashed', digest, hashedCount: 1, wholeMatches: true } }))
      return [...hashed, ...orders(tick({ kind: 'weights', input: { kind: 'chunkDelivered', digest, index: 0, accepted: true } }))]
    },
    answer: (order: Messages.Order | undefined, answer: Messages.OrderAnswer) => {
      if (order === undefined) throw new Error('the agent sent no order')
      return orders(tick({ kind: 'orderAnswered', order, answer }))
    },
    offerCall: (attemptId: string, modelVersion: string) => tick({
      kind: 'callOffered',
      envelope: { callId: attemptId, attemptId, gatewayId: 'g', workspace: 'w', service: 's', method: 'POST', path: '/', modelVersion, timeLeftMs: 60_000, priority: 0, idempotent: true, stream: false, resumeFromIndex: 0, digest: Core.Hash.sha256('d'), agentIncarnation: 'i1' }
    })
  }
}

/** Creates an agent whose endpoint holds v1. */
function createLiveAgent () {
  const agent = createAgent()
  agent.reportLoad()
  agent.adoptPlan({ fencingNumber: 5 })
  agent.answer(agent.deliverWeights(modelOf('v1').digest)[0], 'accepted')
  return agent
}

describe('placement', () => {
  describe('a load', () => {
    it('is ordered once the weights are complete and not before', () => {
      const agent = createAgent()
      agent.reportLoad()
      expect(agent.adoptPlan({ fencingNumber: 5 })).toEqual([])
      expect(agent.advance(10_000)).toEqual([])
      agent.reportLoad()
      const [order] = agent.deliverWeights(modelOf('v1').digest)
      expect([order?.kind, order?.fencingNumber]).toEqual(['load', 5])
      expect(agent.violations).toEqual([])
    })

    it('waits for the adapters, and loads them with the model', () => {
      const agent = createAgent()
      agent.reportLoad()
      agent.adoptPlan({ fencingNumber: 5, adapters: [ADAPTER] })
      expect(agent.deliverWeights(modelOf('v1').digest)).toEqual([])
      const [order] = agent.deliverWeights(ADAPTER.digest)
      expect(order).toEqual({ kind: 'load', fencingNumber: 5, model: modelOf('v1'), adapters: [ADAPTER] })
    })

    it('is sent once: the next order waits for its answer', () => {
      const agent = createAgent()
      agent.reportLoad()
      agent.adoptPlan({ fencingNumber: 5 })
      expect(agent.deliverWeights(modelOf('v1').digest).length).toEqual(1)
      expect(agent.advance(20_000)).toEqual([])
    })

    it('leaves the old version in place until the new one is complete', () => {
      const agent = createLiveAgent()
      agent.adoptPlan({ version: 'v2', fencingNumber: 6 })
      agent.advance(1_000)
      agent.reportLoad({ modelVersion: 'v1', modelDigest: modelOf('v1').digest })
      expect(agent.tables.endpoint.modelVersion).toEqual('v1')
      expect(agent.offerCall('c1', 'v1').map(command => command.kind)).toEqual(['admit'])
    })

    it('requires delivery again when the endpoint answers that chunks are missing', () => {
      const agent = createAgent()
      agent.reportLoad()
      agent.adoptPlan({ fencingNumber: 5 })
      const [order] = agent.deliverWeights(modelOf('v1').digest)
      expect(agent.answer(order, 'notWhole')).toEqual([])
      expect(Weights.Tables.isWhole(agent.tables.weights, modelOf('v1').digest)).toEqual(false)
    })
  })

  describe('a switch', () => {
    const startSwitch = () => {
      const agent = createLiveAgent()
      agent.adoptPlan({ version: 'v2', fencingNumber: 6 })
      const [order] = agent.deliverWeights(modelOf('v2').digest)
      return { agent, order }
    }

    it('pauses admission until it is answered, then refuses calls for the old version as not run', () => {
      const { agent, order } = startSwitch()
      expect(agent.offerCall('c1', 'v1')).toEqual([])
      expect(Tables.reportOf(agent.tables).modelVersion).toEqual('v1')
      const commands = agent.tick({ kind: 'orderAnswered', order: order as Messages.Order, answer: 'accepted' })
      expect(commands.flatMap(command => command.kind === 'refuse' ? [command.refusal.code] : [])).toEqual(['modelNotLoaded'])
      expect(Tables.reportOf(agent.tables).modelVersion).toEqual('v2')
    })

    it('resumes with the old version when the order is refused', () => {
      const { agent, order } = startSwitch()
      agent.offerCall('c1', 'v1')
      const commands = agent.tick({ kind: 'orderAnswered', order: order as Messages.Order, answer: 'refused' })
      expect(commands.map(command => command.kind)).toEqual(['admit'])
    })

    describe('whose answer is lost', () => {
      const kindsOf = (commands: readonly Messages.Command[]) => commands.map(command => command.kind === 'refuse' ? command.refusal.code : command.kind)
      const v1 = { modelVersion: 'v1', modelDigest: modelOf('v1').digest }
      const v2 = { modelVersion: 'v2', modelDigest: modelOf('v2').digest }
      const startLostSwitch = (...attemptIds: readonly string[]) => {
        const { agent, order } = startSwitch()
        for (const attemptId of attemptIds) agent.offerCall(attemptId, 'v1')
        const commands = agent.tick({ kind: 'orderAnswered', order: order as Messages.Order, answer: 'lost', reason: 'timed out' })
        const report = (load: Partial<Messages.EndpointLoad>, askedAtMs?: number) => agent.tick({
          kind: 'endpointSeen',
          load: { incarnation: 'e1', activeCount: 0, queuedCount: 0, capacityCount: 4, cold: false, ...load },
          ...askedAtMs === undefined ? {} : { askedAtMs }
        })
        return { agent, commands, report }
      }

      it('admits no call before the endpoint has told which version it holds', () => {
        const { commands, report } = startLostSwitch('c1')
        expect(kindsOf(commands)).toEqual([])
        expect(kindsOf(report(v1, 0))).toEqual([])
        expect(kindsOf(report(v2))).toEqual(['modelNotLoaded'])
      })

      it('is not sent again before the endpoint has told that it still holds the old version', () => {
        const { agent, report } = startLostSwitch()
        expect(agent.advance(2_000)).toEqual([])
        expect(kindsOf(report(v1))).toEqual(['order'])
      })

      it('is not sent again when the endpoint has told that it holds the new version', () => {
        const { agent, report } = startLostSwitch()
        report(v2)
        expect(agent.advance(2_000)).toEqual([])
      })

      it('admits calls again when the endpoint still holds the old version', () => {
        expect(kindsOf(startLostSwitch('c1').report(v1))).toEqual(['admit'])
      })
    })

    it('is not undone by a load report that was requested before it', () => {
      const { agent, order } = startSwitch()
      agent.answer(order, 'accepted')
      agent.reportLoad({ modelVersion: 'v1', modelDigest: modelOf('v1').digest }, 0)
      expect(agent.tables.endpoint.modelVersion).toEqual('v2')
    })

    it('waits for calls that were just sent to the endpoint', () => {
      const agent = createLiveAgent()
      agent.offerCall('c1', 'v1')
      agent.adoptPlan({ version: 'v2', fencingNumber: 6 })
      expect(agent.deliverWeights(modelOf('v2').digest)).toEqual([])
      expect(agent.advance(300).map(order => order.kind)).toEqual(['load'])
    })
  })

  describe('fencing numbers', () => {
    it('of an older plan are ignored, even if the endpoint does not check them', () => {
      const agent = createLiveAgent()
      expect(agent.adoptPlan({ version: 'v0', fencingNumber: 4, assigned: false })).toEqual([])
      expect(agent.advance(5_000)).toEqual([])
    })

    it('are learned from the endpoint after a restart of the agent', () => {
      const agent = createAgent()
      agent.reportLoad({ modelVersion: 'v2', modelDigest: modelOf('v2').digest, fencingNumber: 9 })
      agent.adoptPlan({ version: 'v1', fencingNumber: 8 })
      expect(agent.deliverWeights(modelOf('v1').digest)).toEqual([])
      expect(agent.adoptPlan({ version: 'v1', fencingNumber: 10 }).map(order => order.kind)).toEqual(['load'])
    })
  })

  describe('roles, adapters and unloads', () => {
    const liveLoad = { modelVersion: 'v1', modelDigest: modelOf('v1').digest }

    it('orders a new role', () => {
      const agent = createLiveAgent()
      expect(agent.adoptPlan({ fencingNumber: 6, role: 'decode' })).toEqual([{ kind: 'role', fencingNumber: 6, role: 'decode' }])
    })

    it('loads an adapter without a switch of the model', () => {
      const agent = createLiveAgent()
      agent.adoptPlan({ fencingNumber: 6, adapters: [ADAPTER] })
      expect(agent.deliverWeights(ADAPTER.digest).map(order => order.kind)).toEqual(['adapters'])
      expect(agent.offerCall('c1', 'v1').map(command => command.kind)).toEqual(['admit'])
    })

    it('unloads a model that is no longer assigned, after the last call', () => {
      const agent = createLiveAgent()
      agent.offerCall('c1', 'v1')
      expect(agent.adoptPlan({ fencingNumber: 6, assigned: false })).toEqual([])
      expect(agent.advance(2_000)).toEqual([])
      const commands = agent.tick({ kind: 'callEnded', attemptId: 'c1', ending: 'whole' })
      expect([...commands.map(command => command.kind), ...agent.advance(10).map(order => order.kind)]).toEqual(['unload'])
    })

    it('loads again after the endpoint has restarted without a model', () => {
      const agent = createLiveAgent()
      agent.reportLoad(liveLoad)
      expect(agent.reportLoad({ incarnation: 'e2' })).toEqual([])
      const orders = agent.tick({ kind: 'weights', input: { kind: 'chunkDelivered', digest: modelOf('v1').digest, index: 0, accepted: true } })
      expect(orders.flatMap(command => command.kind === 'order' ? [command.order.kind] : [])).toEqual(['load'])
    })
  })
})
