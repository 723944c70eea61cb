/**
 * Counts and logs violated invariants.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Log from './log.ts'
import type * as Metrics from './metrics.ts'

/** The most text of a tick's inputs in one line, in characters. */
const MAX_INPUT_TEXT_COUNT = 4_000

/** Takes a violation and, from the loop, the tick that it happened in. */
export type Reporter = (violation: Core.Invariants.Violation, context?: Core.Loop.TickContext) => void

/**
 * Creates a reporter of violations. Its line carries what a replay of the decision needs.
 *
 * @param log - Gets one line for each violation.
 * @param metrics - Gets the counter `invariant_violations_total`.
 * @param seed - The seed of the process's random numbers.
 * @returns The reporter.
 */
export function createReporter (log: Log.Log, metrics: Metrics.Metrics, seed?: number): Reporter {
  for (const name of Core.Invariants.INVARIANT_NAMES) metrics.count('invariant_violations_total', { name }, 0)
  return ({ name, details }, context) => {
    metrics.count('invariant_violations_total', { name })
    log.warn('invariant', 'Invariant violated.', { name, text: Core.Invariants.INVARIANTS[name], details, seed, ...replayOf(context) })
  }
}

function replayOf (context: Core.Loop.TickContext | undefined): object {
  if (context === undefined) return {}
  return { tickCount: context.tickCount, nowMs: context.nowMs, inputs: JSON.stringify(context.inputs, withoutBodies).slice(0, MAX_INPUT_TEXT_COUNT) }
}

/** Answers of endpoints belong to their callers and stay out of the log. */
function withoutBodies (key: string, value: unknown): unknown {
  return key === 'bodyBase64' ? undefined : value
}
