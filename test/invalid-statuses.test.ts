import { after, before, beforeEach, describe, it } from 'node:test'
import * as Net from 'node:net'
import { expect } from 'earl'
import * as AgentCalls from '../src/agent/calls.ts'
import * as AgentTables from '../src/agent/tables.ts'
import * as Control from '../src/control/index.ts'
import * as Edge from '../src/edge/index.ts'
import * as Callers from '../src/gateway/callers.ts'
import type * as Messages from '../src/gateway/messages.ts'
import * as CallWire from '../src/schema/callWire.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Engine from '../platform/engine.ts'
import * as Store from '../platform/store.ts'
import * as Direct from '../testkit/direct.ts'
import * as ScriptedEndpoints from '../testkit/scriptedEndpoints.ts'
import * as TestKit from '../testkit/index.ts'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 5_000
/** Time within which a malformed answer is noticed, in milliseconds: well below the timeout. */
const NOTICED_MS = 2_000
const { SEAL, answerOf, headOf, streamOf, chunkOf, eventOf, LAST_CHUNK } = ScriptedEndpoints

/** Status lines that Node's parser accepts although no final answer may have them, with what follows in the head. */
const INVALID_STATUSES: Readonly<Record<string, readonly [status: string, moreHeaders: string]>> = {
  '000': ['000 OK', ''],
  '000 without a reason': ['000', ''],
  '001': ['001 OK', ''],
  '099': ['099 OK', ''],
  101: ['101 Switching Protocols', ''],
  '101 with another protocol': ['101 Switching Protocols', 'Connection: upgrade\r\nUpgrade: other\r\n'],
  150: ['150 Processing', ''],
  600: ['600 OK', ''],
  999: ['999 OK', '']
}

/** A server that answers each request with the same bytes. */
interface FixedServer {
  readonly port: number
  /** Number of requests that arrived. */
  requestCount: () => number
  close: () => Promise<void>
}

async function startFixedServer (answer: string): Promise<FixedServer> {
  const sockets = new Set<Net.Socket>()
  let requestCount = 0
  const server = Net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      if (!/^[A-Z]+ /.test(bytes.toString('latin1'))) return
      requestCount++
      socket.write(answer)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    requestCount: () => requestCount,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  }
}

