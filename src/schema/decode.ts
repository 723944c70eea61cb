/**
 * Decoding at the edge: the only place where data becomes trusted.
 *
 * @packageDocumentation
 */
import * as Result from 'effect/Result'
import * as Schema from 'effect/Schema'
import * as Neverthrow from 'neverthrow'

/** One thing wrong with a value. */
export interface Problem {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
}

/** A schema that decodes without services. */
export type Codec<T> = Schema.Codec<T, any, never, never>

/** A TCP or UDP port that can be connected to. */
export const Port = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 65_535 }))

/** Maximum nesting of JSON from outside: values nested much deeper can be parsed, but not written again. */
const NESTING_LIMIT_COUNT = 100

const QUOTE_CODE = 0x22
const BACKSLASH_CODE = 0x5c
const OPENING_CODES: ReadonlySet<number> = new Set([0x5b, 0x7b])
const CLOSING_CODES: ReadonlySet<number> = new Set([0x5d, 0x7d])

const STRICT = { errors: 'all', onExcessProperty: 'error' } as const
const LENIENT = { errors: 'first' } as const

/**
 * Makes a decoder that names every problem and refuses unknown fields.
 *
 * @param schema - The schema.
 * @returns A function from unknown data to the value or its problems.
 */
export function strict<T> (schema: Codec<T>): (data: unknown) => Neverthrow.Result<T, Problem[]> {
  const decode = Schema.decodeUnknownResult(schema, STRICT)
  return data => {
    const result = decode(data)
    return Result.isSuccess(result) ? Neverthrow.ok(result.success) : Neverthrow.err(problemsOf(result.failure.message))
  }
}

/**
 * Makes a decoder for messages between processes: unknown fields are dropped, so that versions may differ.
 *
 * @param schema - The schema.
 * @returns A function from unknown data to the value or its first problem.
 */
export function lenient<T> (schema: Codec<T>): (data: unknown) => Neverthrow.Result<T, Problem[]> {
  const decode = Schema.decodeUnknownResult(schema, LENIENT)
  return data => {
    const result = decode(data)
    return Result.isSuccess(result) ? Neverthrow.ok(result.success) : Neverthrow.err(problemsOf(result.failure.message))
  }
}

/**
 * Makes a parser that throws, in the form that procedure inputs take.
 *
 * @param schema - The schema.
 * @returns A function from unknown data to the value.
 * @throws When the data does not fit the schema.
 */
export function parser<T> (schema: Codec<T>): (data: unknown) => T {
  return Schema.decodeUnknownSync(schema) as (data: unknown) => T
}

/**
 * Parses JSON text and decodes it leniently.
 *
 * @param schema - The schema.
 * @returns A function from text to the value or its problems.
 */
export function json<T> (schema: Codec<T>): (text: string) => Neverthrow.Result<T, Problem[]> {
  const decode = lenient(schema)
  return text => parseJson(text).andThen(decode)
}

/**
 * Writes problems in one line.
 *
 * @param problems - The problems.
 * @returns Text for a log line or an answer.
 */
export function describe (problems: readonly Problem[]): string {
  return problems.map(problem => `${problem.path.join('.') || 'value'}: ${problem.message}`).join('; ')
}

/**
 * Parses JSON from outside.
 *
 * @param text - The text.
 * @returns The value; a problem for text that is not JSON or is nested too deeply.
 */
export function parseJson (text: string): Neverthrow.Result<unknown, Problem[]> {
  if (isNestedTooDeeply(text)) return Neverthrow.err([{ path: [], message: `nested deeper than ${NESTING_LIMIT_COUNT}` }])
  try {
    return Neverthrow.ok(JSON.parse(text))
  } catch (error) {
    return Neverthrow.err([{ path: [], message: (error as Error).message }])
  }
}

/** Whether JSON text is nested too deeply. Brackets within strings do not count. */
function isNestedTooDeeply (text: string): boolean {
  let depth = 0
  let isInString = false
  for (let at = 0; at < text.length; at++) {
    const code = text.charCodeAt(at)
    if (code === QUOTE_CODE) isInString = !isInString
    else if (code === BACKSLASH_CODE) at++
    else if (isInString) continue
    else if (OPENING_CODES.has(code)) depth++
    else if (CLOSING_CODES.has(code)) depth--
    if (depth > NESTING_LIMIT_COUNT) return true
  }
  return false
}

function problemsOf (text: string): Problem[] {
  const problems: Problem[] = []
  let message = ''
  for (const line of text.split('\n')) {
    const at = /^\s+at (\[.*\])$/.exec(line)
    if (at === null) {
      if (message !== '') problems.push({ path: [], message })
      message = line.trim()
    } else {
      problems.push({ path: pathOf(at[1] ?? ''), message })
      message = ''
    }
  }
  if (message !== '') problems.push({ path: [], message })
  return problems
}

function pathOf (text: string): Array<string | number> {
  return Array.from(text.matchAll(/\[("(?:[^"\\]|\\.)*"|\d+)\]/g), match => JSON.parse(match[1] ?? '""') as string | number)
}
