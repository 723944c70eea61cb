/**
 * `npm run scenarios [-- --json] [FILE…]`: runs scenario files, a few at a time.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Path from 'node:path'
import yargs from 'yargs'
import * as Run from './run.ts'

const FOLDER = 'scenarios'
const MAX_AT_ONCE = 3
const MS_PER_SECOND = 1_000

const argv = yargs(process.argv.slice(2))
  .scriptName('scenarios')
  .usage('$0 [FILE…]\n\nRuns the files, or every file of the folder scenarios.')
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .option('at-once', { type: 'number', default: MAX_AT_ONCE, describe: 'Scenarios against processes run at once' })
  .strictOptions()
  .parseSync()

const files = argv._.length > 0
  ? argv._.map(String)
  : Fs.readdirSync(FOLDER).filter(file => file.endsWith('.scenario')).sort().map(file => Path.join(FOLDER, file))
const sources = files.map(file => ({ file, text: Fs.readFileSync(file, 'utf8') }))
const isFakes = ({ text }: Run.Source): boolean => /^given fakes/m.test(text)
const started = performance.now()

/** Fakes put virtual timers in place of the process's own, so that they run alone and first. */
const results: Run.ScenarioResult[] = []
for (const source of sources.filter(isFakes)) results.push(await Run.runScenario(source))
const waiting = sources.filter(source => !isFakes(source))
const work = async (): Promise<void> => {
  for (let source = waiting.shift(); source !== undefined; source = waiting.shift()) {
    const result = await Run.runScenario(source)
    results.push(result)
    if (!argv.json) process.stdout.write(`${result.passed ? 'pass' : 'FAIL'} ${result.file}\n${result.messages.map(message => `  ${message}\n`).join('')}`)
  }
}
if (!argv.json) for (const result of results) process.stdout.write(`${result.passed ? 'pass' : 'FAIL'} ${result.file}\n${result.messages.map(message => `  ${message}\n`).join('')}`)
await Promise.all(Array.from({ length: argv.atOnce }, work))

results.sort((a, b) => a.file < b.file ? -1 : 1)
const failed = results.filter(result => !result.passed)
const seconds = Math.round((performance.now() - started) / MS_PER_SECOND)
process.stdout.write(argv.json
  ? `${JSON.stringify({ scenarios: results.length, passed: results.length - failed.length, failed: failed.length, durationSeconds: seconds, results })}\n`
  : `${results.length - failed.length} of ${results.length} scenarios passed in ${seconds} s\n`)
process.exit(failed.length === 0 ? 0 : 1)
