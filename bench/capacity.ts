/**
 * What control costs an idle gateway and an idle agent at three sizes, and at the size of two years from now.
 *
 * @packageDocumentation
 */
import * as ChildProcess from 'node:child_process'
import * as Fs from 'node:fs'
import * as V8 from 'node:v8'
import * as Vm from 'node:vm'
import * as Control from '../src/control/index.ts'
import * as Polls from '../src/control/systems/polls.ts'
import * as Core from '../src/core/index.ts'
import * as Edge from '../src/edge/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'
import type * as Report from './report.ts'
import * as Fleet from './support/fleet.ts'

const SEED = 1
const POLL_MS = 500
const SETTLE_MS = 6_000
const WINDOW_MS = 10_000
/** Gateways in each of six zones and agents in all. */
const SIZES = [[1, 24], [2, 48], [3, 72]] as const
const FUTURE = { gatewayCount: 370, agentCount: 1_500, instanceCount: 2_900, zoneCount: 6 } as const
const TARGETS = { cpuPercentTarget: 3.4, memoryOverBareMegabytesTarget: 32, kilobytesPerSecondTarget: 23 } as const
/** Paths that are not control: the operators' own questions, and what stays on the instance. */
const LOCAL_PATHS = ['metrics', 'ready', 'live', 'load']
const REPORT_PATHS = ['rpc/report']

type Role = 'gateway' | 'agent'

/** Bytes of both directions and exchanges, by path. */
interface Counts {
  readonly bytes: ReadonlyMap<string, number>
  readonly exchanges: ReadonlyMap<string, number>
}

/** What one process used in the window. */
interface Usage {
  readonly role: Role
  readonly watches: boolean
  readonly cpuPercent: number
  readonly memoryMegabytes: number
  /** What it counted in each second. */
  readonly perSecond: Counts
}

/** The mean of one role at one size. */
interface Point {
  readonly processCount: number
  readonly cpuPercent: number
  readonly memoryOverBareMegabytes: number
  readonly controlKilobytesPerSecond: number
  readonly listKilobytesPerSecond: number
  readonly reportKilobytesPerSecond: number
}

/**
 * Runs the bench.
 *
 * @param _args - Not used.
 * @returns The points, the fitted slopes and the values worked out from them.
 */
export async function run (_args: readonly string[]): Promise<Report.Figures> {
  const bareMegabytes = await measureBare()
  const points: Record<Role, Point[]> = { gateway: [], agent: [] }
  const all: Usage[] = []
  for (const [gatewaysPerZone, agentCount] of SIZES) {
    const fleet = await Fleet.createFleet(gatewaysPerZone, agentCount, POLL_MS)
    try {
      const usages = await measure(fleet)
      all.push(...usages)
      for (const role of ['gateway', 'agent'] as const) points[role].push(pointOf(usages.filter(usage => usage.role === role && !usage.watches), usages.length, bareMegabytes))
    } finally {
      await fleet.deployment.stop()
    }
  }
  return {
    seed: SEED,
    pollMs: POLL_MS,
    windowSeconds: WINDOW_MS / 1_000,
    bareNodeMegabytes: bareMegabytes,
    gatewayNotWatching: points.gateway,
    agentNotWatching: points.agent,
    watching: pointOf(all.filter(usage => usage.watches), all.length, bareMegabytes),
    gatewayWorkedOut: workOut(points.gateway),
    agentWorkedOut: workOut(points.agent),
    gatewayCpu: fitCpu(all.filter(usage => usage.role === 'gateway')),
    agentCpu: fitCpu(all.filter(usage => usage.role === 'agent')),
    perExchangeByPath: perExchange(all),
    ...TARGETS,
    ...measureTables()
  }
}

