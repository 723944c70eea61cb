/**
 * Reads the metrics of a process.
 *
 * @packageDocumentation
 */
import * as HttpClient from '../src/edge/httpClient.ts'

/** One sample of a metric. */
export interface Sample {
  readonly name: string
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

const TIMEOUT_MS = 10_000
const SAMPLE = /^fescuespread_(\w+?)(?:\{(.*)\})? ([-+0-9.eE]+)$/

/**
 * Reads all samples of a process.
 *
 * @param port - The process's port.
 * @returns The samples, their names without the prefix; none when it does not answer.
 */
export async function read (port: number): Promise<Sample[]> {
  const answer = await HttpClient.send({ target: { host: '127.0.0.1', port }, method: 'GET', path: '/metrics', timeoutMs: TIMEOUT_MS }).catch(() => undefined)
  return (answer?.body.toString() ?? '').split('\n').flatMap(line => {
    const match = SAMPLE.exec(line)
    if (match === null) return []
    const labels = Object.fromEntries(Array.from((match[2] ?? '').matchAll(/(\w+)="([^"]*)"/g), pair => [pair[1], pair[2]]))
    return [{ name: match[1] ?? '', labels, value: Number(match[3]) }]
  })
}

/**
 * Adds up the samples of a metric.
 *
 * @param samples - The samples.
 * @param name - The metric, without its prefix.
 * @param labels - Labels that the samples must have.
 * @returns The sum.
 */
export function sum (samples: readonly Sample[], name: string, labels: Readonly<Record<string, string>> = {}): number {
  return samples
    .filter(sample => sample.name === name && Object.entries(labels).every(([key, value]) => sample.labels[key] === value))
    .reduce((total, sample) => total + sample.value, 0)
}
