import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Logs from '../src/ctl/logs.ts'
import * as Story from '../src/ctl/story.ts'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_MS = 5_000

const line = (atMs: number, instanceId: string, msg: string, fields: object): ReturnType<typeof Direct.lineOf> => {
  const [prefix = '', sentence = ''] = msg.split(': ')
  return Direct.lineOf(instanceId.startsWith('g') ? 'gateway' : 'agent', instanceId, prefix, sentence, fields, atMs)
}
const END = { route: 'r', tookMs: 500, attemptCount: 1, eventCount: 0, goalMs: 400, deploymentVersion: 1 }
const SENT = { callId: 'c', service: 's', endpointId: 'e1', predictedMs: 100, busyCount: 3, loadAgeMs: 20, leftMs: 2_000, attemptCount: 1 }
const ENDED = { callId: 'c', endpointId: 'e1', end: 'broken', reason: 'answering: read ECONNRESET', tookMs: 400, next: 'fail' }
const causeOf = (lines: Parameters<typeof Story.createTeller>[0]): Story.Cause | undefined => {
  Direct.checkLines(lines)
  return Story.createTeller(lines).tell('c')?.cause
}

describe('Story', () => {
  describe('from lines of several processes', () => {
    const failed = line(2_500, 'g1', 'routing: Call failed.', { ...END, callId: 'c', status: 502, code: 'outcomeUnknown', answering: true })
    const attempt = [line(2_000, 'g1', 'routing: Call sent.', SENT), line(2_400, 'g1', 'routing: Attempt ended.', ENDED), failed]
    const beside = [
      line(0, 'a1', 'agent: Agent started.', { endpoint: { host: '10.0.0.1', port: 80 }, service: 's', incarnation: 'i' }),
      line(0, 'g1', 'endpoints: Endpoint listed.', { endpointId: 'e1', service: 's', host: '10.0.0.1', port: 80, zone: 'z', draining: false, coldForMs: 0, revision: 1 })
    ]

    it('names a version change from what the agent beside the endpoint says', () => {
      const order = line(2_350, 'a1', 'weights: Engine told to load.', { model: 'm', version: 2, mode: 'cutting', answer: 'accepted', activeCount: 2, checkAgeMs: 40, tookMs: 3 })
      expect(causeOf([...attempt, ...beside, order])).toEqual('versionChange')
      expect(causeOf([...attempt, ...beside, { ...order, instanceId: 'a2' }])).toEqual('answerLost')
    })

    it('names an endpoint that went away', () => {
      expect(causeOf([...attempt, ...beside, line(3_000, 'a1', 'weights: Engine does not answer.', { host: '10.0.0.1', port: 80 })])).toEqual('endpointGone')
      expect(causeOf([...attempt, line(3_900, 'g1', 'endpoints: Endpoint no longer listed.', { endpointId: 'e1', lapsed: false, revision: 2 })])).toEqual('endpointGone')
      expect(causeOf([...attempt, line(9_000, 'g1', 'endpoints: Endpoint no longer listed.', { endpointId: 'e1', lapsed: false, revision: 2 })])).toEqual('answerLost')
    })

    it('shows what the gateway believed when it found no endpoint', () => {
      const story = Story.createTeller([
        line(500, 'g1', 'control: Zone taken out of service.', { zone: 'z' }),
        line(600, 'g2', 'control: Zone taken out of service.', { zone: 'y' }),
        line(1_000, 'g1', 'routing: Call refused.', { ...END, callId: 'c', reason: 'noEndpoint', returnAfterMs: 1_000, candidateCount: 0, ruledOut: { zoneDrained: 2, cold: 1 } })
      ]).tell('c')
      expect([story?.cause, story?.around.map(near => near.zone), story?.because]).toEqual(['noEndpoint', ['z'], 'no endpoint could serve the call: 2 zoneDrained, 1 cold'])
    })

    it('says that endpoints kept to the limits that they had named when only that refused a call', () => {
      const story = Story.createTeller([line(1_000, 'g1', 'routing: Call refused.', { ...END, callId: 'c', reason: 'overCapacity', returnAfterMs: 1_000, candidateCount: 0, ruledOut: { limited: 3 } })]).tell('c')
      expect([story?.cause, story?.because]).toEqual(['overCapacity', 'no endpoint could serve the call: 3 limited'])
    })

    it('tells a late answer from one in time', () => {
      const answered = (firstMs: number): Story.Cause | undefined => causeOf([line(0, 'g1', 'routing: Call answered.', { ...END, callId: 'c', status: 200, endpointId: 'e1', firstMs })])
      expect([answered(400), answered(401)]).toEqual(['served', 'late'])
    })

    it('says what is missing', () => {
      const leftOut = line(2_600, 'g1', 'log: Lines left out.', { leftOut: { 'routing: Call sent.': 7 } })
      expect(Story.createTeller([attempt[1] as typeof failed, failed, leftOut]).tell('c')?.missing).toEqual(['1 lines of attempts that were sent', 'lines left out by g1: {"routing: Call sent.":7}'])
      expect(Story.createTeller([attempt[0] as typeof failed]).tell('c')?.missing).toEqual(['the line that tells how the call ended'])
      expect(Story.createTeller(attempt).tell('other')).toEqual(undefined)
    })

    it('draws the same failed calls with the same seed', () => {
      const ends = ['c1', 'c2', 'c3', 'c4'].map((callId, index) => line(index, 'g1', index === 3 ? 'routing: Call answered.' : 'routing: Call cancelled.', { ...END, callId, ...(index === 3 ? { status: 200, endpointId: 'e1' } : { answering: false }) }))
      const teller = Story.createTeller(ends)
      expect(teller.unservedIds()).toEqual(['c1', 'c2', 'c3'])
      expect(Logs.draw(teller.unservedIds(), 2, 5)).toEqual(Logs.draw([...teller.unservedIds()].reverse(), 2, 5))
      expect(Logs.draw(teller.unservedIds(), 9, 5).length).toEqual(3)
    })

    it('reads lines behind what a collector put before them, and counts those cut short', () => {
      const text = `2.5 g1 ${JSON.stringify(failed)}\nplain text\n{"level":30,"time":`
      const { lines, unreadCount } = Logs.parse(text)
      expect([lines.map(read => read.msg), unreadCount]).toEqual([['routing: Call failed.'], 1])
    })
  })

  describe('of a failed call on the stand-ins', () => {
    let stage: Direct.DirectStage
    const tell = (callId: string): Story.Story | undefined => Story.createTeller(stage.lines.map(entry => entry.line)).tell(callId)
    const counter = async (name: string): Promise<number> => {
      const found = (await stage.metrics()).split('\n').find(row => row.startsWith(`fescuespread_${name} `))
      return Number(found?.split(' ').at(-1) ?? 0)
    }
    before(async () => {
      stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm', eventMs: 60 }, { instanceId: 'p1', service: 'plain' }])
      await TestKit.Wait.until('calls are served', LIMIT_MS, async () => (await stage.call({ path: '/stream/1' })).status === 200 && (await stage.call({ path: '/read/1' })).status === 200)
    })
    after(async () => { await stage.stop() })

    it('finds the limit that refused it under load', async () => {
      const answers = await Promise.all(Array.from({ length: 120 }, async (_, index) => ({ id: `load-${index}`, status: (await stage.call({ id: `load-${index}` })).status })))
      const refused = answers.filter(answer => answer.status === 503)
      const stories = refused.map(answer => tell(answer.id))
      expect(refused.length > 0).toEqual(true)
      expect(new Set(stories.map(story => story?.cause))).toEqual(new Set(['overCapacity']))
      expect(stories[0]?.because.startsWith('1 endpoints could serve the call; the best, e1 with ')).toEqual(true)
      expect(await counter('calls_refused_total{reason="overCapacity"}')).toEqual(refused.length)
    })

    it('finds the endpoint that cut its stream', async () => {
      Object.assign(stage.runners[0]?.faults ?? {}, { breakAfterCount: 2 })
      const answer = await stage.call({ id: 'cut' })
      Object.assign(stage.runners[0]?.faults ?? {}, { breakAfterCount: undefined })
      const story = tell('cut')
      expect([answer.whole, story?.cause, story?.because.includes('e1'), story?.missing]).toEqual([false, 'answerLost', true, []])
      expect(await counter('calls_ended_total{outcome="failed"}')).toEqual(1)
    })

    it('finds that the outcome of a booking is unknown and that it was not sent again', async () => {
      Object.assign(stage.runners[1]?.faults ?? {}, { unframedReset: true })
      const answer = await stage.call({ path: '/book/1', id: 'booked' })
      Object.assign(stage.runners[1]?.faults ?? {}, { unframedReset: false })
      const story = tell('booked')
      const sent = story?.lines.filter(told => told.msg === 'routing: Call sent.')
      expect([answer.status, story?.cause, sent?.length, sent?.[0]?.endpointId]).toEqual([502, 'answerLost', 1, 'p1'])
      expect(story?.lines.find(told => told.msg === 'routing: Attempt ended.')?.end).toEqual('unknown')
      expect(await counter('attempts_ended_total{end="unknown",next="fail"}')).toEqual(1)
    })
  })
})
