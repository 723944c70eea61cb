/**
 * Stand-in of a source of weights: the origin, or the rate-limited weight store.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Core from '../src/core/index.ts'
import * as HttpServer from '../src/edge/httpServer.ts'
import type * as Weights from '../src/schema/weights.ts'
import * as Faults from './faults.ts'
import * as Link from './link.ts'

/** Weights made for a test. */
export interface MadeWeights {
  /** The digest of the weight manifest. */
  readonly digest: string
  readonly manifest: Weights.WeightManifest
  readonly chunks: readonly Buffer[]
}

/** Settings of a source. */
export interface SourceOptions {
  readonly port?: number
  readonly seed?: number
  readonly rateBytesPerSecond?: number
  /** Share of chunks, from 0 to 1, that are sent with a wrong byte. */
  readonly corruptShare?: number
  /** The region where it stands; with `border`, others reach it over that link. */
  readonly region?: string
  readonly border?: Link.Link
}

/** A running source. */
export interface WeightSource extends Faults.StandIn {
  add: (weights: MadeWeights) => void
  sentBytes: () => number
  /** Bytes sent to other regions. */
  sentOverBorderBytes: () => number
}

/**
 * Makes weights whose bytes depend on the seed alone.
 *
 * @param seed - Seed of the bytes.
 * @param sizeBytes - Size of the whole.
 * @param chunkSizeBytes - Size of each chunk but the last.
 * @returns The weights and their manifest.
 */
export function makeWeights (seed: number, sizeBytes: number, chunkSizeBytes: number): MadeWeights {
  const whole = Buffer.alloc(sizeBytes)
  let state = (seed * 2654435761) >>> 0 || 1
  for (let at = 0; at + 4 <= sizeBytes; at += 4) {
    state ^= state << 13
    state ^= state >>> 17
    state ^= state << 5
    whole.writeUInt32LE(state >>> 0, at)
  }
  const chunks: Buffer[] = []
  for (let at = 0; at < sizeBytes; at += chunkSizeBytes) chunks.push(whole.subarray(at, Math.min(sizeBytes, at + chunkSizeBytes)))
  const manifest = { sizeBytes, chunkSizeBytes, wholeDigest: Core.Hash.sha256(whole), chunks: chunks.map(Core.Hash.sha256) }
  return { digest: Core.Hash.sha256(JSON.stringify(manifest)), manifest, chunks }
}

/**
 * Starts a source of weights.
 *
 * @param options - Rate and faults.
 * @returns The source. `POST /weights/make` with seed, sizeBytes and chunkSizeBytes adds made weights.
 */
export async function createWeightSource (options: SourceOptions = {}): Promise<WeightSource> {
  const link = Link.createLink(options.rateBytesPerSecond ?? Infinity)
  const random = Core.Random.createRandom(options.seed ?? 1)
  const manifests = new Map<string, Buffer>()
  const chunks = new Map<string, Buffer>()
  const add = (weights: MadeWeights): void => {
    manifests.set(weights.digest, Buffer.from(JSON.stringify(weights.manifest)))
    weights.manifest.chunks.forEach((digest, index) => { chunks.set(digest, weights.chunks[index] as Buffer) })
  }
  let overBorderBytes = 0
  const linkOf = (request: Http.IncomingMessage): Link.Link => {
    const { border } = options
    if (border === undefined || request.headers['x-fescue-region'] === options.region) return link
    return {
      ...link,
      pass: async sizeBytes => {
        overBorderBytes += sizeBytes
        await border.pass(sizeBytes)
        await link.pass(sizeBytes)
      }
    }
  }
  const serve = (known: Map<string, Buffer>, corruptShare: number): HttpServer.Handler => async (request, response, path) => {
    const body = known.get(path.slice(path.lastIndexOf('/') + 1))
    if (body === undefined) { HttpServer.sendJson(response, 404, {}); return }
    response.writeHead(200, { 'content-length': body.length })
    await Link.writeThrough(response, random.next() < corruptShare ? corrupt(body) : body, linkOf(request))
  }
  const standIn = await Faults.createStandIn({
    port: options.port,
    seed: options.seed,
    routes: [
      { method: 'GET', path: '/sent', handle: (_request, response) => { HttpServer.sendJson(response, 200, { sentBytes: link.passedBytes() }) } },
      {
        method: 'POST',
        path: '/weights/make',
        handle: async (request, response) => {
          const wanted = JSON.parse(await Faults.readText(request)) as { seed: number, sizeBytes: number, chunkSizeBytes: number }
          const made = makeWeights(wanted.seed, wanted.sizeBytes, wanted.chunkSizeBytes)
          add(made)
          HttpServer.sendJson(response, 200, { digest: made.digest, sizeBytes: made.manifest.sizeBytes })
        }
      },
      { method: 'GET', path: '/weights/*', handle: serve(manifests, 0) },
      { method: 'GET', path: '/chunks/*', handle: serve(chunks, options.corruptShare ?? 0) }
    ]
  })
  return { ...standIn, add, sentBytes: link.passedBytes, sentOverBorderBytes: () => overBorderBytes }
}

/**
 * Makes a copy with one wrong byte.
 *
 * @param body - The bytes.
 * @returns The copy.
 */
export function corrupt (body: Buffer): Buffer {
  const copy = Buffer.from(body)
  copy[0] = (copy[0] ?? 0) ^ 0xff
  return copy
}
