/**
 * A copy of the source tree in which one guard at a time is taken out.
 *
 * @packageDocumentation
 */
import * as ChildProcess from 'node:child_process'
import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import type * as Guards from './guards.ts'

/** A copy of the source tree. */
export interface Scratch {
  readonly folder: string
  /** Tells when a guard's text does not stand in its file exactly once. */
  findProblem: (guard: Guards.Guard) => string | undefined
  takeOut: (guard: Guards.Guard) => void
  restore: (guard: Guards.Guard) => void
  /** Runs a check; tells whether it passed. */
  run: (check: Guards.Check) => Promise<boolean>
  remove: () => void
}

const COPIED = ['src', 'platform', 'deploy', 'standins', 'test', 'testkit', 'tools', 'package.json', 'tsconfig.json', 'build.js']
const SOAK_SEED = 1
const SOAK_RUN_COUNT = 400
const CHECK_TIMEOUT_MS = 180_000

/**
 * Copies the source tree.
 *
 * @param root - The root of the repository.
 * @returns The copy; remove it at the end.
 */
export function createScratch (root: string): Scratch {
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-mutants-'))
  for (const name of COPIED) Fs.cpSync(Path.join(root, name), Path.join(folder, name), { recursive: true })
  Fs.symlinkSync(Path.join(root, 'node_modules'), Path.join(folder, 'node_modules'))
  const pathOf = (guard: Guards.Guard): string => Path.join(folder, guard.file)
  const sourceOf = (guard: Guards.Guard): string => Fs.readFileSync(pathOf(guard), 'utf8')
  return {
    folder,
    findProblem: guard => {
      const count = sourceOf(guard).split(guard.text).length - 1
      return count === 1 ? undefined : `guard "${guard.name}": its text stands ${count} times in ${guard.file}`
    },
    takeOut: guard => { Fs.writeFileSync(pathOf(guard), sourceOf(guard).replace(guard.text, () => guard.replacement)) },
    restore: guard => { Fs.copyFileSync(Path.join(root, guard.file), pathOf(guard)) },
    run: async check => await runCommand(folder, argumentsOf(check)),
    remove: () => { Fs.rmSync(folder, { recursive: true, force: true }) }
  }
}

/**
 * Names a check.
 *
 * @param check - The check.
 * @returns The command that runs it.
 */
export function describe (check: Guards.Check): string {
  return `node ${argumentsOf(check).join(' ')}`
}

function argumentsOf (check: Guards.Check): string[] {
  if (check.kind === 'test') return ['--import', 'tsx', '--test', check.file]
  return ['--import', 'tsx', 'tools/soak/main.ts', '--seed', String(SOAK_SEED), '--runs', String(SOAK_RUN_COUNT), '--world', check.world]
}

async function runCommand (folder: string, args: readonly string[]): Promise<boolean> {
  const { NODE_TEST_CONTEXT, ...env } = process.env
  return await new Promise(resolve => {
    ChildProcess.execFile(process.execPath, args, { cwd: folder, env, timeout: CHECK_TIMEOUT_MS, maxBuffer: 1 << 26 }, error => { resolve(error === null) })
  })
}
