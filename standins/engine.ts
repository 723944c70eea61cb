/**
 * Stand-in of a model engine: batches continuously, streams tokens, starts cold, may crash.
 *
 * Tokens depend on the model version, the prompt and the position alone, so that a test can tell a
 * whole answer from a mixed or truncated one.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Http from 'node:http'
import * as Schema from 'effect/Schema'
import * as Core from '../src/core/index.ts'
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Decode from '../src/schema/decode.ts'
import * as Faults from './faults.ts'
import * as PrefixCache from './prefixCache.ts'

/** Settings of an engine. */
export interface EngineOptions {
  readonly port?: number
  readonly seed?: number
  /** Sequences that it runs at full speed when warm. */
  readonly capacityCount?: number
  /** Sequences that it bears while cold; one more makes it crash. */
  readonly coldCapacityCount?: number
  /** How long it stays cold after a load, in milliseconds. */
  readonly coldMs?: number
  /** Time for one token of each sequence, in milliseconds. */
  readonly tokenMs?: number
  /** Whether it refuses old fencing numbers. */
  readonly fencing?: boolean
  /** How long it is away after a crash, in milliseconds. */
  readonly restartMs?: number
  /** Time until the first token of a prompt whose prefix is not cached, in milliseconds. */
  readonly prefillMs?: number
  /** Prefixes that its cache holds. */
  readonly cachedPrefixCount?: number
  /** How late its cache events can be read, in milliseconds. */
  readonly cacheEventLagMs?: number
  /** Share of cache events, from 0 to 1, that are lost. */
  readonly loseCacheEventShare?: number
  /** A prompt with this text crashes it. */
  readonly poison?: string
}

/** What an engine tells of itself. */
export interface EngineState {
  incarnation: string
  modelName: string | undefined
  modelVersion: string | undefined
  modelDigest: string | undefined
  /** The digests of the adapters beside the model. */
  adapterDigests: readonly string[]
  role: string
  activeCount: number
  maxActiveCount: number
  /** Sequences that were ever started. */
  startedCount: number
  /** Times that more sequences ran than it bears. */
  overloadCount: number
  /** Of these, the ones while it was cold. */
  coldOverloadCount: number
  /** Of these, the ones so late after it turned cold that its pace had shown it. */
  lateColdOverloadCount: number
  /** Calls whose prefix was in its cache. */
  prefixHitCount: number
  crashCount: number
  fencingNumber: number
  cancelledCount: number
  /** Loads that were refused because a chunk was missing or wrong. */
  refusedLoadCount: number
}

/** A running engine. */
export interface Engine extends Faults.StandIn {
  state: () => Readonly<EngineState>
  crash: () => void
  turnCold: () => void
}

/** How much slower a token is while cold. */
const COLD_SLOWDOWN = 3
/** Cold tokens after which its pace has shown that it turned cold. */
const COLD_SIGN_TOKENS = 2

const Generate = Schema.Struct({
  prompt: Schema.String,
  maxTokens: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 100_000 })),
  stream: Schema.optional(Schema.Boolean)
})
const OrderedAdapter = Schema.Struct({ name: Schema.String, digest: Schema.String, chunks: Schema.Array(Schema.String) })
const Order = Schema.Struct({
  kind: Schema.Literals(['load', 'unload', 'role', 'adapters']),
  fencingNumber: Schema.Int,
  modelName: Schema.optional(Schema.String),
  modelVersion: Schema.optional(Schema.String),
  digest: Schema.optional(Schema.String),
  chunks: Schema.optional(Schema.Array(Schema.String)),
  /** The adapters beside the model, all of them. */
  adapters: Schema.optional(Schema.Array(OrderedAdapter)),
  role: Schema.optional(Schema.String)
})

interface Sequence {
  readonly response: Http.ServerResponse
  readonly prompt: string
  readonly version: string
  readonly stream: boolean
  readonly tokenCount: number
  readonly tokens: string[]
  nextIndex: number
  /** Time at which its prompt is processed. */
  readyAtMs: number
}

/**
 * Computes the token that a model version gives at a position.
 *
 * @param version - The model version.
 * @param prompt - The prompt.
 * @param index - The position.
 * @returns The token's text.
 */
export function tokenOf (version: string, prompt: string, index: number): string {
  return Core.Hash.rankOf(`${version}\n${prompt}\n${index}`).toString(36)
}

/**
 * Starts an engine with no weights.
 *
 * @param options - Capacity, pace and faults.
 * @returns The engine.
 */
