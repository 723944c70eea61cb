/**
 * The list of tests and mutants that are known to fail, in KNOWN-RED.txt: a YAML list, kept short.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Schema from 'effect/Schema'
import * as Yaml from 'yaml'
import * as Decode from '../../src/schema/decode.ts'

/** An entry of the list. */
export const Entry = Schema.Struct({
  /** `FILE > describe > it`, or `mutant NAME`. */
  test: Schema.String,
  /** The command that shows it, with its seed. */
  command: Schema.String,
  seen: Schema.String,
  issue: Schema.Int
})
/** An entry of the list. */
export type Entry = typeof Entry.Type

/** Where the list is. */
export const FILE = 'KNOWN-RED.txt'
const decode = Decode.strict(Schema.Array(Entry))

/**
 * Reads the list.
 *
 * @param file - The list's file.
 * @returns The entries; none when there is no file.
 * @throws When the list is not well-formed.
 */
export function read (file: string): readonly Entry[] {
  if (!Fs.existsSync(file)) return []
  const entries = decode(Yaml.parse(Fs.readFileSync(file, 'utf8')) ?? [])
  if (entries.isErr()) throw new Error(`${file}: ${Decode.describe(entries.error)}`)
  return entries.value
}

/**
 * Says an entry in one line.
 *
 * @param entry - The entry.
 * @returns The line.
 */
export function describe (entry: Entry): string {
  return `${entry.test}; ${entry.command}; seen: ${entry.seen}; issue ${entry.issue}`
}
