/**
 * Chunks and manifests between agents, over HTTP.
 *
 * @packageDocumentation
 */
import * as HttpClient from '../edge/httpClient.ts'
import type * as HttpServer from '../edge/httpServer.ts'
import type * as Library from './library.ts'
import type * as Ports from './ports.ts'

const PATH = '/weights/'
const MANIFEST = 'manifest'
/** An agent that is fetching the chunk itself holds the answer back for so long, in milliseconds. */
const HOLD_MS = 900
/** A chunk is on its way for at most so long once it is held, in milliseconds: several chunks share a thin link. */
const TRANSFER_MS = 1_600

/**
 * Makes the route that serves chunks and manifests to other agents.
 *
 * @param library - The chunks in memory.
 * @param isFetching - Whether this agent is fetching a version.
 * @returns The route.
 */
export function createRoute (library: Library.Library, isFetching: (model: string, version: number) => boolean): HttpServer.Route {
  return {
    method: 'GET',
    path: `${PATH}*`,
    handle: async (_request, response, path) => {
      const [model = '', version = '', item = ''] = path.slice(PATH.length).split('/').map(decodeURIComponent)
      const volume = library.volumeOf(model, Number(version))
      if (item === MANIFEST) {
        response.writeHead(volume === undefined ? 404 : 200)
        response.end(volume === undefined ? undefined : JSON.stringify(volume.manifest))
        return
      }
      const chunk = await library.wait(model, Number(version), Number(item), isFetching(model, Number(version)) ? HOLD_MS : 0)
      response.writeHead(chunk === undefined ? 404 : 200, { 'content-length': chunk?.length ?? 0 })
      response.end(chunk)
    }
  }
}

/**
 * Fetches a chunk from another agent.
 *
 * @param target - The agent.
 * @param model - The model.
 * @param version - Its version.
 * @param index - The chunk.
 * @returns The bytes, not yet verified; undefined when the agent gives none.
 */
export async function fetchChunk (target: HttpClient.Target, model: string, version: number, index: number): Promise<Buffer | undefined> {
  return await fetchItem(target, model, version, String(index))
}

/**
 * Fetches a manifest from another agent.
 *
 * @param target - The agent.
 * @param model - The model.
 * @param version - Its version.
 * @returns The manifest; undefined when the agent gives none.
 */
export async function fetchManifest (target: HttpClient.Target, model: string, version: number): Promise<Ports.WeightManifest | undefined> {
  const bytes = await fetchItem(target, model, version, MANIFEST)
  try {
    return bytes === undefined ? undefined : JSON.parse(bytes.toString()) as Ports.WeightManifest
  } catch {
    return undefined
  }
}

async function fetchItem (target: HttpClient.Target, model: string, version: number, item: string): Promise<Buffer | undefined> {
  const path = `${PATH}${encodeURIComponent(model)}/${version}/${item}`
  const answer = await HttpClient.send({ target, method: 'GET', path, timeoutMs: HOLD_MS + TRANSFER_MS }).catch(() => undefined)
  return answer?.status === 200 ? answer.body : undefined
}
