/**
 * Commits under load: seconds until a manifest is in force in every process, reverts, store reads.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as TestKit from '../testkit/index.ts'
import type * as Report from './report.ts'
import * as Fleet from './support/fleet.ts'

const SEED = 1
const POLL_MS = 500
const COMMIT_COUNT = 40
const COMMIT_INTERVAL_MS = 300
const FORCE_LIMIT_MS = 15_000
const RESTART_COUNT = 4
const READ_WINDOW_MS = 6_000
const CALLS_PER_SECOND = 100
/** Gateways in each of six zones and agents in all. */
const SIZES = [[1, 18], [2, 48], [3, 96]] as const

/** What the log lines of one process's life tell. */
interface Life {
  readonly running: TestKit.Processes.Running
  /** When it was first seen to listen, on the same clock. */
  readonly bornAtMs: number
  /** When each version came into force, on the bench's monotonic clock in milliseconds. */
  readonly forcedAtMs: Map<number, number>
  highestVersion: number
  revertCount: number
  /** The version in force when the process became ready. */
  learntVersion: number | undefined
}

/**
 * Runs the bench.
 *
 * @param _args - Not used.
 * @returns Seconds in force everywhere, reverts, and reads of the store by number of processes.
 */
export async function run (_args: readonly string[]): Promise<Report.Figures> {
  const storeReads: Array<{ processCount: number, readsPerSecond: number }> = []
  for (const [gatewaysPerZone, agentCount] of SIZES.slice(0, -1)) {
    const fleet = await Fleet.createFleet(gatewaysPerZone, agentCount, POLL_MS)
    storeReads.push(await measureReads(fleet))
    await fleet.deployment.stop()
  }
  const [gatewaysPerZone, agentCount] = SIZES[SIZES.length - 1] ?? [0, 0]
  const fleet = await Fleet.createFleet(gatewaysPerZone, agentCount, POLL_MS)
  try {
    storeReads.push(await measureReads(fleet))
    const lives = new Map<TestKit.Processes.Running, Life>()
    follow(fleet, lives)
    const load = startLoad(fleet)
    const steady = await commitSeries(fleet, lives, COMMIT_COUNT, async () => {})
    const restarted = await commitSeries(fleet, lives, RESTART_COUNT, async index => { await restart(fleet, lives, index) })
    const newest = highestOf(lives)
    fleet.deployment.table.setFaults({ down: true })
    const restartedWithoutStore = await restartAndLearn(fleet, lives)
    const refusedWhileDown = await fleet.commit(1, 'while-down') === undefined
    fleet.deployment.table.setFaults({})
    const calls = await load.stop()
    return {
      seed: SEED,
      processCount: fleet.processes().length,
      pollMs: POLL_MS,
      ...namesOf('inForceEverywhere', steady),
      ...namesOf('inForceEverywhereWithRestarts', restarted),
      inForceEverywhereSecondsTarget: 7,
      inForceEverywhereP99SecondsTarget: 2,
      reverts: [...lives.values()].reduce((sum, life) => sum + life.revertCount, 0),
      revertsTarget: 0,
      restartsWithStoreDown: restartedWithoutStore.length,
      readyWithStoreDownSecondsMax: Math.max(...restartedWithoutStore.map(entry => entry.seconds)),
      oldWhenReadyWithStoreDown: restartedWithoutStore.filter(entry => entry.version !== newest).length,
      commitRefusedWhileStoreDown: refusedWhileDown,
      callsPerSecond: CALLS_PER_SECOND,
      callsOk: calls.okCount,
      callsNotOk: calls.otherCount,
      storeReads,
      storeReadsPerSecondBudget: 2_000
    }
  } finally {
    await fleet.deployment.stop()
  }
}

async function measureReads (fleet: Fleet.Fleet): Promise<{ processCount: number, readsPerSecond: number }> {
  await TestKit.Wait.sleep(2_000)
  const before = fleet.deployment.table.counts().readCount
  await TestKit.Wait.sleep(READ_WINDOW_MS)
  const readsPerSecond = (fleet.deployment.table.counts().readCount - before) * 1_000 / READ_WINDOW_MS
  return { processCount: fleet.processes().length, readsPerSecond: round(readsPerSecond) }
}

/** Follows the log lines of each process that is not followed yet. */
function follow (fleet: Fleet.Fleet, lives: Map<TestKit.Processes.Running, Life>): void {
  for (const running of fleet.processes()) {
    if (lives.has(running)) continue
    const life: Life = { running, bornAtMs: performance.now(), forcedAtMs: new Map(), highestVersion: 0, revertCount: 0, learntVersion: undefined }
    lives.set(running, life)
    running.lines().forEach(line => { takeLine(life, line) })
    running.onLine(line => { takeLine(life, line) })
  }
}

