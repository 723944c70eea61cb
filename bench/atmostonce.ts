/**
 * Keyed calls with repeats through several gateways while everything that may fail fails.
 *
 * Executions are counted at the endpoints, by key and by call, and compared with what callers were
 * told. `--calls N` keys, `--seed N`, `--callers N` at once.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as TestKit from '../testkit/index.ts'
import type * as Report from './report.ts'
import * as Faults from './support/callFaults.ts'

interface Options {
  readonly callCount: number
  readonly seed: number
  readonly callerCount: number
}

/** What the callers of one key were told. */
interface KeyRecord {
  readonly key: string
  readonly body: { readonly key: string, readonly padBytes: number }
  requestCount: number
  answered: boolean
  ranWithoutAnswer: boolean
}

interface Tally {
  requestCount: number
  transportErrorCount: number
  crossedAnswers: number
  truncatedAnswersTakenAsWhole: number
  replayedCount: number
  /** Calls that were refused as not run. */
  readonly refusedCalls: string[]
  readonly codes: Map<string, number>
  readonly latenciesMs: number[]
}

const SHAPE: TestKit.Shapes.Shape = {
  ...TestKit.Shapes.CONSORTIUM,
  name: 'at-most-once',
  services: [{ name: 'filing-api', kind: 'plain', runnerCount: 6, reportsLoad: true, maxConcurrentCount: 32, routes: [{ path: '/filings', method: 'POST', idempotent: false }] }]
}
const DEADLINE_MS = 5_000
const WORK_MS = 4
const MAX_REQUEST_COUNT = 40
/** A key is left as unknown after so many answers that say so. */
const MAX_UNKNOWN_COUNT = 3
const REPEAT_SHARE = 0.25
const LARGE_SHARE = 0.02
const LARGE_BYTES = 20_000
const MAX_PAUSE_MS = 600
const QUIET_LIMIT_MS = 40_000

/**
 * Runs the bench.
 *
 * @param args - `--calls`, `--seed`, `--callers`.
 * @returns The figures.
 */
export async function run (args: readonly string[]): Promise<Report.Figures> {
  const options = optionsOf(args)
  const random = Core.Random.createRandom(options.seed)
  const deployment = await TestKit.Deployment.createDeployment({ shape: SHAPE, plain: { workMs: WORK_MS }, gatewaySettings: { storeTimeoutMs: 1_000, stopGraceMs: 10_000 }, logLevel: 'info' })
  try {
    await deployment.commit(deployment.makeManifest('v1', 1))
    await deployment.untilLive('v1', 30_000)
    const violations = Faults.watchViolations(deployment)
    const faults = await Faults.createCallFaults(deployment, Core.Random.createRandom(options.seed + 1), violations.follow)
    const tally: Tally = { requestCount: 0, transportErrorCount: 0, crossedAnswers: 0, truncatedAnswersTakenAsWhole: 0, replayedCount: 0, refusedCalls: [], codes: new Map(), latenciesMs: [] }
    const before = deployment.table.counts()
    const startedMs = performance.now()
    const records = await sendAll(deployment, options, random, tally, faults.note)
    const loadMs = performance.now() - startedMs
    await faults.stop()
    const after = deployment.table.counts()
    await untilQuiet(deployment)
    const figures = figuresOf(deployment, options, records, tally)
    await faults.close()
    return {
      ...figures,
      storeWritesPerCall: round((after.writeCount - before.writeCount) / tally.requestCount),
      storeRowWritesPerCall: round((after.rowWriteCount - before.rowWriteCount) / tally.requestCount),
      storeRowReadsPerCall: round((after.readCount - before.readCount) / tally.requestCount),
      storeWritesPerSecond: round((after.writeCount - before.writeCount) * 1000 / loadMs),
      storeWritesPerSecondTarget: 'below 300: several hundred for everything',
      invariantViolations: violations.count(),
      invariantViolationsTarget: 0,
      durationSeconds: round(loadMs / 1000),
      requestsPerSecond: round(tally.requestCount * 1000 / loadMs),
      faults: faults.counts()
    }
  } finally {
    await deployment.stop()
  }
}

function optionsOf (args: readonly string[]): Options {
  const valueOf = (name: string, fallback: number): number => {
    const at = args.indexOf(`--${name}`)
    return at === -1 ? fallback : Number(args[at + 1])
  }
  return { callCount: valueOf('calls', 100_000), seed: valueOf('seed', 5), callerCount: valueOf('callers', 256) }
}

async function sendAll (deployment: TestKit.Deployment.Deployment, options: Options, random: Core.Random.Random, tally: Tally, progress: (share: number) => void): Promise<KeyRecord[]> {
  const records: KeyRecord[] = []
  const caller = async (): Promise<void> => {
    while (records.length < options.callCount) {
      const key = `return-${records.length}`
      const record: KeyRecord = { key, body: { key, padBytes: random.next() < LARGE_SHARE ? LARGE_BYTES : 0 }, requestCount: 0, answered: false, ranWithoutAnswer: false }
      records.push(record)
      progress(records.length / options.callCount)
      const repeats = random.next() < REPEAT_SHARE ? 1 + random.below(2) : 0
      await Promise.all(Array.from({ length: 1 + repeats }, async (_, index) => {
        if (index > 0) await TestKit.Wait.sleep(random.next() ** 2 * MAX_PAUSE_MS)
        await sendUntilSettled(deployment, record, random, tally)
      }))
    }
  }
  await Promise.all(Array.from({ length: options.callerCount }, caller))
  return records
}