async function measure (fleet: Fleet.Fleet): Promise<Usage[]> {
  await TestKit.Wait.sleep(SETTLE_MS)
  const sample = async (): Promise<Array<{ running: TestKit.Processes.Running, atMs: number, cpuSeconds: number, counts: Counts }>> =>
    await Promise.all(fleet.processes().map(async running => ({ running, counts: await readCounts(running), atMs: performance.now(), cpuSeconds: TestKit.Cpu.usedSeconds(running.pid) })))
  const before = await sample()
  await TestKit.Wait.sleep(WINDOW_MS)
  const after = await sample()
  return after.map((end, index) => {
    const start = before[index] ?? end
    const seconds = (end.atMs - start.atMs) / 1_000
    const rates = (counts: (from: Counts) => ReadonlyMap<string, number>): Map<string, number> =>
      new Map([...counts(end.counts)].map(([path, total]): [string, number] => [path, (total - (counts(start.counts).get(path) ?? 0)) / seconds]))
    const perSecond: Counts = { bytes: rates(counts => counts.bytes), exchanges: rates(counts => counts.exchanges) }
    return {
      role: end.running.name.startsWith('gateway') ? 'gateway' : 'agent',
      watches: (perSecond.exchanges.get('scan') ?? 0) > 0.5,
      cpuPercent: 100 * (end.cpuSeconds - start.cpuSeconds) / seconds,
      memoryMegabytes: residentMegabytes(end.running.pid),
      perSecond
    }
  })
}

/** Reads what a process has counted, both sides and directions together, by path. */
async function readCounts (running: TestKit.Processes.Running): Promise<Counts> {
  const answer = await Edge.HttpClient.send({ target: { host: '127.0.0.1', port: running.port }, method: 'GET', path: '/metrics', timeoutMs: 5_000 })
  const sum = (pattern: RegExp): Map<string, number> => {
    const totals = new Map<string, number>()
    for (const [, path = '', value] of answer.body.toString().matchAll(pattern)) totals.set(path, (totals.get(path) ?? 0) + Number(value))
    return totals
  }
  return {
    bytes: sum(/^fescuespread_http_bytes\{side="\w+",path="([^"]*)",direction="\w+"\} (\d+)/gm),
    exchanges: sum(/^fescuespread_http_exchanges\{side="\w+",path="([^"]*)"\} (\d+)/gm)
  }
}

/** Fits the processor share of each process to the exchanges that it took part in. */
function fitCpu (usages: readonly Usage[]): Report.Figures {
  const exchangesOf = (usage: Usage): number => [...usage.perSecond.exchanges.values()].reduce((sum, rate) => sum + rate, 0)
  const { slope, intercept } = fit(usages.map(usage => [exchangesOf(usage), usage.cpuPercent]))
  const meanExchanges = usages.reduce((sum, usage) => sum + exchangesOf(usage), 0) / usages.length
  return { cpuPercentWithoutExchanges: round(intercept), cpuPercentPerExchangePerSecond: round(slope), meanExchangesPerSecond: round(meanExchanges) }
}

/** Tells for each path how often a process takes part in an exchange, and its bytes. */
function perExchange (usages: readonly Usage[]): Report.Figures {
  const paths = [...new Set(usages.flatMap(usage => [...usage.perSecond.exchanges.keys()]))].sort()
  const total = (of: (counts: Counts) => ReadonlyMap<string, number>, path: string): number => usages.reduce((sum, usage) => sum + (of(usage.perSecond).get(path) ?? 0), 0)
  return Object.fromEntries(paths.map(path => {
    const exchanges = total(counts => counts.exchanges, path)
    return [path, { exchangesPerProcessPerSecond: round(exchanges / usages.length), bytesPerExchange: Math.round(total(counts => counts.bytes, path) / exchanges) }]
  }))
}

function pointOf (usages: readonly Usage[], processCount: number, bareMegabytes: number): Point {
  const mean = (value: (usage: Usage) => number): number => usages.reduce((sum, usage) => sum + value(usage), 0) / usages.length
  const kilobytes = (usage: Usage, counts: (path: string) => boolean): number =>
    [...usage.perSecond.bytes].filter(([path]) => counts(path)).reduce((sum, [, bytes]) => sum + bytes, 0) / 1_000
  const isControl = (path: string): boolean => path !== 'instances' && !LOCAL_PATHS.includes(path) && !REPORT_PATHS.includes(path)
  return {
    processCount,
    cpuPercent: round(mean(usage => usage.cpuPercent)),
    memoryOverBareMegabytes: round(mean(usage => usage.memoryMegabytes) - bareMegabytes),
    controlKilobytesPerSecond: round(mean(usage => kilobytes(usage, isControl))),
    listKilobytesPerSecond: round(mean(usage => kilobytes(usage, path => path === 'instances'))),
    reportKilobytesPerSecond: round(mean(usage => kilobytes(usage, path => REPORT_PATHS.includes(path))))
  }
}

