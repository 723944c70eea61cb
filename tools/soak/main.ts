/**
 * `npm run soak -- --seed N --runs M [--json]`: long randomised runs under virtual time.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import yargs from 'yargs'
import * as Scenario from './scenario.ts'
import * as Soak from './soak.ts'
import * as Worlds from './worlds/index.ts'

const argv = yargs(process.argv.slice(2))
  .scriptName('soak')
  .option('seed', { type: 'number', default: 1, describe: 'Seed of all runs' })
  .option('runs', { type: 'number', default: 200, describe: 'Number of runs' })
  .option('world', { type: 'string', array: true, choices: Worlds.WORLD_NAMES, default: Worlds.WORLD_NAMES, describe: 'Worlds to run' })
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .option('out', { type: 'string', default: 'scenarios/found', describe: 'Folder for the scenario of a failure' })
  .strict()
  .parseSync()

const report = await Soak.runSoak({ seed: argv.seed, runCount: argv.runs, worlds: argv.world as Worlds.WorldName[] })
const scenario = report.failure === undefined ? undefined : writeScenario(report.failure)
const shown = { ...report, ...(scenario === undefined ? {} : { scenario }) }
process.stdout.write(argv.json ? `${JSON.stringify(shown)}\n` : `${linesOf().join('\n')}\n`)
process.exitCode = report.violations === 0 ? 0 : 1

function writeScenario (failure: Soak.SoakFailure): string {
  const file = `${argv.out}/${failure.plan.world}-seed-${argv.seed}.scenario`
  Fs.mkdirSync(argv.out, { recursive: true })
  Fs.writeFileSync(file, Scenario.textOf(failure.plan, `Found by a soak with seed ${argv.seed}: ${failure.violations.map(violation => violation.name).join(', ')}`))
  return file
}

function linesOf (): string[] {
  return [
    `seed ${report.seed}, runs ${report.runs}, steps ${report.steps}, violations ${report.violations}`,
    ...Object.entries(report.runsByWorld).map(([world, count]) => `world ${world}: ${count} runs`),
    ...Object.entries(report.faults).map(([kind, count]) => `fault ${kind}: ${count}`),
    ...(report.failure?.violations ?? []).map(violation => `violation at ${violation.atMs} ms (${violation.seenBy}): ${violation.name} ${JSON.stringify(violation.details)}`),
    ...(scenario === undefined ? [] : [`written to ${scenario}`])
  ]
}
