import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Follow from '../src/follow/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Store from '../platform/store.ts'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 10_000
const NAME = 'p1'
let store: PlatformStore.PlatformStore

interface StartedProcess {
  readonly node: Follow.Node.Node
  readonly lines: readonly Schemas.LogLines.LogLine[]
  /** Stops further requests of the process from reaching the store, as if it had been killed. */
  kill: () => void
}

/** Starts the process; each start listens on another port, so that an earlier one may still run. */
const start = async (): Promise<StartedProcess> => {
  const deadPort = await Direct.freePort()
  const lines: Schemas.LogLines.LogLine[] = []
  let killed = false
  const node = await Follow.Node.open({
    name: NAME,
    host: '127.0.0.1',
    port: await Direct.freePort(),
    zone: 'a',
    region: 'ra',
    seeds: () => [],
    store: Store.createRowSource(() => ({ host: '127.0.0.1', port: killed ? deadPort : store.port })),
    clock: () => performance.now(),
    random: Core.Random.createRandom(1),
    metrics: Metrics.createMetrics(),
    log: (prefix, sentence, fields = {}) => { lines.push(Direct.lineOf('gateway', NAME, prefix, sentence, fields)) }
  }, { kind: 'gateway' })
  return { node, lines, kill: () => { killed = true } }
}
const listedIncarnations = (): string[] => store.rows(Follow.Members.MEMBERS_TABLE).map(row => (row.value as Follow.Members.Member).incarnation)
const isListed = (started: StartedProcess): boolean => listedIncarnations().includes(started.node.incarnation)
const untilListed = async (started: StartedProcess): Promise<void> => { await TestKit.Wait.until('the entry is written', TIMEOUT_MS, () => isListed(started)) }

describe('the entry of a process', () => {
  const startedProcesses: StartedProcess[] = []
  const closed = new Set<StartedProcess>()
  const close = async (started: StartedProcess): Promise<void> => {
    closed.add(started)
    await started.node.close()
  }
  const startTracked = async (): Promise<StartedProcess> => {
    const started = await start()
    startedProcesses.push(started)
    return started
  }
  beforeEach(async () => { store = await PlatformStore.startPlatformStore() })
  afterEach(async () => {
    for (const started of startedProcesses.splice(0)) if (!closed.has(started)) await started.node.close()
    closed.clear()
    await store.close()
  })

  it('stays when the removal by the previous start is carried out late', async () => {
    const previous = await startTracked()
    await untilListed(previous)
    store.faults.holdsTransactions = true
    await close(previous)
    store.faults.holdsTransactions = false
    const next = await startTracked()
    await untilListed(next)
    expect(store.carryOutHeld()).toEqual(1)
    expect(listedIncarnations()).toEqual([next.node.incarnation])
  })

  it('stays when a write by the previous start is carried out late', async () => {
    store.faults.holdsTransactions = true
    const previous = await startTracked()
    await TestKit.Wait.until('the write has arrived', TIMEOUT_MS, () => store.heldCount() > 0)
    previous.kill()
    store.faults.holdsTransactions = false
    const next = await startTracked()
    await untilListed(next)
    store.carryOutHeld()
    expect(listedIncarnations()).toEqual([next.node.incarnation])
  })

  it('is logged in lines of the documented form when the store does not accept it', async () => {
    store.faults.down = true
    const only = await startTracked()
    await TestKit.Wait.until('the log line', TIMEOUT_MS, () => only.lines.length > 0)
    await close(only)
    Direct.checkLines(only.lines)
    expect([...new Set(only.lines.map(line => line.msg))]).toEqual(['store: Entry not written.', 'store: Entry not removed.'])
  })

  it('replaces the one that a killed start left', async () => {
    const previous = await startTracked()
    await untilListed(previous)
    previous.kill()
    const next = await startTracked()
    await untilListed(next)
    expect(listedIncarnations()).toEqual([next.node.incarnation])
  })

  it('is removed on close although its write was not answered', async () => {
    store.faults.holdsTransactions = true
    const only = await startTracked()
    await TestKit.Wait.until('the write has arrived', TIMEOUT_MS, () => store.heldCount() > 0)
    store.carryOutHeld()
    store.faults.holdsTransactions = false
    expect(isListed(only)).toEqual(true)
    await close(only)
    expect(listedIncarnations()).toEqual([])
  })
})
