/**
 * An agent's systems on virtual time, with a fake endpoint.
 *
 * @packageDocumentation
 */
import * as Agent from '../src/agent/index.ts'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Manifests from './manifests.ts'
import * as Shapes from './shapes.ts'

/** An agent whose time is the test's. */
export interface FakeAgent {
  readonly tables: Agent.Tables.Tables
  /** Lets time pass, then runs a tick in which the endpoint reports as it did last. */
  run: (inputs?: readonly Agent.Messages.Input[], elapsedMs?: number) => Core.Loop.TickResult<Agent.Messages.Command>
  /** Reports the endpoint's state. */
  see: (load?: Partial<Agent.Messages.EndpointLoad>) => Core.Loop.TickResult<Agent.Messages.Command>
  /** Sets the limit as after a whole ramp. */
  warm: (limitCount: number) => void
}

/** The incarnation of every fake agent. */
export const INCARNATION = 'agent-incarnation'
const SERVICE = 'fescue-llm'
const DIGEST = 'a'.repeat(64)
const LOAD: Agent.Messages.EndpointLoad = { incarnation: 'endpoint-1', modelName: 'draft-model', modelVersion: 'v1', modelDigest: DIGEST, activeCount: 0, queuedCount: 0, capacityCount: 8, cold: false }

/**
 * Creates an agent that is live.
 *
 * @param reportsLoad - Whether the manifest says that the endpoint reports its load.
 * @returns The agent.
 */
export function createAgent (reportsLoad = true): FakeAgent {
  const held = Control.Documents.createHeldDocuments()
  const identity = { instanceId: `${SERVICE}-1`, kind: 'agent' as const, zone: 'kartli', region: 'kartli', incarnation: INCARNATION, service: SERVICE }
  const tables = Agent.Tables.createTables(identity, held)
  const step = Core.Loop.createStepper<Agent.Tables.Tables, Agent.Messages.Input, Agent.Messages.Command>(tables, Agent.Systems.SYSTEMS, Core.Random.createRandom(1))
  const manifest = Manifests.makeManifest(Shapes.CONSORTIUM, { version: 'v1', digest: DIGEST, sizeBytes: 1 })
  held.adopt({ kind: 'manifest', version: 1, body: { ...manifest, services: manifest.services.map(service => ({ ...service, reportsLoad })) } })
  held.adopt({ kind: 'placement', version: 1, body: { fencingNumber: 1, manifestVersion: 1, assignments: [{ instanceId: identity.instanceId, service: SERVICE, role: 'mixed', model: manifest.models[0], adapters: [] }] } })
  let nowMs = 1_000
  let seen = LOAD
  const run: FakeAgent['run'] = (inputs = [], elapsedMs = 1) => {
    nowMs += elapsedMs
    const given = inputs.some(input => input.kind === 'endpointSeen')
    return step(given ? inputs : [{ kind: 'endpointSeen', load: seen }, ...inputs], nowMs)
  }
  const see: FakeAgent['see'] = load => {
    seen = { ...LOAD, ...load }
    return run()
  }
  see()
  return { tables, run, see, warm: limitCount => { Object.assign(tables.limiter, { limitCount, phase: 'warm' }) } }
}

/**
 * Makes the offer of an attempt.
 *
 * @param attemptId - Names the attempt.
 * @param workspace - Its workspace.
 * @param envelope - Further fields.
 * @returns The input.
 */
export function offerOf (attemptId: string, workspace = 'operator-1', envelope: Partial<Schemas.Calls.CallEnvelope> = {}): Agent.Messages.Input {
  return {
    kind: 'callOffered',
    envelope: {
      callId: `call-${attemptId}`,
      attemptId,
      gatewayId: 'g',
      workspace,
      service: SERVICE,
      method: 'POST',
      path: '/v1/drafts',
      timeLeftMs: 10_000,
      priority: 1,
      idempotent: true,
      stream: true,
      resumeFromIndex: 0,
      digest: Core.Hash.sha256(attemptId),
      agentIncarnation: INCARNATION,
      ...envelope
    }
  }
}

/**
 * Lists the attempts that a step admitted.
 *
 * @param step - The step.
 * @returns Their identifiers in order.
 */
export function admittedBy (step: Core.Loop.TickResult<Agent.Messages.Command>): string[] {
  return step.commands.flatMap(command => command.kind === 'admit' ? [command.attemptId] : [])
}

/**
 * Lists the attempts that a step refused.
 *
 * @param step - The step.
 * @returns Each identifier with its refusal.
 */
export function refusedBy (step: Core.Loop.TickResult<Agent.Messages.Command>): Array<{ readonly attemptId: string, readonly refusal: Agent.Messages.Refusal }> {
  return step.commands.flatMap(command => command.kind === 'refuse' ? [{ attemptId: command.attemptId, refusal: command.refusal }] : [])
}
