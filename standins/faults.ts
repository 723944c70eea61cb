/**
 * A stand-in's server with faults that can be switched on and off while it runs.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as StreamConsumers from 'node:stream/consumers'
import * as Schema from 'effect/Schema'
import * as Core from '../src/core/index.ts'
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Decode from '../src/schema/decode.ts'

/** The faults that any stand-in may be told. */
export const Faults = Schema.Struct({
  /** Every answer is delayed by so much. */
  slowMs: Schema.optional(Schema.Number),
  /** Every request is answered with 503 and has no effect. */
  down: Schema.optional(Schema.Boolean),
  /** Every connection is cut at once. */
  cut: Schema.optional(Schema.Boolean),
  /** Connections stay open and nothing is answered. */
  silent: Schema.optional(Schema.Boolean),
  /** Share of requests, from 0 to 1, that take effect and lose their answer. */
  loseAnswerShare: Schema.optional(Schema.Number),
  /** Ends the process of the stand-in. */
  die: Schema.optional(Schema.Boolean)
})
/** The faults that any stand-in may be told. */
export type Faults = typeof Faults.Type

/** A running stand-in. */
export interface StandIn {
  readonly port: number
  setFaults: (faults: Faults) => void
  close: () => Promise<void>
}

/** Settings of a stand-in's server. */
export interface StandInOptions {
  readonly port?: number
  readonly seed?: number
  readonly routes: readonly HttpServer.Route[]
  readonly fallback?: HttpServer.Handler
}

const decodeFaults = Decode.json(Faults)

/**
 * Starts a stand-in's server. `POST /fault` replaces its faults.
 *
 * @param options - Routes and seed.
 * @returns The stand-in.
 */
export async function createStandIn (options: StandInOptions): Promise<StandIn> {
  const random = Core.Random.createRandom(options.seed ?? 1)
  let faults: Faults = {}
  const faulty = (handle: HttpServer.Handler): HttpServer.Handler => async (request, response, path) => {
    if (faults.cut === true) { request.socket.destroy(); return }
    if (faults.silent === true) return
    if (faults.down === true) { HttpServer.sendJson(response, 503, { error: 'down' }); return }
    if (faults.slowMs !== undefined) await new Promise(resolve => setTimeout(resolve, faults.slowMs))
    if (random.next() < (faults.loseAnswerShare ?? 0)) loseAnswer(response)
    await handle(request, response, path)
  }
  const faultRoute: HttpServer.Route = {
    method: 'POST',
    path: '/fault',
    handle: async (request, response) => {
      const body = await readText(request)
      const decoded = decodeFaults(body)
      if (decoded.isErr()) { HttpServer.sendJson(response, 400, { error: Decode.describe(decoded.error) }); return }
      if (decoded.value.die === true) process.exit(1)
      faults = decoded.value
      HttpServer.sendJson(response, 200, {})
    }
  }
  const server = await HttpServer.listen({
    host: '127.0.0.1',
    port: options.port ?? 0,
    headersTimeoutMs: 10_000,
    routes: [faultRoute, ...options.routes.map(route => ({ ...route, handle: faulty(route.handle) }))],
    fallback: options.fallback === undefined ? undefined : faulty(options.fallback)
  })
  return {
    port: server.port,
    setFaults: next => { faults = next },
    close: async () => { await server.close(0) }
  }
}

/**
 * Reads a request's body as text.
 *
 * @param request - The request.
 * @returns The text; empty when the body did not arrive whole.
 */
export async function readText (request: Http.IncomingMessage): Promise<string> {
  return (await readBytes(request)).toString()
}

/**
 * Reads a request's body.
 *
 * @param request - The request.
 * @returns The bytes; empty when the body did not arrive whole.
 */
export async function readBytes (request: Http.IncomingMessage): Promise<Buffer> {
  return await StreamConsumers.buffer(request).catch(() => Buffer.alloc(0))
}

function loseAnswer (response: Http.ServerResponse): void {
  const socket = response.socket
  const drop = (): Http.ServerResponse => { socket?.destroy(); return response }
  response.writeHead = drop as typeof response.writeHead
  response.write = (() => false) as typeof response.write
  response.end = drop as typeof response.end
}
