import * as ChildProcess from 'node:child_process'
import * as Fs from 'node:fs'
import * as Http from 'node:http'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { after, before, describe, it } from 'node:test'
import * as WorkerThreads from 'node:worker_threads'
import * as Esbuild from 'esbuild'
import { expect } from 'earl'
import * as Toml from 'smol-toml'
import * as PlatformStore from '../standins/platformStore.ts'
import * as Runner from '../standins/runner.ts'
import * as Direct from '../testkit/direct.ts'
import * as MisbehavingClients from '../testkit/misbehavingClients.ts'
import * as TestKit from '../testkit/index.ts'

/** The smallest instance that a gateway runs on. */
const MEMORY_MB = 202
const DESCRIPTOR_COUNT = 2_069
const MAX_BODY_BYTES = 4 * 1024 * 1024
const CLIENT_COUNT = 120
const PLAY_MS = Number(process.env.CLIENT_PLAY_MS ?? 1_500)
const ORDINARY_INTERVAL_MS = 50
const GOAL_MS = 400
/** Time within which ordinary calls have to be served again after a crowd has left. */
const SETTLE_LIMIT_MS = 5_000
const MIN_SERVED_SHARE = 0.99
const BYTES_PER_KIB = 1_024
const BYTES_PER_MB = 1_000_000

interface Outcome extends MisbehavingClients.Pressure {
  readonly servedShare: number
  readonly ready: number
  readonly peakMb: number
}

interface Stage {
  readonly process: ChildProcess.ChildProcess
  readonly port: number
  readonly readyPort: number
  readonly peerPort: number
  readonly runners: readonly Runner.Runner[]
  /** The thread of the clients that do not behave. */
  readonly clients: WorkerThreads.Worker
  readonly stop: () => Promise<void>
}

/** Starts the program of a gateway, with the flags of its deployment, beside stand-ins in this process. */
async function startStage (): Promise<Stage> {
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'gateway-'))
  const program = Path.join(folder, 'fescuespread.cjs')
  await Esbuild.build({ entryPoints: { fescuespread: 'platform/main.ts', clients: 'testkit/misbehavingClients.ts' }, bundle: true, platform: 'node', target: 'node20', format: 'cjs', outdir: folder, outExtension: { '.js': '.cjs' }, minify: true, keepNames: true, logLevel: 'warning' })
  const clients = new WorkerThreads.Worker(Path.join(folder, 'clients.cjs'))
  const store = await PlatformStore.startPlatformStore(() => performance.now())
  const runners = await Promise.all(['r1', 'r2'].map(async instanceId => await Runner.startRunner({ instanceId })))
  const { routes, backends, limits, ...deployment } = Direct.deploymentOf({ origin: '127.0.0.1:1' }) as { routes: object[], backends: object[], limits: object }
  store.put('op', 'config', { ...deployment, routes, backends, limits: { ...limits, max_body_bytes: MAX_BODY_BYTES } })
  for (const runner of runners) store.put('servers', runner.instanceId, { backend: 'plain', address: `127.0.0.1:${runner.port}`, zone: 'a', version: 'v1', slots: 64, state: 'ready', cold_remaining_ms: 0, born: 1 })
  const [port, readyPort, peerPort] = await Promise.all([Direct.freePort(), Direct.freePort(), Direct.freePort()])
  const settings = {
    node_name: 'g1',
    ip: '127.0.0.1',
    zone: 'a',
    region: 'ra',
    internal_ports: [peerPort, peerPort],
    seeds: [],
    zones: { a: 'ra' },
    listen: { frontend: `127.0.0.1:${port}`, ready: `127.0.0.1:${readyPort}` },
    limits: { link_mbps: 100, memory_mb: MEMORY_MB, max_fds: DESCRIPTOR_COUNT },
    bounds: { retry_budget_ratio: 0.2, retry_slack: 100, budget_window_s: 10, version_ms: 8_000, grace_s: 8 },
    platform: { address: `127.0.0.1:${store.port}` }
  }
  const settingsPath = Path.join(folder, 'node.toml')
  Fs.writeFileSync(settingsPath, Toml.stringify(settings))
  const { roles } = Toml.parse(Fs.readFileSync('deploy/system.toml', 'utf8')) as { roles: { gateway: { run: string } } }
  const flags = roles.gateway.run.split(' ').filter(word => word.startsWith('--'))
  const child = ChildProcess.spawn(process.execPath, [...flags, program, 'gateway', 'warn'], { env: { ...process.env, FESCUESPREAD_SETTINGS: settingsPath }, stdio: ['ignore', 'ignore', 'inherit'] })
  await TestKit.Wait.until('the gateway is ready', 10_000, async () => (await statusOf(readyPort, '/readyz')) === 200)
  return {
    process: child,
    port,
    readyPort,
    peerPort,
    runners,
    clients,
    stop: async () => {
      await clients.terminate()
      const ended = new Promise(resolve => { child.once('exit', resolve) })
      child.kill('SIGKILL')
      await ended
      await Promise.all(runners.map(async runner => { await runner.close() }))
      await store.close()
      Fs.rmSync(folder, { recursive: true })
    }
  }
}

async function statusOf (port: number, path: string): Promise<number> {
  return await new Promise(resolve => {
    const request = Http.get({ host: '127.0.0.1', port, path, agent: false }, response => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode ?? 0) })
    })
    request.on('error', () => { resolve(0) })
  })
}

