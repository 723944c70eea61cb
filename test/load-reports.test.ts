import { afterEach, describe, it } from 'node:test'
import * as Http from 'node:http'
import type * as Net from 'node:net'
import { expect } from 'earl'
import * as LoadReports from '../src/agent/loadReports.ts'
import type * as Messages from '../src/agent/messages.ts'

const LOAD = { incarnation: 'before', modelVersion: 'v1', activeCount: 0, queuedCount: 0, capacityCount: 8, cold: false }
const servers: Http.Server[] = []

/** An endpoint whose answers wait until the test sends them, and a reader of its load reports. */
async function createHeldEndpoint () {
  const waiting: Http.ServerResponse[] = []
  const arrivals: Array<() => void> = []
  const server = Http.createServer((_request, response) => {
    waiting.push(response)
    arrivals.shift()?.()
  })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const time = { nowMs: 0 }
  const seen: Array<Messages.EndpointLoad | undefined> = []
  const discardedAgesMs: unknown[] = []
  const reader = LoadReports.createReader({
    endpoint: { host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port },
    reportsLoad: () => true,
    clock: () => time.nowMs,
    log: { warn: (_prefix, _sentence, fields) => { discardedAgesMs.push((fields as { ageMs?: number }).ageMs) } },
    push: input => { seen.push(input.load) }
  })
  return {
    time,
    seen,
    discardedAgesMs,
    /** Starts a poll, waits until the endpoint has its request, and returns a function that answers it. */
    ask: async () => {
      const arrived = new Promise<void>(resolve => { arrivals.push(resolve) })
      const polled = reader.poll()
      await arrived
      const response = waiting.shift() as Http.ServerResponse
      return async (load: Partial<Messages.EndpointLoad>) => {
        response.end(JSON.stringify({ ...LOAD, ...load }))
        await polled
      }
    }
  }
}

describe('load reports', () => {
  afterEach(() => {
    for (const server of servers.splice(0)) {
      server.close()
      server.closeAllConnections()
    }
  })

  it('of an incarnation before a restart do not undo it when they are overtaken', async () => {
    const { time, seen, discardedAgesMs, ask } = await createHeldEndpoint()
    const answerFirst = await ask()
    time.nowMs = 200
    const answerSecond = await ask()
    await answerSecond({ incarnation: 'after', modelVersion: undefined, cold: true })
    time.nowMs = 700
    await answerFirst({})
    expect(seen.map(load => [load?.incarnation, load?.modelVersion, load?.cold])).toEqual([['after', undefined, true]])
    expect(discardedAgesMs).toEqual([700])
  })

  it('are passed on in the order in which they were asked for', async () => {
    const { time, seen, ask } = await createHeldEndpoint()
    const answerFirst = await ask()
    time.nowMs = 200
    const answerSecond = await ask()
    await answerFirst({})
    await answerSecond({ incarnation: 'after' })
    expect(seen.map(load => load?.incarnation)).toEqual(['before', 'after'])
  })
})
