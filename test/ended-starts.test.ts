import * as Dgram from 'node:dgram'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Follow from '../src/follow/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 10_000
const NOW_MS = 1_000
const REQUIREMENTS: Routing.Choice.CallRequirements = { service: Direct.ENGINE_SERVICE, model: 'm', promptTokens: 100, regions: [], triedIds: new Set() }

describe('recordOtherStart', () => {
  const excludedAfter = (bornAtMs: number | undefined, elapsedMs = 0): Readonly<Record<string, number>> => {
    const context = Direct.surroundingsOf([Direct.listingOf('e', { bornAtMs: 50 })])
    for (const row of context.endpoints.rows()) Routing.Endpoints.recordOtherStart(row, bornAtMs, NOW_MS)
    return Routing.Choice.countExcluded(REQUIREMENTS, context, NOW_MS + elapsedMs)
  }

  it('excludes an endpoint whose machine shows a later start', () => { expect(excludedAfter(51)).toEqual({ ended: 1 }) })

  it('does not exclude a start for good that only seems earlier, as its clock jumped back', () => { expect([excludedAfter(51, 4_000), excludedAfter(51, 5_000)]).toEqual([{ ended: 1 }, {}]) })

  it('takes no notice of an earlier start, the same one, or one that does not tell', () => {
    expect([49, 50, undefined].map(bornAtMs => excludedAfter(bornAtMs))).toEqual([{}, {}, {}])
  })

  it('does not outlast the entry of the later start', () => {
    const context = Direct.surroundingsOf([Direct.listingOf('e', { bornAtMs: 50 })])
    for (const row of context.endpoints.rows()) Routing.Endpoints.recordOtherStart(row, 51, NOW_MS)
    Routing.Endpoints.applyListing(context.endpoints, Direct.listingOf('e', { bornAtMs: 51 }), NOW_MS)
    expect(Routing.Choice.countExcluded(REQUIREMENTS, context, NOW_MS)).toEqual({})
  })
})

describe('an endpoint that started again while its old entry is still listed', () => {
  const stops: Array<() => Promise<void>> = []
  afterEach(async () => { for (const stop of stops.splice(0).reverse()) await stop() })
  const startStage = async (): Promise<Direct.DirectStage> => {
    const stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm', eventMs: 5, eventCount: 3 }])
    stops.push(stage.stop)
    await TestKit.Wait.until('the gateway knows the endpoint', TIMEOUT_MS, () => ['Deployment in force.', 'Endpoint listed.'].every(sentence => stage.lines.some(line => line.sentence === sentence)))
    return stage
  }
  const untilNotSent = async (stage: Direct.DirectStage): Promise<number> => {
    await TestKit.Wait.until('calls are refused without being sent', TIMEOUT_MS, () => stage.lines.some(({ sentence, fields }) => sentence === 'Call refused.' && fields['ruledOut']?.ended === 1))
    const arrivalsBefore = stage.runners[0]?.ran.length ?? 0
    expect((await stage.call()).status).toEqual(503)
    return (stage.runners[0]?.ran.length ?? 0) - arrivalsBefore
  }
  const callRepeatedly = (stage: Direct.DirectStage): void => {
    const timer = setInterval(() => { void stage.call() }, 200)
    stops.push(async () => { clearInterval(timer) })
  }

  it('gets no calls once its agent reports the new start', async () => {
    const stage = await startStage()
    const [runner] = stage.runners
    const load: Follow.News.LoadNews = { host: '127.0.0.1', port: runner?.port ?? 0, bornAtMs: (runner?.born ?? 0) + 5_000, activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: [] }
    const socket = Dgram.createSocket('udp4')
    const timer = setInterval(() => { socket.send(JSON.stringify({ sender: 'a1', revisions: {}, load }), stage.first.peerPort, '127.0.0.1') }, 100)
    stops.push(async () => {
      clearInterval(timer)
      socket.close()
    })
    callRepeatedly(stage)
    expect(await untilNotSent(stage)).toEqual(0)
  })

  it('gets no calls under its old id once the new one is listed at its address', async () => {
    const stage = await startStage()
    const [runner] = stage.runners
    stage.store.put('servers', 'e1-again', { backend: 'llm', address: `127.0.0.1:${runner?.port}`, zone: 'a', version: 'v1', slots: 16, state: 'ready', cold_remaining_ms: 0, born: (runner?.born ?? 0) + 5_000, models: [], layers: { from: 0, target: 0, version: 0 } })
    callRepeatedly(stage)
    expect(await untilNotSent(stage)).toEqual(0)
  })
})
