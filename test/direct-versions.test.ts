import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000
/** Time after a version is named from which calls no longer begin on the previous one, in milliseconds. */
const VERSION_DUE_MS = Direct.VERSION_MS
let stage: Direct.DirectStage

const nameVersion = (version: number): void => { stage.store.put('op', 'version/m', { model: 'm', version }) }
const hasLine = (gateway: Pick<Direct.StartedGateway, 'lines'>, sentence: string, version: number): boolean =>
  gateway.lines.some(line => line.sentence === sentence && line.fields.version === version)

describe('versions on the direct path', () => {
  before(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    await TestKit.Wait.until('a call is served', TIMEOUT_MS, async () => (await stage.call()).status === 200)
  })
  after(async () => { await stage.stop() })

  it('logs on which versions calls may begin, and why', async () => {
    nameVersion(2)
    await TestKit.Wait.until('the version is named', TIMEOUT_MS, () => hasLine(stage, 'Oldest version changed.', 1))
    const changed = stage.lines.find(line => line.sentence === 'Oldest version changed.')
    expect([changed?.fields.model, changed?.fields.named.map((named: { version: number }) => named.version)]).toEqual(['m', [2]])
    await stage.call({ id: 'told' })
    const sent = stage.lines.find(line => line.sentence === 'Call sent.' && line.fields.callId === 'told')
    expect([sent?.fields.version, sent?.fields.oldestVersion]).toEqual([1, 1])
  })

  it('repeats the line while a version spreads, with the time before which it was not named', async () => {
    stage.pass(2_000)
    const spreadLine = (): Direct.DirectStage['lines'][number] | undefined => stage.lines.find(line => line.sentence === 'Version still spreads.')
    await TestKit.Wait.until('the line is repeated', TIMEOUT_MS, () => spreadLine() !== undefined)
    const { version, sinceNotBeforeMs } = spreadLine()?.fields.named[0] ?? {}
    expect([version, sinceNotBeforeMs >= 2_000]).toEqual([2, true])
  })

  it('a gateway that started after a version was superseded begins no calls on the previous version once the superseded one is due', async () => {
    stage.pass(1_000)
    // A page of the store shows that version 3 is not named yet.
    stage.deploy({ version: 2 })
    await TestKit.Wait.until('the page is read', TIMEOUT_MS, () => hasLine(stage, 'Deployment in force.', 2))
    nameVersion(3)
    await TestKit.Wait.until('the next version is named', TIMEOUT_MS, () => hasLine(stage, 'Version named.', 3))
    const restarted = await stage.addGateway('g2')
    await TestKit.Wait.until('the restarted gateway receives news of when it was named', TIMEOUT_MS, () => hasLine(restarted, 'Version told of.', 3))
    await TestKit.Wait.until('the restarted gateway is ready', TIMEOUT_MS, async () => (await restarted.call()).status === 200)
    stage.pass(VERSION_DUE_MS - 3_000)
    expect([(await stage.call()).status, (await restarted.call({ id: 'late' })).status]).toEqual([503, 503])
    const refused = restarted.lines.find(line => line.sentence === 'Call refused.' && line.fields.callId === 'late')
    expect([refused?.fields.ruledOut, refused?.fields.oldestVersion]).toEqual([{ weights: 1 }, 2])
  })
})