describe('an answer with an invalid status', () => {
  describe('of an endpoint', () => {
    let stage: Direct.DirectStage
    let endpoints: readonly ScriptedEndpoints.ScriptedEndpoint[] = []
    let script: ScriptedEndpoints.Script = () => {}
    let callCount = 0
    const runCount = (id: string): number => endpoints.flatMap(({ arrived }) => arrived).filter(each => each === id).length

    before(async () => {
      stage = await Direct.startDirectStage([{ instanceId: 'plain', service: 'plain' }, { instanceId: 'engine', service: 'llm' }])
      const follow: ScriptedEndpoints.Script = (socket, id, count) => { script(socket, id, count) }
      endpoints = [...await ScriptedEndpoints.replaceEndpoint(stage, 'plain', [follow, follow]), ...await ScriptedEndpoints.replaceEndpoint(stage, 'llm', [follow, follow])]
    })
    after(async () => {
      await stage.stop()
      await Promise.all(endpoints.map(async endpoint => { await endpoint.close() }))
    })
    // Each call is another request: one that failed several times would be kept back. An endpoint that failed a call is left out until then.
    beforeEach(async () => {
      script = (socket, id) => { socket.write(id.startsWith('sound-stream') ? streamOf(id) + chunkOf(eventOf(1)) + LAST_CHUNK : answerOf(id)) }
      for (const endpoint of endpoints) endpoint.arrived.length = 0
      await TestKit.Wait.until('all endpoints serve calls', TIMEOUT_MS, async () => {
        callCount++
        for (const kind of ['read', 'stream']) await stage.call({ path: `/${kind}/sound-${callCount}`, id: `sound-${kind}-${callCount}` })
        return endpoints.every(({ arrived }) => arrived.length > 0)
      })
    })

    for (const [name, [status, moreHeaders]] of Object.entries(INVALID_STATUSES)) {
      const malformed = (id: string): string => headOf(status, id, `${SEAL}${moreHeaders}Content-Length: 5\r\n\r\nwrong`)

      // Guards against a status that is passed on to the caller, ends the gateway or leaves the call without an answer.
      it(`${name} is a 502 for a call that must not run twice`, async () => {
        script = (socket, id) => { socket.write(malformed(id)) }
        const sentAtMs = performance.now()
        const got = await stage.call({ path: `/book/${callCount}`, id: `book-${callCount}` })
        expect([got.status, got.headers['x-fescuespread-response-seal'], got.text.includes('wrong'), runCount(`book-${callCount}`)]).toEqual([502, undefined, false, 1])
        expect(performance.now() - sentAtMs < NOTICED_MS).toEqual(true)
      })

      it(`${name} has a call that may run twice sent once more`, async () => {
        script = (socket, id) => { socket.write(runCount(id) === 1 ? malformed(id) : answerOf(id)) }
        const got = await stage.call({ path: `/read/${callCount}`, id: `read-${callCount}` })
        expect([got.status, got.text, runCount(`read-${callCount}`)]).toEqual([200, 'whole', 2])
      })

      it(`${name} has a stream begun elsewhere`, async () => {
        script = (socket, id) => { socket.write(runCount(id) === 1 ? malformed(id) : streamOf(id) + chunkOf(eventOf(1)) + LAST_CHUNK) }
        const got = await stage.call({ path: `/stream/${callCount}`, id: `stream-${callCount}` })
        expect([got.status, got.text, got.whole, runCount(`stream-${callCount}`)]).toEqual([200, eventOf(1), true, 2])
      })
    }

    it('causes no unexpected error', async () => {
      expect((await stage.metrics()).includes('unexpected_errors_total')).toEqual(false)
    })
  })

  for (const [name, [status, moreHeaders]] of Object.entries(INVALID_STATUSES)) {
    describe(name, () => {
      const answer = `HTTP/1.1 ${status}\r\n${moreHeaders}Content-Length: 2\r\n\r\n{}`
      let server: FixedServer
      before(async () => { server = await startFixedServer(answer) })
      after(async () => { await server.close() })
      const target = (): Edge.HttpClient.Target => ({ host: HOST, port: server.port })

      // Guards against a status that is taken for a refusal, or a request that waits for its timeout.
      it('of another process is an error of the request, which may have been served', async () => {
        const sentAtMs = performance.now()
        const failure = await Edge.HttpClient.send({ target: target(), method: 'GET', path: '/', timeoutMs: TIMEOUT_MS }).then(() => undefined, (error: unknown) => error)
        expect(failure instanceof Edge.HttpClient.TransportError && failure.reachedServer && !failure.timedOut).toEqual(true)
        expect(performance.now() - sentAtMs < NOTICED_MS).toEqual(true)
      })

      it('of the store fails reads and writes as a store that is away', async () => {
        const rows = Store.createRowSource(target)
        const read = await rows.readAll('servers')
        const written = await rows.write('status', 'k', {}, 0)
        expect([read, written].map(result => result.isErr() ? result.error.kind : 'ok')).toEqual(['unavailable', 'unavailable'])
      })

      it('of the origin fails the chunk', async () => {
        expect((await Engine.createOrigin(`${HOST}:${server.port}`).chunk('m', 1, 0)).isErr()).toEqual(true)
      })

      // Guards against an order that counts as refused although the engine may have begun it.
      it('of an engine leaves an order open', async () => {
        expect(await Engine.createEngine(target()).loadStaged('m', 1, 'afterRunning')).toEqual('lost')
      })
    })
  }

  for (const [name, [status, moreHeaders]] of Object.entries(INVALID_STATUSES)) {
    describe(`${name} between the system's own gateway and agent`, () => {
      // Guards against an agent that ends with all its calls, since Node does not write the status that it read.
      it('is a failure of the endpoint where the endpoint sent it', async () => {
        const endpoint = await startFixedServer(`HTTP/1.1 ${status}\r\n${moreHeaders}Content-Length: 2\r\n\r\n{}`)
        const agent = await startAgent(endpoint.port)
        try {
          const { result, httpStatus } = await agent.offer()
          expect([httpStatus, result.code, result.run, endpoint.requestCount()]).toEqual([502, 304, 'unknown', 1])
        } finally {
          await agent.stop()
          await endpoint.close()
        }
      })

      it('is an unknown outcome where the agent sent it', async () => {
        const result: Schemas.Calls.CallResult = { callId: 'c', attemptId: 'a', code: 0, run: 'ran', agentIncarnation: 'i', limitCount: 1, activeCount: 0, queuedCount: 0 }
        const agent = await startFixedServer(`HTTP/1.1 ${status}\r\n${moreHeaders}${CallWire.RESULT_HEADER}: ${JSON.stringify(result)}\r\nContent-Length: 2\r\n\r\n{}`)
        const gateway = await startGateway(agent.port)
        try {
          const answer = await gateway.call()
          const end = gateway.ends[0]
          expect([answer.status, end?.code, end?.run, gateway.ends.length]).toEqual([502, 'outcomeUnknown', 'unknown', 1])
        } finally {
          await gateway.stop()
          await agent.close()
        }
      })
    })
  }

  for (const httpStatus of [0, 99, 101, 600, 200.5]) {
    // Guards against a call whose caller gets no answer, since Node does not write the status that was saved.
    it(`that was saved with a claim counts as a lost answer (${httpStatus})`, async () => {
      const gateway = await startGateway(1, callers => { callers.replay('c', { httpStatus, contentType: 'text/plain', bodyBase64: '' }) })
      try {
        const answer = await gateway.call()
        expect([answer.status, answer.headers['x-fescue-run']]).toEqual([502, 'ran'])
      } finally {
        await gateway.stop()
      }
    })
  }
})

