/**
 * Reads the prefix cache's events from an endpoint that has them.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'

/** Reads cache events. */
export interface Reader {
  /** Reads once; a read that is still under way goes first. */
  poll: () => Promise<void>
}

const READ_TIMEOUT_MS = 1_000
const EVENTS_PATH = '/cache-events'
const CacheEvents = Schema.Struct({
  events: Schema.Array(Schema.Struct({ sequence: Schema.Int, kind: Schema.Literals(['stored', 'evicted']), prefixKey: Schema.String }))
})
const decode = Schemas.Decode.lenient(CacheEvents)

/**
 * Creates a reader. An endpoint that answers 404 has no cache events and is not asked again.
 *
 * @param endpoint - The endpoint.
 * @param incarnation - Returns the endpoint's incarnation; another one numbers its events anew.
 * @param onEvents - Takes the events in order.
 * @returns The reader.
 */
export function createReader (endpoint: Edge.HttpClient.Target, incarnation: () => string, onEvents: (events: readonly Messages.CacheEvent[]) => void): Reader {
  let after = -1
  let readFrom = ''
  let reading = false
  let supported = true
  const read = async (): Promise<void> => {
    if (readFrom !== incarnation()) {
      readFrom = incarnation()
      after = -1
    }
    const answer = await Edge.HttpClient.sendJson(endpoint, 'GET', `${EVENTS_PATH}/${after}`, undefined, READ_TIMEOUT_MS).catch(() => undefined)
    if (answer?.status === 404) supported = false
    const events = answer?.status === 200 ? decode(answer.value) : undefined
    if (events?.isOk() !== true) return
    const last = events.value.events.at(-1)
    if (last === undefined) return
    after = last.sequence
    onEvents(events.value.events)
  }
  return {
    poll: async () => {
      if (reading || !supported) return
      reading = true
      await read().finally(() => { reading = false })
    }
  }
}
