/**
 * Makes what the direct path decides from, and starts a gateway of it on the stand-ins.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Ingress from '../src/ingress/index.ts'
import * as Routing from '../src/routing/index.ts'
import * as Schemas from '../src/schema/index.ts'
import * as Dialect from '../platform/dialect.ts'
import * as Endpoints from '../platform/endpoints.ts'
import * as Operators from '../platform/operators.ts'
import * as Store from '../platform/store.ts'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Runner from '../standins/runner.ts'

/** An engine like the users' one. */
export const ENGINE: Routing.Deployment.Engine = {
  slotCount: 16,
  stepMs: 8.87,
  stepMsPerCall: 0.0388,
  stepMsPerThousandTokens: 0.0227,
  passStepCount: 5,
  readTokensPerMs: 19.1,
  pairMsPerMillion: 1.47,
  readLimitTokens: 2048,
  usualPromptTokens: 977,
  usualAnswerTokens: 94,
  layerCount: 16,
  chunkCount: 64,
  models: ['m']
}

/** A service of engines and a plain one. */
export const ENGINE_SERVICE: Routing.Deployment.Service = { name: 'llm', coldCallsPerSecond: 36, engine: ENGINE, originAddress: undefined }
export const PLAIN_SERVICE: Routing.Deployment.Service = { name: 'plain', coldCallsPerSecond: 0, engine: undefined, originAddress: undefined }

/**
 * Makes a listing.
 *
 * @param endpointId - Its id.
 * @param changes - What differs from a warm engine in zone `a`.
 * @returns The listing.
 */
export function listingOf (endpointId: string, changes: Partial<Routing.Endpoints.Listing> = {}): Routing.Endpoints.Listing {
  return { endpointId, service: 'llm', host: '127.0.0.1', port: 1, zone: 'a', region: 'ra', slotCount: 16, draining: false, coldForMs: 0, bornAtMs: 1, weights: [{ model: 'm', version: 1 }], ...changes }
}

/**
 * Makes what a gateway in zone `a` knows.
 *
 * @param listings - The endpoints.
 * @param changes - What differs from a calm deployment with one gateway.
 * @returns The surroundings.
 */
export function surroundingsOf (listings: readonly Routing.Endpoints.Listing[], changes: Partial<Routing.Choice.RoutingContext> = {}): Routing.Choice.RoutingContext {
  const endpoints: Routing.Endpoints.Endpoints = Core.Table.createTable('endpoints')
  for (const listing of listings) Routing.Endpoints.applyListing(endpoints, listing, 0)
  return { endpoints, notices: Routing.Notices.createNotices(), zone: 'a', region: 'ra', drainedZones: new Set(), oldestVersionOf: () => 1, gatewayCount: 1, zoneGatewayCount: 1, sharers: Routing.Turns.createSharers('own', []), storeMs: 0, ...changes }
}

/** A deployment on the stand-ins with one gateway. */
export interface DirectStage {
  readonly store: PlatformStore.PlatformStore
  readonly runners: readonly Runner.Runner[]
  readonly port: number
  readonly readyPort: number
  /** Lines of the decision log. */
  readonly lines: Array<{ readonly prefix: string, readonly sentence: string, readonly fields: Readonly<Record<string, any>>, readonly line: Schemas.LogLines.LogLine }>
  /** The gateway's metrics, as its metrics address serves them. */
  metrics: () => Promise<string>
  /** The gateway that was started first. */
  readonly first: StartedGateway
  /** Starts another gateway, in another place or with another way to the store where that is given; it may ask those that run already. */
  addGateway: (name: string, changes?: Partial<GatewayPlace>) => Promise<StartedGateway>
  /** Lets time pass for all gateways, in milliseconds. */
  pass: (ms: number) => void
  /** The time of the stage, in milliseconds. */
  clock: () => number
  list: (runner: Runner.Runner, changes?: object) => void
  deploy: (changes?: object) => void
  call: (options?: CallOptions) => Promise<CallAnswer>
  stop: () => Promise<void>
}

/** Where a gateway stands, how it reads and what it speaks. */
export type GatewayPlace = Pick<Ingress.Gateway.GatewayOptions, 'zone' | 'region' | 'store' | 'port' | 'dialect'>

/** A gateway of a stage. */
export interface StartedGateway {
  readonly name: string
  readonly port: number
  readonly readyPort: number
  readonly peerPort: number
  readonly lines: DirectStage['lines']
  /** Has the store refuse this gateway alone, from its next connection on, or take it again. */
  refuse: (isRefused: boolean) => void
  call: (options?: CallOptions) => Promise<CallAnswer>
  stop: () => Promise<void>
}

/** A caller's call. */
export interface CallOptions {
  readonly path?: string
  readonly id?: string
  readonly key?: string
  readonly deadlineMs?: number
  readonly body?: string
  /** Ids of the parts of the prompt, in order. */
  readonly parts?: readonly string[]
  /** Leaves when the first bytes of the answer come. */
  readonly leavesAtFirstBytes?: boolean
  /** Leaves so long after the call was sent, in milliseconds. */
  readonly leavesAfterMs?: number
}

