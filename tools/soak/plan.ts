/**
 * A run's plan: a world, a seed, and actions at their moments. The same plan gives the same run.
 *
 * @packageDocumentation
 */
import * as FastCheck from 'fast-check'
import * as Harness from './harness.ts'
import * as Time from './time.ts'
import * as Worlds from './worlds/index.ts'

/** An action of a plan. */
export interface Action {
  /** Virtual time in milliseconds since the last action. */
  readonly waitMs: number
  readonly name: string
  /** What the action makes of it is its own. */
  readonly amount: number
}

/** A run's plan. */
export interface Plan {
  readonly world: Worlds.WorldName
  readonly seed: number
  readonly actions: readonly Action[]
}

/** What a run gave. */
export interface RunResult {
  readonly stepCount: number
  readonly faults: Readonly<Record<Harness.FaultKind, number>>
  readonly violations: readonly Harness.SeenViolation[]
}

const MAX_ACTION_COUNT = 24
const MAX_WAIT_MS = 500
const MAX_AMOUNT = 99
/** Virtual time after the last action until the run is judged, in milliseconds. */
const SETTLE_MS = 20_000

/**
 * Runs a plan.
 *
 * @param plan - The plan.
 * @returns Steps, faults met and violations.
 * @throws When the plan names an action that its world does not have.
 */
export async function runPlan (plan: Plan): Promise<RunResult> {
  const time = Time.installVirtualTime()
  try {
    const harness = Harness.createHarness(time, plan.seed)
    const world = Worlds.WORLDS[plan.world](harness)
    for (const action of plan.actions) {
      const act = world.actions[action.name]
      if (act === undefined) throw new Error(`world "${plan.world}" has no action "${action.name}"; it has: ${Object.keys(world.actions).join(', ')}`)
      await time.runUntil(time.nowMs() + action.waitMs)
      act(action.amount)
    }
    await time.runUntil(time.nowMs() + SETTLE_MS)
    world.finish()
    return { ...harness.counts(), violations: harness.violations }
  } finally {
    time.close()
  }
}

/**
 * Makes plans of one world, or of any.
 *
 * @param worlds - The worlds to draw from.
 * @returns The arbitrary.
 */
export function plansOf (worlds: readonly Worlds.WorldName[]): FastCheck.Arbitrary<Plan> {
  return FastCheck.oneof(...worlds.map(world => FastCheck.record({
    world: FastCheck.constant(world),
    seed: FastCheck.nat(2 ** 31 - 1),
    actions: FastCheck.array(FastCheck.record({
      waitMs: FastCheck.nat(MAX_WAIT_MS),
      name: FastCheck.constantFrom(...actionsOf(world)),
      amount: FastCheck.nat(MAX_AMOUNT)
    }), { minLength: 1, maxLength: MAX_ACTION_COUNT, size: 'max' })
  })))
}

/**
 * Lists the actions of a world.
 *
 * @param world - The world.
 * @returns The names of its actions.
 */
export function actionsOf (world: Worlds.WorldName): string[] {
  const time = Time.installVirtualTime()
  try {
    return Object.keys(Worlds.WORLDS[world](Harness.createHarness(time, 1)).actions)
  } finally {
    time.close()
  }
}
