/**
 * Stand-in of a plain service that counts its executions by key.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Faults from './faults.ts'

/** Settings of a plain service. */
export interface PlainOptions {
  readonly port?: number
  readonly seed?: number
  /** Time that each execution takes in milliseconds. */
  readonly workMs?: number
  /** The most executions at once before it answers 500. */
  readonly capacityCount?: number
}

/** A running plain service. */
export interface PlainService extends Faults.StandIn {
  executions: () => ReadonlyMap<string, number>
  /** The calls that were executed, by their call ids. */
  executedCalls: () => ReadonlySet<string>
  maxActiveCount: () => number
}

/**
 * Starts a plain service. Every path executes; `GET /executions` tells the counts by key.
 *
 * @param options - Time for each execution and capacity.
 * @returns The service.
 */
export async function createPlainService (options: PlainOptions = {}): Promise<PlainService> {
  const executions = new Map<string, number>()
  const executedCalls = new Set<string>()
  const incarnation = `${process.pid}-${Date.now()}`
  let activeCount = 0
  let maxActiveCount = 0
  const execute = async (request: Http.IncomingMessage, response: Http.ServerResponse, path: string): Promise<void> => {
    const body = await Faults.readText(request)
    activeCount++
    maxActiveCount = Math.max(maxActiveCount, activeCount)
    const key = String(request.headers['idempotency-key'] ?? body)
    const callId = String(request.headers['x-fescue-call-id'] ?? '')
    executions.set(key, (executions.get(key) ?? 0) + 1)
    executedCalls.add(callId)
    if (options.workMs !== undefined) await new Promise(resolve => setTimeout(resolve, options.workMs))
    activeCount--
    const padding = '.'.repeat(padBytesOf(body))
    HttpServer.sendJson(response, 200, { path, key, executionCount: executions.get(key), echo: body.slice(0, 200), callId, padding }, { 'x-fescue-call-id': callId })
  }
  const standIn = await Faults.createStandIn({
    ...options,
    routes: [
      {
        method: 'GET',
        path: '/load',
        handle: (_request, response) => {
          HttpServer.sendJson(response, 200, { incarnation, activeCount, queuedCount: 0, capacityCount: options.capacityCount ?? 64, cold: false })
        }
      },
      { method: 'GET', path: '/executions', handle: (_request, response) => { HttpServer.sendJson(response, 200, Object.fromEntries(executions)) } }
    ],
    fallback: execute
  })
  return { ...standIn, executions: () => executions, executedCalls: () => executedCalls, maxActiveCount: () => maxActiveCount }
}

/** A body may ask for a larger answer. */
function padBytesOf (body: string): number {
  return Number(/"padBytes":(\d{1,7})/.exec(body)?.[1] ?? 0)
}
