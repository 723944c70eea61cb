import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Routing from '../src/routing/index.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 10_000
const UNLISTED_SENTENCE = 'Endpoint no longer listed.'

describe('a gateway that the store still refuses after it has started to answer others again', () => {
  let stage: Direct.DirectStage
  let isolatedGateway: Direct.StartedGateway
  const firstRunner = (): Direct.DirectStage['runners'][number] => stage.runners[0] as Direct.DirectStage['runners'][number]
  const countLines = (gateway: Pick<Direct.StartedGateway, 'lines'>, sentence: string): number => gateway.lines.filter(line => line.sentence === sentence).length
  const waitUntilStoreLost = async (gateway: Pick<Direct.StartedGateway, 'lines'>): Promise<void> => {
    await TestKit.Wait.until('the store is lost', TIMEOUT_MS, () => gateway.lines.some(line => line.sentence === 'Store lost.' && line.fields.table === 'servers'))
  }
  const isolateGateway = async (): Promise<void> => {
    isolatedGateway.refuse(true)
    stage.store.cut()
    await waitUntilStoreLost(isolatedGateway)
  }

  beforeEach(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    isolatedGateway = await stage.addGateway('g2')
    for (const gateway of [stage, isolatedGateway]) await TestKit.Wait.until('a call is served', TIMEOUT_MS, async () => (await gateway.call()).status === 200)
  })
  afterEach(async () => { await stage.stop() })

  it('keeps endpoints whose entries have only expired in the meantime', async () => {
    stage.store.faults.down = true
    await isolateGateway()
    await waitUntilStoreLost(stage)
    stage.store.drop('servers', firstRunner().instanceId)
    stage.store.faults.down = false
    await TestKit.Wait.until('the other gateway sees that the entry is missing', TIMEOUT_MS, () => countLines(stage, UNLISTED_SENTENCE) > 0)
    stage.list({ ...firstRunner(), instanceId: 'later' }, { backend: 'plain' })
    await TestKit.Wait.until('later rows come from the other gateway', TIMEOUT_MS, () => isolatedGateway.lines.some(line => line.sentence === 'Endpoint listed.' && line.fields.endpointId === 'later'))
    expect([countLines(isolatedGateway, UNLISTED_SENTENCE), (await isolatedGateway.call()).status]).toEqual([0, 200])
  })

  it('removes them if they are not listed again in time', async () => {
    stage.store.faults.down = true
    await isolateGateway()
    await waitUntilStoreLost(stage)
    stage.store.drop('servers', firstRunner().instanceId)
    stage.store.faults.down = false
    await TestKit.Wait.until('the other gateway sees that the entry is missing', TIMEOUT_MS, () => countLines(stage, UNLISTED_SENTENCE) > 0)
    for (const gateway of [stage, isolatedGateway]) await TestKit.Wait.until('calls are refused', TIMEOUT_MS, async () => (await gateway.call()).status === 503)
  })

  it('learns from another gateway which of them are listed again', async () => {
    stage.store.faults.down = true
    await isolateGateway()
    await waitUntilStoreLost(stage)
    stage.store.drop('servers', firstRunner().instanceId)
    stage.store.faults.down = false
    await TestKit.Wait.until('the other gateway sees that the entry is missing', TIMEOUT_MS, () => countLines(stage, UNLISTED_SENTENCE) > 0)
    stage.list(firstRunner(), { cold_remaining_ms: 60_000 })
    await TestKit.Wait.until('the entry', TIMEOUT_MS, () => isolatedGateway.lines.some(line => line.sentence === 'Rows taken from another process.' && line.fields.table === 'servers'))
    await TestKit.Wait.sleep(Routing.Endpoints.LAPSED_ENTRY_GRACE_MS)
    expect((await isolatedGateway.call()).status).toEqual(200)
  })

  it('removes endpoints at once that are deleted while the store answers others', async () => {
    await isolateGateway()
    // A cut is noticed only while a read is in progress.
    await TestKit.Wait.until('the store is lost', TIMEOUT_MS, () => {
      const isLost = stage.lines.some(line => line.sentence === 'Store lost.' && line.fields.table === 'servers')
      if (!isLost) stage.store.cut()
      return isLost
    })
    await TestKit.Wait.until('the store is back for the other gateway', TIMEOUT_MS, () => stage.lines.some(line => line.sentence === 'Store regained.' && line.fields.table === 'servers'))
    stage.pass(Routing.Endpoints.LAPSED_ENTRY_GRACE_MS)
    stage.store.drop('servers', firstRunner().instanceId)
    await TestKit.Wait.until('the endpoint is removed', TIMEOUT_MS, () => countLines(isolatedGateway, UNLISTED_SENTENCE) > 0)
    expect([stage, isolatedGateway].map(gateway => gateway.lines.find(line => line.sentence === UNLISTED_SENTENCE)?.fields.lapsed)).toEqual([false, false])
  })
})