function takeLine (life: Life, line: TestKit.Processes.LogLine): void {
  if (line.msg === 'control: Documents in force are known.') life.learntVersion = Number(line.manifest)
  if (line.msg !== 'control: Document in force.' || line.kind !== 'manifest') return
  const version = Number(line.version)
  if (version <= life.highestVersion) life.revertCount++
  life.highestVersion = Math.max(life.highestVersion, version)
  life.forcedAtMs.set(version, performance.now())
}

/** Commits a series and returns the seconds until each version, or a newer one, was in force in every process that ran at the commit. */
async function commitSeries (fleet: Fleet.Fleet, lives: Map<TestKit.Processes.Running, Life>, count: number, disturb: (index: number) => Promise<void>): Promise<number[]> {
  const random = Core.Random.createRandom(SEED)
  const commits: Array<{ version: number, startedAtMs: number }> = []
  for (let index = 0; index < count; index++) {
    const disturbed = disturb(index)
    const startedAtMs = performance.now()
    const version = await fleet.commit(random.below(1_000), `commit-${index}`)
    if (version !== undefined) commits.push({ version, startedAtMs })
    await disturbed
    follow(fleet, lives)
    await TestKit.Wait.sleep(COMMIT_INTERVAL_MS)
  }
  const newest = Math.max(...commits.map(commit => commit.version))
  await TestKit.Wait.until('the newest version everywhere', FORCE_LIMIT_MS, () => fleet.processes().every(running => (lives.get(running)?.highestVersion ?? 0) >= newest))
  return commits.map(({ version, startedAtMs }) => Math.max(...fleet.processes().flatMap(running => lives.get(running) ?? []).filter(life => life.bornAtMs <= startedAtMs).map(life => secondsUntil(life, version, startedAtMs))))
}

function secondsUntil (life: Life, version: number, startedAtMs: number): number {
  const atMs = [...life.forcedAtMs].filter(([held]) => held >= version).map(([, forcedAtMs]) => forcedAtMs)
  return (Math.min(...atMs) - startedAtMs) / 1_000
}

async function restart (fleet: Fleet.Fleet, lives: Map<TestKit.Processes.Running, Life>, index: number): Promise<void> {
  const { runners, gateways } = fleet.deployment
  const runner = runners[index * 7 % runners.length]
  const gateway = gateways[(index * 5 + 1) % gateways.length]
  if (runner !== undefined) await fleet.deployment.restartAgent(runner)
  if (gateway !== undefined && index % 2 === 0) await fleet.deployment.restartGateway(gateway)
  follow(fleet, lives)
}

/** Restarts processes while the store is down and waits until each is ready. */
async function restartAndLearn (fleet: Fleet.Fleet, lives: Map<TestKit.Processes.Running, Life>): Promise<Array<{ seconds: number, version: number }>> {
  const results: Array<{ seconds: number, version: number }> = []
  for (let index = 0; index < RESTART_COUNT; index++) {
    const runner = fleet.deployment.runners[(index * 11 + 3) % fleet.deployment.runners.length]
    if (runner === undefined) continue
    await fleet.deployment.restartAgent(runner)
    follow(fleet, lives)
    const waitedMs = await TestKit.Wait.until('ready without the store', FORCE_LIMIT_MS, async () => await Fleet.isReady(runner.agent))
    await TestKit.Wait.until('the line that tells what was learnt', FORCE_LIMIT_MS, () => lives.get(runner.agent)?.learntVersion !== undefined)
    results.push({ seconds: round(waitedMs / 1_000), version: lives.get(runner.agent)?.learntVersion ?? 0 })
  }
  return results
}

/** Sends calls in turn to every gateway until stopped. */
function startLoad (fleet: Fleet.Fleet): { stop: () => Promise<{ okCount: number, otherCount: number }> } {
  const counts = { okCount: 0, otherCount: 0 }
  const pending = new Set<Promise<void>>()
  let index = 0
  const call = async (): Promise<void> => {
    const port = fleet.deployment.gateways[index++ % fleet.deployment.gateways.length]?.process.port ?? 0
    const reply = await TestKit.Caller.send({ port, method: 'GET', path: '/filings', workspace: 'operator-1' }).catch(() => undefined)
    if (reply?.status === 200) counts.okCount++
    else counts.otherCount++
  }
  const timer = setInterval(() => {
    const sent = call()
    pending.add(sent)
    void sent.finally(() => { pending.delete(sent) })
  }, 1_000 / CALLS_PER_SECOND)
  return {
    stop: async () => {
      clearInterval(timer)
      await Promise.all(pending)
      return counts
    }
  }
}

function highestOf (lives: Map<TestKit.Processes.Running, Life>): number {
  return Math.max(...[...lives.values()].map(life => life.highestVersion))
}

function namesOf (prefix: string, seconds: readonly number[]): Report.Figures {
  const sorted = [...seconds].sort((a, b) => a - b)
  const at = (share: number): number => round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? NaN)
  return { [`${prefix}CommitCount`]: sorted.length, [`${prefix}P50Seconds`]: at(0.5), [`${prefix}P99Seconds`]: at(0.99), [`${prefix}MaxSeconds`]: at(1) }
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
