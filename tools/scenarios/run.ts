/**
 * Runs scenario files.
 *
 * @packageDocumentation
 */
import * as Plan from '../soak/plan.ts'
import * as Expectations from './expectations.ts'
import * as Fakes from './fakes.ts'
import * as Language from './language.ts'
import * as Processes from './processes.ts'
import type * as Statements from './statements.ts'

/** What became of a scenario. */
export interface ScenarioResult {
  readonly file: string
  readonly passed: boolean
  /** What is wrong, each with file and line. */
  readonly messages: readonly string[]
}

/** A scenario's text and where it comes from. */
export interface Source {
  readonly file: string
  readonly text: string
}

/**
 * Finds what is wrong with a scenario without running it.
 *
 * @param statements - Its statements.
 * @returns The problems.
 */
export function check (statements: readonly Statements.Statement[]): Statements.Problem[] {
  const [first, ...rest] = statements
  if (first === undefined) return [{ line: 1, column: 1, message: 'the scenario is empty' }]
  if (first.kind !== 'givenFakes' && first.kind !== 'givenDeployment') return [{ line: first.line, column: 1, message: 'a scenario starts with "given"' }]
  const again = rest.find(statement => statement.kind === 'givenFakes' || statement.kind === 'givenDeployment')
  if (again !== undefined) return [{ line: again.line, column: 1, message: 'a scenario has one "given"' }]
  if (!rest.some(statement => statement.kind === 'expect')) return [{ line: first.line, column: 1, message: 'the scenario expects nothing' }]
  return first.kind === 'givenFakes' ? Fakes.check(statements) : Processes.check(statements)
}

/**
 * Runs a scenario.
 *
 * @param source - The scenario.
 * @returns What became of it.
 */
export async function runScenario ({ file, text }: Source): Promise<ScenarioResult> {
  const statements = Language.parse(text)
  const problems = statements.isErr() ? statements.error : check(statements.value)
  if (problems.length > 0 || statements.isErr()) {
    return { file, passed: false, messages: problems.map(({ line, column, message }) => `${file}:${line}:${column}: ${message}`) }
  }
  let line = 1
  try {
    if (statements.value[0]?.kind === 'givenFakes') return await runFakes(file, statements.value)
    await Processes.run(statements.value, statement => { line = statement.line })
    return { file, passed: true, messages: [] }
  } catch (error) {
    return { file, passed: false, messages: [`${file}:${line}: ${(error as Error).message}`] }
  }
}

async function runFakes (file: string, statements: readonly Statements.Statement[]): Promise<ScenarioResult> {
  const { violations } = await Plan.runPlan(Fakes.planOf(statements))
  const messages = statements.flatMap(statement => {
    if (statement.kind !== 'expect' || Expectations.holds(statement, violations.length)) return []
    return [`${file}:${statement.line}: ${Expectations.describe(statement, violations.length)}`]
  })
  const details = violations.map(violation => `${file}: at ${violation.atMs} ms (${violation.seenBy}): ${violation.name} ${JSON.stringify(violation.details)}`)
  return { file, passed: messages.length === 0, messages: messages.length === 0 ? [] : [...messages, ...details] }
}