const ENVELOPE: Schemas.Calls.CallEnvelope = { callId: 'c', attemptId: 'a', gatewayId: 'g', workspace: 'w', service: 's', method: 'POST', path: '/p', timeLeftMs: TIMEOUT_MS, priority: 1, idempotent: false, stream: false, resumeFromIndex: 0, digest: 'd'.repeat(64), agentIncarnation: 'i' }

/** Starts an agent that admits every call. */
async function startAgent (endpointPort: number) {
  const tables = AgentTables.createTables({ instanceId: 'agent-1', kind: 'agent', zone: 'z', region: 'z', service: 's', incarnation: 'i' }, Control.Documents.createHeldDocuments())
  const relay = AgentCalls.createRelay({
    endpoint: { host: HOST, port: endpointPort },
    maxBodyBytes: 1_000,
    guard: { identify: () => ({ role: 'peer' }) },
    onRefused: () => {},
    tables,
    push: input => { if (input.kind === 'callOffered') relay.admit(input.envelope.attemptId) },
    log: { warn: () => {} } as unknown as Edge.Log.Log
  })
  const server = await Edge.HttpServer.listen({ host: HOST, port: 0, routes: [relay.route], headersTimeoutMs: TIMEOUT_MS })
  return {
    offer: async () => {
      const answer = await Edge.HttpClient.send({ target: { host: HOST, port: server.port }, method: 'POST', path: CallWire.CALL_PATH, headers: { [CallWire.ENVELOPE_HEADER]: JSON.stringify(ENVELOPE) }, timeoutMs: NOTICED_MS, fresh: true })
      return { httpStatus: answer.status, result: JSON.parse(String(answer.headers[CallWire.RESULT_HEADER])) as Schemas.Calls.CallResult }
    },
    stop: async () => {
      relay.stop()
      await server.close(0)
    }
  }
}

/** Starts the byte path of a gateway that sends each call to one agent, and fails it when its attempt ends. */
async function startGateway (agentPort: number, onArrived?: (callers: Callers.Callers) => void) {
  const ends: Messages.AttemptEnd[] = []
  const handlers: { readonly [Kind in Messages.Input['kind']]?: (input: Extract<Messages.Input, { kind: Kind }>) => void } = {
    callArrived: () => {
      if (onArrived === undefined) callers.dispatch({ callId: 'c', target: { host: HOST, port: agentPort }, endpointId: 'e', envelope: ENVELOPE })
      else onArrived(callers)
    },
    attemptEnded: ({ end }) => {
      ends.push(end)
      callers.finish('c', end.code as 'outcomeUnknown', {})
    }
  }
  const callers = Callers.createCallers({
    maxBodyBytes: 1_000,
    bodyTimeoutMs: TIMEOUT_MS,
    defaultDeadlineMs: TIMEOUT_MS,
    maxDeadlineMs: TIMEOUT_MS,
    peerKey: () => 'key',
    makeId: () => 'c',
    push: input => { (handlers[input.kind] as ((input: Messages.Input) => void) | undefined)?.(input) }
  })
  const server = await Edge.HttpServer.listen({ host: HOST, port: 0, routes: [], fallback: callers.handle, headersTimeoutMs: TIMEOUT_MS })
  return {
    ends,
    call: async () => await Edge.HttpClient.send({ target: { host: HOST, port: server.port }, method: 'POST', path: '/p', body: 'prompt', timeoutMs: NOTICED_MS, fresh: true }),
    stop: async () => {
      callers.stop()
      await server.close(0)
    }
  }
}
