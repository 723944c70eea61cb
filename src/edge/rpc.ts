/**
 * Procedures between the system's own processes: trpc over Node's HTTP client and server.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Zlib from 'node:zlib'
import * as TrpcClient from '@trpc/client'
import * as TrpcServer from '@trpc/server'
import * as Observable from '@trpc/server/observable'
import * as Auth from './auth.ts'
import * as HttpClient from './httpClient.ts'
import * as HttpServer from './httpServer.ts'

/** Where procedures are served. */
export const RPC_PATH = '/rpc/'
const MAX_INPUT_BYTES = 4 * 1024 * 1024
const INPUT_TIMEOUT_MS = 5_000
const COMPRESS_FROM_BYTES = 2_048

/** Who calls a procedure. */
export interface Context {
  readonly role: Auth.Role
}

const builder = TrpcServer.initTRPC.context<Context>().create()

/** Makes a router of procedures. */
export const router = builder.router
/** A procedure that only the system's own processes may call. */
export const peerProcedure = builder.procedure.use(async ({ ctx, next }) => {
  if (ctx.role !== 'peer') throw new TrpcServer.TRPCError({ code: 'UNAUTHORIZED', message: 'peer key required' })
  return await next()
})
/** A procedure that only operators may call. */
export const operatorProcedure = builder.procedure.use(async ({ ctx, next }) => {
  if (ctx.role !== 'operator') throw new TrpcServer.TRPCError({ code: 'UNAUTHORIZED', message: 'operator token required' })
  return await next()
})

/** Any router of procedures. */
export type AnyRouter = TrpcServer.AnyTRPCRouter

/**
 * Makes the HTTP route that serves a router.
 *
 * @param procedures - The router.
 * @param guard - Tells who calls.
 * @param onRefused - Told of each call without the right key.
 * @returns The route.
 */
export function createRpcRoute (procedures: AnyRouter, guard: Auth.Guard, onRefused: (path: string, reason: string) => void): HttpServer.Route {
  return {
    method: 'POST',
    path: `${RPC_PATH}*`,
    handle: async (request, response, path) => {
      const body = await HttpServer.readBody(request, response, MAX_INPUT_BYTES, INPUT_TIMEOUT_MS)
      if (body.isErr()) { HttpServer.sendCode(response, body.error); return }
      const name = path.slice(RPC_PATH.length)
      const caller = guard.identify(request, path, body.value)
      const context: Context = { role: caller.role }
      try {
        const input = body.value.length === 0 ? undefined : JSON.parse(body.value.toString())
        const result = await TrpcServer.callTRPCProcedure({
          router: procedures,
          path: name,
          getRawInput: async () => input,
          ctx: context,
          type: 'mutation',
          signal: undefined,
          batchIndex: 0
        })
        sendResult(request, response, result ?? null)
      } catch (error) {
        const failure = TrpcServer.getTRPCErrorFromUnknown(error)
        if (failure.code === 'UNAUTHORIZED') onRefused(name, caller.reason ?? 'wrongRole')
        HttpServer.sendJson(response, failure.code === 'UNAUTHORIZED' ? 401 : 400, { error: { code: failure.code, message: failure.message } })
      }
    }
  }
}

/**
 * Makes a typed client of a router.
 *
 * @param target - The server.
 * @param key - Returns the key or token to sign with.
 * @param timeoutMs - Time for each call in milliseconds.
 * @param fresh - Whether each call opens a connection of its own.
 * @param arrivingMs - Time without a byte, in milliseconds, after which an answer that is arriving is given up; such an answer may take longer than `timeoutMs`.
 * @returns The client. Its calls fail with a TRPCClientError.
 */
export function createClient<Router extends AnyRouter> (target: HttpClient.Target, key: () => string, timeoutMs: number, fresh = false, arrivingMs = 0): TrpcClient.TRPCClient<Router> {
  const link: TrpcClient.TRPCLink<Router> = () => ({ op }) => Observable.observable(observer => {
    const path = RPC_PATH + op.path
    const body = op.input === undefined ? '' : JSON.stringify(op.input)
    const authorization = Auth.sign(key(), { method: 'POST', path, body })
    HttpClient.sendText({ target, method: 'POST', path, body, timeoutMs, fresh, arrivingMs, headers: { authorization, 'accept-encoding': 'gzip' } }).then(
      answer => {
        const value = answer.value as { result?: unknown, error?: { code: string, message: string } }
        if (answer.status !== 200) { observer.error(TrpcClient.TRPCClientError.from(new Error(value.error?.message ?? `status ${answer.status}`))); return }
        observer.next({ result: { data: value.result } })
        observer.complete()
      },
      error => { observer.error(TrpcClient.TRPCClientError.from(error as Error)) }
    )
  })
  return TrpcClient.createTRPCClient<Router>({ links: [link] })
}

function sendResult (request: Http.IncomingMessage, response: Http.ServerResponse, result: unknown): void {
  const body = Buffer.from(JSON.stringify({ result }))
  const compressed = body.length >= COMPRESS_FROM_BYTES && request.headers['accept-encoding'] === 'gzip'
  const sent = compressed ? Zlib.gzipSync(body) : body
  if (response.headersSent || response.destroyed) return
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': sent.length, ...(compressed ? { 'content-encoding': 'gzip' } : {}) })
  response.end(sent)
}
