/**
 * What a scenario against real processes holds while it runs.
 *
 * @packageDocumentation
 */
import * as Core from '../../src/core/index.ts'
import * as TestKit from '../../testkit/index.ts'
import type * as Statements from './statements.ts'
import type * as Traffic from './traffic.ts'

/** A deployment and what a scenario has done with it. */
export interface Stage {
  readonly deployment: TestKit.Deployment.Deployment
  readonly traffic: Map<string, Traffic.Traffic>
  /** Processes that hold still until they are healed. */
  readonly paused: Set<TestKit.Processes.Running>
  /** Faults that end by themselves. */
  readonly pendingHeals: Array<Promise<void>>
  /** Endings of `commit` statements. */
  acceptedCount: number
  violationCount: () => number
  /** Calls that each zone's endpoints have begun. */
  beganCount: (zone: string) => number
  /** Counts at the last `mark`, by zone. */
  readonly marked: Map<string, number>
  /** The port of a gateway that the balancer would choose. */
  nextPort: () => number
  /** Follows the output of a process that was started later. */
  follow: (running: TestKit.Processes.Running) => void
}

/** The shapes that a scenario may name. */
export const SHAPES: Readonly<Record<string, TestKit.Shapes.Shape>> = {
  consortium: TestKit.Shapes.CONSORTIUM,
  samlag: TestKit.Shapes.SAMLAG
}

type Apply = (value: number) => Partial<TestKit.Deployment.DeploymentOptions>

/** The settings that `given deployment … with` takes. */
export const SETTINGS: Readonly<Record<string, Apply>> = {
  'cold-ms': value => ({ engine: { coldMs: value } }),
  'cold-capacity': value => ({ engine: { coldCapacityCount: value } }),
  'token-ms': value => ({ engine: { tokenMs: value } }),
  'restart-ms': value => ({ engine: { restartMs: value } }),
  'poison-prompts': value => value > 0 ? ({ engine: { poison: 'poison' } }) : {},
  'work-ms': value => ({ plain: { workMs: value } }),
  'list-lag-ms': value => ({ instanceLagMs: value }),
  'corrupt-share': value => ({ origin: { corruptShare: value } }),
  'origin-bytes-per-second': value => ({ originBytesPerSecond: value }),
  'weight-bytes': value => ({ weightSizeBytes: value, chunkSizeBytes: Math.max(1, Math.ceil(value / 16)) })
}

/**
 * Starts the deployment that a scenario gives.
 *
 * @param statement - The statement.
 * @returns The stage; stop its deployment at the end.
 */
export async function createStage (statement: Extract<Statements.Statement, { kind: 'givenDeployment' }>): Promise<Stage> {
  const shape = SHAPES[statement.shape]
  if (shape === undefined) throw new Error(`unknown deployment "${statement.shape}"`)
  let options: TestKit.Deployment.DeploymentOptions = { shape, weightSizeBytes: 1 << 18, chunkSizeBytes: 1 << 15 }
  for (const { name, value } of statement.settings) {
    const change = SETTINGS[name]?.(value) ?? {}
    options = { ...options, ...change, engine: { ...options.engine, ...change.engine }, plain: { ...options.plain, ...change.plain } }
  }
  const deployment = await TestKit.Deployment.createDeployment(options)
  const paused = new Set<TestKit.Processes.Running>()
  let violationCount = 0
  let turn = 0
  const follow = (running: TestKit.Processes.Running): void => {
    running.onLine(line => { if (line.msg === TestKit.Deployment.VIOLATION_TEXT) violationCount++ })
  }
  for (const running of processesOf(deployment)) follow(running)
  return {
    deployment,
    traffic: new Map(),
    paused,
    pendingHeals: [],
    acceptedCount: 0,
    violationCount: () => violationCount,
    beganCount: zone => sum(deployment.runners.filter(runner => runner.place.zone === zone).map(beganOf)),
    marked: new Map(),
    nextPort: () => {
      const usable = deployment.gateways.filter(gateway => gateway.process.alive() && !paused.has(gateway.process))
      return usable[turn++ % Math.max(1, usable.length)]?.process.port ?? 0
    },
    follow
  }
}

/**
 * Lists the processes of a deployment.
 *
 * @param deployment - The deployment.
 * @returns Its agents and gateways.
 */
export function processesOf (deployment: TestKit.Deployment.Deployment): TestKit.Processes.Running[] {
  return [...deployment.runners.map(runner => runner.agent), ...deployment.gateways.map(gateway => gateway.process)]
}

/**
 * Counts the executions of a key over all endpoints.
 *
 * @param stage - The stage.
 * @param key - The idempotency key.
 * @returns The count.
 */
export function executionsOf (stage: Stage, key: string): number {
  return sum(stage.deployment.runners.map(runner => runner.plain?.executions().get(key) ?? 0))
}

/**
 * Makes the weights of a version: the same name gives the same bytes.
 *
 * @param stage - The stage.
 * @param version - The version.
 * @returns The manifest that wants it.
 */
export function manifestOf (stage: Stage, version: string): ReturnType<TestKit.Deployment.Deployment['makeManifest']> {
  return stage.deployment.makeManifest(version, Core.Hash.rankOf(version))
}

function beganOf (runner: TestKit.Deployment.Runner): number {
  return (runner.engine?.state().startedCount ?? 0) + sum([...(runner.plain?.executions().values() ?? [])])
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
