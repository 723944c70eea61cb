/**
 * Overload: three times what the endpoints bear, one workspace bursting to ten times its rate; endpoints
 * that turn cold or restart meanwhile; and what the path costs beside a direct call and a pass-through.
 *
 * @packageDocumentation
 */
import * as Hdr from 'hdr-histogram-js'
import * as Path from 'node:path'
import * as StandIns from '../standins/index.ts'
import * as TestKit from '../testkit/index.ts'
import type * as Report from './report.ts'

const SEED = 5
const ZONES = ['kartli', 'imereti', 'adjara']
const ENGINE_COUNT = 8
const ENGINE_LIMIT_COUNT = 8
const COLD_LIMIT_COUNT = 2
const COLD_MS = 1_500
const TOKEN_MS = 20
const TOKEN_COUNT = 40
const CAPACITY_MS = 5_000
const WARM_UP_MS = 5_000
const MEASURED_MS = 20_000
const FAULTS_MS = 15_000
const BURST_WORKSPACE = 'burst'
const OTHER_COUNT = 9
/** Of the endpoints' capacity: what all others offer, and the bursting workspace before its burst. */
const OTHERS_SHARE = 0.7
const BURST_BASE_SHARE = 0.23
const BURST_FACTOR = 10
const PATH_RATE_PER_SECOND = 200
const PATH_MS = 5_000
const PATH_CONCURRENT_COUNT = 32
const CLIENT_DEADLINE_MS = 10_000

const SHAPE: TestKit.Shapes.Shape = {
  name: 'routing-bench',
  zones: ZONES.map(name => ({ name, region: name })),
  services: [{ name: 'drafts', kind: 'engine', runnerCount: ENGINE_COUNT, reportsLoad: true, maxConcurrentCount: ENGINE_LIMIT_COUNT, routes: [{ path: '/v1/drafts', method: 'POST', idempotent: true }] }],
  workspaces: [{ name: BURST_WORKSPACE, weight: 3 }, ...Array.from({ length: OTHER_COUNT }, (_, index) => ({ name: `other-${index + 1}`, weight: 1 }))]
}
const PATH_SHAPE: TestKit.Shapes.Shape = {
  name: 'path-bench',
  zones: [{ name: 'kartli', region: 'kartli' }],
  services: [{ name: 'portal', kind: 'plain', runnerCount: 1, reportsLoad: true, maxConcurrentCount: 64, routes: [{ path: '/portal', method: 'POST', idempotent: true }] }],
  workspaces: [{ name: 'member', weight: 1 }]
}

/**
 * Runs both parts, or the one that is named.
 *
 * @param args - Empty, or `overload` or `path`.
 * @returns The figures.
 */
export async function run (args: readonly string[]): Promise<Report.Figures> {
  const wants = (part: string): boolean => args.length === 0 || args.includes(part)
  return { seed: SEED, ...wants('overload') ? await runOverload() : {}, ...wants('path') ? await runPath() : {} }
}

async function runOverload (): Promise<Report.Figures> {
  const deployment = await TestKit.Deployment.createDeployment({
    shape: SHAPE,
    engine: { capacityCount: ENGINE_LIMIT_COUNT, coldCapacityCount: COLD_LIMIT_COUNT, coldMs: COLD_MS, tokenMs: TOKEN_MS, restartMs: 300 }
  })
  try {
    const queuedMs = Hdr.build()
    for (const runner of deployment.runners) runner.agent.onLine(line => { if (line.msg === 'admission: Attempt admitted.') queuedMs.recordValue(Number(line.queuedMs)) })
    await deployment.commit(deployment.makeManifest('v1', SEED))
    await deployment.untilLive('v1', 20_000)
    await TestKit.Wait.sleep(COLD_MS)
    const capacityPerSecond = await measureCapacity(deployment)
    const overloads = (): number => sum(deployment, engine => engine.state().overloadCount)
    const load = TestKit.Load.run(loadOf(deployment, capacityPerSecond))
    await TestKit.Wait.sleep(WARM_UP_MS + MEASURED_MS)
    const overshootCount = overloads()
    const engines = deployment.runners.flatMap(runner => runner.engine ?? [])
    engines[0]?.turnCold()
    engines[1]?.turnCold()
    await TestKit.Wait.sleep(FAULTS_MS / 3)
    engines[2]?.crash()
    const records = await load
    return {
      ...figuresOf(records, capacityPerSecond),
      queueP50Ms: queuedMs.getValueAtPercentile(50),
      queueP99Ms: queuedMs.getValueAtPercentile(99),
      overshootCount,
      overshootCountTarget: 0,
      coldOvershootCount: sum(deployment, engine => engine.state().lateColdOverloadCount),
      coldOvershootCountTarget: 0,
      coldOvershootBeforeAnySignCount: sum(deployment, engine => engine.state().coldOverloadCount - engine.state().lateColdOverloadCount),
      faultsPhaseOvershootCount: overloads() - overshootCount,
      crashCount: sum(deployment, engine => engine.state().crashCount)
    }
  } finally {
    await deployment.stop()
  }
}

