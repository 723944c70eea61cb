/**
 * Asks every listed process for its report, for operators only.
 *
 * @packageDocumentation
 */
import type * as AgentProcedures from '../agent/procedures.ts'
import * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Operators from './operators.ts'

/** What every process reports of itself. */
export interface Survey {
  readonly agents: readonly Schemas.Control.AgentReport[]
  readonly gateways: readonly Schemas.Control.GatewayReport[]
  /** Listed instances that did not answer. */
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
  const agents: Schemas.Control.AgentReport[] = []
  const gateways: Schemas.Control.GatewayReport[] = []
  const silentInstanceIds: string[] = []
  const waiting = [...instances]
  const ask = async (instance: Schemas.Platform.Instance): Promise<void> => {
    if (instance.kind === 'agent') agents.push(await Edge.Rpc.createClient<AgentProcedures.AgentRouter>(instance, peerKey, TIMEOUT_MS).report.mutate())
    else gateways.push(await Edge.Rpc.createClient<Operators.GatewayRouter>(instance, peerKey, TIMEOUT_MS).report.mutate())
  }
  const work = async (): Promise<void> => {
    for (let instance = waiting.pop(); instance !== undefined; instance = waiting.pop()) {
      const { instanceId } = instance
      await ask(instance).catch(() => { silentInstanceIds.push(instanceId) })
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_COUNT }, work))
  const byId = (a: { instanceId: string }, b: { instanceId: string }): number => a.instanceId < b.instanceId ? -1 : 1
  return { agents: agents.sort(byId), gateways: gateways.sort(byId), silentInstanceIds: silentInstanceIds.sort() }
}