/** One caller's part: sends, and sends again with the same key until the outcome is settled. */
async function sendUntilSettled (deployment: TestKit.Deployment.Deployment, record: KeyRecord, random: Core.Random.Random, tally: Tally): Promise<void> {
  let unknownCount = 0
  for (let tries = 0; tries < MAX_REQUEST_COUNT; tries++) {
    const gateway = deployment.gateways[random.below(deployment.gateways.length)]
    const sentMs = performance.now()
    const reply = gateway === undefined
      ? undefined
      : await TestKit.Caller.send({ port: gateway.process.port, path: '/filings', workspace: 'operator-1', key: record.key, body: record.body, deadlineMs: DEADLINE_MS }).catch(() => undefined)
    record.requestCount++
    tally.requestCount++
    if (reply === undefined) tally.transportErrorCount++
    else {
      const name = Core.Codes.nameOf(reply.code) ?? 'none'
      tally.codes.set(name, (tally.codes.get(name) ?? 0) + 1)
      if (reply.run === 'notRun') tally.refusedCalls.push(String(reply.headers['x-fescue-call-id']))
      if (name === 'ok') {
        checkAnswer(record, reply, tally)
        record.answered = true
        tally.latenciesMs.push(performance.now() - sentMs)
        return
      }
      if (name === 'answerLost') { record.ranWithoutAnswer = true; return }
      if (name === 'outcomeUnknown' && ++unknownCount >= MAX_UNKNOWN_COUNT) return
    }
    await TestKit.Wait.sleep(50 + random.next() * MAX_PAUSE_MS)
  }
}

function checkAnswer (record: KeyRecord, reply: TestKit.Caller.Reply, tally: Tally): void {
  if (reply.headers['x-fescue-replayed'] === 'true') tally.replayedCount++
  const answer = reply.json as { key?: string, echo?: string, padding?: string, callId?: string } | undefined
  if (answer?.padding?.length !== record.body.padBytes) { tally.truncatedAnswersTakenAsWhole++; return }
  const ownCall = reply.headers['x-fescue-replayed'] === 'true' || answer.callId === reply.headers['x-fescue-call-id']
  if (answer.key !== record.key || answer.echo !== JSON.stringify(record.body) || !ownCall) tally.crossedAnswers++
}

/** Late executions count too: waits until no endpoint executes anything more. */
async function untilQuiet (deployment: TestKit.Deployment.Deployment): Promise<void> {
  let last = -1
  await TestKit.Wait.until('no more executions', QUIET_LIMIT_MS, async () => {
    const count = deployment.runners.reduce((sum, runner) => sum + (runner.plain?.executedCalls().size ?? 0), 0)
    const same = count === last
    last = count
    await TestKit.Wait.sleep(2_000)
    return same
  })
}

function figuresOf (deployment: TestKit.Deployment.Deployment, options: Options, records: readonly KeyRecord[], tally: Tally): Report.Figures {
  const executedCalls = new Set(deployment.runners.flatMap(runner => [...(runner.plain?.executedCalls() ?? [])]))
  const executionsOf = (key: string): number => deployment.runners.reduce((sum, runner) => sum + (runner.plain?.executions().get(key) ?? 0), 0)
  const executions = records.map(record => executionsOf(record.key))
  const unsettled = records.filter(record => !record.answered && !record.ranWithoutAnswer)
  const sorted = tally.latenciesMs.sort((a, b) => a - b)
  return {
    seed: options.seed,
    comparesWith: 'executions counted at the endpoints, by key and by call id',
    keyedCalls: records.length,
    requests: tally.requestCount,
    callers: options.callerCount,
    gateways: deployment.gateways.length,
    agents: deployment.runners.length,
    duplicates: executions.filter(count => count > 1).length,
    duplicatesTarget: 0,
    falseRefusals: tally.refusedCalls.filter(callId => executedCalls.has(callId)).length,
    falseRefusalsTarget: 0,
    crossedAnswers: tally.crossedAnswers,
    crossedAnswersTarget: 0,
    truncatedAnswersTakenAsWhole: tally.truncatedAnswersTakenAsWhole,
    truncatedAnswersTakenAsWholeTarget: 0,
    answersWithoutExecution: records.filter((record, index) => record.answered && executions[index] === 0).length,
    answersWithoutExecutionTarget: 0,
    unknownRate: round(unsettled.length / records.length, 6),
    unknownButExecutedCount: records.filter((record, index) => unsettled.includes(record) && (executions[index] ?? 0) > 0).length,
    unknownCount: unsettled.length,
    ranWithoutAnswerCount: records.filter(record => !record.answered && record.ranWithoutAnswer).length,
    refusals: tally.refusedCalls.length,
    replayedAnswers: tally.replayedCount,
    transportErrors: tally.transportErrorCount,
    p50LatencyMs: round(sorted[Math.floor(sorted.length * 0.5)] ?? 0),
    p99LatencyMs: round(sorted[Math.floor(sorted.length * 0.99)] ?? 0),
    answersByCode: Object.fromEntries([...tally.codes].sort())
  }
}

function round (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}
