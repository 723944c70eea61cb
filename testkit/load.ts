/**
 * An open-loop load generator: arrivals follow a seeded Poisson process and never wait for answers.
 *
 * Latency counts from the time at which a call was due, so that a slow server cannot hide its queue.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Hdr from 'hdr-histogram-js'
import * as Core from '../src/core/index.ts'

/** The calls of one workspace. */
export interface WorkspaceLoad {
  readonly workspace: string
  /** The highest rate at which calls arrive. */
  readonly maxRatePerSecond: number
  /** The share of the highest rate, from 0 to 1, at a time since the start; 1 without it. */
  readonly rateShareAt?: (elapsedMs: number) => number
  /** Makes the call with a number that rises within the workspace. */
  readonly makeCall: (index: number) => LoadCall
}

/** A call to send. */
export interface LoadCall {
  readonly path: string
  readonly method?: string
  readonly body?: unknown
  readonly stream?: boolean
  readonly deadlineMs?: number
  readonly headers?: Readonly<Record<string, string>>
}

/** Settings of a load. */
export interface LoadOptions {
  readonly seed: number
  readonly durationMs: number
  /** The gateways' ports, used in turn. */
  readonly ports: readonly number[]
  readonly workspaces: readonly WorkspaceLoad[]
  /** Time after a call's deadline at which the generator gives it up, in milliseconds. */
  readonly graceMs?: number
}

/** How a call ended: answered whole, refused as not run, or anything else. */
export type Verdict = 'ok' | 'refused' | 'failed'

/** What became of one call. */
export interface LoadRecord {
  readonly workspace: string
  /** Time from the start of the load at which the call was due. */
  readonly dueAtMs: number
  readonly verdict: Verdict
  /** The result code; -1 for an answer that never came whole. */
  readonly code: number
  /** Time from the due time to the first byte of a body; undefined without one. */
  readonly firstByteMs: number | undefined
  /** Time from the due time to the end of the answer. */
  readonly endMs: number
}

/** The figures of some records. */
export interface LoadSummary {
  readonly sentCount: number
  readonly okCount: number
  readonly refusedCount: number
  readonly failedCount: number
  readonly okShare: number
  readonly countByCode: Readonly<Record<string, number>>
  readonly okP50Ms: number
  readonly okP99Ms: number
  readonly firstByteP50Ms: number
  readonly firstByteP99Ms: number
  readonly refusedP99Ms: number
}

const DEFAULT_DEADLINE_MS = 10_000
const DEFAULT_GRACE_MS = 5_000
const END_MARK = 'event: end'
const ERROR_MARK = 'event: error'

/**
 * Sends a load and waits until every call has ended.
 *
 * @param options - Seed, duration, gateways and workspaces.
 * @returns One record for each call, in the order in which the calls ended.
 */
export async function run (options: LoadOptions): Promise<LoadRecord[]> {
  const agent = new Http.Agent({ keepAlive: true, maxFreeSockets: 1_024 })
  const due = options.workspaces.flatMap((load, index) =>
    arrivalsOf(load, options.seed + index, options.durationMs).map((dueAtMs, number) => ({ load, dueAtMs, number })))
  due.sort((a, b) => a.dueAtMs - b.dueAtMs)
  const startedMs = performance.now()
  const records: LoadRecord[] = []
  const ending: Array<Promise<void>> = []
  for (const [index, { load, dueAtMs, number }] of due.entries()) {
    const waitMs = startedMs + dueAtMs - performance.now()
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, Math.ceil(waitMs)))
    const port = options.ports[index % options.ports.length] ?? 0
    ending.push(sendOne(agent, port, load, load.makeCall(number), { dueAtMs, startedMs, graceMs: options.graceMs ?? DEFAULT_GRACE_MS })
      .then(record => { records.push(record) }))
  }
  await Promise.all(ending)
  agent.destroy()
  return records
}

/**
 * Draws the arrival times of a workspace's calls.
 *
 * @param load - The workspace's rates.
 * @param seed - The seed.
 * @param durationMs - The length of the load in milliseconds.
 * @returns Rising times since the start in milliseconds.
 */
