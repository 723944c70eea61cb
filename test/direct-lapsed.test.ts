import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Routing from '../src/routing/index.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_MS = 10_000
const UNLISTED = 'Endpoint no longer listed.'

describe('a gateway that the store still refuses when it answers others again', () => {
  let stage: Direct.DirectStage
  let cutOff: Direct.StartedGateway
  const entryOf = (): Direct.DirectStage['runners'][number] => stage.runners[0] as Direct.DirectStage['runners'][number]
  const count = (gateway: Pick<Direct.StartedGateway, 'lines'>, sentence: string): number => gateway.lines.filter(line => line.sentence === sentence).length
  const untilLost = async (gateway: Pick<Direct.StartedGateway, 'lines'>): Promise<void> => {
    await TestKit.Wait.until('the store is lost', LIMIT_MS, () => gateway.lines.some(line => line.sentence === 'Store lost.' && line.fields.table === 'servers'))
  }
  const cutOffFromStore = async (): Promise<void> => {
    cutOff.refuse(true)
    stage.store.cut()
    await untilLost(cutOff)
  }

  beforeEach(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    cutOff = await stage.addGateway('g2')
    for (const gateway of [stage, cutOff]) await TestKit.Wait.until('a call is served', LIMIT_MS, async () => (await gateway.call()).status === 200)
  })
  afterEach(async () => { await stage.stop() })

  it('keeps endpoints whose entries only lapsed meanwhile', async () => {
    stage.store.faults.down = true
    await cutOffFromStore()
    await untilLost(stage)
    stage.store.drop('servers', entryOf().instanceId)
    stage.store.faults.down = false
    await TestKit.Wait.until('the other gateway misses the entry', LIMIT_MS, () => count(stage, UNLISTED) > 0)
    stage.list({ ...entryOf(), instanceId: 'later' }, { backend: 'plain' })
    await TestKit.Wait.until('later rows come from the other gateway', LIMIT_MS, () => cutOff.lines.some(line => line.sentence === 'Endpoint listed.' && line.fields.endpointId === 'later'))
    expect([count(cutOff, UNLISTED), (await cutOff.call()).status]).toEqual([0, 200])
  })

  it('leaves them once they have not come back in time', async () => {
    stage.store.faults.down = true
    await cutOffFromStore()
    await untilLost(stage)
    stage.store.drop('servers', entryOf().instanceId)
    stage.store.faults.down = false
    await TestKit.Wait.until('the other gateway misses the entry', LIMIT_MS, () => count(stage, UNLISTED) > 0)
    for (const gateway of [stage, cutOff]) await TestKit.Wait.until('calls are refused', LIMIT_MS, async () => (await gateway.call()).status === 503)
  })

  it('hears of those that come back', async () => {
    stage.store.faults.down = true
    await cutOffFromStore()
    await untilLost(stage)
    stage.store.drop('servers', entryOf().instanceId)
    stage.store.faults.down = false
    await TestKit.Wait.until('the other gateway misses the entry', LIMIT_MS, () => count(stage, UNLISTED) > 0)
    stage.list(entryOf(), { cold_remaining_ms: 60_000 })
    await TestKit.Wait.until('the entry', LIMIT_MS, () => cutOff.lines.some(line => line.sentence === 'Rows taken from another process.' && line.fields.table === 'servers'))
    await TestKit.Wait.sleep(Routing.Endpoints.LAPSE_MS)
    expect((await cutOff.call()).status).toEqual(200)
  })

  it('leaves endpoints at once that are removed while the store answers others', async () => {
    await cutOffFromStore()
    // Only a read under way notices a cut.
    await TestKit.Wait.until('the store is lost', LIMIT_MS, () => {
      const isLost = stage.lines.some(line => line.sentence === 'Store lost.' && line.fields.table === 'servers')
      if (!isLost) stage.store.cut()
      return isLost
    })
    await TestKit.Wait.until('the store is back for the other gateway', LIMIT_MS, () => stage.lines.some(line => line.sentence === 'Store regained.' && line.fields.table === 'servers'))
    stage.pass(Routing.Endpoints.LAPSE_MS)
    stage.store.drop('servers', entryOf().instanceId)
    await TestKit.Wait.until('the endpoint is left', LIMIT_MS, () => count(cutOff, UNLISTED) > 0)
    expect([stage, cutOff].map(gateway => gateway.lines.find(line => line.sentence === UNLISTED)?.fields.lapsed)).toEqual([false, false])
  })
})
