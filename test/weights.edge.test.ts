import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Edge from '../src/edge/index.ts'
import * as ChunkClient from '../src/weights/edge/chunkClient.ts'
import * as ChunkServer from '../src/weights/edge/chunkServer.ts'
import * as ChunkStore from '../src/weights/edge/chunkStore.ts'
import * as Pacer from '../src/weights/edge/pacer.ts'
import * as StandIns from '../standins/index.ts'

const CHUNK = Buffer.alloc(40_000, 'weights')
const DIGEST = Core.Hash.sha256(CHUNK)
const KEY = 'Bearer k'

describe('the edge of the swarm', () => {
  const store = ChunkStore.createChunkStore(() => {})
  const unlimited = Pacer.createPacer(Infinity)
  let server: Edge.HttpServer.Server
  let corrupting: StandIns.PeerLink.PeerLink
  let stalling: StandIns.PeerLink.PeerLink

  const fetchFrom = async (port: number, options: { readonly authorization?: string, readonly stallMs?: number, readonly chunkDigest?: string } = {}): Promise<ChunkClient.ChunkAnswer> =>
    await ChunkClient.fetchChunk({
      address: { host: '127.0.0.1', port },
      chunkDigest: options.chunkDigest ?? DIGEST,
      headers: { authorization: options.authorization ?? KEY },
      pacers: [unlimited],
      stallMs: options.stallMs ?? 5_000,
      onNews: () => {}
    }).answer

  before(async () => {
    store.put(DIGEST, CHUNK)
    const routes = ChunkServer.createChunkRoutes({
      store,
      region: 'east',
      upload: unlimited,
      border: unlimited,
      isPeer: request => request.headers.authorization === KEY,
      onNews: () => {},
      newsHeader: () => undefined,
      onRequested: () => {},
      onQueued: () => {},
      onServed: () => {}
    })
    server = await Edge.HttpServer.listen({ host: '127.0.0.1', port: 0, routes, headersTimeoutMs: 5_000 })
    corrupting = await StandIns.PeerLink.createPeerLink({ agentPort: server.port, seed: 1, corruptShare: 1 })
    stalling = await StandIns.PeerLink.createPeerLink({ agentPort: server.port, seed: 1, corruptShare: 0 })
    stalling.setStalled(true)
  })
  after(async () => {
    corrupting.close()
    stalling.close()
    Edge.HttpClient.pool.destroy()
    await server.close(0)
  })

  describe('a fetch', () => {
    it('returns the requested chunk', async () => {
      const answer = await fetchFrom(server.port)
      expect([answer.ending, answer.chunk?.equals(CHUNK)]).toEqual(['whole', true])
    })

    it('returns no bytes of a corrupted chunk', async () => {
      expect(await fetchFrom(corrupting.port)).toEqual({ ending: 'corrupted', chunk: undefined })
    })

    it('ends as stalled when no byte arrives', async () => {
      expect((await fetchFrom(stalling.port, { stallMs: 100 })).ending).toEqual('stalled')
    })

    it('distinguishes an absent chunk from a rejected key', async () => {
      expect((await fetchFrom(server.port, { chunkDigest: Core.Hash.sha256('other') })).ending).toEqual('absent')
      expect((await fetchFrom(server.port, { authorization: 'Bearer wrong' })).ending).toEqual('unreachable')
    })
  })

  describe('the digest of the whole set', () => {
    const parts = ['ab', 'cd', 'ef'].map(text => Buffer.from(text))
    const manifestOf = (wholeDigest: string) => ({ sizeBytes: 6, chunkSizeBytes: 2, wholeDigest, chunks: parts.map(Core.Hash.sha256) })
    const hashWith = (wholeDigest: string, order: readonly number[]): unknown[] => {
      const progress: unknown[] = []
      const chunks = ChunkStore.createChunkStore((_digest, hashedCount, wholeMatches) => { progress.push([hashedCount, wholeMatches]) })
      chunks.addManifest('w', manifestOf(wholeDigest), Buffer.alloc(0))
      order.forEach(index => { chunks.put(Core.Hash.sha256(parts[index] as Buffer), parts[index] as Buffer) })
      return progress
    }

    it('matches regardless of the order in which chunks arrive', () => {
      expect(hashWith(Core.Hash.sha256('abcdef'), [2, 0, 1])).toEqual([[1, undefined], [3, true]])
    })

    it('does not match when the chunks that the manifest lists hash to another digest', () => {
      expect(hashWith(Core.Hash.sha256('other'), [0, 1, 2]).at(-1)).toEqual([3, false])
    })
  })
})
