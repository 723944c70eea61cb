/**
 * One loop on one thread: systems run over tables each tick, in a fixed order.
 *
 * A tick runs as soon as input is there, and at a slow beat for timeouts. Systems neither wait
 * nor do I/O: they change rows and append commands, which the edge carries out after the tick.
 *
 * @packageDocumentation
 */
import * as Invariants from './invariants.ts'
import type * as Random from './random.ts'

/** One line of the decision log. */
export interface Decision {
  readonly prefix: string
  readonly sentence: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** What a system may use during a tick. */
export interface Tick<Input, Command> {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number
  readonly random: Random.Random
  readonly inputs: readonly Input[]
  /** Appends a command for the edge. */
  emit: (command: Command) => void
  /** Appends a line to the decision log. */
  log: (prefix: string, sentence: string, fields?: Readonly<Record<string, unknown>>) => void
  /** Checks an invariant; a violation is counted and logged, and fails tests and soaks. */
  check: Invariants.Check
}

/** A named function over the tables. */
export interface System<Tables, Input, Command> {
  readonly name: string
  run: (tables: Tables, tick: Tick<Input, Command>) => void
}

/** What one tick decided. */
export interface TickResult<Command> {
  readonly commands: readonly Command[]
  readonly decisions: readonly Decision[]
  readonly violations: readonly Invariants.Violation[]
}

/** Runs the systems once over the given inputs. Free of I/O and clocks. */
export type Stepper<Input, Command> = (inputs: readonly Input[], nowMs: number) => TickResult<Command>

/**
 * Creates a stepper: the pure heart of a process, replayable from a seed.
 *
 * @param tables - The tables that the systems share.
 * @param systems - The systems in the order in which they run.
 * @param random - Seeded source of randomness.
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

/** The tick in which something happened, for a replay. */
export interface TickContext {
  /** How many ticks the loop has run. */
  readonly tickCount: number
  readonly nowMs: number
  /** What the tick was decided from, beside the tables. */
  readonly inputs: readonly unknown[]
}

/** How a loop meets the world. */
export interface LoopOptions<Input, Command> {
  readonly step: Stepper<Input, Command>
  readonly perform: (command: Command) => void
  readonly record: (decision: Decision) => void
  readonly violate: (violation: Invariants.Violation, context: TickContext) => void
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** The longest time between ticks in milliseconds. */
  readonly maxTickIntervalMs: number
}

/** A running loop. */
export interface Loop<Input> {
  /** Hands over an input; a tick follows at once. */
  push: (input: Input) => void
  stop: () => void
}

/**
 * Starts a loop on the process's own thread.
 *
 * @param options - The stepper and the edges.
 * @returns The loop; stop it to release its timer.
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
 * Looks up and runs the handler of a tagged value.
 *
 * @param handlers - One handler for each tag.
 * @param value - The tagged value.
 * @returns What the handler returns.
 */
export function dispatch<Union extends { readonly kind: string }, Result> (handlers: Handlers<Union, Result>, value: Union): Result {
  const handler = handlers[value.kind as Union['kind']] as (value: Union) => Result
  return handler(value)
}
