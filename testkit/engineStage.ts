/**
 * An engine with an agent and a gateway as real processes, the store and the origin of weights, and callers that send streams without a pause.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as PlatformStore from '../standins/platformStore.ts'
import type * as WeightArea from '../standins/weightArea.ts'
import * as WeightEngine from '../standins/weightEngine.ts'
import * as Direct from './direct.ts'
import * as Program from './program.ts'
import * as Wait from './wait.ts'

/** A running stage. */
export interface EngineStage {
  readonly store: PlatformStore.PlatformStore
  readonly engine: WeightEngine.WeightEngine
  readonly agent: () => Program.Process
  /** Ends the agent, by killing it unless told otherwise, and starts it again, after `pauseMs` milliseconds at the earliest. */
  restartAgent: (options?: { readonly signal?: 'SIGKILL' | 'SIGTERM', readonly pauseMs?: number }) => Promise<void>
  /** Starts a further gateway, which gets the calls from then on. */
  replaceGateway: () => Promise<void>
  nameVersion: (version: number) => void
  /** Number of whole answers by the version of the weights. */
  readonly answeredCounts: ReadonlyMap<number, number>
  close: () => Promise<void>
}

/** Time for which a chunk may have been bad when it is taken, in milliseconds, as the platform allows. */
export const TOLERATED_BAD_MS = 3_000
export const MODEL = 'm'
export const CHUNK_COUNT = 64
const CHUNK_BYTES = 4_096
const LAYER_COUNT = 4
/** Loading takes so long at the users' engines. */
const LOAD_MS = 300
/** An endpoint's entry is written about so often. */
const BEAT_INTERVAL_MS = 1_200
const CALLER_COUNT = 4
const PAUSE_MS = 20
const READY_LIMIT_MS = 20_000

/**
 * Returns the right bytes of a chunk.
 *
 * @param version - The version.
 * @param index - The index of the chunk.
 * @returns The bytes.
 */
export function chunkOf (version: number, index: number): Buffer {
  return Buffer.alloc(CHUNK_BYTES, `${version}/${index} `)
}

/**
 * Counts the events that were made with layers whose chunks had been bad for longer than allowed when they were taken.
 *
 * @param loads - The loads of an engine.
 * @returns The number of events.
 */
export function badEventCount (loads: readonly WeightArea.Load[]): number {
  return loads.filter(load => load.wrongForMs > TOLERATED_BAD_MS).reduce((sum, load) => sum + load.eventCount, 0)
}

/**
 * Starts the stage with version 1 of the weights in use.
 *
 * @param folder - The bundles of the program.
 * @returns The stage, once calls are answered.
 */
export async function start (folder: Program.ProgramFolder): Promise<EngineStage> {
  const store = await PlatformStore.startPlatformStore()
  const origin = await startOrigin()
  const engine = await WeightEngine.startWeightEngine({ model: MODEL, chunkCount: CHUNK_COUNT, layerCount: LAYER_COUNT, loadMs: LOAD_MS, chunkOf, version: 1, service: 'llm', zone: 'a' })
  let listedId = engine.endpointId()
  const list = (): void => {
    if (listedId !== engine.endpointId()) store.drop('servers', listedId)
    listedId = engine.endpointId()
    store.put('servers', listedId, engine.entry())
  }
  store.put('op', 'config', Direct.deploymentOf({ origin: `127.0.0.1:${origin.port}`, chunkCount: CHUNK_COUNT }))
  list()
  const beat = setInterval(list, BEAT_INTERVAL_MS)
  const agentPort = await Direct.freePort()
  const startAgent = (): Program.Process => folder.startAgent({ name: 'a1', port: agentPort, enginePort: engine.port, service: 'llm', storePort: store.port })
  const startGateway = async (): Promise<Program.Program> => {
    const gateway = folder.startGateway({ ports: await Program.freePorts(), storePort: store.port })
    await Wait.until('the gateway is ready', READY_LIMIT_MS, async () => await Program.isReady(gateway))
    return gateway
  }
  let agent = startAgent()
  let gateway = await startGateway()
  const answeredCounts = new Map<number, number>()
  const closing = new AbortController()
  const keepCalling = async (): Promise<void> => {
    while (!closing.signal.aborted) {
      const answer = await call(gateway.ports.callers)
      if (answer.isWhole) answeredCounts.set(answer.version, (answeredCounts.get(answer.version) ?? 0) + 1)
      await Wait.sleep(PAUSE_MS)
    }
  }
  const callers = Array.from({ length: CALLER_COUNT }, keepCalling)
  await Wait.until('calls are answered', READY_LIMIT_MS, () => (answeredCounts.get(1) ?? 0) > 0)
  return {
    store,
    engine,
    agent: () => agent,
    restartAgent: async ({ signal = 'SIGKILL', pauseMs = 0 } = {}) => {
      agent.signal(signal)
      await Promise.all([agent.ended, Wait.sleep(pauseMs)])
      agent = startAgent()
    },
    replaceGateway: async () => { gateway = await startGateway() },
    nameVersion: version => { store.put('op', `version/${MODEL}`, { model: MODEL, version }) },
    answeredCounts,
    close: async () => {
      closing.abort()
      clearInterval(beat)
      agent.signal('SIGKILL')
      gateway.signal('SIGKILL')
      await Promise.all([agent.ended, gateway.ended, ...callers])
      await engine.close()
      origin.close()
      await store.close()
    }
  }
}

/** The origin of weights, with every version. */
async function startOrigin (): Promise<{ readonly port: number, readonly close: () => void }> {
  const server = Http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://origin')
    const version = Number(url.searchParams.get('version'))
    if (url.pathname.startsWith('/piece/')) { response.end(chunkOf(version, Number(url.searchParams.get('sample_count')))); return }
    const digests = Array.from({ length: CHUNK_COUNT }, (_, index) => Crypto.createHash('sha256').update(chunkOf(version, index)).digest('hex'))
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ model: MODEL, version, chunk_bytes: CHUNK_BYTES, layers: LAYER_COUNT, digests }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}

let callCount = 0

async function call (port: number): Promise<{ readonly isWhole: boolean, readonly version: number }> {
  return await new Promise(resolve => {
    const headers = { host: 'h', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': `call-${++callCount}`, 'X-Fescuespread-Deadline-Ms': '2000', 'X-Fescuespread-Model': MODEL, 'X-Fescuespread-Token-Usage': '100,50' }
    const request = Http.request({ host: '127.0.0.1', port, method: 'POST', path: '/stream/1', agent: false, headers }, response => {
      const finish = (): void => { resolve({ isWhole: response.complete && response.statusCode === 200, version: Number(response.headers['x-fescuespread-weight-versions']) }) }
      response.resume()
      response.on('error', finish)
      response.on('end', finish)
    })
    request.on('error', () => { resolve({ isWhole: false, version: 0 }) })
    request.end(`prompt ${callCount}`)
  })
}
