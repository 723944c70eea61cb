/**
 * A gateway's systems on virtual time, with fake endpoints.
 *
 * @packageDocumentation
 */
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import * as Gateway from '../src/gateway/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Manifests from './manifests.ts'
import * as Shapes from './shapes.ts'

/** An endpoint as the platform lists it. */
export interface FakeEndpoint {
  readonly endpointId: string
  readonly zone: string
}

/** A gateway whose time is the test's. */
export interface FakeGateway {
  readonly tables: Gateway.Tables.Tables
  readonly held: Control.Documents.HeldDocuments
  run: (inputs?: readonly Gateway.Messages.Input[], elapsedMs?: number) => Core.Loop.TickResult<Gateway.Messages.Command>
  /** Lists endpoints and reports each as live. */
  list: (endpoints: readonly FakeEndpoint[], gatewayCount?: number) => void
  report: (endpointId: string, report?: Partial<Schemas.Control.AgentReport>) => Core.Loop.TickResult<Gateway.Messages.Command>
}

/** Three endpoints, one in each zone. */
export const ENDPOINTS: readonly FakeEndpoint[] = Shapes.CONSORTIUM.zones.map(zone => ({ endpointId: `${zone.name}-1`, zone: zone.name }))
const SERVICE = 'fescue-llm'
const DIGEST = 'a'.repeat(64)

/**
 * Creates a gateway in the first zone that holds a manifest.
 *
 * @param seed - The seed of its decisions.
 * @returns The gateway.
 */
export function createGateway (seed = 1): FakeGateway {
  const held = Control.Documents.createHeldDocuments()
  held.adopt({ kind: 'manifest', version: 1, body: Manifests.makeManifest(Shapes.CONSORTIUM, { version: 'v1', digest: DIGEST, sizeBytes: 1 }) })
  let nowMs = 10_000
  let idCount = 0
  const identity = { instanceId: 'gateway-1', kind: 'gateway' as const, zone: 'kartli', region: 'kartli', incarnation: 'g1' }
  const tables = Gateway.Tables.createTables(identity, held, () => nowMs, () => `id-${++idCount}`)
  const step = Core.Loop.createStepper<Gateway.Tables.Tables, Gateway.Messages.Input, Gateway.Messages.Command>(tables, Gateway.Systems.SYSTEMS, Core.Random.createRandom(seed))
  const zones = new Map<string, string>()
  const run: FakeGateway['run'] = (inputs = [], elapsedMs = 1) => {
    nowMs += elapsedMs
    return step(inputs, nowMs)
  }
  const report: FakeGateway['report'] = (endpointId, changes) => run([{ kind: 'report', endpointId, report: { ...reportOf(endpointId, zones.get(endpointId) ?? 'kartli'), ...changes } }])
  return {
    tables,
    held,
    run,
    report,
    list: (endpoints, gatewayCount = 1) => {
      const gateways = Array.from({ length: gatewayCount }, (_, index) => instanceOf(`gateway-${index + 1}`, 'gateway', 'kartli'))
      for (const { endpointId, zone } of endpoints) zones.set(endpointId, zone)
      run([{ kind: 'instances', instances: [...gateways, ...endpoints.map(({ endpointId, zone }) => instanceOf(endpointId, 'agent', zone))] }])
      for (const { endpointId } of endpoints) report(endpointId)
    }
  }
}

/**
 * Makes the arrival of a call.
 *
 * @param callId - Names the call.
 * @param call - Further fields.
 * @returns The input.
 */
export function arrivalOf (callId: string, call: Partial<Gateway.Messages.ArrivedCall> = {}): Gateway.Messages.Input {
  return {
    kind: 'callArrived',
    call: { callId, workspace: 'operator-1', method: 'POST', path: '/v1/drafts', contentType: 'application/json', digest: Core.Hash.sha256(callId), idempotencyKey: undefined, stream: true, adapter: undefined, priority: undefined, timeLeftMs: 30_000, ...call }
  }
}

/**
 * Makes the end of a dispatched attempt.
 *
 * @param dispatch - The attempt.
 * @param end - How it ended.
 * @returns The input.
 */
export function endOf (dispatch: Gateway.Messages.Dispatch, end: Gateway.Messages.AttemptEnd): Gateway.Messages.Input {
  return { kind: 'attemptEnded', callId: dispatch.callId, attemptId: dispatch.envelope.attemptId, end }
}

/**
 * Lists the attempts that a step sent.
 *
 * @param step - The step.
 * @returns The attempts in order.
 */
export function dispatchedBy (step: Core.Loop.TickResult<Gateway.Messages.Command>): Gateway.Messages.Dispatch[] {
  return step.commands.flatMap(command => command.kind === 'dispatch' ? [command.dispatch] : [])
}

/**
 * Lists the calls that a step ended with a result code.
 *
 * @param step - The step.
 * @returns The codes by call.
 */
export function finishedBy (step: Core.Loop.TickResult<Gateway.Messages.Command>): Array<{ readonly callId: string, readonly code: Core.Codes.CodeName, readonly retryAfterMs: number | undefined }> {
  return step.commands.flatMap(command => command.kind === 'finish' ? [{ callId: command.callId, code: command.code, retryAfterMs: command.details.retryAfterMs }] : [])
}

function instanceOf (instanceId: string, kind: 'gateway' | 'agent', zone: string): Schemas.Platform.Instance {
  return { instanceId, kind, zone, region: zone, host: '127.0.0.1', port: 1, state: 'live', ...kind === 'agent' ? { service: SERVICE } : {} }
}

function reportOf (endpointId: string, zone: string): Schemas.Control.AgentReport {
  return {
    instanceId: endpointId,
    service: SERVICE,
    zone,
    incarnation: `agent-${endpointId}`,
    endpointIncarnation: `endpoint-${endpointId}`,
    state: 'live',
    modelName: 'draft-model',
    modelVersion: 'v1',
    role: 'mixed',
    heldChunkCount: 1,
    wantedChunkCount: 1,
    limitCount: 8,
    activeCount: 0,
    queuedCount: 0,
    cold: false,
    versions: { manifest: 1, placement: 1, drains: 0, quarantine: 0 }
  }
}
