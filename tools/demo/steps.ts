/**
 * The steps of the demo. Each one holds or throws.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import * as TestKit from '../../testkit/index.ts'
import * as System from './system.ts'
import * as Traffic from './traffic.ts'

/** A step of the demo. */
export interface Step {
  readonly title: string
  /** Runs the step; returns its figures, and throws when it does not hold. */
  run: (system: System.System, print: (line: string) => void) => Promise<string>
}

interface Report {
  readonly instanceId: string
  readonly zone: string
  readonly state: string
  readonly modelVersion?: string
  readonly heldChunkCount: number
  readonly wantedChunkCount: number
}

const WEIGHT_SIZE_BYTES = 8 * 1024 * 1024
const CHUNK_SIZE_BYTES = 256 * 1024
const LIVE_LIMIT_MS = 40_000
const PROGRESS_MS = 1_000
const DRAIN_LIMIT_MS = 3_000
const TRAFFIC_PER_SECOND = 20

/** The steps in order. */
export const STEPS: readonly Step[] = [
  { title: 'Commit a manifest; weights arrive and endpoints go live', run: async (system, print) => await rollOut(system, print, 'v1', 1) },
  { title: 'Calls stream through every gateway', run: streamCalls },
  { title: 'A submission made twice is run once', run: submitTwice },
  { title: 'A zone is taken out and brought back under traffic', run: drainZone },
  { title: 'A new version arrives under traffic', run: upgrade },
  { title: 'A broken manifest changes nothing', run: refuseBroken }
]

async function rollOut (system: System.System, print: (line: string) => void, version: string, seed: number): Promise<string> {
  const made = await System.request(system.origin.port, 'POST', '/weights/make', { seed, sizeBytes: WEIGHT_SIZE_BYTES, chunkSizeBytes: CHUNK_SIZE_BYTES }) as { digest: string, sizeBytes: number }
  const sentBefore = await sentBytes(system)
  const committed = await commit(system, TestKit.Manifests.makeManifest(system.shape, { version, ...made }))
  print(committed.trim())
  const startedMs = performance.now()
  let printedMs = startedMs
  const liveMs = await TestKit.Wait.until(`version ${version} live`, LIVE_LIMIT_MS, async () => {
    const reports = await reportsOf(system)
    if (performance.now() - printedMs > PROGRESS_MS) {
      printedMs = performance.now()
      print(progressOf(reports, version))
    }
    return reports.length === system.runners.length && reports.every(report => report.state === 'live' && (report.wantedChunkCount === 0 || report.modelVersion === version))
  })
  const originCopies = (await sentBytes(system) - sentBefore) / WEIGHT_SIZE_BYTES
  return `${system.runners.length} endpoints live in ${(liveMs / 1000).toFixed(1)} s, ${originCopies.toFixed(2)} copies from the origin`
}

async function streamCalls (system: System.System): Promise<string> {
  const counts = Traffic.createCounts()
  const startedMs = performance.now()
  await Promise.all(Array.from({ length: 30 }, async (_, index) => { await Traffic.callOnce(system, index, counts) }))
  expectThat(counts.answeredCount === 30, `answered ${counts.answeredCount} of 30: ${counts.firstProblem ?? `${counts.refusedCount} refused`}`)
  return `30 streams whole, token by token, in ${Math.round(performance.now() - startedMs)} ms; cold endpoints told ${counts.retriedCount} callers to come back`
}

async function submitTwice (system: System.System): Promise<string> {
  const service = system.shape.services.find(candidate => candidate.routes.some(route => !route.idempotent))
  const route = service?.routes.find(candidate => !candidate.idempotent)
  const key = `submission-${Crypto.randomUUID()}`
  const send = async (index: number): Promise<TestKit.Caller.Reply> => await TestKit.Caller.send({
    port: system.gateways[index]?.process.port ?? 0,
    path: route?.path ?? '/',
    workspace: system.shape.workspaces[0]?.name ?? '',
    key,
    body: { return: '2026-11', tons: 12 }
  })
  const first = await send(0)
  const again = await send(1)
  expectThat(first.status === 200 && again.status === 200, `statuses ${first.status} and ${again.status}`)
  expectThat(again.text === first.text, 'the second answer differs')
  const runners = system.runners.filter(runner => runner.service === service)
  const counts = await Promise.all(runners.map(async runner => (await System.request(runner.endpoint.port, 'GET', '/executions') as Record<string, number>)[key] ?? 0))
  const total = counts.reduce((sum, count) => sum + count, 0)
  expectThat(total === 1, `run ${total} times`)
  return 'sent through two gateways, run 1 time, answered alike'
}

