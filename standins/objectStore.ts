/**
 * Stand-in of the platform's object store.
 *
 * @packageDocumentation
 */
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Faults from './faults.ts'

/**
 * Starts an object store with nothing in it.
 *
 * @param options - Port and seed of its faults.
 * @returns The store.
 */
export async function createObjectStore (options: { port?: number, seed?: number } = {}): Promise<Faults.StandIn> {
  const objects = new Map<string, Buffer>()
  return await Faults.createStandIn({
    ...options,
    routes: [
      {
        method: 'PUT',
        path: '/objects/*',
        handle: async (request, response, path) => {
          objects.set(path, await Faults.readBytes(request))
          HttpServer.sendJson(response, 200, {})
        }
      },
      {
        method: 'GET',
        path: '/objects/*',
        handle: (_request, response, path) => {
          const body = objects.get(path)
          if (body === undefined) { HttpServer.sendJson(response, 404, {}); return }
          response.writeHead(200, { 'content-length': body.length })
          response.end(body)
        }
      }
    ]
  })
}
