/**
 * Asks every listed process for its report, for operators only.
 *
 * @packageDocumentation
 */
import type * as AgentProcedures from '../agent/procedures.ts'
import * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Reporting from './reporting.ts'

/** What every process reports of itself. */
export interface Survey {
  readonly agents: readonly Schemas.Control.AgentReport[]
  readonly gateways: readonly Schemas.Control.GatewayReport[]
  /** Listed instances that did not answer. */
  readonly silentInstanceIds: readonly string[]
}

/** What the asked processes answered. */
export interface Answers<Answer> {
  readonly answers: readonly Answer[]
  /** Instances that did not answer. */
  readonly silentInstanceIds: readonly string[]
}

/** The most questions under way at once. */
const CONCURRENT_COUNT = 64
const TIMEOUT_MS = 1_000

/**
 * Asks every listed process.
 *
 * @param instances - The processes.
 * @param peerKey - Returns the key of the system's own processes.
 * @returns The reports of those that answered.
 */
export async function survey (instances: readonly Schemas.Platform.Instance[], peerKey: () => string): Promise<Survey> {
  const agents = await askEach(instances.filter(instance => instance.kind === 'agent'), async instance =>
    await Edge.Rpc.createClient<AgentProcedures.AgentRouter>(instance, peerKey, TIMEOUT_MS).report.mutate())
  const gateways = await askEach(instances.filter(instance => instance.kind === 'gateway'), async instance =>
    await Edge.Rpc.createClient<Reporting.ReportingRouter>(instance, peerKey, TIMEOUT_MS).report.mutate())
  return { agents: agents.answers, gateways: gateways.answers, silentInstanceIds: [...agents.silentInstanceIds, ...gateways.silentInstanceIds].sort() }
}

/**
 * Asks every agent of a service to explain its limit, shares and refusals.
 *
 * @param instances - The processes.
 * @param service - The service; undefined for all.
 * @param peerKey - Returns the key of the system's own processes.
 * @returns The explanations of those that answered.
 */
export async function explain (instances: readonly Schemas.Platform.Instance[], service: string | undefined, peerKey: () => string): Promise<Answers<Schemas.Explain.EndpointExplanation>> {
  const asked = instances.filter(instance => instance.kind === 'agent' && (service === undefined || instance.service === service))
  return await askEach(asked, async instance =>
    await Edge.Rpc.createClient<AgentProcedures.AgentRouter>(instance, peerKey, TIMEOUT_MS).explain.mutate())
}

/** Asks many processes, a bounded number of them at once. */
async function askEach<Answer extends { readonly instanceId: string }> (instances: readonly Schemas.Platform.Instance[], ask: (instance: Schemas.Platform.Instance) => Promise<Answer>): Promise<Answers<Answer>> {
  const answers: Answer[] = []
  const silentInstanceIds: string[] = []
  const waiting = [...instances]
  const work = async (): Promise<void> => {
    for (let instance = waiting.pop(); instance !== undefined; instance = waiting.pop()) {
      const { instanceId } = instance
      await ask(instance).then(answer => { answers.push(answer) }, () => { silentInstanceIds.push(instanceId) })
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_COUNT }, work))
  return { answers: answers.sort((a, b) => a.instanceId < b.instanceId ? -1 : 1), silentInstanceIds: silentInstanceIds.sort() }
}
