import * as Http from 'node:http'
import type * as Net from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Deployment from '../tools/soak/deployment.ts'
import * as Answers from '../src/agent/answers.ts'
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import * as Gateway from '../src/gateway/index.ts'
import * as Choice from '../src/gateway/choice.ts'
import * as Streams from '../src/gateway/streams.ts'

const envelope = { callId: 'call-1', modelVersion: 'v1' } as Parameters<typeof Answers.findMismatch>[0]

describe('agent answers', () => {
  describe('findMismatch', () => {
    it('finds an answer of another call and of another version', () => {
      expect(Answers.findMismatch(envelope, { 'x-fescue-call-id': 'call-2' })).toEqual('The endpoint answered another call.')
      expect(Answers.findMismatch(envelope, { 'x-fescue-call-id': 'call-1', 'x-model-version': 'v2' })).toEqual('The endpoint answered with version v2.')
      expect(Answers.findMismatch(envelope, { 'x-fescue-call-id': 'call-1', 'x-model-version': 'v1' })).toEqual(undefined)
    })
  })
})

describe('agent answers', () => {
  describe('isWithoutModel', () => {
    const keyed = { ...envelope, idempotent: false }
    const idempotent = { ...envelope, idempotent: true }

    it('takes a 503 without a version for a refusal, but only of a call that may run twice', () => {
      expect(Answers.isWithoutModel(idempotent, { statusCode: 503, headers: {} })).toEqual(true)
      expect(Answers.isWithoutModel(keyed, { statusCode: 503, headers: {} })).toEqual(false)
      expect(Answers.isWithoutModel(idempotent, { statusCode: 503, headers: { 'x-model-version': 'v1' } })).toEqual(false)
      expect(Answers.isWithoutModel(idempotent, { statusCode: 200, headers: {} })).toEqual(false)
    })
  })
})

describe('gateway', () => {
  describe('a call whose digest is quarantined', () => {
    it('is refused as not run, and is not sent', () => {
      const digest = Core.Hash.sha256('poison')
      const held = Control.Documents.createHeldDocuments()
      held.adopt({ kind: 'manifest', version: 1, body: Deployment.manifestOf('v1') })
      held.adopt({ kind: 'quarantine', version: 1, body: { entries: [{ digest, service: 'fescue-llm', crashCount: 2, expiresAtMs: 1_000 }] } })
      const tables = Gateway.Tables.createTables({ instanceId: 'gateway-1', kind: 'gateway', zone: 'kartli', region: 'kartli', incarnation: 'gateway/1' }, held, () => 0, () => 'id')
      const step = Core.Loop.createStepper<Gateway.Tables.Tables, Gateway.Messages.Input, Gateway.Messages.Command>(tables, Gateway.Systems.SYSTEMS, Core.Random.createRandom(1))
      const call = { callId: 'call-1', workspace: 'operator-1', method: 'POST', path: '/v1/drafts', contentType: undefined, digest, idempotencyKey: undefined, stream: false, adapter: undefined, priority: undefined, timeLeftMs: 1_000 }
      const { commands } = step([{ kind: 'callArrived', call }], 0)
      expect(commands.map(command => command.kind === 'finish' ? command.code : command.kind)).toEqual(['quarantined'])
      expect(tables.calls.count()).toEqual(0)
    })
  })
})

describe('gateway choice', () => {
  describe('takesNewWork', () => {
    const endpoint = { endpointId: 'fescue-llm-1', zone: 'kartli', listedState: 'live' } as Gateway.Tables.EndpointRow
    const takes = (drains: { zones: string[], instanceIds: string[] }, row = endpoint): boolean => {
      const held = Control.Documents.createHeldDocuments()
      held.adopt({ kind: 'drains', version: 1, body: drains })
      return Choice.takesNewWork({ held } as Gateway.Tables.Tables, row)
    }

    it('looks at operators and at the platform, also once the endpoint is chosen', () => {
      expect(takes({ zones: [], instanceIds: [] })).toEqual(true)
      expect(takes({ zones: ['kartli'], instanceIds: [] })).toEqual(false)
      expect(takes({ zones: [], instanceIds: ['fescue-llm-1'] })).toEqual(false)
      expect(takes({ zones: [], instanceIds: [] }, { ...endpoint, listedState: 'leaving' })).toEqual(false)
    })
  })
})

describe('gateway streams', () => {
  /** Relays what a server sends, and returns what the caller got and the problem that was told. */
  const relay = async (events: readonly string[]): Promise<{ text: string, problem: string | undefined }> => {
    const source = Http.createServer((_request, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.end(events.join(''))
    })
    const portOf = async (server: Http.Server): Promise<number> => await new Promise(resolve => {
      server.listen(0, '127.0.0.1', () => { resolve((server.address() as Net.AddressInfo).port) })
    })
    let problem: string | undefined
    const sourcePort = await portOf(source)
    const gateway = Http.createServer((_request, response) => {
      const exchange = { response, nextIndex: 0, version: undefined, callId: 'call-1', wroteAtMs: 0 } as any
      Http.get({ port: sourcePort, host: '127.0.0.1' }, incoming => {
        Streams.relayStream({
          exchange,
          attempt: { paused: false } as any,
          incoming,
          modelVersion: 'v1',
          clock: () => 0,
          onBegin: () => {},
          onEnd: told => { problem = told; response.end() }
        })
      })
    })
    const port = await portOf(gateway)
    const text = await (await fetch(`http://127.0.0.1:${port}/`)).text()
    for (const server of [source, gateway]) {
      server.closeAllConnections()
      server.close()
    }
    return { text, problem }
  }
  const token = (index: number): string => `event: token\ndata: {"index":${index},"text":"t"}\n\n`
  const end = (tokenCount: number, modelVersion: string): string => `event: end\ndata: {"tokenCount":${tokenCount},"modelVersion":"${modelVersion}"}\n\n`

  describe('relayStream', () => {
    it('passes a whole stream on with its end mark', async () => {
      expect(await relay([token(0), token(1), end(2, 'v1')])).toEqual({ text: token(0) + token(1) + end(2, 'v1'), problem: undefined })
    })

    it('tells of a stream without an end mark', async () => {
      expect(await relay([token(0)])).toEqual({ text: token(0), problem: 'The stream ended without its end mark.' })
    })

    it('tells of a missing token, and of an end mark that counts more or names another version', async () => {
      expect((await relay([token(0), token(2)])).problem).toEqual('A token is missing.')
      expect(await relay([token(0), end(2, 'v1')])).toEqual({ text: token(0), problem: 'The end mark counts 2 tokens; 1 came.' })
      expect(await relay([token(0), end(1, 'v2')])).toEqual({ text: token(0), problem: 'The stream ended with version v2.' })
    })
  })
})
