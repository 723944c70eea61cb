/**
 * A caller's request on the byte path, with the attempts that are under way for it.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as Edge from '../edge/index.ts'

/** An attempt under way. */
export interface Attempt {
  readonly attemptId: string
  readonly target: Edge.HttpClient.Target
  readonly request: Http.ClientRequest
  /** When anything came over the connection last. */
  heardAtMs: number
  /** Whether the caller does not keep up, so that nothing is read. */
  paused: boolean
  /** Whether a whole answer is being read, in which HTTP leaves no room for heartbeats. */
  readsBody: boolean
}

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** A caller's request that has no final answer yet. */
export interface Exchange {
  readonly callId: string
  readonly body: Buffer
  readonly response: Http.ServerResponse
  readonly stream: boolean
  /** Whether the answer is saved with a claim. */
  readonly saves: boolean
  readonly attempts: Map<string, Attempt>
  /** The attempt whose answer is taken; empty while none has begun. */
  winnerId: string
  /** The whole answer of the attempt that ended last. */
  answer: WholeAnswer | undefined
  /** The next token that the caller is to get. */
  nextIndex: number
  /** The model version of the tokens that the caller got. */
  version: string | undefined
  /** When anything was written to the caller last. */
  wroteAtMs: number
}

/**
 * Creates the exchange of a request that has arrived.
 *
 * @param callId - Names the call.
 * @param body - The request's body.
 * @param response - The response to the caller.
 * @param stream - Whether the caller takes a stream.
 * @param saves - Whether the answer is saved with a claim.
 * @returns The exchange.
 */
export function createExchange (callId: string, body: Buffer, response: Http.ServerResponse, stream: boolean, saves: boolean): Exchange {
  return { callId, body, response, stream, saves, attempts: new Map(), winnerId: '', answer: undefined, nextIndex: 0, version: undefined, wroteAtMs: 0 }
}
