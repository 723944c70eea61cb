/**
 * Commands that work with manifests.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Neverthrow from 'neverthrow'
import * as Control from '../control/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Client from './client.ts'
import * as Progress from './progress.ts'

type Options = Client.CommonOptions

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
 * @param options - Common options, the file, the version expected to be in force, and whether to wait.
 * @returns The exit code.
 */
export async function commit (options: Options & { file: string, expectedVersion?: number, wait: boolean }): Promise<number> {
  const manifest = readManifest(options.file)
  if (manifest.isErr()) return invalid(manifest.error)
  const client = Client.connect(options)
  const expectedVersion = options.expectedVersion ?? (await client.newest.mutate()).version
  const answer = await client.commit.mutate({ manifest: manifest.value, expectedVersion })
  if (!answer.accepted && answer.current?.kind === 'manifest') printDifferences(answer.current.body, manifest.value)
  const code = Client.conclude(options, answer, `manifest ${manifest.value.name} is version ${answer.version}`)
  if (!answer.accepted || !options.wait) return code
  return await Progress.waitForManifest(options, answer.version)
}

/**
 * Runs `manifest diff`: a file against the manifest in force or against a version.
 *
 * @param options - Common options, the file and the version to compare with.
 * @returns The exit code.
 */
export async function diff (options: Options & { file: string, against?: number }): Promise<number> {
  const manifest = readManifest(options.file)
  if (manifest.isErr()) return invalid(manifest.error)
  const client = Client.connect(options)
  const before = options.against === undefined ? await client.newest.mutate() : await client.show.mutate({ version: options.against })
  if (options.against !== undefined && before.manifest === undefined) return invalid([`there is no version ${options.against}`])
  const differences = Control.ManifestDiff.diff(before.manifest, manifest.value)
  const lines = differences.length === 0 ? [`no difference to version ${before.version}`] : differences.map(Control.ManifestDiff.describe)
  Client.print(options, { version: before.version, differences }, lines)
  return Client.EXIT.ok
}

/**
 * Runs `manifest show`.
 *
 * @param options - Common options and the version; the one in force without it.
 * @returns The exit code.
 */
export async function show (options: Options & { atVersion?: number }): Promise<number> {
  const shown = await Client.connect(options).show.mutate({ version: options.atVersion })
  if (options.atVersion !== undefined && shown.manifest === undefined) return invalid([`there is no version ${options.atVersion}`])
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

function printDifferences (current: Schemas.Manifest.Manifest, wanted: Schemas.Manifest.Manifest): void {
  const lines = Control.ManifestDiff.diff(current, wanted).map(Control.ManifestDiff.describe)
  process.stderr.write(`The manifest in force differs from the file:\n${lines.join('\n')}\n`)
}

function invalid (lines: readonly string[]): number {
  process.stderr.write(`${lines.join('\n')}\n`)
  return Client.EXIT.invalid
}
