/**
 * Records unexpected errors, so that they neither end the process nor pass unnoticed.
 *
 * A process holds the requests of many callers: an error in the work for one of them must not cost the others theirs.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Metrics from './metrics.ts'

/** Records unexpected errors. */
export interface Faults {
  /** Counts an error and logs it with its stack. `work` names the kind of work in which it occurred. */
  record: (work: string, error: unknown) => void
  /** Runs a piece of work. An error in it is recorded, and `onFault` ends what it belongs to. */
  contain: (work: string, run: () => void, onFault?: () => void) => void
}

/** Dependencies of `createFaults`. */
export interface FaultsOptions {
  readonly metrics: Pick<Metrics.Metrics, 'count'>
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** Source of the events for errors that nothing else handles: Node's `process`. */
export interface ProcessEvents {
  on: (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void) => unknown
}

/**
 * Creates the record of a process's unexpected errors.
 *
 * @param options - Metrics and log. Each error counts in `unexpected_errors_total`.
 * @returns The record.
 */
export function createFaults ({ metrics, log }: FaultsOptions): Faults {
  const record: Faults['record'] = (work, error) => {
    const { message, stack = '' } = error instanceof Error ? error : new Error(String(error))
    metrics.count('unexpected_errors_total', { work })
    log('process', 'Unexpected error.', { work, reason: message, stack })
  }
  return {
    record,
    contain: (work, run, onFault) => {
      try {
        run()
      } catch (error) {
        record(work, error)
        onFault?.()
      }
    }
  }
}

/**
 * Keeps a process running after errors that nothing else handles. To be called once the process serves: an error before that has to end it.
 *
 * @param faults - Records the errors.
 * @param events - Node's `process`.
 */
export function keepRunning (faults: Faults, events: ProcessEvents): void {
  events.on('uncaughtException', error => { faults.record('event', error) })
  events.on('unhandledRejection', error => { faults.record('promise', error) })
}
