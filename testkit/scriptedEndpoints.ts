/**
 * Endpoints that write to their sockets what a script says, and the parts of such answers.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'
import type * as Direct from './direct.ts'
import * as Wait from './wait.ts'

/** Answers a call on its socket; `count` is the number of calls before it on the connection. */
export type Script = (socket: Net.Socket, id: string, count: number) => void

/** An endpoint that writes what a script says. */
export interface ScriptedEndpoint {
  readonly port: number
  /** Ids of the calls that arrived, in order. */
  readonly arrived: string[]
  script: Script
  close: () => Promise<void>
}

const WAIT_TIMEOUT_MS = 5_000
/** A complete request: one without a body, or one whose body is that of the stage's callers. */
const COMPLETE_REQUEST = /^HEAD [^]*\r\n\r\n$|prompt$/
/** Header that marks an answer as the endpoint's own. */
export const SEAL = 'X-Fescuespread-Response-Seal: s\r\n'

/**
 * Starts an endpoint.
 *
 * @param script - What it answers.
 * @returns The endpoint, to be closed.
 */
export async function startEndpoint (script: Script): Promise<ScriptedEndpoint> {
  const sockets = new Set<Net.Socket>()
  const endpoint: ScriptedEndpoint = { port: 0, arrived: [], script, close: async () => {} }
  const server = Net.createServer(socket => {
    let count = 0
    let pending = ''
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      pending += bytes.toString('latin1')
      const id = /x-fescuespread-attempt-id: (\S+)/i.exec(pending)?.[1]
      if (!COMPLETE_REQUEST.test(pending) || id === undefined) return
      pending = ''
      endpoint.arrived.push(id)
      endpoint.script(socket, id, count++)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return Object.assign(endpoint, {
    port: (server.address() as Net.AddressInfo).port,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  })
}

/**
 * Replaces the endpoint of a service, whose id is `plain` or `engine`, by scripted ones.
 *
 * @param stage - The stage.
 * @param service - The service.
 * @param scripts - What each of the new endpoints answers.
 * @returns The endpoints, once the gateway knows them alone; to be closed.
 */
export async function replaceEndpoint (stage: Direct.DirectStage, service: 'plain' | 'llm', scripts: readonly Script[]): Promise<readonly ScriptedEndpoint[]> {
  const endpoints = await Promise.all(scripts.map(startEndpoint))
  const path = service === 'llm' ? '/stream/1' : '/read/1'
  const replacedId = service === 'llm' ? 'engine' : 'plain'
  await Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path })).status === 200)
  for (const [at, { port }] of endpoints.entries()) stage.list({ ...stage.runners[service === 'llm' ? 1 : 0], instanceId: `scripted-${service}-${at}`, port } as Direct.DirectStage['runners'][number], { backend: service })
  stage.store.drop('servers', replacedId)
  const hasLine = (sentence: string, endpointId: string): boolean => stage.lines.some(line => line.sentence === sentence && line.fields.endpointId === endpointId)
  await Wait.until('the gateway knows the endpoints', WAIT_TIMEOUT_MS, () => hasLine('Endpoint no longer listed.', replacedId) && endpoints.every((_, at) => hasLine('Endpoint listed.', `scripted-${service}-${at}`)))
  for (const { arrived } of endpoints) arrived.length = 0
  return endpoints
}

/**
 * Writes the first lines of an answer.
 *
 * @param status - The status and its reason.
 * @param id - The id of the call.
 * @param more - What follows.
 * @returns The text.
 */
export function headOf (status: string, id: string, more = ''): string {
  return `HTTP/1.1 ${status}\r\nX-Fescuespread-Attempt-Id: ${id}\r\n${more}`
}

/** Writes a refusal of a call that was not run. */
export const refusalOf = (id: string): string => headOf('503 Service Unavailable', id, 'X-Fescuespread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
/** Writes a complete answer with a length. */
export const answerOf = (id: string): string => headOf('200 OK', id, `${SEAL}Content-Length: 5\r\n\r\nwhole`)
/** Writes a chunk. */
export const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
/** The last chunk of a body. */
export const LAST_CHUNK = '0\r\n\r\n'
/** Writes an event of a stream. */
export const eventOf = (id: number): string => `id: ${id}\ndata: piece\n\n`
/** Writes the head of a stream that is chunked. */
export const streamOf = (id: string): string => headOf('200 OK', id, `${SEAL}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
/** Writes the head of a stream that ends with its connection. */
export const unframedStreamOf = (id: string): string => headOf('200 OK', id, `${SEAL}Content-Type: text/event-stream\r\n\r\n`)
