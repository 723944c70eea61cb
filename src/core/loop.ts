/**
 * Single-threaded loop that runs systems over tables on each tick, in a fixed order.
 *
 * A tick runs as soon as there is input, and at a slow fixed interval for timeouts. Systems neither
 * wait nor do I/O: they change rows and append commands, which are performed after the tick.
 *
 * @packageDocumentation
 */
import * as Invariants from './invariants.ts'
import type * as Random from './random.ts'

/** Line of the decision log. */
export interface Decision {
  readonly prefix: string
  readonly sentence: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Inputs and functions that a system may use during a tick. */
export interface Tick<Input, Command> {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number
  readonly random: Random.Random
  readonly inputs: readonly Input[]
  /** Appends a command that is performed after the tick. */
  emit: (command: Command) => void
  /** Appends a line to the decision log. */
  log: (prefix: string, sentence: string, fields?: Readonly<Record<string, unknown>>) => void
  /** Checks an invariant; a violation is counted and logged, and fails tests and soak runs. */
  check: Invariants.Check
}

/** Named function that reads and changes the tables. */
export interface System<Tables, Input, Command> {
  readonly name: string
  run: (tables: Tables, tick: Tick<Input, Command>) => void
}

/** Commands, decisions and violations of one tick. */
export interface TickResult<Command> {
  readonly commands: readonly Command[]
  readonly decisions: readonly Decision[]
  readonly violations: readonly Invariants.Violation[]
}

/** Runs the systems once over the given inputs. Does no I/O and reads no clock. */
export type Stepper<Input, Command> = (inputs: readonly Input[], nowMs: number) => TickResult<Command>

/**
 * Creates a stepper. Its ticks are deterministic, so that they can be replayed from a seed.
 *
 * @param tables - The tables that the systems share.
 * @param systems - The systems in the order in which they run.
 * @param random - Seeded random number generator.
 * @returns A function that runs one tick.
 */
export function createStepper<Tables, Input, Command> (
  tables: Tables,
  systems: ReadonlyArray<System<Tables, Input, Command>>,
  random: Random.Random
): Stepper<Input, Command> {
  return (inputs, nowMs) => {
    const commands: Command[] = []
    const decisions: Decision[] = []
    const violations: Invariants.Violation[] = []
    const tick: Tick<Input, Command> = {
      nowMs,
      random,
      inputs,
      emit: command => { commands.push(command) },
      log: (prefix, sentence, fields = {}) => { decisions.push({ prefix, sentence, fields }) },
      check: Invariants.createCheck(violation => { violations.push(violation) })
    }
    for (const system of systems) system.run(tables, tick)
    return { commands, decisions, violations }
  }
}

/** Tick in which a violation occurred, for replay. */
export interface TickContext {
  /** Number of ticks that the loop has run. */
  readonly tickCount: number
  readonly nowMs: number
  /** Inputs of the tick. Its decisions depend on these and on the tables. */
  readonly inputs: readonly unknown[]
}

/** Stepper, callbacks and timing of a loop. */
export interface LoopOptions<Input, Command> {
  readonly step: Stepper<Input, Command>
  readonly perform: (command: Command) => void
  readonly record: (decision: Decision) => void
  readonly violate: (violation: Invariants.Violation, context: TickContext) => void
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Interval at which a tick runs even without input, in milliseconds. */
  readonly maxTickIntervalMs: number
}

/** A running loop. */
export interface Loop<Input> {
  /** Queues an input and schedules a tick to run at once. */
  push: (input: Input) => void
  stop: () => void
}

/**
 * Starts a loop on the current thread.
 *
 * @param options - The stepper, callbacks and timing.
 * @returns The loop, which must be stopped to release its timer.
 */
export function createLoop<Input, Command> (options: LoopOptions<Input, Command>): Loop<Input> {
  let pending: Input[] = []
  let scheduled = false
  let stopped = false
  let tickCount = 0

  const runTick = (): void => {
    scheduled = false
    if (stopped) return
    const inputs = pending
    pending = []
    const nowMs = options.clock()
    const step = options.step(inputs, nowMs)
    tickCount++
    step.decisions.forEach(options.record)
    for (const violation of step.violations) options.violate(violation, { tickCount, nowMs, inputs })
    step.commands.forEach(options.perform)
  }
  const schedule = (): void => {
    if (scheduled || stopped) return
    scheduled = true
    setImmediate(runTick)
  }
  const tickTimer = setInterval(schedule, options.maxTickIntervalMs)
  return {
    push: input => { pending.push(input); schedule() },
    stop: () => { stopped = true; clearInterval(tickTimer) }
  }
}

/** Handlers for a union of tagged values, one for each tag. */
export type Handlers<Union extends { readonly kind: string }, Result = void> = {
  readonly [Kind in Union['kind']]: (value: Extract<Union, { readonly kind: Kind }>) => Result
}

/**
 * Runs the handler for the tag of a value.
 *
 * @param handlers - One handler for each tag.
 * @param value - The tagged value.
 * @returns The result of the handler.
 */
export function dispatch<Union extends { readonly kind: string }, Result> (handlers: Handlers<Union, Result>, value: Union): Result {
  const handler = handlers[value.kind as Union['kind']] as (value: Union) => Result
  return handler(value)
}
