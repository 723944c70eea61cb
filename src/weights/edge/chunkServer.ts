/**
 * Serves chunks and weight manifests to peers over a paced upload link that they share fairly.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Edge from '../../edge/index.ts'
import type * as ChunkStore from './chunkStore.ts'
import * as News from './news.ts'
import type * as Pacer from './pacer.ts'

/** What a chunk server needs. */
export interface ServerOptions {
  readonly store: ChunkStore.ChunkStore
  readonly region: string
  readonly upload: Pacer.Pacer
  /** Paces bytes that leave the region. */
  readonly border: Pacer.Pacer
  /** Whether the request comes from one of the system's own processes. */
  readonly isPeer: (request: Http.IncomingMessage, path: string, news: string) => boolean
  readonly hear: (header: string) => void
  /** The agent's news about a set, for the header of the answer. */
  readonly newsHeader: (digest: string) => string | undefined
  readonly onAsked: (chunkDigest: string) => void
  readonly onQueued: (queuedCount: number) => void
  readonly onServed: (sizeBytes: number, crossesBorder: boolean) => void
}

interface Waiting {
  readonly peerId: string
  readonly digest: string
  readonly chunkDigest: string
  readonly response: Http.ServerResponse
  readonly crossesBorder: boolean
  readonly sinceMs: number
}

/** A request that has waited for so long goes first, in milliseconds. */
const LONG_WAIT_MS = 1_000
/** Uploads that share the link at once. */
const SLOT_COUNT = 2
/** Requests that may wait for a slot. */
const QUEUE_LIMIT_COUNT = 8
const PIECE_BYTES = 16 * 1024
/** An upload whose receiver takes nothing for so long is ended, in milliseconds. */
const RECEIVER_STALL_MS = 5_000

/**
 * Creates the routes that peers fetch from.
 *
 * @param options - Store, paces and hooks.
 * @returns The routes.
 */
export function createChunkRoutes (options: ServerOptions): Edge.HttpServer.Route[] {
  const waiting: Waiting[] = []
  const servedCounts = new Map<string, number>()
  const sentBytes = new Map<string, number>()
  let activeCount = 0

  /** Prefers the chunk served least, then the peer that was sent least; nobody is passed by for long. */
  const next = (): Waiting | undefined => {
    const [oldest] = waiting
    if (oldest !== undefined && performance.now() - oldest.sinceMs > LONG_WAIT_MS) return waiting.shift()
    let best = 0
    const costOf = (entry: Waiting): number => (servedCounts.get(entry.chunkDigest) ?? 0) * 2 ** 40 + (sentBytes.get(entry.peerId) ?? 0)
    for (let at = 1; at < waiting.length; at++) if (costOf(waiting[at] as Waiting) < costOf(waiting[best] as Waiting)) best = at
    return waiting.splice(best, 1)[0]
  }
  const pump = (): void => {
    while (activeCount < SLOT_COUNT && waiting.length > 0) {
      const entry = next()
      if (entry === undefined || entry.response.destroyed) continue
      activeCount++
      void serve(entry).finally(() => { activeCount--; pump() })
    }
    options.onQueued(waiting.length + activeCount)
  }
  const serve = async (entry: Waiting): Promise<void> => {
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
  const guarded = (handle: Edge.HttpServer.Handler): Edge.HttpServer.Handler => async (request, response, path) => {
    if (!options.isPeer(request, path, String(request.headers[News.NEWS_HEADER] ?? ''))) { Edge.HttpServer.sendCode(response, 'unauthorized'); return }
    await handle(request, response, path)
  }
  const takeRequest: Edge.HttpServer.Handler = (request, response, path) => {
    const chunkDigest = path.slice(path.lastIndexOf('/') + 1)
    const digest = String(request.headers[News.SET_HEADER] ?? '')
    const news = request.headers[News.NEWS_HEADER]
    if (typeof news === 'string' && news !== '') options.hear(news)
    options.onAsked(chunkDigest)
    if (options.store.get(chunkDigest) === undefined) { answerWithNews(response, 404, newsHeaders(digest)); return }
    if (waiting.length >= QUEUE_LIMIT_COUNT) { answerWithNews(response, 429, newsHeaders(digest)); return }
    const entry: Waiting = {
      peerId: String(request.headers[News.INSTANCE_HEADER] ?? ''),
      digest,
      chunkDigest,
      response,
      crossesBorder: request.headers[News.REGION_HEADER] !== options.region,
      sinceMs: performance.now()
    }
    response.once('close', () => {
      const at = waiting.indexOf(entry)
      if (at >= 0) waiting.splice(at, 1)
    })
    waiting.push(entry)
    pump()
  }
  const takeManifestRequest: Edge.HttpServer.Handler = (_request, response, path) => {
    const bytes = options.store.manifestBytesOf(path.slice(path.lastIndexOf('/') + 1))
    if (bytes === undefined) { Edge.HttpServer.sendCode(response, 'notFound'); return }
    response.writeHead(200, { 'content-length': bytes.length })
    response.end(bytes)
  }
  return [
    { method: 'GET', path: '/chunks/*', handle: guarded(takeRequest) },
    { method: 'GET', path: '/weights/*', handle: guarded(takeManifestRequest) }
  ]
}

function answerWithNews (response: Http.ServerResponse, status: number, headers: Readonly<Record<string, string>>): void {
  response.writeHead(status, { 'content-length': 0, ...headers })
  response.end()
}

async function writePaced (response: Http.ServerResponse, body: Buffer, pacers: readonly Pacer.Pacer[]): Promise<void> {
  for (let at = 0; at < body.length && !response.destroyed; at += PIECE_BYTES) {
    const piece = body.subarray(at, at + PIECE_BYTES)
    for (const pacer of pacers) await pacer.pass(piece.length)
    if (!response.write(piece)) await untilDrained(response)
  }
  response.end()
}

async function untilDrained (response: Http.ServerResponse): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    const timer = setTimeout(() => { response.destroy(); finish() }, RECEIVER_STALL_MS)
    response.once('drain', finish)
    response.once('close', finish)
  })
}
