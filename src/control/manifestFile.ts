/**
 * Parses manifest files in JSON or YAML. Each error names the line and the field.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as Yaml from 'yaml'
import * as Schemas from '../schema/index.ts'
import * as ManifestRules from './manifestRules.ts'

/** An error in a manifest file. */
export interface FileProblem {
  /** Line number, starting at 1. */
  readonly line: number
  /** Column number, starting at 1. */
  readonly column: number
  /** Path of the field, joined by dots; empty if the file as a whole is invalid. */
  readonly field: string
  readonly message: string
}

/** Maximum size of a manifest file, in bytes. */
export const MAX_FILE_BYTES = 2 * 1024 * 1024
const decode = Schemas.Decode.strict(Schemas.Manifest.Manifest)

/**
 * Parses and validates a manifest file.
 *
 * @param text - The file's text.
 * @returns The manifest, or all errors found.
 */
export function parse (text: string): Neverthrow.Result<Schemas.Manifest.Manifest, FileProblem[]> {
  if (Buffer.byteLength(text) > MAX_FILE_BYTES) {
    return Neverthrow.err([{ line: 1, column: 1, field: '', message: `the file is larger than ${MAX_FILE_BYTES} bytes` }])
  }
  const lines = new Yaml.LineCounter()
  const document = Yaml.parseDocument(text, { lineCounter: lines, prettyErrors: false, logLevel: 'silent' })
  if (document.errors.length > 0) {
    return Neverthrow.err(document.errors.map(error => ({ ...positionOf(lines, error.pos[0]), field: '', message: error.message })))
  }
  const data = toPlainValue(document)
  if (data.isErr()) return Neverthrow.err([{ line: 1, column: 1, field: '', message: data.error }])
  const locateAll = (problems: readonly Schemas.Decode.Problem[]): FileProblem[] => problems.map(problem => locate(document, lines, problem))
  return decode(data.value).mapErr(locateAll).andThen(manifest => {
    const problems = ManifestRules.check(manifest)
    return problems.length === 0 ? Neverthrow.ok(manifest) : Neverthrow.err(locateAll(problems))
  })
}

/**
 * Formats an error as one line.
 *
 * @param file - The file's name.
 * @param problem - The error.
 * @returns `FILE:LINE:COLUMN: FIELD: MESSAGE`.
 */
export function describe (file: string, problem: FileProblem): string {
  return `${file}:${problem.line}:${problem.column}: ${problem.field === '' ? '' : `${problem.field}: `}${problem.message}`
}

function toPlainValue (document: Yaml.Document): Neverthrow.Result<unknown, string> {
  try {
    return Neverthrow.ok(document.toJS({ maxAliasCount: 100 }))
  } catch (error) {
    return Neverthrow.err((error as Error).message)
  }
}

function locate (document: Yaml.Document, lines: Yaml.LineCounter, problem: Schemas.Decode.Problem): FileProblem {
  return { ...positionOf(lines, offsetOf(document, problem.path)), field: problem.path.join('.'), message: problem.message }
}

/** Returns the offset in the text at which a path starts; for a missing field, that of its parent. */
function offsetOf (document: Yaml.Document, path: ReadonlyArray<string | number>): number {
  for (let length = path.length; length > 0; length--) {
    const parent = length === 1 ? document.contents : document.getIn(path.slice(0, length - 1), true)
    if (Yaml.isMap(parent)) {
      const pair = parent.items.find(item => (Yaml.isScalar(item.key) ? item.key.value : item.key) === path[length - 1])
      if (pair !== undefined && Yaml.isNode(pair.key) && pair.key.range != null) return pair.key.range[0]
    }
    const node = document.getIn(path.slice(0, length), true)
    if (Yaml.isNode(node) && node.range != null) return node.range[0]
  }
  return document.contents?.range?.[0] ?? 0
}

function positionOf (lines: Yaml.LineCounter, offset: number): { line: number, column: number } {
  const position = lines.linePos(offset)
  return { line: Math.max(1, position.line), column: Math.max(1, position.col) }
}
