/**
 * `npm run mutants [-- --json]`: takes each guard out in turn and shows which check misses it.
 *
 * @packageDocumentation
 */
import * as Path from 'node:path'
import * as Url from 'node:url'
import * as EsBuild from 'esbuild'
import yargs from 'yargs'
import * as List from '../knownRed/list.ts'
import * as Guards from './guards.ts'
import * as Scratch from './scratch.ts'

const ROOT = Path.resolve(Path.dirname(Url.fileURLToPath(import.meta.url)), '../..')
const MAX_AT_ONCE = 4

/** What became of a guard that was taken out. */
interface GuardResult {
  readonly guard: string
  readonly file: string
  /** The check that failed without the guard. */
  readonly missedBy: string | undefined
}

const argv = yargs(process.argv.slice(2))
  .scriptName('mutants')
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .option('guard', { type: 'string', describe: 'Only guards whose name contains this' })
  .option('at-once', { type: 'number', default: MAX_AT_ONCE, describe: 'Guards taken out at once' })
  .strict()
  .parseSync()

const guards = Guards.GUARDS.filter(guard => guard.name.includes(argv.guard ?? ''))
const scratches = Array.from({ length: Math.min(argv.atOnce, MAX_AT_ONCE, guards.length) }, () => Scratch.createScratch(ROOT))
try {
  await checkGuards()
  await checkBaseline()
  const results = await inParallel(guards, async (guard, scratch) => await examine(guard, scratch))
  report(results)
} catch (error) {
  process.stderr.write(`mutants: ${(error as Error).message}\n`)
  process.exitCode = 2
} finally {
  for (const scratch of scratches) scratch.remove()
}

/** A replacement that does not parse would be missed by everything and prove nothing. */
async function checkGuards (): Promise<void> {
  const [scratch] = scratches
  if (scratch === undefined) throw new Error(`no guard is named "${argv.guard ?? ''}"`)
  const stale = guards.flatMap(guard => scratch.findProblem(guard) ?? [])
  if (stale.length > 0) throw new Error(`${stale.join('\n')}\nbring tools/mutants/guards.ts up to date`)
  for (const guard of guards) {
    scratch.takeOut(guard)
    await EsBuild.build({ entryPoints: [Path.join(scratch.folder, guard.file)], write: false, logLevel: 'silent' })
    scratch.restore(guard)
  }
}

/** Every check passes while no guard is taken out. */
async function checkBaseline (): Promise<void> {
  const checks = new Map(guards.flatMap(guard => guard.checks).map(check => [Scratch.describe(check), check]))
  const passed = await inParallel([...checks.values()], async (check, scratch) => ({ check, passed: await scratch.run(check) }))
  const failed = passed.filter(entry => !entry.passed).map(entry => Scratch.describe(entry.check))
  if (failed.length > 0) throw new Error(`checks that fail with every guard in place: ${failed.join('; ')}`)
}

async function examine (guard: Guards.Guard, scratch: Scratch.Scratch): Promise<GuardResult> {
  scratch.takeOut(guard)
  try {
    for (const check of guard.checks) {
      if (!await scratch.run(check)) return { guard: guard.name, file: guard.file, missedBy: Scratch.describe(check) }
    }
    return { guard: guard.name, file: guard.file, missedBy: undefined }
  } finally {
    scratch.restore(guard)
  }
}

async function inParallel<Item, Result> (items: readonly Item[], work: (item: Item, scratch: Scratch.Scratch) => Promise<Result>): Promise<Result[]> {
  const results: Result[] = []
  const waiting = [...items.entries()]
  await Promise.all(scratches.map(async scratch => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) results[next[0]] = await work(next[1], scratch)
  }))
  return results
}

function report (results: readonly GuardResult[]): void {
  const known = List.read(Path.join(ROOT, List.FILE)).map(entry => entry.test)
  const survivors = results.filter(result => result.missedBy === undefined).map(result => result.guard)
  const unlisted = survivors.filter(name => !known.includes(`mutant ${name}`))
  process.exitCode = unlisted.length === 0 ? 0 : 1
  if (argv.json) {
    process.stdout.write(`${JSON.stringify({ guards: results, guardCount: results.length, survivors: survivors.length, survivorNames: survivors, unlistedSurvivors: unlisted.length })}\n`)
    return
  }
  for (const { guard, missedBy } of results) process.stdout.write(`${missedBy === undefined ? 'SURVIVES' : 'missed  '} ${guard}${missedBy === undefined ? '' : `: ${missedBy}`}\n`)
  process.stdout.write(`${results.length} guards, ${survivors.length} survivors, ${unlisted.length} of them not listed in ${List.FILE}\n`)
}
