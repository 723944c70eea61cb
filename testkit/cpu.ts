/**
 * Processor time of processes.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'

const TICK_SECONDS = 0.01

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - The process.
 * @returns User and system time in seconds.
 */
export function usedSeconds (pid: number): number {
  const stat = Fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * TICK_SECONDS
}
