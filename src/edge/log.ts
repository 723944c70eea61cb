/**
 * Structured logs: short sentences with a fixed prefix for each part.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import pino from 'pino'
import type * as Core from '../core/index.ts'
import * as LogLimits from './logLimits.ts'
import type * as Metrics from './metrics.ts'

/** Writes log lines. */
export interface Log {
  info: (prefix: string, sentence: string, fields?: object) => void
  warn: (prefix: string, sentence: string, fields?: object) => void
  /** Writes that keys were read again, or why not. */
  keysRead: (name: string, outcome: Neverthrow.Result<number, string>) => void
  /** Writes a decision of the loop. */
  decision: (decision: Core.Loop.Decision) => void
  /** Writes what is gathered, before the process ends. */
  flush: () => void
}

/** The levels that a process may log at. */
export const LEVELS = ['debug', 'info', 'warn', 'error', 'silent'] as const
/** A level to log at. */
export type Level = typeof LEVELS[number]

/** Lines are gathered up to this size before they are written, in bytes. */
const BUFFER_BYTES = 4_096
/** Lines wait no longer than this, in milliseconds. */
const FLUSH_MS = 100
/** Lines that a reader does not take are dropped beyond this size, in bytes: some seconds of a busy process. */
const QUEUE_LIMIT_BYTES = 1_048_576
/** Decisions of one kind that are written in a second: twice the calls of a busy process. */
const DECISION_LIMIT_COUNT = 120

/**
 * Creates a log on standard output.
 *
 * @param program - The program's name.
 * @param instanceId - The instance.
 * @param level - The lowest level written.
 * @param metrics - Counts lines and bytes, where given.
 * @returns The log.
 */
export function createLog (program: string, instanceId: string, level: Level, metrics?: Metrics.Metrics): Log {
  const output = pino.destination({ dest: 1, sync: false, minLength: BUFFER_BYTES, maxLength: QUEUE_LIMIT_BYTES })
  const counted = {
    write: (line: string): void => {
      metrics?.count('log_lines_total')
      metrics?.count('log_bytes_total', {}, line.length)
      output.write(line)
    }
  }
  const logger = pino({ level, base: { program, instanceId } }, counted)
  const limits = LogLimits.createLogLimits(DECISION_LIMIT_COUNT)
  let droppedCount = 0
  output.on('drop', () => { droppedCount++ })
  output.on('error', () => { droppedCount++ })
  const flush = (): void => { output.flush() }
  const tellLosses = (): void => {
    const leftOut = limits.takeLeftOut(performance.now())
    for (const [kind, count] of Object.entries(leftOut ?? {})) metrics?.count('log_lines_left_out_total', { kind }, count)
    if (droppedCount > 0) metrics?.count('log_lines_dropped_total', {}, droppedCount)
    if (leftOut !== undefined) logger.info({ leftOut }, 'log: Lines left out.')
    if (droppedCount > 0) logger.warn({ droppedCount }, 'log: Lines dropped, since nothing takes them.')
    droppedCount = 0
  }
  setInterval(() => { tellLosses(); flush() }, FLUSH_MS).unref()
  process.once('exit', () => { flushAtEnd(output) })
  return {
    info: (prefix, sentence, fields = {}) => { logger.info(fields, `${prefix}: ${sentence}`) },
    warn: (prefix, sentence, fields = {}) => {
      logger.warn(fields, `${prefix}: ${sentence}`)
      flush()
    },
    keysRead: (name, outcome) => {
      if (outcome.isOk()) logger.info({ name, keyCount: outcome.value }, 'control: Keys read again.')
      else logger.warn({ name, reason: outcome.error }, 'control: Keys not read again.')
    },
    decision: ({ prefix, sentence, fields }) => {
      const line = `${prefix}: ${sentence}`
      if (limits.admit(line, performance.now())) logger.info(fields, line)
    },
    flush: () => { flushAtEnd(output) }
  }
}

/** The last lines are written before the process ends; a destination that never opened has none. */
function flushAtEnd (output: ReturnType<typeof pino.destination>): void {
  try {
    output.flushSync()
  } catch (error) {
    process.stderr.write(`log: last lines not written: ${(error as Error).message}\n`)
  }
}
