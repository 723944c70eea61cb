/**
 * A stand-in of a runner of the platform, with faults: streams in passes, plain answers, staged weights, orders.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'

/** How the runner misbehaves. */
export interface RunnerFaults {
  /** Breaks a stream off after so many events; undefined for never. */
  breakAfterCount: number | undefined
  /** Sends nothing more of a stream after so many events, until it is set back; undefined for never. */
  stallAfterCount: number | undefined
  /** Refuses every call as not run. */
  full: boolean
  /** Answers plain calls with a failure of its own. */
  failing: boolean
  /** Answers with the id of another call. */
  crossed: boolean
  /** Sends plain answers without a length and resets the connection half way. */
  unframedReset: boolean
  /** Takes calls and answers nothing. */
  dark: boolean
  /** Names this many calls a second as the most that it takes, and serves all; undefined for no limit. */
  limitPerSecond: number | undefined
  /** Ends a moment after it began to run a call with this body, and is back later as another start; undefined for never. */
  crashBody: string | undefined
  /** Ends a moment after it began to run a call with this part in its prompt, and is back later as another start; undefined for never. */
  crashPart: string | undefined
  /** Says in all its answers that it leaves, and serves on. */
  leaving: boolean
  /** What it names as the time of return in refusals, as text in seconds; undefined for nothing. */
  returnAfter: string | undefined
  /** Whether it ends without closing its connections, as where its power fails, and is silent until it is back. */
  crashesSilently: boolean
}

/** A running stand-in. */
export interface Runner {
  /** Another one after each crash. */
  instanceId: string
  readonly port: number
  readonly faults: RunnerFaults
  /** Ids of the calls that ran, in order. */
  readonly ran: string[]
  /** Headers of the calls that arrived, in order. */
  readonly arrived: Http.IncomingHttpHeaders[]
  /** When they arrived, in milliseconds. */
  readonly arrivedAtMs: number[]
  /** Bodies of the calls that arrived, in order. */
  readonly arrivedBodies: string[]
  /** Ids of the calls whose answers said that it leaves or named a time of return, with when they were answered, in milliseconds. */
  readonly told: Array<{ readonly id: string, readonly atMs: number, readonly isLeaving: boolean, readonly returnAfterMs: number }>
  /** When the runner crashed, in milliseconds. */
  readonly crashedAtMs: number[]
  /** Calls whose connection closed before the answer was whole. */
  readonly abandoned: string[]
  /** Told that the runner is back after a crash, with the id that it had before. */
  onBack: (idBefore: string) => void
  /** Counts the starts. */
  born: number
  version: number
  readonly staged: Map<number, Buffer>
  close: () => Promise<void>
}

/** What the runner is. */
export interface RunnerOptions {
  readonly instanceId: string
  /** Events of a stream. */
  readonly eventCount?: number
  /** Time between events, in milliseconds. */
  readonly eventMs?: number
  readonly version?: number
  readonly model?: string
  /** Dates arrivals, in milliseconds; without it the process's own clock. */
  readonly clock?: () => number
}

const LAYERS = 4
/** A call runs for so long before it crashes the runner, in milliseconds. */
const CRASH_AFTER_MS = 30
/** A runner that crashed is back after so long, in milliseconds; the platform's take some seconds. */
const CRASH_DOWN_MS = 1_500

/**
 * Starts a runner on loopback.
 *
 * @param options - What it is.
 * @returns The runner.
 */
