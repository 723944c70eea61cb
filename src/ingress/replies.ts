/**
 * Writes answers that are not streamed.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Bodies from './bodies.ts'

/** Writes answers to callers; the `write` functions do nothing once the head was sent or the caller is gone. */
export interface Replies {
  /** Writes an answer of the gateway itself, with the reason as JSON. */
  write: (response: Http.ServerResponse, status: number, headers: Readonly<Record<string, string>>, reason: string) => void
  /** Writes a complete answer of an endpoint. */
  writeEndpointAnswer: (response: Http.ServerResponse, head: Bodies.AnswerHead, body: Buffer) => void
  /** Adds `Connection: close` to the headers while the process is shutting down. */
  withConnectionHeader: (rawHeaders: readonly string[]) => readonly string[]
}

/**
 * Creates the writer.
 *
 * @param isStopping - Returns whether the process is shutting down, so that callers have to use other connections.
 * @returns The writer.
 */
export function createReplies (isStopping: () => boolean): Replies {
  const withConnectionHeader = (rawHeaders: readonly string[]): readonly string[] => isStopping() ? [...rawHeaders, 'Connection', 'close'] : rawHeaders
  return {
    withConnectionHeader,
    write: (response, status, headers, reason) => {
      if (response.headersSent || response.destroyed) return
      const body = JSON.stringify({ error: reason })
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers, ...(isStopping() ? { connection: 'close' } : {}) })
      response.end(body)
    },
    writeEndpointAnswer: (response, head, body) => {
      if (response.headersSent || response.destroyed) return
      Bodies.writeWhole(response, { ...head, rawHeaders: withConnectionHeader(head.rawHeaders) }, body)
    }
  }
}
