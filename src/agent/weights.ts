/**
 * Collects weights for the endpoint: chunks from peers and the origin, verified, then streamed in.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'

/** Settings of a collector. */
export interface CollectorOptions {
  readonly instanceId: string
  readonly sources: readonly Edge.HttpClient.Target[]
  readonly peers: () => readonly Edge.HttpClient.Target[]
  readonly endpoint: Edge.HttpClient.Target
  readonly onProgress: (digest: string, heldCount: number, wantedCount: number, whole: boolean) => void
  readonly log: Edge.Log.Log
}

/** Collects weights and offers them to peers. */
export interface Collector {
  /** Replaces what is wanted. */
  want: (digests: readonly string[]) => void
  manifestOf: (digest: string) => Schemas.Weights.WeightManifest | undefined
  /** The routes that peers fetch from. */
  readonly routes: readonly Edge.HttpServer.Route[]
  stop: () => void
}

const CHUNK_TIMEOUT_MS = 30_000
const RETRY_MS = 200

/**
 * Creates a collector.
 *
 * @param options - Sources, peers and the endpoint.
 * @returns The collector.
 */
export function createCollector (options: CollectorOptions): Collector {
  const manifests = new Map<string, Schemas.Weights.WeightManifest>()
  const chunks = new Map<string, Buffer>()
  let wanted: readonly string[] = []
  let stopped = false

  const fromAnywhere = async <T>(fetch: (target: Edge.HttpClient.Target) => Promise<{ isOk: () => boolean, value?: T }>): Promise<T | undefined> => {
    for (const target of [...options.peers(), ...options.sources]) {
      const result = await fetch(target)
      if (result.isOk()) return result.value
    }
    return undefined
  }
  const collect = async (digest: string): Promise<void> => {
    const active = (): boolean => !stopped && wanted.includes(digest)
    while (active()) {
      if (await tryCollect(digest)) return
      await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }
  const tryCollect = async (digest: string): Promise<boolean> => {
    const manifest = manifests.get(digest) ?? await fromAnywhere(async target => await Platform.WeightClient.fetchManifest(target, digest, CHUNK_TIMEOUT_MS) as { isOk: () => boolean, value?: Schemas.Weights.WeightManifest })
    if (manifest === undefined) return false
    manifests.set(digest, manifest)
    let heldCount = 0
    for (const [index, chunkDigest] of manifest.chunks.entries()) {
      const chunk = chunks.get(chunkDigest) ?? await fromAnywhere(async target => await Platform.WeightClient.fetchChunk(target, chunkDigest, CHUNK_TIMEOUT_MS, {}) as { isOk: () => boolean, value?: Buffer })
      if (chunk === undefined) return false
      chunks.set(chunkDigest, chunk)
      const put = await Edge.HttpClient.send({ target: options.endpoint, method: 'PUT', path: `/weights/${digest}/${index}`, body: chunk, timeoutMs: CHUNK_TIMEOUT_MS }).catch(() => undefined)
      if (put?.status !== 200) return false
      options.onProgress(digest, ++heldCount, manifest.chunks.length, false)
    }
    options.log.info('weights', 'Weights are whole.', { digest, chunkCount: manifest.chunks.length })
    options.onProgress(digest, heldCount, heldCount, true)
    return true
  }
  const serve = (find: (digest: string) => Buffer | undefined): Edge.HttpServer.Handler => (_request, response, path) => {
    const body = find(path.slice(path.lastIndexOf('/') + 1))
    if (body === undefined) { Edge.HttpServer.sendCode(response, 'notFound'); return }
    response.writeHead(200, { 'content-length': body.length })
    response.end(body)
  }
  return {
    want: digests => {
      wanted = digests
      for (const digest of digests) void collect(digest)
    },
    manifestOf: digest => manifests.get(digest),
    routes: [
      { method: 'GET', path: '/chunks/*', handle: serve(digest => chunks.get(digest)) }
    ],
    stop: () => { stopped = true }
  }
}
