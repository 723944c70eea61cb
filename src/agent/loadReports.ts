/**
 * Reads load reports from the endpoint.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'

/** Options of a reader. */
export interface ReaderOptions {
  readonly endpoint: Edge.HttpClient.Target
  /** Returns whether the service's endpoints report their load; undefined while the service is unknown. */
  readonly reportsLoad: () => boolean | undefined
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  readonly log: Pick<Edge.Log.Log, 'warn'>
  readonly push: (input: Extract<Messages.Input, { readonly kind: 'endpointSeen' }>) => void
}

/** Reader of an endpoint's load reports. */
export interface Reader {
  /** Asks for a report once; polls may overlap. */
  poll: () => Promise<void>
}

const LOAD_TIMEOUT_MS = 1_000
const LOAD_PATH = '/load'
/** Load assumed for an endpoint that answers but does not report its load. */
const UNREPORTED_LOAD: Messages.EndpointLoad = { incarnation: '', activeCount: 0, queuedCount: 0, capacityCount: 0, cold: false }
const EndpointLoad = Schema.Struct({
  incarnation: Schema.String,
  modelName: Schema.optional(Schema.String),
  modelVersion: Schema.optional(Schema.String),
  modelDigest: Schema.optional(Schema.String),
  adapterDigests: Schema.optional(Schema.Array(Schema.String)),
  fencingNumber: Schema.optional(Schema.Int),
  role: Schema.optional(Schema.String),
  activeCount: Schema.Int,
  queuedCount: Schema.Int,
  capacityCount: Schema.Int,
  cold: Schema.Boolean
})
const decodeLoad = Schemas.Decode.lenient(EndpointLoad)

/**
 * Creates a reader. A report that was asked for before one that has been passed on is discarded.
 *
 * @param options - Endpoint, clock and loop.
 * @returns The reader.
 */
export function createReader (options: ReaderOptions): Reader {
  let newestAskedAtMs = -Infinity
  const read = async (): Promise<Messages.EndpointLoad | undefined> => {
    const answer = await Edge.HttpClient.sendJson(options.endpoint, 'GET', LOAD_PATH, undefined, LOAD_TIMEOUT_MS).catch(() => undefined)
    const load = answer?.status === 200 ? decodeLoad(answer.value) : undefined
    if (load?.isOk() === true) return load.value
    return answer !== undefined && options.reportsLoad() === false ? UNREPORTED_LOAD : undefined
  }
  return {
    poll: async () => {
      const askedAtMs = options.clock()
      const load = await read()
      if (load !== undefined && askedAtMs < newestAskedAtMs) {
        options.log.warn('endpoint', 'Load report discarded.', { ageMs: Math.round(options.clock() - askedAtMs), reason: 'a later one was answered first' })
        return
      }
      if (load !== undefined) newestAskedAtMs = askedAtMs
      options.push({ kind: 'endpointSeen', load, askedAtMs })
    }
  }
}