/** What a caller got. */
export interface CallAnswer {
  readonly status: number
  readonly headers: Http.IncomingHttpHeaders
  readonly text: string
  /** Whether the answer ended as a whole one. */
  readonly whole: boolean
}

const ROUTE = { hostname: 'h', timeout_ms: 2000, latency_goal_ms: 400, priority: 1, max_attempts: 2, anonymous: false, allowed_regions: [] }
const DEPLOYMENT = {
  version: 1,
  routes: [
    { ...ROUTE, name: 'stream', prefix: '/stream/', route_type: 'streaming', backend: 'llm', resumable: true, gap_target_ms: 400 },
    { ...ROUTE, name: 'long', prefix: '/stream/long/', route_type: 'streaming', backend: 'llm', resumable: true, gap_target_ms: 400, timeout_ms: 9000 },
    { ...ROUTE, name: 'slow', prefix: '/slow/', route_type: 'streaming', backend: 'llm', resumable: true, gap_target_ms: 4000, timeout_ms: 9000 },
    { ...ROUTE, name: 'read', prefix: '/read/', route_type: 'idempotent', backend: 'plain' },
    { ...ROUTE, name: 'book', prefix: '/book/', route_type: 'non_idempotent', backend: 'plain', max_attempts: 1 }
  ],
  backends: [
    { name: 'llm', cold_per_s: 36, engine: { slots: 16, stride: 5, step_ms: 8.87, per_seq_ms: 0.04, context_per_k: 0.02, read_per_s: 19100, pairs_per_m: 1.47, chunk: 2048, usual: { prompt: 977, answer: 94 }, layers: 4, chunks: 4, models: [{ name: 'm' }] } },
    { name: 'plain' }
  ],
  limits: { max_header_bytes: 16384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants: [{ name: 'w1', api_keys: ['key-1'] }, { name: 'w2', api_keys: ['key-2'], allowed_regions: ['elsewhere'] }]
}
const SEED = 7
/** Time by which a named version has to be everywhere, in milliseconds. */
export const VERSION_MS = 8_000

/**
 * Starts the stand-ins and a gateway.
 *
 * @param runners - The runners, with their services.
 * @returns The stage.
 */
export async function startDirectStage (runners: ReadonlyArray<Runner.RunnerOptions & { readonly service: string }>): Promise<DirectStage> {
  let passedMs = 0
  const clock = (): number => performance.now() + passedMs
  const store = await PlatformStore.startPlatformStore(clock)
  const started = await Promise.all(runners.map(async options => await Runner.startRunner({ clock, ...options })))
  const services = new Map(started.map((runner, at) => [runner, runners[at]?.service]))
  let callCount = 0
  const gateways: StartedGateway[] = []
  const list = (runner: Runner.Runner, changes: object = {}): void => {
    store.put('servers', runner.instanceId, { ...endpointEntryOf({ service: services.get(runner) ?? '', ...runner }), ...changes })
  }
  const deploy = (changes: object = {}): void => { store.put('op', 'config', { ...DEPLOYMENT, ...changes }) }
  const addGateway: DirectStage['addGateway'] = async (name, changes = {}) => {
    const [port, readyPort, peerPort] = await Promise.all([freePort(), freePort(), changes.port ?? freePort()])
    const nowhere = await freePort()
    const seeds = gateways.map(other => ({ host: '127.0.0.1', port: other.peerPort }))
    let refused = false
    const lines: DirectStage['lines'] = []
    const gateway = await Ingress.Gateway.open({
      name,
      host: '127.0.0.1',
      port: peerPort,
      zone: 'a',
      region: 'ra',
      seeds: () => seeds,
      store: Store.createRowSource(() => ({ host: '127.0.0.1', port: refused ? nowhere : store.port })),
      clock,
      random: Core.Random.createRandom(SEED),
      metrics: Metrics.createMetrics(),
      log: (prefix, sentence, fields = {}) => { lines.push({ prefix, sentence, fields, line: lineOf('gateway', name, prefix, sentence, fields) }) },
      callerAddress: { host: '127.0.0.1', port },
      readinessAddress: { host: '127.0.0.1', port: readyPort },
      bounds: () => ({ retries: { ratio: 0.2, slackCount: 100, windowMs: 10_000 }, versionMs: VERSION_MS, graceMs: 8_000 }),
      limits: () => ({ memoryBytes: undefined, descriptorCount: undefined }),
      dialect: Dialect.createDialect(),
      operatorChangeOf: Operators.changeOf,
      agentRowOf: Operators.agentPartOf,
      listingOf: row => Endpoints.listingOf(row, () => 'ra'),
      tables: { operators: 'op', endpoints: 'servers' },
      ...changes
    })
    let stopping: Promise<void> | undefined
    const added: StartedGateway = {
      name,
      port,
      readyPort,
      peerPort,
      lines,
      refuse: isRefused => { refused = isRefused },
      call: async (options = {}) => await call(port, { id: `call-${++callCount}`, ...options }),
      stop: async () => {
        stopping ??= gateway.stop()
        await stopping
        checkLines(lines.map(entry => entry.line))
      }
    }
    gateways.push(added)
    return added
  }
  deploy()
  for (const runner of started) {
    list(runner)
    runner.onBack = idBefore => {
      store.drop('servers', idBefore)
      list(runner)
    }
  }
  const first = await addGateway('g1')
  let stopped: Promise<void> | undefined
  const stop = async (): Promise<void> => {
    await Promise.all(gateways.map(async gateway => { await gateway.stop() }))
    await Promise.all(started.map(async runner => { await runner.close() }))
    await store.close()
  }
  return {
    store,
    runners: started,
    port: first.port,
    readyPort: first.readyPort,
    lines: first.lines,
    first,
    addGateway,
    pass: ms => { passedMs += ms },
    clock,
    list,
    deploy,
    metrics: async () => await (await fetch(`http://127.0.0.1:${first.peerPort}/metrics`)).text(),
    call: first.call,
    stop: async () => {
      stopped ??= stop()
      await stopped
    }
  }
}

async function call (port: number, options: CallOptions): Promise<CallAnswer> {
  const { path = '/stream/1', id = 'call', key = 'key-1', deadlineMs = 2_000, body = 'prompt', parts: promptParts = [], leavesAtFirstBytes = false, leavesAfterMs } = options
  return await new Promise(resolve => {
    const parts: Buffer[] = []
    let answer: Http.IncomingMessage | undefined
    const finish = (whole: boolean): void => { resolve({ status: answer?.statusCode ?? 0, headers: answer?.headers ?? {}, text: Buffer.concat(parts).toString(), whole }) }
    const request = Http.request({
      host: '127.0.0.1',
      port,
      method: 'POST',
      path,
      agent: false,
      headers: {
        host: 'h',
        'X-Fescuespread-Attempt-Id': id,
        'X-Fescuespread-Deadline-Ms': String(deadlineMs),
        ...(path.startsWith('/stream/') ? { 'X-Fescuespread-Model': 'm', 'X-Fescuespread-Token-Usage': '100,50' } : {}),
        ...(promptParts.length === 0 ? {} : { 'X-Fescuespread-Prefix-Hash': promptParts.map(part => `${part}:40`).join(',') }),
        ...(key === '' ? {} : { authorization: `Bearer ${key}` })
      }
    }, response => {
      answer = response
      response.on('data', (part: Buffer) => {
        parts.push(part)
        if (leavesAtFirstBytes) request.destroy()
      })
      response.on('error', () => { finish(false) })
      response.on('end', () => { finish(response.complete) })
    })
    request.on('error', () => { finish(false) })
    request.end(body)
    if (leavesAfterMs !== undefined) setTimeout(() => { request.destroy() }, leavesAfterMs)
  })
}

/**
 * Makes a line as a process writes it.
 *
 * @param program - The program.
 * @param instanceId - The instance.
 * @param prefix - The part.
 * @param sentence - What was decided.
 * @param fields - What it was decided from.
 * @param time - The time of day, in milliseconds.
 * @returns The line as it is read back.
 */
export function lineOf (program: string, instanceId: string, prefix: string, sentence: string, fields: object, time = performance.timeOrigin + performance.now()): Schemas.LogLines.LogLine {
  return JSON.parse(JSON.stringify({ level: 30, time, program, instanceId, ...fields, msg: `${prefix}: ${sentence}` }))
}

/**
 * Checks that lines are as the schema describes them.
 *
 * @param lines - The lines.
 * @throws When one is not.
 */
export function checkLines (lines: readonly Schemas.LogLines.LogLine[]): void {
  const problems = lines.flatMap(({ level, time, program, instanceId, msg, ...fields }) => Schemas.LogLines.problemsOf(msg, fields))
  if (problems.length > 0) throw new Error(`log lines: ${[...new Set(problems)].join('; ')}`)
}

/**
 * Makes the entry of an endpoint in the platform's list.
 *
 * @param endpoint - Its service, its port on loopback, the version of its weights, and its start.
 * @returns The value of the row.
 */
export function endpointEntryOf ({ service, port, version, born }: { readonly service: string, readonly port: number, readonly version: number, readonly born: number }): object {
  const models = [{ name: 'm', version, adapters: [] }]
  return { backend: service, address: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 16, state: 'ready', cold_remaining_ms: 0, born, models, layers: { from: 0, target: 4, version } }
}

/**
 * Makes what operators write for a deployment.
 *
 * @param options - Where weights come from, and of how many chunks each version consists if not of four.
 * @returns The value of the row.
 */
export function deploymentOf (options: { readonly origin: string, readonly chunkCount?: number }): object {
  const { origin, chunkCount } = options
  const backends = DEPLOYMENT.backends.map(backend => backend.engine === undefined || chunkCount === undefined ? backend : { ...backend, engine: { ...backend.engine, chunks: chunkCount } })
  return { ...DEPLOYMENT, backends: [...backends, { name: 'origin', origin }] }
}

/**
 * Finds a free port on loopback.
 *
 * @returns The port.
 */
export async function freePort (): Promise<number> {
  const server = Http.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  await new Promise(resolve => { server.close(resolve) })
  return port
}
