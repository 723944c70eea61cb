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
  /** Writes an endpoint's answer; one that came without a length ends with the connection. */
  writeEndpointAnswer: (response: Http.ServerResponse, status: number, rawHeaders: string[], body: Buffer, isFramed: boolean) => void
  /** Adds `Connection: close` to the headers while the process is shutting down. */
  withConnectionHeader: (rawHeaders: string[]) => string[]
}

/**
 * Creates the writer.
 *
 * @param isStopping - Returns whether the process is shutting down, so that callers have to use other connections.
 * @returns The writer.
 */
export function createReplies (isStopping: () => boolean): Replies {
  const withConnectionHeader = (rawHeaders: string[]): string[] => isStopping() ? [...rawHeaders, 'Connection', 'close'] : rawHeaders
  return {
    withConnectionHeader,
    write: (response, status, headers, reason) => {
      if (response.headersSent || response.destroyed) return
      const body = JSON.stringify({ error: reason })
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers, ...(isStopping() ? { connection: 'close' } : {}) })
      response.end(body)
    },
    writeEndpointAnswer: (response, status, rawHeaders, body, isFramed) => {
      if (response.headersSent || response.destroyed) return
      if (!isFramed) Bodies.useCloseDelimitedBody(response)
      response.writeHead(status, withConnectionHeader(isFramed ? [...rawHeaders, 'Content-Length', String(body.length)] : rawHeaders))
      response.end(body)
    }
  }
}
