/**
 * The byte paths of the system's own gateway and agent, each without the decisions around it.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'
import * as AgentCalls from '../src/agent/calls.ts'
import * as AgentTables from '../src/agent/tables.ts'
import * as Control from '../src/control/index.ts'
import * as Edge from '../src/edge/index.ts'
import * as Callers from '../src/gateway/callers.ts'
import type * as Messages from '../src/gateway/messages.ts'
import * as CallWire from '../src/schema/callWire.ts'
import type * as Schemas from '../src/schema/index.ts'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 5_000
/** Time for a whole answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000

/** A server that answers each request with the same bytes. */
export interface FixedServer {
  readonly port: number
  /** Number of requests that arrived. */
  requestCount: () => number
  close: () => Promise<void>
}

/**
 * Starts such a server.
 *
 * @param answer - What it writes.
 * @param onWritten - Called once an answer was handed to the system.
 * @returns The server, to be closed.
 */
export async function startFixedServer (answer: string, onWritten: (socket: Net.Socket) => void = () => {}): Promise<FixedServer> {
  const sockets = new Set<Net.Socket>()
  let requestCount = 0
  const server = Net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      if (!/^[A-Z]+ /.test(bytes.toString('latin1'))) return
      requestCount++
      socket.write(answer, () => { onWritten(socket) })
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

const ENVELOPE: Schemas.Calls.CallEnvelope = { callId: 'c', attemptId: 'a', gatewayId: 'g', workspace: 'w', service: 's', method: 'POST', path: '/p', timeLeftMs: TIMEOUT_MS, priority: 1, idempotent: false, stream: false, resumeFromIndex: 0, digest: 'd'.repeat(64), agentIncarnation: 'i' }

/**
 * Starts the relay of an agent that admits every call.
 *
 * @param endpointPort - The port of its endpoint.
 * @returns The agent, to be stopped, and a function that offers it a call.
 */
export async function startAgent (endpointPort: number) {
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
    port: server.port,
    offer: async () => {
      const answer = await Edge.HttpClient.send({ target: { host: HOST, port: server.port }, method: 'POST', path: CallWire.CALL_PATH, headers: { [CallWire.ENVELOPE_HEADER]: JSON.stringify(ENVELOPE) }, timeoutMs: ANSWER_TIMEOUT_MS, fresh: true })
      return { httpStatus: answer.status, result: JSON.parse(String(answer.headers[CallWire.RESULT_HEADER])) as Schemas.Calls.CallResult }
    },
    stop: async () => {
      relay.stop()
      await server.close(0)
    }
  }
}

/**
 * Starts the byte path of a gateway that sends each call to one agent, and ends it when its attempt ends.
 *
 * @param agentPort - The port of the agent.
 * @param onArrived - Handles a call in place of sending it.
 * @returns The gateway, to be stopped, the ends of its attempts, and a function that makes a call.
 */
export async function startGateway (agentPort: number, onArrived?: (callers: Callers.Callers) => void) {
  const ends: Messages.AttemptEnd[] = []
  const handlers: { readonly [Kind in Messages.Input['kind']]?: (input: Extract<Messages.Input, { kind: Kind }>) => void } = {
    callArrived: () => {
      if (onArrived === undefined) callers.dispatch({ callId: 'c', target: { host: HOST, port: agentPort }, endpointId: 'e', envelope: ENVELOPE })
      else onArrived(callers)
    },
    attemptEnded: ({ end }) => {
      ends.push(end)
      if (end.code === 'ok') callers.deliver('c')
      else callers.finish('c', end.code, {})
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
    call: async () => await Edge.HttpClient.send({ target: { host: HOST, port: server.port }, method: 'POST', path: '/p', body: 'prompt', timeoutMs: ANSWER_TIMEOUT_MS, fresh: true }),
    stop: async () => {
      callers.stop()
      await server.close(0)
    }
  }
}
