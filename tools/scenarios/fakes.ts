/**
 * Runs scenarios against fakes under virtual time: the worlds of the soak.
 *
 * @packageDocumentation
 */
import * as Plan from '../soak/plan.ts'
import * as Worlds from '../soak/worlds/index.ts'
import type * as Statements from './statements.ts'

/** Kinds of statement that a scenario against fakes may use. */
export const KINDS: ReadonlySet<Statements.StatementKind> = new Set(['givenFakes', 'do', 'wait', 'expect'])

/**
 * Finds what is wrong with a scenario against fakes.
 *
 * @param statements - The statements.
 * @returns The problems.
 */
export function check (statements: readonly Statements.Statement[]): Statements.Problem[] {
  const given = statements[0]
  if (given?.kind !== 'givenFakes') return []
  if (!Worlds.WORLD_NAMES.includes(given.world as Worlds.WorldName)) {
    return [{ line: given.line, column: 1, message: `unknown world "${given.world}"; allowed: ${Worlds.WORLD_NAMES.join(', ')}` }]
  }
  const actions = Plan.actionsOf(given.world as Worlds.WorldName)
  return statements.flatMap(statement => {
    const problem = (message: string): Statements.Problem[] => [{ line: statement.line, column: 1, message }]
    if (!KINDS.has(statement.kind)) return problem(`"${statement.kind}" is not for fakes`)
    if (statement.kind === 'do' && !actions.includes(statement.action)) return problem(`unknown action "${statement.action}"; allowed: ${actions.join(', ')}`)
    if (statement.kind === 'expect' && statement.measure !== 'violations') return problem(`unknown measure "${statement.measure}"; allowed: violations`)
    return []
  })
}

/**
 * Makes the plan of a scenario.
 *
 * @param statements - The statements, checked.
 * @returns The plan.
 */
export function planOf (statements: readonly Statements.Statement[]): Plan.Plan {
  const given = statements[0]
  if (given?.kind !== 'givenFakes') throw new Error('a scenario against fakes starts with "given fakes"')
  const actions: Plan.Action[] = []
  let waitMs = 0
  for (const statement of statements) {
    if (statement.kind === 'wait') waitMs += statement.durationMs
    if (statement.kind !== 'do') continue
    actions.push({ waitMs, name: statement.action, amount: statement.amount })
    waitMs = 0
  }
  return { world: given.world as Worlds.WorldName, seed: given.seed, actions }
}