/** Returns the most memory that a process has had, in bytes, since it was last reset. */
function peakBytesOf (pid: number | undefined): number {
  return Number(/VmHWM:\s+(\d+) kB/.exec(Fs.readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) * BYTES_PER_KIB
}

const HEADER_LINES = 'host: h\r\nauthorization: Bearer key-1\r\nX-Fescuespread-Attempt-Id: c\r\nX-Fescuespread-Deadline-Ms: 2000'
let callCount = 0

/** Makes an ordinary call; tells whether it was answered within its goal. */
async function isServed (port: number): Promise<boolean> {
  const startedMs = performance.now()
  return await new Promise(resolve => {
    const request = Http.request({ host: '127.0.0.1', port, method: 'POST', path: '/read/1', agent: false, headers: { host: 'h', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': `o${++callCount}`, 'X-Fescuespread-Deadline-Ms': '2000' } }, response => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode === 200 && performance.now() - startedMs <= GOAL_MS) })
    })
    request.on('error', () => { resolve(false) })
    request.end('ordinary')
  })
}

describe('Clients that do not behave', () => {
  let stage: Stage
  const order = (value: MisbehavingClients.Order): void => { stage.clients.postMessage(value) }
  before(async () => { stage = await startStage() })
  after(async () => { await stage.stop() })

  /** Waits until the crowd before is gone, so that each play shows its own. */
  const settle = async (): Promise<void> => { await TestKit.Wait.until('ordinary calls are served again', SETTLE_LIMIT_MS, async () => await isServed(stage.port)) }

  const play = async (kinds: readonly string[], clientCount: number, targetOf: () => { port: number, path: string }): Promise<Outcome> => {
    await settle()
    order({ kinds, target: { ...targetOf(), headerLines: HEADER_LINES, maxBodyBytes: MAX_BODY_BYTES }, clientCount })
    const calls: Array<Promise<boolean>> = []
    const untilMs = performance.now() + PLAY_MS
    while (performance.now() < untilMs) {
      calls.push(isServed(stage.port))
      await new Promise(resolve => { setTimeout(resolve, ORDINARY_INTERVAL_MS) })
    }
    const served = await Promise.all(calls)
    const ready = await statusOf(stage.readyPort, '/readyz')
    const pressure = await new Promise<MisbehavingClients.Pressure>(resolve => {
      stage.clients.once('message', resolve)
      order('leave')
    })
    return { servedShare: served.filter(Boolean).length / served.length, ready, peakMb: peakBytesOf(stage.process.pid) / BYTES_PER_MB, ...pressure }
  }
  const checkOutcome = (outcome: Outcome): void => {
    expect([stage.process.exitCode, outcome.ready, outcome.connectedCount >= CLIENT_COUNT, outcome.servedShare >= MIN_SERVED_SHARE, outcome.peakMb <= MEMORY_MB]).toEqual([null, 200, true, true, true])
  }
  const PATHS: Readonly<Record<string, () => { port: number, path: string }>> = {
    'a route': () => ({ port: stage.port, path: '/read/1' }),
    'a path without a route': () => ({ port: stage.port, path: '/none/1' }),
    'the readiness address': () => ({ port: stage.readyPort, path: '/readyz' }),
    'the address for other processes': () => ({ port: stage.peerPort, path: '/metrics' })
  }

  for (const [place, targetOf] of Object.entries(PATHS)) {
    describe(`at ${place}`, () => {
      for (const kind of Object.keys(MisbehavingClients.BEHAVIOURS)) {
        it(`neither end the gateway nor keep ordinary calls from being served: ${kind}`, async t => {
          const outcome = await play([kind], CLIENT_COUNT, targetOf)
          t.diagnostic(JSON.stringify(outcome))
          checkOutcome(outcome)
        })
      }
    })
  }

  it('neither end the gateway nor keep ordinary calls from being served, of all kinds at once', async t => {
    const outcome = await play(Object.keys(MisbehavingClients.BEHAVIOURS), CLIENT_COUNT / 4, PATHS['a route'] ?? (() => ({ port: 0, path: '' })))
    t.diagnostic(JSON.stringify(outcome))
    checkOutcome(outcome)
  })

  it('leave a single call of the maximum size to be served in calm, whole, in chunks and with many header fields', async () => {
    const body = Buffer.alloc(MAX_BODY_BYTES, 'x')
    const send = async (write: (request: Http.ClientRequest) => void, headers: Record<string, string>): Promise<number> => await new Promise(resolve => {
      const request = Http.request({ host: '127.0.0.1', port: stage.port, method: 'POST', path: '/read/1', agent: false, headers: { host: 'h', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': `l${++callCount}`, 'X-Fescuespread-Deadline-Ms': '2000', ...headers } }, response => {
        let sizeBytes = 0
        response.on('data', (part: Buffer) => { sizeBytes += part.length })
        response.on('end', () => { resolve(response.statusCode === 200 ? sizeBytes : response.statusCode ?? 0) })
      })
      request.on('error', () => { resolve(0) })
      write(request)
    })
    const answerBytes = MAX_BODY_BYTES - 'answer to '.length
    const whole = await send(request => { request.end(body.subarray(0, answerBytes)) }, {})
    const chunked = await send(request => {
      for (let at = 0; at < answerBytes; at += 4_096) request.write(body.subarray(at, Math.min(at + 4_096, answerBytes)))
      request.end()
    }, { 'transfer-encoding': 'chunked' })
    const manyFields = Object.fromEntries(Array.from({ length: 2_400 }, (_, index) => [`${index.toString(36)}`, '']))
    const before = stage.runners.flatMap(runner => runner.arrived).length
    const fields = await send(request => { request.end('short') }, manyFields)
    const arrived = stage.runners.flatMap(runner => runner.arrived)
    expect([whole, chunked, fields, arrived.length > before]).toEqual([MAX_BODY_BYTES, MAX_BODY_BYTES, 'answer to short'.length, true])
  })
})
