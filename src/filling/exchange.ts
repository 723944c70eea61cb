/**
 * Exchange of chunks and manifests between agents over HTTP.
 *
 * @packageDocumentation
 */
import * as HttpClient from '../edge/httpClient.ts'
import type * as HttpServer from '../edge/httpServer.ts'
import type * as Pacer from '../weights/edge/pacer.ts'
import type * as ChunkCache from './chunkCache.ts'
import * as Manifests from './manifests.ts'
import type * as Ports from './ports.ts'

const PATH_PREFIX = '/weights/'
const MANIFEST_ITEM = 'manifest'
/** Maximum number of chunks queued for sending. Beyond it a request gets `PENDING_STATUS`, since another agent can serve it sooner. */
const UPLOAD_QUEUE_LIMIT_COUNT = 2
/** Status for a chunk that this agent is still fetching, or cannot send yet because its queue is full: a later request may succeed. */
const PENDING_STATUS = 202
const ABSENT_STATUS = 404
/** Timeout of a transfer between agents, in milliseconds; a few chunks may share a slow link. */
const TRANSFER_TIMEOUT_MS = 1_000

/**
 * Creates the HTTP route that serves chunks and manifests to other agents.
 *
 * @param cache - The chunks in memory.
 * @param isFetching - Whether this agent is fetching a version.
 * @param upload - Paces the chunks that are sent, so that they do not delay the engine's answers on the same link.
 * @returns The route.
 */
export function createRoute (cache: ChunkCache.ChunkCache, isFetching: (model: string, version: number) => boolean, upload: Pacer.Pacer): HttpServer.Route {
  return {
    method: 'GET',
    path: `${PATH_PREFIX}*`,
    handle: async (_request, response, path) => {
      const [model = '', version = '', item = ''] = path.slice(PATH_PREFIX.length).split('/').map(decodeURIComponent)
      const chunkSet = cache.chunkSetOf(model, Number(version))
      if (item === MANIFEST_ITEM) {
        response.writeHead(chunkSet === undefined ? 404 : 200)
        response.end(chunkSet === undefined ? undefined : JSON.stringify(chunkSet.manifest))
        return
      }
      const fetching = isFetching(model, Number(version))
      const chunk = chunkSet?.chunks[Number(item)]
      const isBusy = upload.waitingCount() >= UPLOAD_QUEUE_LIMIT_COUNT
      if (chunk === undefined || isBusy) {
        response.writeHead(chunk === undefined && !fetching ? ABSENT_STATUS : PENDING_STATUS, { 'content-length': 0 })
        response.end()
        return
      }
      await upload.pass(chunk.length)
      response.writeHead(200, { 'content-length': chunk.length })
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
 * @param index - The index of the chunk.
 * @returns The bytes, not yet verified; `pending` if the agent is still fetching the chunk or is busy, `absent` if it lacks the chunk, undefined on any other answer or none.
 */
export async function fetchChunk (target: HttpClient.Target, model: string, version: number, index: number): Promise<Buffer | 'pending' | 'absent' | undefined> {
  return await fetchItem(target, model, version, String(index))
}

/**
 * Fetches a manifest from another agent.
 *
 * @param target - The agent.
 * @param model - The model.
 * @param version - Its version.
 * @returns The manifest, not yet compared with what was asked for; undefined if the agent does not provide one.
 */
export async function fetchManifest (target: HttpClient.Target, model: string, version: number): Promise<Ports.WeightManifest | undefined> {
  const bytes = await fetchItem(target, model, version, MANIFEST_ITEM)
  return bytes instanceof Buffer ? Manifests.decode(bytes.toString()).unwrapOr(undefined) : undefined
}

async function fetchItem (target: HttpClient.Target, model: string, version: number, item: string): Promise<Buffer | 'pending' | 'absent' | undefined> {
  const path = `${PATH_PREFIX}${encodeURIComponent(model)}/${version}/${item}`
  const answer = await HttpClient.send({ target, method: 'GET', path, timeoutMs: TRANSFER_TIMEOUT_MS }).catch(() => undefined)
  if (answer?.status === PENDING_STATUS) return 'pending'
  if (answer?.status === ABSENT_STATUS) return 'absent'
  return answer?.status === 200 ? answer.body : undefined
}
