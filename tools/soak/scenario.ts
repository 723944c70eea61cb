/**
 * Writes a plan in the scenario language, so that it can be replayed and kept.
 *
 * @packageDocumentation
 */
import type * as Plan from './plan.ts'

/**
 * Writes a plan as a scenario.
 *
 * @param plan - The plan.
 * @param title - A line that says where it comes from.
 * @returns The scenario's text.
 */
export function textOf (plan: Plan.Plan, title: string): string {
  return [
    `# ${title}`,
    `given fakes ${plan.world} seed ${plan.seed}`,
    ...plan.actions.flatMap(action => [`wait ${action.waitMs} ms`, `do ${action.name} ${action.amount}`]),
    'expect violations is 0',
    ''
  ].join('\n')
}