/** Fits a line through the points of each figure and reads it at the size of two years from now. */
function workOut (points: readonly Point[]): Report.Figures {
  const processCount = FUTURE.gatewayCount + FUTURE.agentCount
  const at = (value: (point: Point) => number): { slopePerProcess: number, atTwoYears: number } => {
    const { slope, intercept } = fit(points.map(point => [point.processCount, value(point)]))
    return { slopePerProcess: Number(slope.toPrecision(3)), atTwoYears: round(intercept + slope * processCount) }
  }
  return {
    cpuPercent: at(point => point.cpuPercent),
    memoryOverBareMegabytes: at(point => point.memoryOverBareMegabytes),
    controlKilobytesPerSecond: at(point => point.controlKilobytesPerSecond),
    reportKilobytesPerSecond: at(point => point.reportKilobytesPerSecond),
    listKilobytesPerSecondBoundWatcher: Polls.MAX_LIST_BYTES_PER_SECOND.watcher / 1_000,
    listKilobytesPerSecondBoundOther: Polls.MAX_LIST_BYTES_PER_SECOND.other / 1_000
  }
}

function fit (points: ReadonlyArray<readonly [number, number]>): { slope: number, intercept: number } {
  const meanOf = (index: 0 | 1): number => points.reduce((sum, point) => sum + point[index], 0) / points.length
  const meanX = meanOf(0)
  const meanY = meanOf(1)
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  return { slope, intercept: meanY - slope * meanX }
}

/** Measures the tables of control themselves at the size of two years from now, in this process. */
function measureTables (): Report.Figures {
  V8.setFlagsFromString('--expose_gc')
  const collect = Vm.runInNewContext('gc') as () => void
  const memberCount = FUTURE.gatewayCount + FUTURE.instanceCount
  const places = Array.from({ length: memberCount }, (_, index): Schemas.Platform.Instance => ({
    instanceId: `instance-${index}`, kind: index < FUTURE.gatewayCount ? 'gateway' : 'agent', zone: `zone-${index % FUTURE.zoneCount}`, region: `region-${index % 2}`, host: '10.0.0.1', port: 8080, service: 'filing-api', state: 'live'
  }))
  collect()
  const beforeBytes = process.memoryUsage().heapUsed
  const tables = Control.Tables.createTables({ instanceId: 'self', kind: 'agent', zone: 'zone-0', region: 'region-0', incarnation: '' }, POLL_MS, 1)
  const step = Core.Loop.createStepper<Control.Tables.Tables, Control.Messages.Input, Control.Messages.Command>(tables, Control.Systems.SYSTEMS, Core.Random.createRandom(SEED))
  step([{ kind: 'listRead', instances: structuredClone(places), sizeBytes: JSON.stringify(places).length }], 0)
  collect()
  const tableBytes = process.memoryUsage().heapUsed - beforeBytes
  const layoutMs = timeOf(5, () => { Control.Layout.createLayout(places) })
  const idleTickMs = timeOf(1_000, index => { step([], 1 + index) })
  return { tableMemberCount: memberCount, tableMegabytes: round(tableBytes / 1e6), layoutMilliseconds: round(layoutMs), idleTickMilliseconds: round(idleTickMs), listMegabytes: round(JSON.stringify(places).length / 1e6) }
}

function timeOf (count: number, work: (index: number) => void): number {
  const startedMs = performance.now()
  for (let index = 0; index < count; index++) work(index)
  return (performance.now() - startedMs) / count
}

async function measureBare (): Promise<number> {
  const child = ChildProcess.spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)'], { stdio: 'ignore' })
  await TestKit.Wait.sleep(1_000)
  const megabytes = residentMegabytes(child.pid ?? 0)
  child.kill('SIGKILL')
  return round(megabytes)
}

function residentMegabytes (pid: number): number {
  const [, kilobytes] = /VmRSS:\s+(\d+)/.exec(Fs.readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(kilobytes) * 1_024 / 1e6
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
