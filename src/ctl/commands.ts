/**
 * The commands of `fescuectl`.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Neverthrow from 'neverthrow'
import type * as Yargs from 'yargs'
import * as Control from '../control/index.ts'
import type * as Operators from '../gateway/operators.ts'
import type * as Schemas from '../schema/index.ts'
import * as Client from './client.ts'
import * as Limits from './limits.ts'

type Options = Client.CommonOptions

const WATCH_MS = 1_000

/**
 * Reads and checks a manifest file.
 *
 * @param file - The file's path.
 * @returns The manifest, or one line for each problem.
 */
export function readManifest (file: string): Neverthrow.Result<Schemas.Manifest.Manifest, string[]> {
  let text: string
  try {
    const sizeBytes = Fs.statSync(file).size
    if (sizeBytes > Control.ManifestFile.MAX_FILE_BYTES) return Neverthrow.err([`${file}:1:1: the file has ${sizeBytes} bytes; allowed: ${Control.ManifestFile.MAX_FILE_BYTES}`])
    text = Fs.readFileSync(file, 'utf8')
  } catch (error) {
    return Neverthrow.err([`${file}:1:1: ${(error as Error).message}`])
  }
  return Control.ManifestFile.parse(text).mapErr(problems => problems.map(problem => Control.ManifestFile.describe(file, problem)))
}

/**
 * Runs `manifest validate`.
 *
 * @param options - Common options and the file.
 * @returns The exit code.
 */
export function validate (options: Options & { file: string }): number {
  const manifest = readManifest(options.file)
  if (manifest.isErr()) return invalid(manifest.error)
  Client.print(options, { valid: true, name: manifest.value.name }, [`${options.file}: valid`])
  return Client.EXIT.ok
}

/**
 * Runs `manifest commit`.
 *
 * @param options - Common options, the file and the version expected to be in force.
 * @returns The exit code.
 */
export async function commit (options: Options & { file: string, expectedVersion?: number }): Promise<number> {
  const manifest = readManifest(options.file)
  if (manifest.isErr()) return invalid(manifest.error)
  const answer = await Client.connect(options).commit.mutate({ manifest: manifest.value, expectedVersion: options.expectedVersion })
  return conclude(options, answer, `manifest ${manifest.value.name} is version ${answer.version}`)
}

/**
 * Runs `manifest show`.
 *
 * @param options - Common options.
 * @returns The exit code.
 */
export async function show (options: Options): Promise<number> {
  const shown = await Client.connect(options).show.mutate()
  Client.print(options, shown, [`version ${shown.version}`, JSON.stringify(shown.manifest, null, 2)])
  return Client.EXIT.ok
}

/**
 * Runs `manifest history`.
 *
 * @param options - Common options and the most versions to list.
 * @returns The exit code.
 */
export async function history (options: Options & { limitCount: number }): Promise<number> {
  const versions = await Client.connect(options).history.mutate({ limitCount: options.limitCount })
  Client.print(options, versions, versions.map(entry => `${entry.version}\t${entry.name}`))
  return Client.EXIT.ok
}

/**
 * Runs `status`.
 *
 * @param options - Common options.
 * @returns The exit code.
 */
export async function status (options: Options & { watch: boolean }): Promise<number> {
  do {
    await printStatus(options)
    if (options.watch) await new Promise(resolve => setTimeout(resolve, WATCH_MS))
  } while (options.watch)
  return Client.EXIT.ok
}

async function printStatus (options: Options): Promise<void> {
  const shown = await Client.connect(options).status.mutate()
  const lines = shown.endpoints.map(report =>
    [report.instanceId, report.zone, report.service, report.state, `${report.modelName ?? '-'}@${report.modelVersion ?? '-'}`, `chunks ${report.heldChunkCount}/${report.wantedChunkCount}`, `active ${report.activeCount}/${report.limitCount}`, `manifest ${report.versions.manifest}`].join('\t'))
  Client.print(options, shown, [
    ...shown.gateways.map(report => [report.instanceId, report.zone, 'gateway', `calls ${report.activeCount}`, `manifest ${report.versions.manifest}`].join('\t')),
    ...lines,
    `drained zones: ${listOf(shown.drains.zones)}`,
    `drained instances: ${listOf(shown.drains.instanceIds)}`,
    `lagging: ${listOf(shown.laggingInstanceIds)}`,
    `silent: ${listOf(shown.silentInstanceIds)}`
  ])
}

