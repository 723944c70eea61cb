/**
 * Running a daemon: a scope that opens in order and closes in reverse on a signal.
 *
 * @packageDocumentation
 */
import * as Effect from 'effect/Effect'
import * as Fiber from 'effect/Fiber'
import type * as Neverthrow from 'neverthrow'
import type * as Scope from 'effect/Scope'
import * as V8 from 'node:v8'

const EXIT_BAD_SETTINGS = 2
/** The largest half of the heap's young generation, in megabytes: V8's default alone is half of a daemon's budget. */
const YOUNG_GENERATION_HALF_MB = 1

/**
 * Runs a daemon until a signal asks it to stop.
 *
 * @param settings - The settings as read; a bad one ends the process with exit code 2.
 * @param start - Opens the daemon in a scope. Closing the scope is the graceful shutdown.
 */
export function runDaemon<Settings> (settings: Neverthrow.Result<Settings, string>, start: (settings: Settings) => Effect.Effect<void, Error, Scope.Scope>): void {
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`)
    process.exitCode = EXIT_BAD_SETTINGS
    return
  }
  V8.setFlagsFromString(`--max-semi-space-size=${YOUNG_GENERATION_HALF_MB}`)
  const program = Effect.scoped(Effect.andThen(start(settings.value), Effect.never))
  const fiber = Effect.runFork(program)
  const stop = (): void => { Effect.runFork(Effect.andThen(Fiber.interrupt(fiber), Effect.sync(() => { process.exit(0) }))) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  fiber.addObserver(exit => {
    if (exit._tag === 'Failure' && process.exitCode === undefined) {
      const text = String(exit.cause)
      if (/Interrupt/.test(text)) return
      process.stderr.write(`${text}\n`)
      process.exit(1)
    }
  })
}

/**
 * Opens something that is closed when the scope closes.
 *
 * @param open - Opens it.
 * @param close - Closes it.
 * @returns The effect, which yields what was opened.
 */
export function resource<T> (open: () => Promise<T>, close: (opened: T) => Promise<void>): Effect.Effect<T, Error, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.tryPromise({ try: open, catch: error => error as Error }),
    opened => Effect.promise(async () => { await close(opened) })
  )
}
