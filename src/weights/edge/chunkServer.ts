/**
 * Serves chunks and weight manifests to peers over a rate-limited upload link that is shared fairly among them.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Edge from '../../edge/index.ts'
import type * as ChunkStore from './chunkStore.ts'
import * as News from './news.ts'
import type * as Pacer from './pacer.ts'

/** Options of a chunk server. */
export interface ServerOptions {
  readonly store: ChunkStore.ChunkStore
  readonly region: string
  readonly upload: Pacer.Pacer
  /** Limits the rate of bytes that leave the region. */
  readonly border: Pacer.Pacer
  /** Returns whether the request is signed by one of the system's own processes. */
  readonly isPeer: (request: Http.IncomingMessage, path: string, news: string) => boolean
  readonly onNews: (header: string) => void
  /** Returns the agent's news of a set for the response header. */
  readonly newsHeader: (digest: string) => string | undefined
  readonly onRequested: (chunkDigest: string) => void
  /** Called with the number of requests queued or in progress. */
  readonly onQueued: (queuedCount: number) => void
  readonly onServed: (sizeBytes: number, crossesBorder: boolean) => void
}

interface QueuedRequest {
  readonly peerId: string
  readonly digest: string
  readonly chunkDigest: string
  readonly response: Http.ServerResponse
  readonly crossesBorder: boolean
  readonly queuedAtMs: number
}

/** Time after which a queued request is served first, in milliseconds. */
const PRIORITY_WAIT_MS = 1_000
/** Maximum number of concurrent uploads. */
const UPLOAD_SLOT_COUNT = 2
/** Maximum number of requests that wait for an upload slot. */
const QUEUE_LIMIT_COUNT = 8
/** Size of the parts in which an upload is paced and written. */
const WRITE_SIZE_BYTES = 16 * 1024
/** Time after which an upload is aborted if the receiver reads nothing, in milliseconds. */
const RECEIVER_STALL_TIMEOUT_MS = 5_000

/**
 * Creates the routes from which peers fetch chunks and manifests.
 *
 * @param options - Store, pacers and callbacks.
 * @returns The routes.
 */
export function createChunkRoutes (options: ServerOptions): Edge.HttpServer.Route[] {
  const queue: QueuedRequest[] = []
  const servedCounts = new Map<string, number>()
  const sentBytes = new Map<string, number>()
  let activeCount = 0

  /** Prefers the chunk served least often, then the peer that was sent the fewest bytes; no request starves. */
  const takeNext = (): QueuedRequest | undefined => {
    const [oldest] = queue
    if (oldest !== undefined && performance.now() - oldest.queuedAtMs > PRIORITY_WAIT_MS) return queue.shift()
    let best = 0
    const costOf = (entry: QueuedRequest): number => (servedCounts.get(entry.chunkDigest) ?? 0) * 2 ** 40 + (sentBytes.get(entry.peerId) ?? 0)
    for (let at = 1; at < queue.length; at++) if (costOf(queue[at] as QueuedRequest) < costOf(queue[best] as QueuedRequest)) best = at
    return queue.splice(best, 1)[0]
  }
  const pump = (): void => {
    while (activeCount < UPLOAD_SLOT_COUNT && queue.length > 0) {
      const entry = takeNext()
      if (entry === undefined || entry.response.destroyed) continue
      activeCount++
      void serve(entry).finally(() => { activeCount--; pump() })
    }
    options.onQueued(queue.length + activeCount)
  }
  const serve = async (entry: QueuedRequest): Promise<void> => {
    const chunk = options.store.get(entry.chunkDigest)
    if (chunk === undefined) { Edge.HttpServer.sendCode(entry.response, 'notFound'); return }
    servedCounts.set(entry.chunkDigest, (servedCounts.get(entry.chunkDigest) ?? 0) + 1)
    sentBytes.set(entry.peerId, (sentBytes.get(entry.peerId) ?? 0) + chunk.length)
    entry.response.writeHead(200, { 'content-length': chunk.length, ...newsHeaders(entry.digest) })
    await writePaced(entry.response, chunk, entry.crossesBorder ? [options.border, options.upload] : [options.upload])
    options.onServed(chunk.length, entry.crossesBorder)
  }
  const newsHeaders = (digest: string): Record<string, string> => {
    const header = options.newsHeader(digest)
    return header === undefined ? {} : { [News.NEWS_HEADER]: header }
  }
  const requirePeer = (handle: Edge.HttpServer.Handler): Edge.HttpServer.Handler => async (request, response, path) => {
    if (!options.isPeer(request, path, String(request.headers[News.NEWS_HEADER] ?? ''))) { Edge.HttpServer.sendCode(response, 'unauthorized'); return }
    await handle(request, response, path)
  }
  const handleChunkRequest: Edge.HttpServer.Handler = (request, response, path) => {
    const chunkDigest = path.slice(path.lastIndexOf('/') + 1)
    const digest = String(request.headers[News.SET_HEADER] ?? '')
    const news = request.headers[News.NEWS_HEADER]
    if (typeof news === 'string' && news !== '') options.onNews(news)
    options.onRequested(chunkDigest)
    if (options.store.get(chunkDigest) === undefined) { sendEmpty(response, 404, newsHeaders(digest)); return }
    if (queue.length >= QUEUE_LIMIT_COUNT) { sendEmpty(response, 429, newsHeaders(digest)); return }
    const entry: QueuedRequest = {
      peerId: String(request.headers[News.INSTANCE_HEADER] ?? ''),
      digest,
      chunkDigest,
      response,
      crossesBorder: request.headers[News.REGION_HEADER] !== options.region,
      queuedAtMs: performance.now()
    }
    response.once('close', () => {
      const at = queue.indexOf(entry)
      if (at >= 0) queue.splice(at, 1)
    })
    queue.push(entry)
    pump()
  }
  const handleManifestRequest: Edge.HttpServer.Handler = (_request, response, path) => {
    const bytes = options.store.manifestBytesOf(path.slice(path.lastIndexOf('/') + 1))
    if (bytes === undefined) { Edge.HttpServer.sendCode(response, 'notFound'); return }
    response.writeHead(200, { 'content-length': bytes.length })
    response.end(bytes)
  }
  return [
    { method: 'GET', path: '/chunks/*', handle: requirePeer(handleChunkRequest) },
    { method: 'GET', path: '/weights/*', handle: requirePeer(handleManifestRequest) }
  ]
}

function sendEmpty (response: Http.ServerResponse, status: number, headers: Readonly<Record<string, string>>): void {
  response.writeHead(status, { 'content-length': 0, ...headers })
  response.end()
}

async function writePaced (response: Http.ServerResponse, body: Buffer, pacers: readonly Pacer.Pacer[]): Promise<void> {
  for (let at = 0; at < body.length && !response.destroyed; at += WRITE_SIZE_BYTES) {
    const piece = body.subarray(at, at + WRITE_SIZE_BYTES)
    for (const pacer of pacers) await pacer.pass(piece.length)
    if (!response.write(piece)) await waitForDrain(response)
  }
  response.end()
}

async function waitForDrain (response: Http.ServerResponse): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    const timer = setTimeout(() => { response.destroy(); finish() }, RECEIVER_STALL_TIMEOUT_MS)
    response.once('drain', finish)
    response.once('close', finish)
  })
}
