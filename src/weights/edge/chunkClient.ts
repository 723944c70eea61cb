/**
 * Fetches a chunk from a peer or source at a limited rate, verifies its digest, and aborts when the transfer stalls.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Http from 'node:http'
import * as Edge from '../../edge/index.ts'
import type * as Messages from '../messages.ts'
import * as News from './news.ts'
import type * as Pacer from './pacer.ts'

/** A request for a chunk. */
export interface ChunkRequest {
  readonly address: Messages.Address
  readonly chunkDigest: string
  readonly headers: Readonly<Record<string, string>>
  /** Pacers that limit the rate of the transfer. */
  readonly pacers: readonly Pacer.Pacer[]
  /** Whether the bytes take precedence over queued bytes of other fetches. */
  readonly urgent?: boolean
  /** Maximum time without a received byte, in milliseconds. */
  readonly stallMs: number
  readonly onNews: (header: string) => void
}

/** The result of a fetch; `chunk` is defined only if `ending` is `whole`. */
export interface ChunkAnswer {
  readonly ending: Messages.FetchEnding
  readonly chunk: Buffer | undefined
}

/** A fetch in progress. */
export interface ChunkFetch {
  readonly answer: Promise<ChunkAnswer>
  cancel: () => void
}

const ENDING_BY_STATUS: Readonly<Record<number, Messages.FetchEnding>> = { 404: 'absent', 429: 'throttled', 503: 'throttled' }

/**
 * Starts a fetch of a chunk.
 *
 * @param request - The request.
 * @returns The fetch, which can be cancelled.
 */
export function fetchChunk (request: ChunkRequest): ChunkFetch {
  let cancel = (): void => {}
  const answer = new Promise<ChunkAnswer>(resolve => {
    const hash = Crypto.createHash('sha256')
    const body = Edge.ByteCollector.createByteCollector()
    let ended = false
    const outgoing = Http.request({
      host: request.address.host,
      port: request.address.port,
      method: 'GET',
      path: `/chunks/${request.chunkDigest}`,
      headers: request.headers,
      agent: Edge.HttpClient.pool
    })
    const end = (ending: Messages.FetchEnding, chunk?: Buffer): void => {
      if (ended) return
      ended = true
      clearTimeout(timer)
      if (ending !== 'whole' && ending !== 'absent' && ending !== 'throttled' && ending !== 'corrupted') outgoing.destroy()
      resolve({ ending, chunk })
    }
    let timer = setTimeout(() => { end('stalled') }, request.stallMs)
    const restartTimer = (): void => {
      clearTimeout(timer)
      timer = setTimeout(() => { end('stalled') }, request.stallMs)
    }
    cancel = () => { end('cancelled') }
    outgoing.on('error', () => { end('unreachable') })
    Edge.HttpClient.onUnaskedUpgrade(outgoing, () => { end('unreachable') })
    outgoing.on('response', incoming => {
      const news = incoming.headers[News.NEWS_HEADER]
      if (typeof news === 'string') request.onNews(news)
      incoming.on('error', () => { end('unreachable') })
      if (incoming.statusCode !== 200) {
        incoming.resume()
        incoming.on('end', () => { end(ENDING_BY_STATUS[incoming.statusCode ?? 0] ?? 'unreachable') })
        return
      }
      incoming.on('data', (part: Buffer) => {
        restartTimer()
        hash.update(part)
        body.push(part)
        incoming.pause()
        void passAll(request.pacers, part.length, request.urgent).then(() => { restartTimer(); incoming.resume() })
      })
      incoming.on('end', () => {
        if (!incoming.complete) { end('unreachable'); return }
        const matches = hash.digest('hex') === request.chunkDigest
        end(matches ? 'whole' : 'corrupted', matches ? body.take() : undefined)
      })
    })
    outgoing.end()
  })
  return { answer, cancel: () => { cancel() } }
}

async function passAll (pacers: readonly Pacer.Pacer[], sizeBytes: number, urgent?: boolean): Promise<void> {
  for (const pacer of pacers) await pacer.pass(sizeBytes, urgent)
}
