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

/** A started process of the program. */
export interface Program {
  readonly pid: number | undefined
  readonly ports: GatewayPorts
  /** How it ended; undefined while it runs. */
  end: () => End | undefined
  /** What it wrote to standard error. */
  errors: () => string
  /** Messages of its log lines. */
  messages: () => readonly string[]
  signal: (signal: NodeJS.Signals) => void
  ended: Promise<End>
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
  /** Kills all processes that still run, and removes the folder. */
  close: () => Promise<void>
}

/** Settings of a gateway. */
export interface GatewayOptions {
  readonly ports: GatewayPorts
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
  const started: Program[] = []
  return {
    path,
    startGateway: options => {
      const settingsPath = Path.join(path, `gateway-${started.length}.toml`)
      Fs.writeFileSync(settingsPath, Toml.stringify(settingsOf(`g${started.length}`, options)))
      const child = ChildProcess.spawn(process.execPath, [...flags, Path.join(path, 'fescuespread.cjs'), 'gateway', 'info'], { env: { ...process.env, FESCUESPREAD_SETTINGS: settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
      const program = follow(child, options.ports)
      started.push(program)
      return program
    },
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

function settingsOf (name: string, { ports, storePort }: GatewayOptions): Record<string, unknown> {
  return {
    node_name: name,
    ip: '127.0.0.1',
    zone: 'a',
    region: 'ra',
    internal_ports: [ports.peers, ports.peers],
    seeds: [],
    zones: { a: 'ra' },
    listen: { frontend: `127.0.0.1:${ports.callers}`, ready: `127.0.0.1:${ports.readiness}` },
    limits: { link_mbps: 100, memory_mb: 350, max_fds: 4_100 },
    bounds: { retry_budget_ratio: 0.2, retry_slack: 100, budget_window_s: 10, version_ms: 8_000, grace_s: 8 },
    platform: { address: `127.0.0.1:${storePort}` }
  }
}

function follow (child: ChildProcess.ChildProcess, ports: GatewayPorts): Program {
  let end: End | undefined
  let errors = ''
  let rest = ''
  const messages: string[] = []
  child.stderr?.on('data', (part: Buffer) => { errors += part.toString() })
  child.stdout?.on('data', (part: Buffer) => {
    const lines = (rest + part.toString()).split('\n')
    rest = lines.pop() ?? ''
    messages.push(...lines.map(line => (JSON.parse(line) as { readonly msg: string }).msg))
  })
  return {
    pid: child.pid,
    ports,
    end: () => end,
    errors: () => errors,
    messages: () => messages,
    signal: signal => { child.kill(signal) },
    ended: new Promise(resolve => {
      child.once('exit', (code, signal) => {
        end = { code, signal }
        resolve(end)
      })
    })
  }
}