export async function createEngine (options: EngineOptions = {}): Promise<Engine> {
  const capacityCount = options.capacityCount ?? 8
  const coldCapacityCount = options.coldCapacityCount ?? capacityCount
  const tokenMs = options.tokenMs ?? 2
  const sequences = new Set<Sequence>()
  const received = new Map<string, Map<number, string>>()
  const prefixCache = PrefixCache.createPrefixCache({
    maxCount: options.cachedPrefixCount ?? 16,
    lagMs: options.cacheEventLagMs ?? 0,
    loseShare: options.loseCacheEventShare ?? 0,
    random: Core.Random.createRandom(options.seed ?? 1)
  })
  let coldUntilMs = 0
  let turnedColdMs = 0
  let awayUntilMs = 0
  const state: EngineState = {
    incarnation: Crypto.randomUUID(),
    modelName: undefined,
    modelVersion: undefined,
    modelDigest: undefined,
    adapterDigests: [],
    role: 'mixed',
    activeCount: 0,
    maxActiveCount: 0,
    startedCount: 0,
    overloadCount: 0,
    coldOverloadCount: 0,
    lateColdOverloadCount: 0,
    prefixHitCount: 0,
    crashCount: 0,
    fencingNumber: 0,
    cancelledCount: 0,
    refusedLoadCount: 0
  }
  const cold = (): boolean => performance.now() < coldUntilMs
  const turnCold = (): void => {
    turnedColdMs = performance.now()
    coldUntilMs = turnedColdMs + (options.coldMs ?? 0)
  }

  const crash = (): void => {
    for (const sequence of sequences) sequence.response.socket?.destroy()
    sequences.clear()
    received.clear()
    prefixCache.clear()
    Object.assign(state, { incarnation: Crypto.randomUUID(), modelName: undefined, modelVersion: undefined, modelDigest: undefined, adapterDigests: [], activeCount: 0, crashCount: state.crashCount + 1, fencingNumber: 0 })
    awayUntilMs = performance.now() + (options.restartMs ?? 100)
  }
  const whenHere = (handle: HttpServer.Handler): HttpServer.Handler => async (request, response, path) => {
    if (performance.now() < awayUntilMs) { request.socket.destroy(); return }
    await handle(request, response, path)
  }
  const finish = (sequence: Sequence): void => {
    sequences.delete(sequence)
    if (sequence.stream) {
      sequence.response.end(`event: end\ndata: ${JSON.stringify({ tokenCount: sequence.tokenCount, modelVersion: sequence.version })}\n\n`)
      return
    }
    HttpServer.sendJson(sequence.response, 200, { text: sequence.tokens.join(' '), tokenCount: sequence.tokenCount, modelVersion: sequence.version })
  }
  const advance = (): void => {
    state.activeCount = sequences.size
    for (const sequence of sequences) {
      if (performance.now() < sequence.readyAtMs) continue
      const text = tokenOf(sequence.version, sequence.prompt, sequence.nextIndex)
      if (sequence.stream) sequence.response.write(`event: token\ndata: ${JSON.stringify({ index: sequence.nextIndex, text })}\n\n`)
      else sequence.tokens.push(text)
      sequence.nextIndex++
      if (sequence.nextIndex >= sequence.tokenCount) finish(sequence)
    }
    state.activeCount = sequences.size
  }
  let timer: NodeJS.Timeout | undefined
  const runBatch = (): void => {
    advance()
    if (sequences.size === 0) { timer = undefined; return }
    const slowdown = Math.max(1, sequences.size / capacityCount) * (cold() ? COLD_SLOWDOWN : 1)
    timer = setTimeout(runBatch, tokenMs * slowdown)
  }
  const start = (sequence: Sequence, prefillMs: number): void => {
    sequence.readyAtMs = performance.now() + prefillMs
    sequences.add(sequence)
    state.startedCount++
    state.activeCount = sequences.size
    state.maxActiveCount = Math.max(state.maxActiveCount, sequences.size)
    const bearableCount = cold() ? coldCapacityCount : capacityCount
    if (sequences.size > bearableCount) {
      state.overloadCount++
      if (cold()) state.coldOverloadCount++
      if (cold() && performance.now() - turnedColdMs > COLD_SIGN_TOKENS * COLD_SLOWDOWN * tokenMs) state.lateColdOverloadCount++
    }
    if (sequences.size > (cold() ? coldCapacityCount : capacityCount * 2)) { crash(); return }
    timer ??= setTimeout(runBatch, tokenMs)
  }
  const decodeGenerate = Decode.json(Generate)
  const generate: HttpServer.Handler = async (request, response) => {
    const decoded = decodeGenerate(await Faults.readText(request))
    if (decoded.isErr()) { HttpServer.sendJson(response, 400, { error: Decode.describe(decoded.error) }); return }
    const { prompt, maxTokens, stream = false } = decoded.value
    if (state.modelVersion === undefined) { HttpServer.sendJson(response, 503, { error: 'no model' }); return }
    if (options.poison !== undefined && prompt.includes(options.poison)) { request.socket.destroy(); crash(); return }
    const callId = String(request.headers['x-fescue-call-id'] ?? '')
    response.setHeader('x-fescue-call-id', callId)
    response.setHeader('x-model-version', state.modelVersion)
    if (stream) {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.flushHeaders()
    }
    const resumeFrom = Number(request.headers['x-resume-from-index'] ?? 0)
    const sequence: Sequence = { response, prompt, version: state.modelVersion, stream, tokenCount: maxTokens, tokens: [], nextIndex: stream ? resumeFrom : 0, readyAtMs: 0 }
    response.once('close', () => {
      if (sequences.delete(sequence)) { state.cancelledCount++; state.activeCount = sequences.size }
    })
    if (sequence.nextIndex >= maxTokens) { finish(sequence); return }
    const cached = prefixCache.use(String(request.headers['x-fescue-prefix-key'] ?? ''))
    if (cached) state.prefixHitCount++
    start(sequence, cached ? 0 : options.prefillMs ?? 0)
  }

  const isWhole = (digest: string, wantedChunks: readonly string[]): boolean => {
    const chunks = received.get(digest)
    return wantedChunks.length > 0 && wantedChunks.every((chunk, index) => chunks?.get(index) === chunk)
  }
  const decodeOrder = Decode.json(Order)
  const order: HttpServer.Handler = async (request, response) => {
    const decoded = decodeOrder(await Faults.readText(request))
    if (decoded.isErr()) { HttpServer.sendJson(response, 400, { error: Decode.describe(decoded.error) }); return }
    const wanted = decoded.value
    if (options.fencing === true && wanted.fencingNumber < state.fencingNumber) { HttpServer.sendJson(response, 409, { error: 'stale fencing number' }); return }
    state.fencingNumber = wanted.fencingNumber
    if (wanted.kind === 'role') state.role = wanted.role ?? state.role
    if (wanted.kind === 'unload') Object.assign(state, { modelName: undefined, modelVersion: undefined, modelDigest: undefined, adapterDigests: [] })
    const adapters = wanted.adapters ?? []
    const adaptersWhole = adapters.every(adapter => state.adapterDigests.includes(adapter.digest) || isWhole(adapter.digest, adapter.chunks))
    if (wanted.kind === 'adapters') {
      if (!adaptersWhole) { state.refusedLoadCount++; HttpServer.sendJson(response, 422, { error: 'adapters are not whole' }); return }
      state.adapterDigests = adapters.map(adapter => adapter.digest)
    }
    if (wanted.kind === 'load') {
      const whole = wanted.chunks !== undefined && isWhole(wanted.digest ?? '', wanted.chunks)
      if (!whole || !adaptersWhole) { state.refusedLoadCount++; HttpServer.sendJson(response, 422, { error: 'weights are not whole' }); return }
      Object.assign(state, { modelName: wanted.modelName, modelVersion: wanted.modelVersion, modelDigest: wanted.digest, adapterDigests: adapters.map(adapter => adapter.digest) })
      received.delete(wanted.digest ?? '')
      turnCold()
    }
    HttpServer.sendJson(response, 200, {})
  }
  const takeChunk: HttpServer.Handler = async (request, response, path) => {
    const [, , digest = '', index = ''] = path.split('/')
    const chunks = received.get(digest) ?? new Map<number, string>()
    chunks.set(Number(index), Core.Hash.sha256(await Faults.readBytes(request)))
    received.set(digest, chunks)
    HttpServer.sendJson(response, 200, {})
  }
  const load: HttpServer.Handler = (_request, response) => {
    HttpServer.sendJson(response, 200, { ...state, queuedCount: 0, capacityCount, cold: cold() })
  }
  const readCacheEvents: HttpServer.Handler = (_request, response, path) => {
    HttpServer.sendJson(response, 200, { events: prefixCache.eventsAfter(Number(path.slice(path.lastIndexOf('/') + 1))) })
  }
  const control: HttpServer.Handler = (_request, response, path) => {
    if (path.endsWith('crash')) crash()
    if (path.endsWith('cold')) turnCold()
    HttpServer.sendJson(response, 200, {})
  }
  const standIn = await Faults.createStandIn({
    port: options.port,
    seed: options.seed,
    routes: [
      { method: 'POST', path: '/control/*', handle: control },
      { method: 'GET', path: '/load', handle: whenHere(load) },
      { method: 'GET', path: '/cache-events/*', handle: whenHere(readCacheEvents) },
      { method: 'POST', path: '/orders', handle: whenHere(order) },
      { method: 'PUT', path: '/weights/*', handle: whenHere(takeChunk) }
    ],
    fallback: whenHere(generate)
  })
  return {
    ...standIn,
    state: () => state,
    crash,
    turnCold,
    close: async () => { clearTimeout(timer); await standIn.close() }
  }
}
