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
}

/** A running stand-in. */
export interface Runner {
  readonly instanceId: string
  readonly port: number
  readonly faults: RunnerFaults
  /** Ids of the calls that ran, in order. */
  readonly ran: string[]
  /** Headers of the calls that arrived, in order. */
  readonly arrived: Http.IncomingHttpHeaders[]
  /** When they arrived, in milliseconds. */
  readonly arrivedAtMs: number[]
  /** Calls whose connection closed before the answer was whole. */
  readonly abandoned: string[]
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

/**
 * Starts a runner on loopback.
 *
 * @param options - What it is.
 * @returns The runner.
 */
export async function startRunner (options: RunnerOptions): Promise<Runner> {
  const { instanceId, eventCount = 5, eventMs = 5, model = 'm', clock = () => performance.now() } = options
  const faults: RunnerFaults = { breakAfterCount: undefined, stallAfterCount: undefined, full: false, failing: false, crossed: false, unframedReset: false, dark: false, limitPerSecond: undefined }
  const sockets = new Set<Net.Socket>()
  const staged = new Map<number, Buffer>()
  const ran: string[] = []
  const arrived: Http.IncomingHttpHeaders[] = []
  const arrivedAtMs: number[] = []
  const abandoned: string[] = []
  const runner: Runner = { instanceId, port: 0, faults, ran, arrived, arrivedAtMs, abandoned, version: options.version ?? 1, staged, close: async () => {} }

  const stream = (request: Http.IncomingMessage, response: Http.ServerResponse, headers: Record<string, string>): void => {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    let id = first
    let sentCount = 0
    const timer = setInterval(() => {
      if (faults.stallAfterCount !== undefined && sentCount >= faults.stallAfterCount) return
      if (faults.breakAfterCount !== undefined && sentCount >= faults.breakAfterCount) {
        clearInterval(timer)
        response.write(`id: ${id}\nda`)
        setTimeout(() => { response.destroy() }, 1)
        return
      }
      response.write(`id: ${id}\ndata: ${instanceId}\n\n`)
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
    if (faults.dark) return
    const headers = { 'X-Fescuespread-Attempt-Id': faults.crossed ? 'another' : id, ...(faults.limitPerSecond === undefined ? {} : { 'Server-Limit': String(faults.limitPerSecond) }) }
    const expected = request.headers['x-fescuespread-expect-instance']
    if (expected !== undefined && expected !== instanceId) { response.writeHead(421, headers).end(); return }
    if (faults.full) { response.writeHead(503, { ...headers, 'X-Fescuespread-Not-Executed': '1' }).end(); return }
    ran.push(id)
    response.once('close', () => { if (!response.writableFinished) abandoned.push(id) })
    const sealed = { ...headers, 'X-Fescuespread-Response-Seal': `seal-${instanceId}`, 'X-Fescuespread-Weight-Versions': String(runner.version) }
    if (faults.failing) { response.writeHead(500, sealed).end('failed'); return }
    if (faults.unframedReset) {
      request.socket.write(`HTTP/1.1 200 OK\r\n${Object.entries(sealed).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\nhalf`, () => { setTimeout(() => { request.socket.resetAndDestroy() }, 5) })
      return
    }
    if (request.headers['x-fescuespread-model'] !== undefined) { stream(request, response, sealed); return }
    response.writeHead(200, sealed).end(`answer to ${body}`)
  }
  const server = Http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://runner')
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    request.on('end', () => {
      const body = Buffer.concat(parts)
      const index = Number(url.searchParams.get('sample_count'))
      const json = (value: unknown, status = 200): void => { response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value)) }
      if (url.pathname === '/report') {
        const held = runner.version > 0
        json({ models: held ? [{ name: model, version: runner.version, adapters: [] }] : [], layers: held ? { from: 0, target: LAYERS, version: runner.version } : undefined, busy: false, queued: 0, active: 0, born: 1 })
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
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return Object.assign(runner, {
    port: (server.address() as Net.AddressInfo).port,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  })
}
