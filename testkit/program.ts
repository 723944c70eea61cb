/**
 * Starts the program that the platform runs, with the flags of its deployment.
 *
 * @packageDocumentation
 */
import * as ChildProcess from 'node:child_process'
import * as Fs from 'node:fs'
import * as Http from 'node:http'
import * as Os from 'node:os'
import * as Path from 'node:path'
import * as Esbuild from 'esbuild'
import * as Toml from 'smol-toml'
import * as Direct from './direct.ts'

/** How a process ended. */
export interface End {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A log line of a process. */
export interface Line {
  readonly msg: string
  readonly [field: string]: unknown
}

/** A started process of the program. */
export interface Process {
  readonly pid: number | undefined
  /** How it ended; undefined while it runs. */
  end: () => End | undefined
  /** What it wrote to standard error. */
  errors: () => string
  /** Messages of its log lines. */
  messages: () => readonly string[]
  /** Its log lines. */
  lines: () => readonly Line[]
  signal: (signal: NodeJS.Signals) => void
  ended: Promise<End>
}

/** A started gateway. */
export interface Program extends Process {
  readonly ports: GatewayPorts
}

/** Ports that a gateway listens on. */
export interface GatewayPorts {
  readonly callers: number
  readonly readiness: number
  /** Port for other processes, TCP and UDP. */
  readonly peers: number
}

/** Bundles of the program and places for its settings. */
export interface ProgramFolder {
  readonly path: string
  /** Starts a gateway. */
  startGateway: (options: GatewayOptions) => Program
  /** Starts an agent. */
  startAgent: (options: AgentOptions) => Process
  /** Kills all processes that still run, and removes the folder. */
  close: () => Promise<void>
}

/** Settings of a gateway. */
export interface GatewayOptions {
  readonly ports: GatewayPorts
  readonly storePort: number
}

/** Settings of an agent. */
export interface AgentOptions {
  readonly name: string
  /** Port for other processes, TCP and UDP. */
  readonly port: number
  readonly enginePort: number
  readonly service: string
  readonly storePort: number
}

/**
 * Bundles the program.
 *
 * @returns The folder with the bundle; to be closed.
 */
export async function build (): Promise<ProgramFolder> {
  const path = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'program-'))
  await Esbuild.build({ entryPoints: { fescuespread: 'platform/main.ts' }, bundle: true, platform: 'node', target: 'node20', format: 'cjs', outdir: path, outExtension: { '.js': '.cjs' }, minify: true, keepNames: true, logLevel: 'warning' })
  const { roles } = Toml.parse(Fs.readFileSync('deploy/system.toml', 'utf8')) as { roles: { gateway: { run: string } } }
  const flags = roles.gateway.run.split(' ').filter(word => word.startsWith('--'))
  const started: Process[] = []
  const start = (role: 'gateway' | 'agent', settings: Record<string, unknown>): Process => {
    const settingsPath = Path.join(path, `${role}-${started.length}.toml`)
    Fs.writeFileSync(settingsPath, Toml.stringify(settings))
    const child = ChildProcess.spawn(process.execPath, [...flags, Path.join(path, 'fescuespread.cjs'), role, 'info'], { env: { ...process.env, FESCUESPREAD_SETTINGS: settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    const program = follow(child)
    started.push(program)
    return program
  }
  return {
    path,
    startGateway: options => ({ ...start('gateway', gatewaySettingsOf(`g${started.length}`, options)), ports: options.ports }),
    startAgent: options => start('agent', agentSettingsOf(options)),
    close: async () => {
      for (const program of started) if (program.end() === undefined) program.signal('SIGKILL')
      await Promise.all(started.map(async program => await program.ended))
      Fs.rmSync(path, { recursive: true })
    }
  }
}

/**
 * Finds free ports for a gateway.
 *
 * @returns The ports.
 */
export async function freePorts (): Promise<GatewayPorts> {
  const [callers, readiness, peers] = await Promise.all([Direct.freePort(), Direct.freePort(), Direct.freePort()])
  return { callers, readiness, peers }
}

/**
 * Asks a gateway whether it is ready.
 *
 * @param program - The gateway.
 * @returns Whether it answered 200.
 */
export async function isReady ({ ports }: Program): Promise<boolean> {
  return await new Promise(resolve => {
    const request = Http.get({ host: '127.0.0.1', port: ports.readiness, path: '/readyz', agent: false, timeout: 1_000 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('timeout', () => { request.destroy() })
    request.on('error', () => { resolve(false) })
  })
}

function gatewaySettingsOf (name: string, { ports, storePort }: GatewayOptions): Record<string, unknown> {
  return {
    ...commonSettingsOf(name, ports.peers, storePort),
    listen: { frontend: `127.0.0.1:${ports.callers}`, ready: `127.0.0.1:${ports.readiness}` },
    limits: { link_mbps: 100, memory_mb: 350, max_fds: 4_100 }
  }
}

function agentSettingsOf ({ name, port, enginePort, service, storePort }: AgentOptions): Record<string, unknown> {
  return {
    ...commonSettingsOf(name, port, storePort),
    app: `127.0.0.1:${enginePort}`,
    backend: service,
    listen: {},
    limits: { link_mbps: 100, memory_mb: 218, max_fds: 1_494 }
  }
}

function commonSettingsOf (name: string, port: number, storePort: number): Record<string, unknown> {
  return {
    node_name: name,
    ip: '127.0.0.1',
    zone: 'a',
    region: 'ra',
    internal_ports: [port, port],
    seeds: [],
    zones: { a: 'ra' },
    bounds: { retry_budget_ratio: 0.2, retry_slack: 100, budget_window_s: 10, version_ms: 8_000, grace_s: 8 },
    platform: { address: `127.0.0.1:${storePort}` }
  }
}

function follow (child: ChildProcess.ChildProcess): Process {
  let end: End | undefined
  let errors = ''
  let rest = ''
  const parsed: Line[] = []
  child.stderr?.on('data', (part: Buffer) => { errors += part.toString() })
  child.stdout?.on('data', (part: Buffer) => {
    const lines = (rest + part.toString()).split('\n')
    rest = lines.pop() ?? ''
    parsed.push(...lines.map(line => JSON.parse(line) as Line))
  })
  return {
    pid: child.pid,
    end: () => end,
    errors: () => errors,
    messages: () => parsed.map(line => line.msg),
    lines: () => parsed,
    signal: signal => { child.kill(signal) },
    ended: new Promise(resolve => {
      child.once('exit', (code, signal) => {
        end = { code, signal }
        resolve(end)
      })
    })
  }
}
