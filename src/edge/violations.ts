/**
 * Counts and logs violated invariants.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Log from './log.ts'
import type * as Metrics from './metrics.ts'

/**
 * Creates a reporter of violations.
 *
 * @param log - Gets one line for each violation.
 * @param metrics - Gets the counter `invariant_violations_total`.
 * @returns The reporter.
 */
export function createReporter (log: Log.Log, metrics: Metrics.Metrics): (violation: Core.Invariants.Violation) => void {
  for (const name of Core.Invariants.INVARIANT_NAMES) metrics.count('invariant_violations_total', { name }, 0)
  return ({ name, details }) => {
    metrics.count('invariant_violations_total', { name })
    log.warn('invariant', 'Invariant violated.', { name, text: Core.Invariants.INVARIANTS[name], ...details })
  }
}