function sum (deployment: TestKit.Deployment.Deployment, count: (engine: StandIns.Engine.Engine) => number): number {
  return deployment.runners.reduce((total, { engine }) => total + (engine === undefined ? 0 : count(engine)), 0)
}

/** Calls that the same engines answer in a second when each is kept full directly, without agents. */
async function measureCapacity (deployment: TestKit.Deployment.Deployment): Promise<number> {
  const startedMs = performance.now()
  const keepCalling = async (port: number): Promise<number> => {
    let answeredCount = 0
    while (performance.now() - startedMs < CAPACITY_MS) {
      const reply = await TestKit.Caller.send({ port, path: '/', workspace: BURST_WORKSPACE, stream: true, body: draftOf(answeredCount) })
      if (reply.endVersion !== undefined) answeredCount++
    }
    return answeredCount * 1_000 / (performance.now() - startedMs)
  }
  const rates = await Promise.all(deployment.runners.flatMap(({ endpointPort }) => Array.from({ length: ENGINE_LIMIT_COUNT }, async () => await keepCalling(endpointPort))))
  return rates.reduce((total, rate) => total + rate, 0)
}

function draftOf (index: number): unknown {
  return { prompt: `Summarise weighbridge note ${index} for the quarterly landfill levy return.`, maxTokens: TOKEN_COUNT, stream: true }
}

function loadOf (deployment: TestKit.Deployment.Deployment, capacityPerSecond: number): TestKit.Load.LoadOptions {
  const makeCall = (index: number): TestKit.Load.LoadCall => ({ path: '/v1/drafts', stream: true, deadlineMs: CLIENT_DEADLINE_MS, body: draftOf(index) })
  const burstRate = capacityPerSecond * BURST_BASE_SHARE * BURST_FACTOR
  return {
    seed: SEED,
    durationMs: WARM_UP_MS + MEASURED_MS + FAULTS_MS,
    ports: deployment.gateways.map(gateway => gateway.process.port),
    workspaces: [
      { workspace: BURST_WORKSPACE, maxRatePerSecond: burstRate, rateShareAt: elapsedMs => elapsedMs < WARM_UP_MS / 2 ? 1 / BURST_FACTOR : 1, makeCall },
      ...Array.from({ length: OTHER_COUNT }, (_, index) => ({ workspace: `other-${index + 1}`, maxRatePerSecond: capacityPerSecond * OTHERS_SHARE / OTHER_COUNT, makeCall }))
    ]
  }
}

function figuresOf (records: readonly TestKit.Load.LoadRecord[], capacityPerSecond: number): Report.Figures {
  const during = (fromMs: number, untilMs: number) => (record: TestKit.Load.LoadRecord): boolean => record.dueAtMs >= fromMs && record.dueAtMs < untilMs
  const endsDuring = records.filter(record => record.verdict === 'ok' && record.dueAtMs + record.endMs >= WARM_UP_MS && record.dueAtMs + record.endMs < WARM_UP_MS + MEASURED_MS)
  const measured = records.filter(during(WARM_UP_MS, WARM_UP_MS + MEASURED_MS))
  const faulty = records.filter(during(WARM_UP_MS + MEASURED_MS, Infinity))
  const others = (some: readonly TestKit.Load.LoadRecord[]): TestKit.Load.LoadSummary => TestKit.Load.summarise(some.filter(record => record.workspace !== BURST_WORKSPACE))
  const burst = TestKit.Load.summarise(measured.filter(record => record.workspace === BURST_WORKSPACE))
  const whole = others(measured)
  return {
    comparedWith: 'the same engines, each kept full directly',
    capacityPerSecond: round(capacityPerSecond),
    offeredFactor: round(measured.length * 1_000 / MEASURED_MS / capacityPerSecond),
    goodputPerSecond: round(endsDuring.length * 1_000 / MEASURED_MS),
    goodputShare: round(endsDuring.length * 1_000 / MEASURED_MS / capacityPerSecond),
    goodputShareTarget: 0.95,
    othersSentCount: whole.sentCount,
    othersOkShare: round(whole.okShare),
    othersOkShareTarget: 0.999,
    othersCountByCode: whole.countByCode,
    othersFirstByteP99Ms: round(whole.firstByteP99Ms),
    burstOkShare: round(burst.okShare),
    burstCountByCode: burst.countByCode,
    burstRefusedP99Ms: round(burst.refusedP99Ms),
    faultsPhaseOthersOkShare: round(others(faulty).okShare),
    faultsPhaseOthersCountByCode: others(faulty).countByCode
  }
}