export function arrivalsOf (load: Pick<WorkspaceLoad, 'maxRatePerSecond' | 'rateShareAt'>, seed: number, durationMs: number): number[] {
  const random = Core.Random.createRandom(seed)
  const times: number[] = []
  let atMs = 0
  for (;;) {
    atMs += -Math.log(1 - random.next()) * 1_000 / load.maxRatePerSecond
    if (atMs >= durationMs) return times
    if (random.next() < (load.rateShareAt?.(atMs) ?? 1)) times.push(atMs)
  }
}

/**
 * Summarises records.
 *
 * @param records - The records.
 * @returns Counts, shares and percentiles.
 */
export function summarise (records: readonly LoadRecord[]): LoadSummary {
  const okMs = Hdr.build()
  const firstByteMs = Hdr.build()
  const refusedMs = Hdr.build()
  const countByCode: Record<string, number> = {}
  const counts: Record<Verdict, number> = { ok: 0, refused: 0, failed: 0 }
  for (const record of records) {
    counts[record.verdict]++
    countByCode[record.code] = (countByCode[record.code] ?? 0) + 1
    if (record.verdict === 'ok') okMs.recordValue(record.endMs)
    if (record.verdict === 'ok' && record.firstByteMs !== undefined) firstByteMs.recordValue(record.firstByteMs)
    if (record.verdict === 'refused') refusedMs.recordValue(record.endMs)
  }
  return {
    sentCount: records.length,
    okCount: counts.ok,
    refusedCount: counts.refused,
    failedCount: counts.failed,
    okShare: records.length === 0 ? 1 : counts.ok / records.length,
    countByCode,
    okP50Ms: okMs.getValueAtPercentile(50),
    okP99Ms: okMs.getValueAtPercentile(99),
    firstByteP50Ms: firstByteMs.getValueAtPercentile(50),
    firstByteP99Ms: firstByteMs.getValueAtPercentile(99),
    refusedP99Ms: refusedMs.getValueAtPercentile(99)
  }
}

interface Timing {
  readonly dueAtMs: number
  readonly startedMs: number
  readonly graceMs: number
}

async function sendOne (agent: Http.Agent, port: number, load: WorkspaceLoad, call: LoadCall, timing: Timing): Promise<LoadRecord> {
  const deadlineMs = call.deadlineMs ?? DEFAULT_DEADLINE_MS
  const body = call.body === undefined ? '' : JSON.stringify(call.body)
  const elapsed = (): number => Math.max(0, performance.now() - timing.startedMs - timing.dueAtMs)
  return await new Promise(resolve => {
    let firstByteMs: number | undefined
    const finish = (verdict: Verdict, code: number): void => {
      clearTimeout(timer)
      resolve({ workspace: load.workspace, dueAtMs: timing.dueAtMs, verdict, code, firstByteMs, endMs: elapsed() })
    }
    const request = Http.request({
      host: '127.0.0.1',
      port,
      method: call.method ?? 'POST',
      path: call.path,
      agent,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        'x-fescue-workspace': load.workspace,
        'x-fescue-deadline-ms': String(deadlineMs),
        ...(call.stream === true ? { accept: 'text/event-stream' } : {}),
        ...call.headers
      }
    })
    const timer = setTimeout(() => { request.destroy(); finish('failed', -1) }, deadlineMs + timing.graceMs)
    request.on('error', () => { finish('failed', -1) })
    request.on('response', incoming => {
      let tail = ''
      incoming.setEncoding('utf8')
      incoming.on('error', () => { finish('failed', -1) })
      incoming.on('data', (text: string) => {
        firstByteMs ??= elapsed()
        tail = (tail + text).slice(-500)
      })
      incoming.on('end', () => {
        const stream = String(incoming.headers['content-type']).startsWith('text/event-stream')
        const code = Number(incoming.headers['x-fescue-code'] ?? 0)
        if (!incoming.complete) { finish('failed', -1); return }
        if (stream) { finish(tail.includes(END_MARK) ? 'ok' : 'failed', codeOfTail(tail)); return }
        if ((incoming.statusCode ?? 0) < 300) { finish('ok', 0); return }
        finish(incoming.headers['x-fescue-run'] === 'notRun' ? 'refused' : 'failed', code)
      })
    })
    request.end(body)
  })
}

function codeOfTail (tail: string): number {
  if (tail.includes(END_MARK)) return 0
  const found = /"code":(\d+)/.exec(tail.slice(Math.max(0, tail.indexOf(ERROR_MARK))))
  return found === null ? -1 : Number(found[1])
}