describe('a version that was superseded while a request to the store was in flight', () => {
  const REQUEST_DELAY_MS = 5_000

  it('limits the gateway that missed it, and one that starts later and receives news only from that one', async () => {
    const ownStage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    after(ownStage.stop)
    await TestKit.Wait.until('a call is served', TIMEOUT_MS, async () => (await ownStage.call()).status === 200)
    let arrive = (): void => {}
    ownStage.store.faults.arrival = new Promise(resolve => { arrive = resolve })
    ownStage.deploy({ version: 2 })
    await TestKit.Wait.until('the next read is in flight', TIMEOUT_MS, () => ownStage.store.lateCount('table=op') > 0)
    ownStage.store.put('op', 'version/m', { model: 'm', version: 2 })
    ownStage.pass(REQUEST_DELAY_MS)
    // Another process has read a page after version 2 was named and before version 3 was.
    const reading = { revision: ownStage.store.put('status', 'any', {}), atMs: performance.now() + REQUEST_DELAY_MS }
    const channel = await Follow.News.openChannel({ host: '127.0.0.1', port: await Direct.freePort() }, () => {}, () => {})
    after(() => { channel.close() })
    channel.send({ sender: 'a1', revisions: {}, reading }, [{ host: '127.0.0.1', port: ownStage.first.peerPort }])
    ownStage.store.put('op', 'version/m', { model: 'm', version: 3 })
    ownStage.store.faults.arrival = undefined
    arrive()
    await TestKit.Wait.until('the next version is named', TIMEOUT_MS, () => hasLine(ownStage, 'Version named.', 3))
    const started = await ownStage.addGateway('g2')
    await TestKit.Wait.until('the started gateway receives news of it', TIMEOUT_MS, () => hasLine(started, 'Version told of.', 3))
    await TestKit.Wait.until('the started gateway is ready', TIMEOUT_MS, async () => (await started.call()).status === 200)
    ownStage.pass(VERSION_DUE_MS - REQUEST_DELAY_MS)
    for (const gateway of [ownStage.first, started]) {
      const { status } = await gateway.call({ id: 'late' })
      const refused = gateway.lines.find(line => line.sentence === 'Call refused.' && line.fields.callId === 'late')
      expect([status, refused?.fields.ruledOut, refused?.fields.oldestVersion]).toEqual([503, { weights: 1 }, 2])
    }
  })
})

describe('an agent', () => {
  it('receives from the gateways of its zone the time before which a version was not named', async () => {
    const ownStage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    after(ownStage.stop)
    const received: Follow.News.News[] = []
    const port = await Direct.freePort()
    const channel = await Follow.News.openChannel({ host: '127.0.0.1', port }, news => { received.push(news) }, () => {})
    after(() => { channel.close() })
    ownStage.store.put(Follow.Members.MEMBERS_TABLE, 'a1', { name: 'a1', kind: 'agent', host: '127.0.0.1', port, zone: 'a', region: 'ra', incarnation: '1' })
    await TestKit.Wait.until('a call is served', TIMEOUT_MS, async () => (await ownStage.call()).status === 200)
    ownStage.store.put('op', 'version/m', { model: 'm', version: 2 })
    await TestKit.Wait.until('the agent receives the time', TIMEOUT_MS, () => received.some(news => news.named?.some(({ version, notBeforeMs }) => version === 2 && notBeforeMs !== undefined)))
  })
})

describe('a call that waits at an endpoint for its turn', () => {
  it('is cancelled before the version there is overdue', async () => {
    const ownStage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    after(ownStage.stop)
    await TestKit.Wait.until('a call is served', TIMEOUT_MS, async () => (await ownStage.call()).status === 200)
    ownStage.runners.forEach(runner => { runner.faults.dark = true })
    const answer = ownStage.call({ id: 'waiting', path: '/slow/1', deadlineMs: 8_500 })
    await TestKit.Wait.until('the call is sent', TIMEOUT_MS, () => ownStage.lines.some(line => line.sentence === 'Call sent.' && line.fields.callId === 'waiting'))
    ownStage.store.put('op', 'version/m', { model: 'm', version: 2 })
    await TestKit.Wait.until('the version is named', TIMEOUT_MS, () => hasLine(ownStage, 'Version named.', 2))
    ownStage.pass(Direct.VERSION_MS)
    expect((await answer).status).toEqual(502)
    const ended = ownStage.lines.find(line => line.sentence === 'Attempt ended.' && line.fields.callId === 'waiting')
    expect(ended?.fields.reason).toEqual('not begun before version 1 was overdue')
  })
})
