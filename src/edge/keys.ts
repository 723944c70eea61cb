/**
 * Keys as settings: a value or a file, read again at SIGHUP, several valid while they are changed.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Neverthrow from 'neverthrow'

/** A set of keys that can be read again. */
export interface KeyRing {
  /** The key to sign with: the first. */
  current: () => string
  /** Every key accepted. */
  accepted: () => readonly string[]
  /** Reads the file again; after a failure the old keys stay. */
  reload: () => Neverthrow.Result<number, string>
}

/** Where keys come from. */
export interface KeySource {
  /** Keys separated by commas; used without a file. */
  readonly value: string
  /** A file with one key a line, or empty for none. */
  readonly file: string
}

/** The fewest characters of a key. */
export const MIN_KEY_LENGTH = 8
const MAX_KEY_COUNT = 4

/**
 * Creates a key ring.
 *
 * @param source - The value or the file.
 * @returns The ring, or why there are no usable keys. The reason never quotes a key.
 */
export function createKeyRing (source: KeySource): Neverthrow.Result<KeyRing, string> {
  let keys: readonly string[] = []
  const reload = (): Neverthrow.Result<number, string> => readKeys(source).map(found => {
    keys = found
    return found.length
  })
  return reload().map(() => ({ current: () => keys[0] ?? '', accepted: () => keys, reload }))
}

/**
 * Reads key rings again at each SIGHUP.
 *
 * @param rings - The rings by name.
 * @param report - Told the outcome for each ring.
 * @returns Stops listening.
 */
export function reloadOnHangup (rings: Readonly<Record<string, KeyRing>>, report: (name: string, outcome: Neverthrow.Result<number, string>) => void): () => void {
  const reload = (): void => { for (const [name, ring] of Object.entries(rings)) report(name, ring.reload()) }
  process.on('SIGHUP', reload)
  return () => { process.off('SIGHUP', reload) }
}

function readKeys (source: KeySource): Neverthrow.Result<readonly string[], string> {
  return textOf(source).andThen(text => {
    const keys = text.split(source.file === '' ? ',' : '\n').map(key => key.trim()).filter(key => key !== '')
    if (keys.length === 0) return Neverthrow.err('no key is given')
    if (keys.length > MAX_KEY_COUNT) return Neverthrow.err(`${keys.length} keys are given; allowed: ${MAX_KEY_COUNT}`)
    if (keys.some(key => key.length < MIN_KEY_LENGTH)) return Neverthrow.err(`a key is shorter than ${MIN_KEY_LENGTH} characters`)
    return Neverthrow.ok(keys)
  })
}

function textOf (source: KeySource): Neverthrow.Result<string, string> {
  if (source.file === '') return Neverthrow.ok(source.value)
  try {
    return Neverthrow.ok(Fs.readFileSync(source.file, 'utf8'))
  } catch (error) {
    return Neverthrow.err(`the key file cannot be read: ${(error as NodeJS.ErrnoException).code ?? 'unknown'}`)
  }
}