/**
 * Runs `zone drain`, `zone restore`, `instance drain` and `instance restore`.
 *
 * @param options - Common options and what to take out or bring back.
 * @returns The exit code.
 */
export async function drain (options: Options & { what: 'zone' | 'instance', name: string, drained: boolean, force: boolean }): Promise<number> {
  const { what, name, drained, force } = options
  const answer = await Client.connect(options).drain.mutate({ what, name, drained, force })
  for (const shortfall of answer.shortfalls ?? []) process.stderr.write(`${Control.DrainCheck.describe(shortfall)}\n`)
  return conclude(options, answer, `${options.what} ${options.name} is ${options.drained ? 'out of' : 'back in'} service (drains version ${answer.version})`)
}

/**
 * Adds every command to a parser.
 *
 * @param parser - The parser with the common options.
 * @param run - Runs a command and takes its exit code.
 * @returns The parser.
 */
export function addCommands (parser: Yargs.Argv<Options>, run: (work: () => number | Promise<number>) => void): Yargs.Argv<Options> {
  const file = (sub: Yargs.Argv<Options>) => sub.positional('file', { type: 'string', demandOption: true, describe: 'Manifest file, JSON or YAML' })
  const named = (what: 'zone' | 'instance') => (sub: Yargs.Argv<Options>) => sub
    .command('drain <name>', `Take ${what} out of service`, inner => inner.positional('name', { type: 'string', demandOption: true }).option('force', { type: 'boolean', default: false, describe: 'Go on although calls would be refused' }), argv => { run(async () => await drain({ ...argv, what, drained: true })) })
    .command('restore <name>', `Bring ${what} back into service`, inner => inner.positional('name', { type: 'string', demandOption: true }), argv => { run(async () => await drain({ ...argv, what, drained: false, force: false })) })
    .demandCommand(1)
  return parser
    .command('manifest', 'Work with manifests', sub => sub
      .command('validate <file>', 'Check a manifest file; stores nothing', file, argv => { run(() => validate(argv)) })
      .command('commit <file>', 'Put a manifest into force', inner => file(inner).option('expected-version', { type: 'number', describe: 'Refuse unless this version is in force' }), argv => { run(async () => await commit(argv)) })
      .command('show', 'Print the manifest in force', inner => inner, argv => { run(async () => await show(argv)) })
      .command('history', 'List accepted versions', inner => inner.option('limit-count', { type: 'number', default: 20, describe: 'Most versions listed' }), argv => { run(async () => await history(argv)) })
      .demandCommand(1))
    .command('zone', 'Take availability zones out of service and back', named('zone'))
    .command('instance', 'Take instances out of service and back', named('instance'))
    .command('explain', 'Show limits, shares and why calls are refused', sub => sub
      .option('service', { type: 'string', describe: 'Only this service' })
      .option('workspace', { type: 'string', describe: 'Only this workspace' }), argv => { run(async () => await Limits.explain(argv)) })
    .command('quarantine', 'Work with calls that crash endpoints', sub => sub
      .command('list', 'List suspects and quarantined calls', inner => inner, argv => { run(async () => await Limits.listQuarantine(argv)) })
      .command('lift <digest>', 'Let calls with a digest run again', inner => inner.positional('digest', { type: 'string', demandOption: true, describe: 'The start of a digest, or all' }), argv => { run(async () => conclude(argv, await Limits.liftQuarantine(argv), 'lifted')) })
      .demandCommand(1))
    .command('status', 'Show endpoints, versions, drains and who lags', sub => sub.option('watch', { type: 'boolean', default: false, describe: 'Print again every second' }), argv => { run(async () => await status(argv)) })
}

function conclude (options: Options, answer: Operators.ChangeAnswer, sentence: string): number {
  if (answer.accepted) {
    Client.print(options, answer, [sentence])
    return Client.EXIT.ok
  }
  Client.print(options, answer, [`refused (${answer.code}): ${answer.message}`])
  return answer.current === undefined ? Client.EXIT.failed : Client.EXIT.conflict
}

function listOf (names: readonly string[]): string {
  return names.join(', ') || 'none'
}

function invalid (lines: readonly string[]): number {
  process.stderr.write(`${lines.join('\n')}\n`)
  return Client.EXIT.invalid
}
