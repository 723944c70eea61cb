import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 10_000
/** Time over which reads are counted, in milliseconds. */
const COUNT_MS = 3_000

describe('a store that comes back from an older copy', () => {
  let stage: Direct.DirectStage
  const NAMES = ['g1', 'g2', 'g3', 'g4']
  let gateways: readonly Direct.StartedGateway[] = []
  const runners = ['e1', 'e2'].map(instanceId => ({ instanceId, service: 'llm', eventMs: 5, eventCount: 3 }))
  const runnerOf = (at: number): Direct.DirectStage['runners'][number] => stage.runners[at] ?? (() => { throw new Error('no such endpoint') })()
  const all = (sentence: string, count = 1): boolean => gateways.every(gateway => gateway.lines.filter(line => line.sentence === sentence).length >= count)
  const restored = async (): Promise<void> => {
    const isReadAnew = (gateway: Direct.StartedGateway, table: string): boolean => gateway.lines.some(({ sentence, fields }) => sentence === 'Store restored from an older copy.' && fields['table'] === table && fields['era'] === stage.store.faults.era)
    await TestKit.Wait.until('all tables are read anew', TIMEOUT_MS, () => gateways.every(gateway => ['op', 'servers', Follow.Members.MEMBERS_TABLE].every(table => isReadAnew(gateway, table))))
  }
  const endpointsUsed = async (): Promise<ReadonlySet<string>> => {
    const before = stage.runners.map(runner => runner.ran.length)
    await Promise.all(gateways.flatMap(gateway => Array.from({ length: 4 }, async () => await gateway.call())))
    return new Set(stage.runners.flatMap((runner, at) => runner.ran.length > (before[at] ?? 0) ? [runner.instanceId] : []))
  }

  beforeEach(async () => {
    stage = await Direct.startDirectStage(runners)
    stage.store.faults.era = 7
    gateways = [stage.first, ...await Promise.all(NAMES.slice(1).map(async name => await stage.addGateway(name)))]
    await TestKit.Wait.until('the gateways know the deployment', TIMEOUT_MS, () => all('Deployment in force.') && all('Endpoint listed.', 2))
    await TestKit.Wait.until('the gateways are listed', TIMEOUT_MS, () => stage.store.rows(Follow.Members.MEMBERS_TABLE).length === NAMES.length)
  })
  afterEach(async () => { await stage.stop() })

  it('is not asked again and again', async () => {
    await TestKit.Wait.sleep(1_500)
    const calmBefore = stage.store.reads.length + stage.store.goneCount()
    await TestKit.Wait.sleep(COUNT_MS)
    const calm = stage.store.reads.length + stage.store.goneCount() - calmBefore
    const restore = stage.store.copy()
    for (let at = 0; at < 30; at++) stage.store.put('op', `evacuate/z${at}`, {})
    await TestKit.Wait.until('all writes are read', TIMEOUT_MS, () => all('Zone taken out of service.', 30))
    restore()
    await restored()
    await TestKit.Wait.sleep(1_000)
    const before = stage.store.reads.length + stage.store.goneCount()
    await TestKit.Wait.sleep(COUNT_MS)
    expect(stage.store.reads.length + stage.store.goneCount() - before).toBeLessThanOrEqual(2 * calm)
  })

  it('has its changes of endpoints followed, although their revisions went back', async () => {
    const restore = stage.store.copy()
    for (let at = 0; at < 30; at++) stage.store.put('servers', 'other', { at })
    await TestKit.Wait.sleep(1_000)
    restore()
    await restored()
    stage.store.drop('servers', 'e2')
    await TestKit.Wait.until('the endpoint is gone', TIMEOUT_MS, () => all('Endpoint no longer listed.'))
    await TestKit.Wait.sleep(Follow.Restores.RESTORE_GRACE_MS)
    expect([...await endpointsUsed()]).toEqual(['e1'])
    stage.list(runnerOf(1))
    await TestKit.Wait.until('the endpoint is back', TIMEOUT_MS, () => all('Endpoint listed.', 3))
    expect([...await endpointsUsed()].sort()).toEqual(['e1', 'e2'])
  })

  it('does not bring back an endpoint that was removed since, nor end the drain of one, on its word alone', async () => {
    const restore = stage.store.copy()
    stage.store.drop('servers', 'e2')
    await TestKit.Wait.until('the endpoint is gone', TIMEOUT_MS, () => all('Endpoint no longer listed.'))
    restore()
    await restored()
    expect([...await endpointsUsed()]).toEqual(['e1'])
    stage.store.drop('servers', 'e2')
    await TestKit.Wait.sleep(Follow.Restores.RESTORE_GRACE_MS)
    expect([...await endpointsUsed()]).toEqual(['e1'])
  })

  it('keeps zones out of service, newer deployments and named versions in force that it lost', async () => {
    const restore = stage.store.copy()
    stage.store.put('op', 'evacuate/a', {})
    stage.deploy({ version: 2 })
    stage.store.put('op', 'version/m', { model: 'm', version: 2 })
    await TestKit.Wait.until('the changes are in force', TIMEOUT_MS, () => all('Zone taken out of service.') && all('Deployment in force.', 2) && all('Version named.'))
    restore()
    await restored()
    expect([gateways.flatMap(gateway => gateway.lines).some(line => line.sentence === 'Zone back in service.'), [...await endpointsUsed()]]).toEqual([false, []])
    stage.store.put('op', 'evacuate/a', {})
    await TestKit.Wait.sleep(Follow.Restores.RESTORE_GRACE_MS)
    expect(gateways.flatMap(gateway => gateway.lines).filter(line => line.sentence === 'Zone back in service.' || (line.sentence === 'Deployment in force.' && line.fields['version'] === 1 && line.fields['versionBefore'] !== undefined))).toEqual([])
    stage.store.drop('op', 'evacuate/a')
    await TestKit.Wait.until('the zone is back', TIMEOUT_MS, () => all('Zone back in service.'))
  })

  it('gets the entries of processes that it lost again, once each', async () => {
    const restore = stage.store.copy()
    const added = await stage.addGateway('late')
    gateways = [...gateways, added]
    const isListed = (): boolean => stage.store.rows(Follow.Members.MEMBERS_TABLE).some(({ key }) => key === 'late')
    await TestKit.Wait.until('the gateway is listed', TIMEOUT_MS, isListed)
    await TestKit.Wait.until('the gateway follows all tables', TIMEOUT_MS, () => all('Deployment in force.'))
    await TestKit.Wait.sleep(1_500)
    restore()
    expect(isListed()).toEqual(false)
    await TestKit.Wait.until('the gateway is listed again', TIMEOUT_MS, isListed)
    await restored()
    expect(gateways.map(gateway => gateway.lines.filter(line => line.sentence === 'Entry lost by the store.').length)).toEqual([0, 0, 0, 0, 1])
  })

  it('is followed through a second return while the first is read', async () => {
    const restore = stage.store.copy()
    stage.store.put('op', 'evacuate/a', {})
    await TestKit.Wait.until('the zone is out of service', TIMEOUT_MS, () => all('Zone taken out of service.'))
    restore()
    await TestKit.Wait.sleep(500)
    restore()
    await restored()
    await TestKit.Wait.until('the zone is back, as nobody takes it out again', TIMEOUT_MS, () => all('Zone back in service.'))
    stage.deploy({ version: 5 })
    await TestKit.Wait.until('the next change is in force', TIMEOUT_MS, () => all('Deployment in force.', 2))
  })
})
