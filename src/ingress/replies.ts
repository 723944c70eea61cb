/**
 * Writes whole answers to callers.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Bodies from './bodies.ts'

/** Writes answers. */
export interface Replies {
  /** Writes an answer of the system's own. */
  write: (response: Http.ServerResponse, status: number, headers: Readonly<Record<string, string>>, reason: string) => void
  /** Passes an endpoint's answer on; one without a length ends with the connection. */
  writeEndpointAnswer: (response: Http.ServerResponse, status: number, rawHeaders: string[], body: Buffer, isFramed: boolean) => void
  /** Adds to a head that the connection is not to be used again, where the process is about to stop. */
  withConnectionHeader: (rawHeaders: string[]) => string[]
}

/**
 * Creates the writer.
 *
 * @param isStopping - Whether the process is about to stop, so that callers are to use other connections.
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
