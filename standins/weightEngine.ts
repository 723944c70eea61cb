/**
 * A stand-in of a model runner of the platform with staged chunks: it can answer its agent slowly, take orders late, lose answers and restart.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as WeightArea from './weightArea.ts'

/** How the engine misbehaves towards its agent. */
export interface WeightEngineFaults {
  /** Time that each request of the agent takes, in milliseconds. */
  requestDelayMs: number
  /** Whether requests of the agent are answered one after the other. */
  isSerial: boolean
  /** Carries out orders without an answer. */
  losesOrderAnswers: boolean
}

/** A running stand-in. */
export interface WeightEngine {
  readonly port: number
  readonly area: WeightArea.WeightArea
  readonly faults: WeightEngineFaults
  /** The id, another one after each restart. */
  endpointId: () => string
  /** The entry of the engine in the platform's list. */
  entry: () => object
  /** Called after a staged chunk was read. */
  onRead: (index: number) => void
  /** Called before an order is looked at, which waits for the returned promise. */
  beforeOrder: () => Promise<void>
  /** Starts the engine again without layers. */
  restart: (keepsStaged: boolean) => void
  close: () => Promise<void>
}

/** What the engine is. */
export interface WeightEngineOptions extends Pick<WeightArea.WeightAreaOptions, 'model' | 'chunkCount' | 'layerCount' | 'loadMs' | 'chunkOf' | 'version'> {
  readonly service: string
  readonly zone: string
}

const EVENT_COUNT = 8
const EVENT_INTERVAL_MS = 15
const SLOT_COUNT = 16

/**
 * Starts an engine on loopback.
 *
 * @param options - What it is.
 * @returns The engine.
 */
export async function startWeightEngine (options: WeightEngineOptions): Promise<WeightEngine> {
  const streams = new Set<Http.ServerResponse>()
  const sockets = new Set<Net.Socket>()
  const faults: WeightEngineFaults = { requestDelayMs: 0, isSerial: false, losesOrderAnswers: false }
  let startCount = 1
  let lastTurn: Promise<void> = Promise.resolve()
  const cutCalls = (): void => { for (const stream of streams) stream.destroy() }
  const area = WeightArea.createWeightArea({ ...options, clock: () => performance.now(), activeCount: () => streams.size, cutCalls })
  const endpointId = (): string => `engine-${startCount}`
  const state = (): object => {
    const held = area.held()
    return {
      models: held === undefined ? [] : [{ name: options.model, version: held.version, adapters: [] }],
      layers: held === undefined ? null : { from: held.from, target: held.target, version: held.version },
      born: area.bornAtMs
    }
  }
  const stream = (request: Http.IncomingMessage, response: Http.ServerResponse, headers: Record<string, string>): void => {
    const held = area.held()
    let at = Number(request.headers['last-event-id'] ?? 0)
    streams.add(response)
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream', 'X-Fescuespread-Response-Seal': `seal-${endpointId()}`, 'X-Fescuespread-Weight-Versions': String(held?.version) })
    const timer = setInterval(() => {
      for (const load of held?.loads ?? []) load.eventCount++
      response.write(`id: ${++at}\ndata: word\n\n`)
      if (at >= EVENT_COUNT) response.end()
    }, EVENT_INTERVAL_MS)
    response.once('close', () => {
      clearInterval(timer)
      streams.delete(response)
    })
  }
  const call = (request: Http.IncomingMessage, response: Http.ServerResponse): void => {
    const headers = { 'X-Fescuespread-Attempt-Id': String(request.headers['x-fescuespread-attempt-id']), 'X-Fescuespread-Instance-Id': endpointId(), 'X-Fescuespread-Instance-Load': `${streams.size},0,${SLOT_COUNT}` }
    const expected = request.headers['x-fescuespread-expect-instance']
    const expectedVersion = request.headers['x-fescuespread-expect-version']
    const isMisdirected = !area.isComplete() || (expected !== undefined && expected !== endpointId()) || (expectedVersion !== undefined && Number(expectedVersion) !== area.held()?.version)
    if (isMisdirected || area.isLoading()) { response.writeHead(isMisdirected ? 421 : 503, { ...headers, 'X-Fescuespread-Not-Executed': '1' }).end(); return }
    stream(request, response, headers)
  }
  const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }
  /** Waits as long as the engine takes before it looks at a request of its agent. */
  const takeTurn = async (): Promise<void> => {
    if (faults.requestDelayMs === 0) return
    if (!faults.isSerial) { await sleep(faults.requestDelayMs); return }
    lastTurn = lastTurn.then(async () => { await sleep(faults.requestDelayMs) })
    await lastTurn
  }
  const handleAgent = async (url: URL, body: Buffer, response: Http.ServerResponse): Promise<void> => {
    const index = Number(url.searchParams.get('sample_count'))
    const json = (value: unknown): void => { response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value)) }
    await takeTurn()
    if (url.pathname === '/report') {
      json({ phase: 'colocated', ...state(), busy: area.isLoading(), sequence: area.orderCount(), queued: 0, active: streams.size, kv_used: 0, kv_total: 1, cache_handles: 0, pace: 1 })
    } else if (url.pathname.startsWith('/stage-put/')) {
      area.put(index, body)
      response.writeHead(200).end()
    } else if (url.pathname === '/order') {
      await engine.beforeOrder()
      const status = area.order(JSON.parse(body.toString()) as WeightArea.Order)
      if (faults.losesOrderAnswers) response.destroy()
      else response.writeHead(status).end()
    } else if (!url.searchParams.has('sample_count')) {
      json({ held: area.stagedIndexes() })
    } else {
      const bytes = area.read(index)
      response.writeHead(bytes === undefined ? 404 : 200).end(bytes)
      engine.onRead(index)
    }
  }
  const server = Http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://engine')
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    request.on('end', () => {
      const isOfAgent = url.pathname === '/report' || url.pathname === '/order' || url.pathname.startsWith('/stage-')
      if (isOfAgent) void handleAgent(url, Buffer.concat(parts), response)
      else call(request, response)
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as Net.AddressInfo
  const engine: WeightEngine = {
    port,
    area,
    faults,
    endpointId,
    entry: () => ({ backend: options.service, address: `127.0.0.1:${port}`, zone: options.zone, version: 'v1', slots: SLOT_COUNT, state: 'ready', cold_remaining_ms: 0, sequence: area.orderCount(), phase: 'colocated', ...state() }),
    onRead: () => {},
    beforeOrder: async () => {},
    restart: keepsStaged => {
      startCount++
      cutCalls()
      area.restart(keepsStaged)
    },
    close: async () => {
      area.close()
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  }
  return engine
}
