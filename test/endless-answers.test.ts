import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Events from '../src/ingress/events.ts'
import * as Endless from '../standins/endless.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 5_000
const DEADLINE_MS = 2_000
/** What a gateway may hold of one answer in bytes, and what sockets hold of it on the way. */
const MAX_TAKEN_BYTES = 4 * 1024 * 1024 + 8 * 1024 * 1024

const FAULTS: ReadonlyArray<readonly [Endless.Trouble, string]> = [
  ['body', '/read/1'],
  ['sizedBody', '/read/1'],
  ['event', '/stream/1'],
  ['interim', '/read/1'],
  ['headLine', '/read/1'],
  ['headFields', '/read/1']
]

describe('an endpoint that sends without end', () => {
  for (const [fault, path] of FAULTS) {
    it(`${fault} is closed before it fills the gateway's memory, and its caller is served elsewhere`, async () => {
      const service = path.startsWith('/stream/') ? 'llm' : 'plain'
      const stage = await Direct.startDirectStage([{ instanceId: 'sound', service }])
      const endless = await Endless.startEndlessEndpoint(fault)
      try {
        await TestKit.Wait.until('the gateway serves', WAIT_TIMEOUT_MS, async () => (await stage.call({ path })).status === 200)
        stage.list({ ...stage.runners[0], instanceId: 'endless', port: endless.port } as Direct.DirectStage['runners'][number], { backend: service })
        const answers: Direct.CallAnswer[] = []
        await TestKit.Wait.until('it was chosen', WAIT_TIMEOUT_MS, async () => {
          answers.push(await stage.call({ path, deadlineMs: DEADLINE_MS }))
          return endless.takenBytes() > 0
        })
        expect(answers.filter(answer => answer.status !== 200 || !answer.whole)).toEqual([])
        await TestKit.Wait.until('its connections are closed', WAIT_TIMEOUT_MS, async () => endless.openCount() === 0)
        expect(endless.takenBytes() < MAX_TAKEN_BYTES).toEqual(true)
      } finally {
        await endless.close()
        await stage.stop()
      }
    })
  }
})

describe('a stream whose endpoint stalls but sends a byte now and then', () => {
  it('goes on at another endpoint', async () => {
    const stage = await Direct.startDirectStage([{ instanceId: 'sound', service: 'llm' }])
    const endless = await Endless.startEndlessEndpoint('trickledEvent')
    try {
      await TestKit.Wait.until('the gateway serves', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 200)
      stage.list({ ...stage.runners[0], instanceId: 'endless', port: endless.port } as Direct.DirectStage['runners'][number], { backend: 'llm' })
      const answers: Direct.CallAnswer[] = []
      await TestKit.Wait.until('it was chosen', WAIT_TIMEOUT_MS, async () => {
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

describe('an answer without a length that its gateway gives up', () => {
  it('does not look whole', async () => {
    const stage = await Direct.startDirectStage([{ instanceId: 'sound', service: 'llm' }])
    const endless = await Endless.startEndlessEndpoint('trickledEvent')
    try {
      await TestKit.Wait.until('the gateway serves', WAIT_TIMEOUT_MS, async () => (await stage.call()).status === 200)
      stage.list({ ...stage.runners[0], instanceId: 'endless', port: endless.port } as Direct.DirectStage['runners'][number], { backend: 'llm' })
      stage.store.drop('servers', 'sound')
      let truncatedAnswer: Direct.CallAnswer | undefined
      await TestKit.Wait.until('it was chosen', WAIT_TIMEOUT_MS, async () => {
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
  it('splits events wherever their bytes are parted', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3'
    for (let first = 0; first < text.length; first++) {
      for (let second = first; second < text.length; second++) {
        const splitter = Events.createSplitter()
        const completed = [text.slice(0, first), text.slice(first, second), text.slice(second)].map(part => splitter.push(Buffer.from(part)))
        expect([completed.map(whole => whole?.bytes.toString() ?? '').join(''), splitter.pendingBytes(), completed.flatMap(whole => whole?.lastEventId ?? []).at(-1)]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', 5, '2'])
      }
    }
  })
})
