/**
 * Settings: each one a flag and an environment variable, checked by a schema.
 *
 * @packageDocumentation
 */
import * as Result from 'effect/Result'
import * as Schema from 'effect/Schema'
import * as Neverthrow from 'neverthrow'
import yargs from 'yargs'
import type * as Decode from '../schema/decode.ts'

/** One setting. */
export interface Setting<T> {
  readonly schema: Decode.Codec<T>
  readonly describe: string
  /** What is allowed, in words. */
  readonly allowed: string
  /** The value when none is given; without it the setting is required. */
  readonly default?: string
  /** Never printed. */
  readonly secret?: boolean
}

/** The settings of a program by name. */
export type Spec = Readonly<Record<string, Setting<any>>>
/** The values of a program's settings. */
export type Values<S extends Spec> = { readonly [Key in keyof S]: S[Key] extends Setting<infer T> ? T : never }

const NUMBER = /^-?\d+(\.\d+)?$/

/** A setting that is text. */
export function text (describe: string, fallback?: string, secret = false): Setting<string> {
  return { schema: Schema.NonEmptyString, describe, allowed: 'text', default: fallback, secret }
}

/** A setting that may be empty. */
export function optionalText (describe: string, secret = false): Setting<string> {
  return { schema: Schema.String, describe, allowed: 'text', default: '', secret }
}

/** A setting that is an address. */
export function address (describe: string, fallback?: string): Setting<string> {
  return { schema: Schema.String.check(Schema.isPattern(/^[0-9A-Za-z.:-]+:\d{1,5}$/)), describe, allowed: 'HOST:PORT', default: fallback }
}

/** A setting that is a whole number within bounds. */
export function count (describe: string, minimum: number, maximum: number, fallback?: number): Setting<number> {
  return {
    schema: Schema.Int.check(Schema.isBetween({ minimum, maximum })) as unknown as Decode.Codec<number>,
    describe,
    allowed: `a whole number from ${minimum} to ${maximum}`,
    default: fallback === undefined ? undefined : String(fallback)
  }
}

/** A setting that is one of several words. */
export function choice<const T extends readonly string[]> (describe: string, words: T, fallback: T[number]): Setting<T[number]> {
  return { schema: Schema.Literals(words) as unknown as Decode.Codec<T[number]>, describe, allowed: words.join(', '), default: fallback }
}

/**
 * Reads a program's settings from flags, then environment variables, then defaults.
 *
 * @param program - The program's name, for its help.
 * @param spec - The settings.
 * @param args - The command line without the program.
 * @param env - The environment.
 * @returns The values, or one line that names the setting, the value and what is allowed.
 */
export function read<S extends Spec> (program: string, spec: S, args: readonly string[], env: NodeJS.ProcessEnv): Neverthrow.Result<Values<S>, string> {
  let unknown: string | undefined
  const parser = yargs([...args])
    .scriptName(program)
    .strict()
    .exitProcess(false)
    .fail((message) => { unknown = message })
    .version(false)
    .epilog('Each flag is also an environment variable; a flag goes first. Bad settings end the program with exit code 2.')
  for (const [name, setting] of Object.entries(spec)) {
    parser.option(flagOf(name), {
      type: 'string',
      describe: `${setting.describe} (${setting.allowed}; ${variableOf(name)}${setting.default === undefined ? '; required' : setting.default === '' ? '' : `; default ${setting.default}`})`
    })
  }
  if (args.includes('--help')) {
    parser.showHelp('log')
    process.exit(0)
  }
  const given = parser.parseSync() as Record<string, unknown>
  if (unknown !== undefined) return Neverthrow.err(`settings: ${unknown}. See --help.`)

  const values: Record<string, unknown> = {}
  for (const [name, setting] of Object.entries(spec)) {
    const flag = given[flagOf(name)]
    const raw = (Array.isArray(flag) ? flag.at(-1) : flag) ?? env[variableOf(name)] ?? setting.default
    if (raw === undefined) return Neverthrow.err(`settings: --${flagOf(name)} (${variableOf(name)}) is required; allowed: ${setting.allowed}.`)
    const value = Schema.decodeUnknownResult(setting.schema)(raw)
    const numeric = NUMBER.test(String(raw)) ? Schema.decodeUnknownResult(setting.schema)(Number(raw)) : value
    const decoded = Result.isSuccess(value) ? value : numeric
    if (Result.isFailure(decoded)) {
      const shown = setting.secret === true ? 'a secret' : `"${String(raw).slice(0, 100)}"`
      return Neverthrow.err(`settings: --${flagOf(name)} (${variableOf(name)}) is ${shown}; allowed: ${setting.allowed}.`)
    }
    values[name] = decoded.success
  }
  return Neverthrow.ok(values as Values<S>)
}

/**
 * Names the flag of a setting.
 *
 * @param name - The setting's name.
 * @returns The flag without its dashes.
 */
export function flagOf (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/**
 * Names the environment variable of a setting.
 *
 * @param name - The setting's name.
 * @returns The variable.
 */
export function variableOf (name: string): string {
  return `FESCUE_${name.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`
}
