/**
 * Input and output of the swarm: executes its commands, serves peers, and passes on what peers send.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Core from '../../core/index.ts'
import * as Edge from '../../edge/index.ts'
import * as Platform from '../../platform/index.ts'
import type * as Schemas from '../../schema/index.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'
import * as ChunkClient from './chunkClient.ts'
import * as ChunkServer from './chunkServer.ts'
import * as ChunkStore from './chunkStore.ts'
import * as News from './news.ts'
import * as Pacer from './pacer.ts'

/** Options of the edge of the swarm. */
export interface SwarmOptions {
  readonly tables: Tables.Tables
  /** Queues an input for the next tick. */
  readonly push: (input: Messages.Input) => void
  readonly endpoint: Edge.HttpClient.Target
  readonly uploadBytesPerSecond: number
  readonly downloadBytesPerSecond: number
  readonly metrics: Edge.Metrics.Metrics
  /** Signs the path and the news of a request to a peer; returns the authorization header. */
  readonly authorize: (path: string, news: string) => string
  /** Returns whether a request is signed by one of the system's own processes. */
  readonly isPeer: (request: Http.IncomingMessage, path: string, news: string) => boolean
  /** Exchanges news with a peer. */
  readonly exchange: (address: Messages.Address, request: Schemas.Weights.SwarmExchange) => Promise<Schemas.Weights.SwarmExchange>
}

/** The edge of the swarm. */
export interface Swarm {
  perform: (command: Messages.Command) => void
  /** Answers an exchange that a peer started. */
  answer: (request: Schemas.Weights.SwarmExchange) => Schemas.Weights.SwarmExchange
  manifestOf: (digest: string) => Schemas.Weights.WeightManifest | undefined
  readonly routes: readonly Edge.HttpServer.Route[]
  stop: () => void
}

const MANIFEST_TIMEOUT_MS = 5_000
const DELIVERY_TIMEOUT_MS = 30_000

/**
 * Creates the edge of the swarm.
 *
 * @param options - Tables, input queue, rates and connections.
 * @returns The edge.
 */
