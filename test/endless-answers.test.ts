import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Events from '../src/ingress/events.ts'
import * as Endless from '../standins/endless.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 5_000
const DEADLINE_MS = 2_000
/** Maximum size of an answer that a gateway buffers, plus what socket buffers may hold of it, in bytes. */
const MAX_TAKEN_BYTES = 4 * 1024 * 1024 + 8 * 1024 * 1024

const FAULTS: ReadonlyArray<readonly [Endless.Trouble, string]> = [
  ['body', '/read/1'],
  ['sizedBody', '/read/1'],
  ['event', '/stream/1'],
  ['interim', '/read/1'],
  ['headLine', '/read/1'],
  ['headFields', '/read/1']
]

describe('an endpoint whose answer never ends', () => {
  for (const [fault, path] of FAULTS) {
    it(`is disconnected before it fills the gateway's memory, and its caller is served elsewhere (${fault})`, async () => {
      const service = path.startsWith('/stream/') ? 'llm' : 'plain'
      const stage = await Direct.startDirectStage([{ instanceId: 'sound', service }])
      const endless = await Endless.startEndlessEndpoint(fault)
      try {
        await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path })).status === 200)
        stage.list({ ...stage.runners[0], instanceId: 'endless', port: endless.port } as Direct.DirectStage['runners'][number], { backend: service })
        const answers: Direct.CallAnswer[] = []
        await TestKit.Wait.until('the endless endpoint gets a call', WAIT_TIMEOUT_MS, async () => {
          answers.push(await stage.call({ path, deadlineMs: DEADLINE_MS }))
          return endless.takenBytes() > 0
        })
        expect(answers.filter(answer => answer.status !== 200 || !answer.whole)).toEqual([])
        await TestKit.Wait.until('the connections of the endless endpoint are closed', WAIT_TIMEOUT_MS, async () => endless.openCount() === 0)
        expect(endless.takenBytes() < MAX_TAKEN_BYTES).toEqual(true)
      } finally {
        await endless.close()
        await stage.stop()
      }
    })
  }
})

describe('a stream whose endpoint stalls in an event but still sends single bytes', () => {
  it('continues at another endpoint', async () => {
    const stage = await Direct.startDirectStage([{ instanceId: 'sound', service: 'llm' }])
    const endless = await Endless.startEndlessEndpoint('trickledEvent')
    try {
      await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 200)
      stage.list({ ...stage.runners[0], instanceId: 'endless', port: endless.port } as Direct.DirectStage['runners'][number], { backend: 'llm' })
      const answers: Direct.CallAnswer[] = []
      await TestKit.Wait.until('the endless endpoint gets a call', WAIT_TIMEOUT_MS, async () => {
        answers.push(await stage.call({ path: '/stream/long/1', deadlineMs: 4_000 }))
        return endless.takenBytes() > 0
      })
      expect(answers.filter(answer => answer.status !== 200 || !answer.whole || !answer.text.includes('id: 5'))).toEqual([])
    } finally {
      await endless.close()
      await stage.stop()
    }
  })
})

describe('an answer without a length that the gateway aborts', () => {
  it('does not look complete', async () => {
    const stage = await Direct.startDirectStage([{ instanceId: 'sound', service: 'llm' }])
    const endless = await Endless.startEndlessEndpoint('trickledEvent')
    try {
      await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 200)
      stage.list({ ...stage.runners[0], instanceId: 'endless', port: endless.port } as Direct.DirectStage['runners'][number], { backend: 'llm' })
      stage.store.drop('servers', 'sound')
      let truncatedAnswer: Direct.CallAnswer | undefined
      await TestKit.Wait.until('the endless endpoint gets a call', WAIT_TIMEOUT_MS, async () => {
        truncatedAnswer = await stage.call({ deadlineMs: DEADLINE_MS })
        return endless.takenBytes() > 0
      })
      expect([truncatedAnswer?.status, truncatedAnswer?.whole]).toEqual([200, false])
    } finally {
      await endless.close()
      await stage.stop()
    }
  })
})

describe('createSplitter', () => {
  it('returns complete events wherever the bytes are split', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3'
    for (let first = 0; first < text.length; first++) {
      for (let second = first; second < text.length; second++) {
        const splitter = Events.createSplitter()
        const completed = [text.slice(0, first), text.slice(first, second), text.slice(second)].map(part => splitter.push(Buffer.from(part)))
        expect([completed.map(events => events?.bytes.toString() ?? '').join(''), splitter.pendingBytes(), completed.flatMap(events => events?.lastEventId ?? []).at(-1)]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', 5, '2'])
      }
    }
  })
})