async function drainZone (system: System.System, print: (line: string) => void): Promise<string> {
  const warned = await system.ctl(['zone', 'drain', system.shape.zones[0]?.name ?? ''])
  expectThat(warned.code !== 0, 'a zone with the only endpoint of a service was taken out without a warning')
  print(warned.stderr.trim())
  const zone = system.shape.zones[1]?.name ?? ''
  const engines = system.runners.filter(runner => runner.place.zone === zone && runner.service.kind === 'engine')
  const startedCount = async (): Promise<number> => {
    const loads = await Promise.all(engines.map(async runner => await System.request(runner.endpoint.port, 'GET', '/load') as { startedCount: number }))
    return loads.reduce((sum, load) => sum + load.startedCount, 0)
  }
  const traffic = Traffic.startTraffic(system, TRAFFIC_PER_SECOND)
  await TestKit.Wait.sleep(1_500)
  const drained = await system.ctl(['zone', 'drain', zone])
  expectThat(drained.code === 0, drained.stdout + drained.stderr)
  print(drained.stdout.trim())
  await TestKit.Wait.sleep(DRAIN_LIMIT_MS)
  const atLimit = await startedCount()
  await TestKit.Wait.sleep(3_000)
  const later = await startedCount()
  expectThat(later === atLimit, `${later - atLimit} calls reached the zone more than ${DRAIN_LIMIT_MS} ms after it was taken out`)
  const restored = await system.ctl(['zone', 'restore', zone])
  expectThat(restored.code === 0, restored.stdout + restored.stderr)
  print(restored.stdout.trim())
  await TestKit.Wait.until('the zone gets work again', 10_000, async () => await startedCount() > later)
  const counts = await traffic.stop()
  expectThat(counts.brokenCount === 0, `${counts.brokenCount} calls broken: ${counts.firstProblem ?? ''}`)
  expectThat(counts.refusedCount === 0, `${counts.refusedCount} calls refused`)
  return `${counts.answeredCount} of ${counts.sentCount} calls answered, 0 new in the zone after ${DRAIN_LIMIT_MS / 1000} s, 0 cut`
}

async function upgrade (system: System.System, print: (line: string) => void): Promise<string> {
  const traffic = Traffic.startTraffic(system, TRAFFIC_PER_SECOND)
  const rolledOut = await rollOut(system, print, 'v2', 2)
  const counts = await traffic.stop()
  expectThat(counts.brokenCount === 0, `${counts.brokenCount} calls broken: ${counts.firstProblem ?? ''}`)
  expectThat(counts.refusedCount === 0, `${counts.refusedCount} calls refused`)
  return `${rolledOut}; ${counts.answeredCount} of ${counts.sentCount} calls answered meanwhile, none mixed`
}

async function refuseBroken (system: System.System): Promise<string> {
  const before = await system.ctl(['manifest', 'show', '--json'])
  const file = Path.join(Os.tmpdir(), `fescuespread-broken-${process.pid}.json`)
  Fs.writeFileSync(file, '{\n  "name": "broken",\n  "zones": [{ "name": "kartli" }]\n}\n')
  const refused = await system.ctl(['manifest', 'commit', file])
  Fs.rmSync(file)
  expectThat(refused.code === 2, `exit code ${refused.code}`)
  const after = await system.ctl(['manifest', 'show', '--json'])
  expectThat(before.stdout === after.stdout, 'the manifest in force changed')
  return `exit code 2: ${refused.stderr.split('\n')[0]?.replace(file, 'broken.json') ?? ''}`
}

async function commit (system: System.System, manifest: unknown): Promise<string> {
  const file = Path.join(Os.tmpdir(), `fescuespread-demo-${process.pid}.json`)
  Fs.writeFileSync(file, JSON.stringify(manifest, null, 2))
  const finished = await system.ctl(['manifest', 'commit', file])
  Fs.rmSync(file)
  expectThat(finished.code === 0, finished.stdout + finished.stderr)
  return finished.stdout
}

async function reportsOf (system: System.System): Promise<Report[]> {
  const status = await system.ctl(['status', '--json'])
  return (JSON.parse(status.stdout) as { endpoints: Report[] }).endpoints
}

async function sentBytes (system: System.System): Promise<number> {
  return (await System.request(system.origin.port, 'GET', '/sent') as { sentBytes: number }).sentBytes
}

function progressOf (reports: readonly Report[], version: string): string {
  const engines = reports.filter(report => report.wantedChunkCount > 0)
  const held = engines.reduce((sum, report) => sum + report.heldChunkCount, 0)
  const wanted = engines.reduce((sum, report) => sum + report.wantedChunkCount, 0)
  const live = reports.filter(report => report.state === 'live' && report.modelVersion === version).length
  return `chunks ${held} of ${wanted}, ${live} engines live with ${version}`
}

function expectThat (holds: boolean, otherwise: string): void {
  if (!holds) throw new Error(otherwise)
}
