/**
 * What a world under test gets: virtual time, randomness, and where violations and faults are noted.
 *
 * @packageDocumentation
 */
import * as Core from '../../src/core/index.ts'
import type * as Time from './time.ts'

/** The kinds of fault that the soak brings about. */
export const FAULT_KINDS = [
  'instanceDeath', 'linkStall', 'corruptedChunk', 'versionChange', 'coldTurn', 'storeDown', 'storeSlow',
  'lostAnswer', 'pausedHolder', 'operatorRace', 'poisonCall', 'silentConnection'
] as const
/** A kind of fault. */
export type FaultKind = typeof FAULT_KINDS[number]

/** A violation and when it was seen. */
export interface SeenViolation extends Core.Invariants.Violation {
  readonly atMs: number
  /** Whether the program's own check saw it, or the harness from outside. */
  readonly seenBy: 'program' | 'oracle'
}

/** What a world gets. */
export interface Harness {
  readonly time: Time.VirtualTime
  readonly random: Core.Random.Random
  readonly violations: readonly SeenViolation[]
  /** Notes that a fault has taken effect. */
  met: (kind: FaultKind) => void
  /** Checks an invariant from outside the program. */
  expect: Core.Invariants.Check
  /** Takes a violation that the program's own check saw. */
  report: (violation: Core.Invariants.Violation) => void
  counts: () => { readonly stepCount: number, readonly faults: Readonly<Record<FaultKind, number>> }
  countStep: () => void
  /** Makes an identifier that no other part of the run makes. */
  makeId: () => string
}

/** A world: one component under test, or a pair, against fakes of its neighbours. */
export interface World {
  /** Carries out an action at the current moment. */
  readonly actions: Readonly<Record<string, (amount: number) => void>>
  /** Checks from outside, once everything has had time to settle. */
  finish: () => void
}

/** Creates a world. */
export type WorldFactory = (harness: Harness) => World

/**
 * Creates the harness of one run.
 *
 * @param time - Virtual time.
 * @param seed - Seed of the run.
 * @returns The harness.
 */
export function createHarness (time: Time.VirtualTime, seed: number): Harness {
  const violations: SeenViolation[] = []
  const faults = Object.fromEntries(FAULT_KINDS.map(kind => [kind, 0])) as Record<FaultKind, number>
  let stepCount = 0
  let idCount = 0
  const note = (seenBy: SeenViolation['seenBy']) => (violation: Core.Invariants.Violation): void => {
    violations.push({ ...violation, atMs: time.nowMs(), seenBy })
  }
  return {
    time,
    random: Core.Random.createRandom(seed),
    violations,
    met: kind => { faults[kind]++ },
    expect: Core.Invariants.createCheck(note('oracle')),
    report: note('program'),
    counts: () => ({ stepCount, faults }),
    countStep: () => { stepCount++ },
    makeId: () => `id-${++idCount}`
  }
}

/** Settings of a process under test. */
export interface ProcessOptions<Tables, Input, Command> {
  readonly harness: Harness
  readonly tables: Tables
  readonly systems: ReadonlyArray<Core.Loop.System<Tables, Input, Command>>
  readonly perform: (command: Command) => void
  /** What the process's own monotonic clock shows at the start, in milliseconds. */
  readonly clockOffsetMs?: number
}

/** A process under test: its loop over virtual time. */
export interface Process<Input> {
  push: (input: Input) => void
  /** Ends it at once, as a crash does. */
  kill: () => void
  alive: () => boolean
}

const BEAT_MS = 50

/**
 * Starts a process's loop over virtual time.
 *
 * @param options - Tables, systems and what carries out commands.
 * @returns The process.
 */
export function startProcess<Tables, Input, Command> (options: ProcessOptions<Tables, Input, Command>): Process<Input> {
  const { harness, tables, systems, perform } = options
  const step = Core.Loop.createStepper<Tables, Input, Command>(tables, systems, harness.random)
  let pending: Input[] = []
  let running = false
  let alive = true
  const run = (): void => {
    if (running) return
    running = true
    do {
      const inputs = pending
      pending = []
      const done = step(inputs, harness.time.nowMs() + (options.clockOffsetMs ?? 0))
      harness.countStep()
      done.violations.forEach(harness.report)
      done.commands.forEach(perform)
    } while (pending.length > 0)
    running = false
  }
  const beat = (): void => {
    if (!alive) return
    run()
    harness.time.after(BEAT_MS, beat)
  }
  harness.time.after(0, beat)
  return {
    push: input => {
      if (!alive) return
      pending.push(input)
      run()
    },
    kill: () => { alive = false },
    alive: () => alive
  }
}