export async function startRunner (options: RunnerOptions): Promise<Runner> {
  const { eventCount = 5, eventMs = 5, model = 'm', clock = () => performance.now() } = options
  const faults: RunnerFaults = { breakAfterCount: undefined, stallAfterCount: undefined, full: false, failing: false, crossed: false, unframedReset: false, dark: false, limitPerSecond: undefined, crashBody: undefined, crashPart: undefined, leaving: false, returnAfter: undefined, crashesSilently: false }
  const sockets = new Set<Net.Socket>()
  const staged = new Map<number, Buffer>()
  const ran: string[] = []
  const arrived: Http.IncomingHttpHeaders[] = []
  const arrivedAtMs: number[] = []
  const arrivedBodies: string[] = []
  const abandoned: string[] = []
  const runner: Runner = { instanceId: options.instanceId, port: 0, faults, ran, arrived, arrivedAtMs, arrivedBodies, told: [], crashedAtMs: [], abandoned, onBack: () => {}, born: 1, version: options.version ?? 1, staged, close: async () => {} }

  let isSilent = false
  /** The start of the runner at which each connection was opened. */
  const bornOf = new WeakMap<Net.Socket, number>()

  const stream = (request: Http.IncomingMessage, response: Http.ServerResponse, headers: Record<string, string>): void => {
    const { born } = runner
    const first = Number(request.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    let id = first
    let sentCount = 0
    const timer = setInterval(() => {
      if (isSilent || runner.born !== born) return
      if (faults.stallAfterCount !== undefined && sentCount >= faults.stallAfterCount) return
      if (faults.breakAfterCount !== undefined && sentCount >= faults.breakAfterCount) {
        clearInterval(timer)
        response.write(`id: ${id}\nda`)
        setTimeout(() => { response.destroy() }, 1)
        return
      }
      response.write(`id: ${id}\ndata: ${runner.instanceId}\n\n`)
      sentCount++
      if (id++ < eventCount) return
      clearInterval(timer)
      response.end()
    }, eventMs)
    response.once('close', () => { clearInterval(timer) })
  }
  const call = (request: Http.IncomingMessage, response: Http.ServerResponse, body: string): void => {
    const id = String(request.headers['x-fescuespread-attempt-id'])
    arrived.push(request.headers)
    arrivedAtMs.push(clock())
    arrivedBodies.push(body)
    if (faults.dark) return
    const headers = { 'X-Fescuespread-Attempt-Id': faults.crossed ? 'another' : id, ...(faults.limitPerSecond === undefined ? {} : { 'Server-Limit': String(faults.limitPerSecond) }), ...(faults.leaving ? { 'Server-Leaving': '1' } : {}) }
    const expected = request.headers['x-fescuespread-expect-instance']
    if (expected !== undefined && expected !== runner.instanceId) { response.writeHead(421, headers).end(); return }
    const returnAfterMs = faults.full ? (Number(faults.returnAfter) || 0) * 1_000 : 0
    if (faults.leaving || returnAfterMs > 0) runner.told.push({ id, atMs: clock(), isLeaving: faults.leaving, returnAfterMs })
    if (faults.full) { response.writeHead(503, { ...headers, 'X-Fescuespread-Not-Executed': '1', ...(faults.returnAfter === undefined ? {} : { 'Retry-After': faults.returnAfter }) }).end(); return }
    ran.push(id)
    response.once('close', () => { if (!response.writableFinished) abandoned.push(id) })
    const isCrashing = body === faults.crashBody || (faults.crashPart !== undefined && hasPart(request.headers, faults.crashPart))
    if (isCrashing) { setTimeout(crash, CRASH_AFTER_MS); return }
    const sealed = { ...headers, 'X-Fescuespread-Response-Seal': `seal-${runner.instanceId}`, 'X-Fescuespread-Weight-Versions': String(runner.version) }
    if (faults.failing) { response.writeHead(500, sealed).end('failed'); return }
    if (faults.unframedReset) {
      request.socket.write(`HTTP/1.1 200 OK\r\n${Object.entries(sealed).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\nhalf`, () => { setTimeout(() => { request.socket.resetAndDestroy() }, 5) })
      return
    }
    if (request.headers['x-fescuespread-model'] !== undefined) { stream(request, response, sealed); return }
    response.writeHead(200, sealed).end(`answer to ${body}`)
  }
  const server = Http.createServer((request, response) => {
    if (isSilent) return
    if (bornOf.get(request.socket) !== runner.born) { request.socket.resetAndDestroy(); return }
    const url = new URL(request.url ?? '/', 'http://runner')
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    request.on('end', () => {
      const body = Buffer.concat(parts)
      const index = Number(url.searchParams.get('sample_count'))
      const json = (value: unknown, status = 200): void => { response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value)) }
      if (url.pathname === '/report') {
        const held = runner.version > 0
        json({ models: held ? [{ name: model, version: runner.version, adapters: [] }] : [], layers: held ? { from: 0, target: LAYERS, version: runner.version } : undefined, busy: false, queued: 0, active: 0, born: runner.born })
      } else if (url.pathname.startsWith('/stage-put/')) {
        staged.set(index, body)
        response.writeHead(200).end()
      } else if (url.pathname.startsWith('/stage-get/')) {
        if (!url.searchParams.has('sample_count')) json({ held: [...staged.keys()] })
        else if (staged.has(index)) response.writeHead(200).end(staged.get(index))
        else response.writeHead(404).end()
      } else if (url.pathname === '/order') {
        runner.version = (JSON.parse(body.toString()) as { version: number }).version
        response.writeHead(202).end()
      } else {
        call(request, response, body.toString())
      }
    })
  })
  let restart: NodeJS.Timeout | undefined
  const crash = (): void => {
    if (!server.listening || isSilent) return
    runner.crashedAtMs.push(clock())
    isSilent = faults.crashesSilently
    if (!isSilent) {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
    restart = setTimeout(() => {
      const idBefore = runner.instanceId
      runner.born++
      runner.instanceId = `${options.instanceId}-${runner.born}`
      if (server.listening) runner.onBack(idBefore)
      else server.listen(port, '127.0.0.1', () => { runner.onBack(idBefore) })
      isSilent = false
    }, CRASH_DOWN_MS)
  }
  server.on('connection', socket => {
    sockets.add(socket)
    bornOf.set(socket, runner.born)
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as Net.AddressInfo
  return Object.assign(runner, {
    port,
    close: async () => {
      clearTimeout(restart)
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  })
}

/**
 * Checks whether a prompt has a part, as its call's headers list them.
 *
 * @param headers - The headers.
 * @param part - The part's id.
 * @returns Whether it does.
 */
export function hasPart (headers: Http.IncomingHttpHeaders, part: string): boolean {
  return String(headers['x-fescuespread-prefix-hash'] ?? '').split(',').some(entry => entry.split(':', 1)[0] === part)
}
