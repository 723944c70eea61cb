/**
 * A minimal pass-through over Node's own HTTP: the baseline that the whole path is compared with.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'

/** A running pass-through. */
export interface PassThrough {
  readonly port: number
  close: () => Promise<void>
}

/**
 * Starts a pass-through that hands requests on without reading them.
 *
 * @param options - The port of the server behind it.
 * @returns The pass-through.
 */
export async function createPassThrough (options: { port?: number, targetPort: number }): Promise<PassThrough> {
  const agent = new Http.Agent({ keepAlive: true, maxFreeSockets: 256 })
  const server = Http.createServer((request, response) => {
    const outgoing = Http.request({ host: '127.0.0.1', port: options.targetPort, method: request.method, path: request.url, headers: request.headers, agent }, incoming => {
      response.writeHead(incoming.statusCode ?? 502, incoming.headers)
      incoming.pipe(response)
    })
    outgoing.on('error', () => { response.destroy() })
    request.pipe(outgoing)
  })
  await new Promise<void>(resolve => { server.listen(options.port ?? 0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    close: async () => {
      agent.destroy()
      await new Promise<void>(resolve => {
        server.close(() => { resolve() })
        server.closeAllConnections()
      })
    }
  }
}
