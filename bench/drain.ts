/**
 * A zone is taken out of service and brought back under traffic.
 *
 * Stated target: no new work in the zone 3 s after the command, no request cut. Compared with what the
 * remaining capacity explains: with `--load-share` above what the other zones bear, refusals are expected.
 *
 * @packageDocumentation
 */
import yargs from 'yargs'
import * as TestKit from '../testkit/index.ts'
import type * as Report from './report.ts'

const SEED = 11
const ZONE = 'imereti'
const TOKEN_MS = 5
const TOKEN_COUNT = 20
const WARM_UP_MS = 6_000
const DRAIN_AT_MS = 4_000
const RESTORE_AT_MS = 14_000
const DURATION_MS = 22_000
const SAMPLE_MS = 20
const LAST_NEW_WORK_TARGET_SECONDS = 3
const MS_PER_SECOND = 1_000

/** Runs the bench. */
export async function run (args: readonly string[]): Promise<Report.Figures> {
  const argv = yargs([...args])
    .option('load-share', { type: 'number', default: 0.4, describe: 'Offered load as a share of all zones\' capacity' })
    .option('store-slow-ms', { type: 'number', default: 0, describe: 'Delay of every answer of the table service' })
    .strict()
    .parseSync()
  const shape = TestKit.Shapes.CONSORTIUM
  const deployment = await TestKit.Deployment.createDeployment({ shape, logLevel: 'info', engine: { tokenMs: TOKEN_MS, coldMs: 500, coldCapacityCount: 2 }, plain: { workMs: 5 } })
  await deployment.commit(deployment.makeManifest('v1', 1))
  await deployment.untilLive('v1', 30_000)

  const callMs = TOKEN_MS * TOKEN_COUNT
  const engines = deployment.runners.filter(runner => runner.engine !== undefined)
  const capacityOf = (runners: typeof engines): number => runners.reduce((sum, runner) => sum + runner.service.maxConcurrentCount, 0) * MS_PER_SECOND / callMs
  const capacityPerSecond = capacityOf(engines)
  const remainingPerSecond = capacityOf(engines.filter(runner => runner.place.zone !== ZONE))
  const offeredPerSecond = capacityPerSecond * argv['load-share']
  const ports = deployment.gateways.map(gateway => gateway.process.port)
  const workspaces = shape.workspaces.map(workspace => ({
    workspace: workspace.name,
    maxRatePerSecond: offeredPerSecond / shape.workspaces.length,
    makeCall: (index: number): TestKit.Load.LoadCall => ({ path: '/v1/drafts', stream: true, deadlineMs: 5_000, body: { prompt: `${workspace.name} ${index}`, maxTokens: TOKEN_COUNT, stream: true } })
  }))
  await TestKit.Load.run({ seed: SEED, durationMs: WARM_UP_MS, ports, workspaces })

  const watched = deployment.runners.filter(runner => runner.place.zone === ZONE)
  const startedCount = (): number => watched.reduce((sum, runner) => sum + (runner.engine?.state().startedCount ?? [...(runner.plain?.executions().values() ?? [])].reduce((a, b) => a + b, 0)), 0)
  let lastSeenCount = startedCount()
  let lastNewWorkMs = 0
  let restoredMs = Infinity
  let firstWorkAfterRestoreMs: number | undefined
  const sampler = setInterval(() => {
    const count = startedCount()
    if (count === lastSeenCount) return
    lastSeenCount = count
    if (performance.now() < restoredMs) lastNewWorkMs = performance.now()
    else firstWorkAfterRestoreMs ??= performance.now()
  }, SAMPLE_MS)

  if (argv['store-slow-ms'] > 0) deployment.table.setFaults({ slowMs: argv['store-slow-ms'] })
  const startedMs = performance.now()
  const load = TestKit.Load.run({ seed: SEED + 1, durationMs: DURATION_MS, ports, workspaces })
  await TestKit.Wait.sleep(DRAIN_AT_MS)
  const commandMs = performance.now()
  const drained = await deployment.ctl(['zone', 'drain', ZONE, '--force'])
  const acceptedMs = performance.now()
  await TestKit.Wait.sleep(RESTORE_AT_MS - (performance.now() - startedMs))
  const lastNewWorkSeconds = (lastNewWorkMs - commandMs) / MS_PER_SECOND
  restoredMs = performance.now()
  const restored = await deployment.ctl(['zone', 'restore', ZONE])
  const records = await load
  clearInterval(sampler)
  const overloadCount = engines.reduce((sum, runner) => sum + (runner.engine?.state().overloadCount ?? 0), 0)
  await deployment.stop()

  const summary = TestKit.Load.summarise(records)
  const drainedSeconds = (restoredMs - commandMs) / MS_PER_SECOND
  return {
    seed: SEED,
    zone: ZONE,
    drainExitCode: drained.code,
    restoreExitCode: restored.code,
    storeSlowMs: argv['store-slow-ms'],
    offeredPerSecond,
    capacityPerSecond,
    remainingPerSecond,
    drainCommandSeconds: (acceptedMs - commandMs) / MS_PER_SECOND,
    lastNewWorkSeconds,
    lastNewWorkTargetSeconds: LAST_NEW_WORK_TARGET_SECONDS,
    cutRequests: summary.failedCount,
    cutRequestsTarget: 0,
    sentCount: summary.sentCount,
    okShare: summary.okShare,
    refusedOrFailed: summary.refusedCount + summary.failedCount,
    refusedExplainedByCapacity: Math.round(Math.max(0, offeredPerSecond - remainingPerSecond) * drainedSeconds),
    countByCode: summary.countByCode,
    engineOverloadCount: overloadCount,
    secondsFromRestoreToFirstWork: firstWorkAfterRestoreMs === undefined ? undefined : (firstWorkAfterRestoreMs - restoredMs) / MS_PER_SECOND,
    okShareEachSecond: shareEachSecond(records),
    drainAtSeconds: (commandMs - startedMs) / MS_PER_SECOND,
    restoreAtSeconds: (restoredMs - startedMs) / MS_PER_SECOND
  }
}

function shareEachSecond (records: readonly TestKit.Load.LoadRecord[]): number[] {
  return Array.from({ length: DURATION_MS / MS_PER_SECOND }, (_, second) => {
    const due = records.filter(record => Math.floor(record.dueAtMs / MS_PER_SECOND) === second)
    const share = due.filter(record => record.verdict === 'ok').length / Math.max(1, due.length)
    return Math.round(share * 1_000) / 1_000
  })
}