/** One endpoint, one agent, one gateway, each a process: what the path adds. */
async function runPath (): Promise<Report.Figures> {
  const main = Path.join(TestKit.Processes.ROOT, 'standins', 'main.ts')
  const startStandIn = async (args: readonly string[]): Promise<TestKit.Processes.Running> => await TestKit.Processes.start({ name: args[0] ?? '', args: ['--import', 'tsx', main, ...args] })
  const endpoint = await startStandIn(['plain'])
  const passThrough = await startStandIn(['passthrough', '--target-port', String(endpoint.port)])
  const deployment = await TestKit.Deployment.createDeployment({ shape: PATH_SHAPE, agentSettings: { endpoint: `127.0.0.1:${endpoint.port}` } })
  try {
    await deployment.commit(deployment.makeManifest('v1', SEED))
    await deployment.untilLive('v1', 20_000)
    const gateway = deployment.gateways[0]?.process
    const agent = deployment.runners[0]?.agent
    if (gateway === undefined || agent === undefined) throw new Error('the deployment has no gateway or agent')
    await measureRate(gateway.port, 2_000)
    const direct = await measureLatency(endpoint.port)
    const passed = await measureLatency(passThrough.port)
    const whole = await measureLatency(gateway.port)
    const passedRate = await measureCores(passThrough.port, [passThrough.pid])
    const wholeRate = await measureCores(gateway.port, [gateway.pid, agent.pid])
    return {
      pathComparedWith: 'a direct call, and a minimal Node http pass-through',
      directP50Ms: direct.p50Ms,
      directP99Ms: direct.p99Ms,
      passThroughAddedP50Ms: round(passed.p50Ms - direct.p50Ms),
      passThroughAddedP99Ms: round(passed.p99Ms - direct.p99Ms),
      pathAddedP50Ms: round(whole.p50Ms - direct.p50Ms),
      pathAddedP99Ms: round(whole.p99Ms - direct.p99Ms),
      passThroughRequestsPerSecondPerCore: round(passedRate.perCore),
      pathRequestsPerSecondPerCore: round(wholeRate.perCore),
      passThroughRequestsPerSecond: round(passedRate.perSecond),
      pathRequestsPerSecond: round(wholeRate.perSecond)
    }
  } finally {
    await deployment.stop()
    await passThrough.kill()
    await endpoint.kill()
  }
}

const PATH_CALL: TestKit.Load.LoadCall = { path: '/portal', body: { page: 'levy-calendar', quarter: '2026-Q4' }, headers: { accept: 'application/json' } }

async function measureLatency (port: number): Promise<{ readonly p50Ms: number, readonly p99Ms: number }> {
  const records = await TestKit.Load.run({ seed: SEED, durationMs: PATH_MS, ports: [port], workspaces: [{ workspace: 'member', maxRatePerSecond: PATH_RATE_PER_SECOND, makeCall: () => PATH_CALL }] })
  const latenciesMs = records.filter(record => record.verdict === 'ok').map(record => record.endMs).sort((a, b) => a - b)
  if (latenciesMs.length < records.length) throw new Error(`${records.length - latenciesMs.length} of ${records.length} calls failed`)
  const at = (share: number): number => round(latenciesMs[Math.floor(latenciesMs.length * share)] ?? 0)
  return { p50Ms: at(0.5), p99Ms: at(0.99) }
}

async function measureCores (port: number, pids: readonly number[]): Promise<{ readonly perCore: number, readonly perSecond: number }> {
  const used = (): number => pids.reduce((total, pid) => total + TestKit.Cpu.usedSeconds(pid), 0)
  const before = used()
  const answeredCount = await measureRate(port, PATH_MS)
  return { perCore: answeredCount / (used() - before), perSecond: answeredCount * 1_000 / PATH_MS }
}

async function measureRate (port: number, durationMs: number): Promise<number> {
  const untilMs = performance.now() + durationMs
  let answeredCount = 0
  await Promise.all(Array.from({ length: PATH_CONCURRENT_COUNT }, async () => {
    while (performance.now() < untilMs) {
      const reply = await TestKit.Caller.send({ port, path: '/portal', workspace: 'member', body: PATH_CALL.body })
      if (reply.status === 200) answeredCount++
    }
  }))
  return answeredCount
}

function round (value: number): number {
  return Math.round(value * 10_000) / 10_000
}
