/**
 * Runs many plans from one seed and sums up what they gave.
 *
 * @packageDocumentation
 */
import * as FastCheck from 'fast-check'
import * as Harness from './harness.ts'
import * as Plan from './plan.ts'
import * as Worlds from './worlds/index.ts'

/** Settings of a soak. */
export interface SoakOptions {
  readonly seed: number
  readonly runCount: number
  readonly worlds: readonly Worlds.WorldName[]
}

/** What a soak gave. The same settings give the same report. */
export interface SoakReport {
  readonly seed: number
  readonly runs: number
  readonly steps: number
  /** Violations of the smallest failing run; 0 when no run failed. */
  readonly violations: number
  readonly runsByWorld: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<Harness.FaultKind, number>>
  readonly failure?: SoakFailure
}

/** The smallest failing run that was found. */
export interface SoakFailure {
  readonly plan: Plan.Plan
  readonly violations: readonly Harness.SeenViolation[]
}

/**
 * Runs a soak.
 *
 * @param options - Seed, count of runs and worlds.
 * @returns The report.
 */
export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const faults = Object.fromEntries(Harness.FAULT_KINDS.map(kind => [kind, 0])) as Record<Harness.FaultKind, number>
  const runsByWorld: Record<string, number> = Object.fromEntries(options.worlds.map(world => [world, 0]))
  let steps = 0
  let runs = 0
  let failed = false
  const holds = async (plan: Plan.Plan): Promise<boolean> => {
    const result = await Plan.runPlan(plan)
    if (!failed) {
      runs++
      runsByWorld[plan.world] = (runsByWorld[plan.world] ?? 0) + 1
      steps += result.stepCount
      for (const kind of Harness.FAULT_KINDS) faults[kind] += result.faults[kind]
    }
    failed ||= result.violations.length > 0
    return result.violations.length === 0
  }
  const details = await FastCheck.check(FastCheck.asyncProperty(Plan.plansOf(options.worlds), holds), { seed: options.seed, numRuns: options.runCount, endOnFailure: false })
  const smallest = details.counterexample?.[0]
  if (smallest === undefined) return { seed: options.seed, runs, steps, violations: 0, runsByWorld, faults }
  const { violations } = await Plan.runPlan(smallest)
  return { seed: options.seed, runs, steps, violations: violations.length, runsByWorld, faults, failure: { plan: smallest, violations } }
}
