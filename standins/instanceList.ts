/**
 * Stand-in of the platform's list of instances, which lags behind what is registered.
 *
 * @packageDocumentation
 */
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Decode from '../src/schema/decode.ts'
import * as Platform from '../src/schema/platform.ts'
import * as Faults from './faults.ts'

/** A running instance list. */
export interface InstanceList extends Faults.StandIn {
  put: (instance: Platform.Instance) => void
  remove: (instanceId: string) => void
}

const decode = Decode.json(Platform.Instance)

/**
 * Starts an instance list.
 *
 * @param options - How far the list lags in milliseconds.
 * @returns The list. `PUT /instances/ID` registers, `DELETE /instances/ID` removes.
 */
export async function createInstanceList (options: { port?: number, lagMs?: number, seed?: number } = {}): Promise<InstanceList> {
  const lagMs = options.lagMs ?? 0
  const shown = new Map<string, Platform.Instance>()
  const later = (change: () => void): void => {
    if (lagMs === 0) change()
    else setTimeout(change, lagMs).unref()
  }
  const put = (instance: Platform.Instance): void => { later(() => shown.set(instance.instanceId, instance)) }
  const remove = (instanceId: string): void => { later(() => shown.delete(instanceId)) }
  const standIn = await Faults.createStandIn({
    port: options.port,
    seed: options.seed,
    routes: [
      { method: 'GET', path: '/instances', handle: (_request, response) => { HttpServer.sendJson(response, 200, { instances: [...shown.values()] }) } },
      {
        method: 'PUT',
        path: '/instances/*',
        handle: async (request, response) => {
          const instance = decode(await Faults.readText(request))
          if (instance.isErr()) { HttpServer.sendJson(response, 400, { error: Decode.describe(instance.error) }); return }
          put(instance.value)
          HttpServer.sendJson(response, 200, {})
        }
      },
      {
        method: 'DELETE',
        path: '/instances/*',
        handle: (_request, response, path) => {
          remove(path.slice('/instances/'.length))
          HttpServer.sendJson(response, 200, {})
        }
      }
    ]
  })
  return { ...standIn, put, remove }
}
