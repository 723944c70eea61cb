/**
 * Starts the daemons and stand-ins as processes and follows their output.
 *
 * @packageDocumentation
 */
import * as ChildProcess from 'node:child_process'
import * as Path from 'node:path'
import * as Url from 'node:url'

/** A started process. */
export interface Running {
  readonly name: string
  readonly pid: number
  readonly port: number
  /** The last lines of its output, parsed where they are JSON. */
  lines: () => readonly LogLine[]
  onLine: (take: (line: LogLine) => void) => void
  signal: (signal: NodeJS.Signals) => void
  /** Asks it to stop and waits for its end. */
  stop: () => Promise<number | null>
  kill: () => Promise<void>
  alive: () => boolean
}

/** A line of output. */
export interface LogLine {
  readonly msg: string
  readonly [field: string]: unknown
}

/** The root of the repository. */
export const ROOT = Path.resolve(Path.dirname(Url.fileURLToPath(import.meta.url)), '..')
const KEPT_LINES = 2_000
const START_LIMIT_MS = 30_000

/** What to start. */
export interface StartOptions {
  readonly name: string
  readonly args: readonly string[]
  readonly env?: Readonly<Record<string, string>>
}

/**
 * Starts a program and waits until it tells its port.
 *
 * @param options - Name, arguments to Node and environment.
 * @returns The running process.
 * @throws When it ends or stays silent instead.
 */
export async function start (options: StartOptions): Promise<Running> {
  const child = ChildProcess.spawn(process.execPath, options.args, { cwd: ROOT, env: { ...process.env, ...options.env }, stdio: ['ignore', 'pipe', 'pipe'] })
  const lines: LogLine[] = []
  const takers: Array<(line: LogLine) => void> = []
  let errorText = ''
  let rest = ''
  let exited = false
  const ended = new Promise<number | null>(resolve => { child.once('exit', code => { exited = true; resolve(code) }) })
  const port = new Promise<number>((resolve, reject) => {
    takers.push(line => { if (typeof line.port === 'number') resolve(line.port) })
    void ended.then(code => { reject(new Error(`${options.name} ended with ${String(code)}: ${errorText.slice(0, 500)}`)) })
    setTimeout(() => { reject(new Error(`${options.name} did not tell its port: ${errorText.slice(0, 500)}`)) }, START_LIMIT_MS).unref()
  })
  child.stderr.on('data', (part: Buffer) => { errorText = (errorText + part.toString()).slice(-4_000) })
  child.stdout.on('data', (part: Buffer) => {
    const parts = (rest + part.toString()).split('\n')
    rest = parts.pop() ?? ''
    for (const text of parts) {
      const line = parse(text)
      lines.push(line)
      if (lines.length > KEPT_LINES) lines.shift()
      takers.forEach(take => { take(line) })
    }
  })
  const listening = await port
  return {
    name: options.name,
    pid: child.pid ?? 0,
    port: listening,
    lines: () => lines,
    onLine: take => { takers.push(take) },
    signal: signal => { child.kill(signal) },
    stop: async () => {
      if (!exited) child.kill('SIGTERM')
      return await ended
    },
    kill: async () => {
      if (!exited) child.kill('SIGKILL')
      await ended
    },
    alive: () => !exited
  }
}

/**
 * Starts a daemon from the build.
 *
 * @param program - Which daemon.
 * @param settings - Its settings by name.
 * @returns The running process.
 */
export async function startDaemon (program: 'gateway' | 'agent', settings: Readonly<Record<string, string | number>>): Promise<Running> {
  const env = Object.fromEntries(Object.entries(settings).map(([name, value]) => [variableOf(name), String(value)]))
  return await start({ name: `${program} ${String(settings.instanceId)}`, args: [Path.join(ROOT, 'dist', `${program}.js`)], env })
}

/** The output and exit code of a finished command. */
export interface Finished {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/**
 * Runs `fescuectl` from the build.
 *
 * @param args - Its arguments.
 * @param env - Further environment.
 * @returns Its output and exit code.
 */
export async function runCtl (args: readonly string[], env: Readonly<Record<string, string>> = {}): Promise<Finished> {
  return await new Promise(resolve => {
    ChildProcess.execFile(process.execPath, [Path.join(ROOT, 'dist', 'fescuectl.js'), ...args], { env: { ...process.env, ...env }, maxBuffer: 1 << 26 }, (error, stdout, stderr) => {
      const code = error === null ? 0 : typeof error.code === 'number' ? error.code : 1
      resolve({ code, stdout, stderr })
    })
  })
}

function variableOf (name: string): string {
  return `FESCUE_${name.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`
}

function parse (text: string): LogLine {
  try {
    return JSON.parse(text) as LogLine
  } catch {
    return { msg: text }
  }
}