export function createSwarm (options: SwarmOptions): Swarm {
  const { tables, push, metrics } = options
  const { instanceId, region } = tables.identity
  const upload = Pacer.createPacer(options.uploadBytesPerSecond)
  const download = Pacer.createPacer(options.downloadBytesPerSecond)
  const border = Pacer.createPacer(tables.borderPace.bytesPerSecond)
  const fetches = new Map<string, ChunkClient.ChunkFetch>()
  let queuedCount = 0
  const newsOf = (digest: string): Schemas.Weights.SwarmNews[] => {
    const news = Tables.newsOf(tables, digest, queuedCount)
    return news === undefined ? [] : [news]
  }
  const store = ChunkStore.createChunkStore((digest, hashedCount, wholeMatches) => { push({ kind: 'chunksHashed', digest, hashedCount, wholeMatches }) })

  const countControl = (kind: string, sizeBytes: number): void => {
    metrics.count('weights_control_messages_total', { kind })
    metrics.count('weights_control_bytes_total', { kind }, sizeBytes)
  }
  const receiveNews = (header: string): void => {
    const news = News.decodeNews(header)
    if (news.isOk()) push({ kind: 'newsHeard', news: news.value })
  }
  const newsHeader = (digest: string): string | undefined => {
    const [news] = newsOf(digest)
    return news === undefined ? undefined : JSON.stringify(news)
  }
  /** Headers for the origin and the weight store identify this agent; peers get a signature and news as well. */
  const headersOf = (sourceId: string, path: string, digest: string): Record<string, string> => {
    const own = { [News.INSTANCE_HEADER]: instanceId, [News.REGION_HEADER]: region }
    if (!tables.peers.has(sourceId)) return own
    const news = newsHeader(digest) ?? ''
    return { ...own, authorization: options.authorize(path, news), [News.SET_HEADER]: digest, [News.NEWS_HEADER]: news }
  }
  const fetchManifest = async (command: Extract<Messages.Command, { kind: 'fetchManifest' }>): Promise<void> => {
    const { digest, sourceId } = command
    const fetched = await Platform.WeightClient.fetchManifest(command.address, digest, MANIFEST_TIMEOUT_MS, headersOf(sourceId, `/weights/${digest}`, digest))
    countControl('manifest', fetched.isOk() ? fetched.value.bytes.length : 0)
    if (fetched.isErr()) { push({ kind: 'manifestFetched', digest, sourceId, manifest: undefined, fault: fetched.error }); return }
    const { manifest, bytes } = fetched.value
    push({ kind: 'manifestFetched', digest, sourceId, manifest })
    store.addManifest(digest, manifest, bytes)
  }
  const fetchChunk = async (command: Extract<Messages.Command, { kind: 'fetchChunk' }>): Promise<void> => {
    const { fetchId, chunkDigest } = command
    const isPeer = tables.peers.has(command.sourceId)
    const headers = headersOf(command.sourceId, `/chunks/${chunkDigest}`, command.digest)
    const fetch = ChunkClient.fetchChunk({
      address: command.address,
      chunkDigest,
      headers,
      pacers: command.crossesBorder ? [border, download] : [download],
      urgent: !isPeer || command.crossesBorder,
      stallMs: command.stallMs,
      onNews: header => { countControl('answer', header.length); receiveNews(header) }
    })
    fetches.set(fetchId, fetch)
    if (isPeer) countControl('request', headers[News.NEWS_HEADER]?.length ?? 0)
    const { ending, chunk } = await fetch.answer
    fetches.delete(fetchId)
    if (chunk !== undefined) store.put(chunkDigest, chunk)
    const from = !isPeer ? command.sourceId : command.crossesBorder ? 'border' : 'peer'
    if (chunk !== undefined) metrics.count('weights_fetched_bytes_total', { from }, chunk.length)
    else metrics.count('weights_fetch_faults_total', { from, fault: ending })
    push({ kind: 'chunkFetched', fetchId, chunkDigest, ending, sizeBytes: chunk?.length ?? 0 })
  }
  const exchange = async (command: Extract<Messages.Command, { kind: 'exchange' }>): Promise<void> => {
    const request = { news: [...tables.sets.keys()].flatMap(newsOf) }
    const startedMs = performance.now()
    const answer = await options.exchange(command.address, request).catch(() => undefined)
    countControl('exchange', JSON.stringify(request).length + JSON.stringify(answer ?? '').length)
    push({ kind: 'exchanged', instanceId: command.instanceId, answered: answer !== undefined, tookMs: performance.now() - startedMs })
    answer?.news.forEach(news => { push({ kind: 'newsHeard', news }) })
  }
  const deliver = async (command: Extract<Messages.Command, { kind: 'deliverChunk' }>): Promise<void> => {
    const { digest, index } = command
    const body = store.get(command.chunkDigest)
    const put = body === undefined
      ? undefined
      : await Edge.HttpClient.send({ target: options.endpoint, method: 'PUT', path: `/weights/${digest}/${index}`, body, timeoutMs: DELIVERY_TIMEOUT_MS }).catch(() => undefined)
    push({ kind: 'chunkDelivered', digest, index, accepted: put?.status === 200 })
  }
  const handlers: Core.Loop.Handlers<Messages.Command> = {
    fetchManifest: command => { void fetchManifest(command) },
    fetchChunk: command => { void fetchChunk(command) },
    cancelFetch: command => { fetches.get(command.fetchId)?.cancel() },
    exchange: command => { void exchange(command) },
    deliverChunk: command => { void deliver(command) },
    evictChunk: command => { store.remove(command.chunkDigest) },
    forgetWeights: command => { store.removeManifest(command.digest) },
    setBorderRate: command => { border.setRate(command.bytesPerSecond) }
  }
  return {
    perform: command => { Core.Loop.dispatch(handlers, command) },
    answer: request => {
      request.news.forEach(news => { push({ kind: 'newsHeard', news }) })
      return { news: request.news.flatMap(news => newsOf(news.digest)) }
    },
    manifestOf: store.manifestOf,
    routes: ChunkServer.createChunkRoutes({
      store,
      region,
      upload,
      border,
      isPeer: options.isPeer,
      onNews: receiveNews,
      newsHeader,
      onRequested: chunkDigest => { push({ kind: 'chunkAsked', chunkDigest }) },
      onQueued: count => { queuedCount = count },
      onServed: (sizeBytes, crossesBorder) => { metrics.count('weights_served_bytes_total', { over: crossesBorder ? 'border' : 'region' }, sizeBytes) }
    }),
    stop: () => { for (const fetch of fetches.values()) fetch.cancel() }
  }
}
