/**
 * Reads prefix-cache events from endpoints that publish them.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'

/** Reader of an endpoint's prefix-cache events. */
export interface Reader {
  /** Reads new events once; does nothing while an earlier read is in progress. */
  poll: () => Promise<void>
}

const READ_TIMEOUT_MS = 1_000
const EVENTS_PATH = '/cache-events'
const CacheEvents = Schema.Struct({
  events: Schema.Array(Schema.Struct({ sequence: Schema.Int, kind: Schema.Literals(['stored', 'evicted']), prefixKey: Schema.String }))
})
const decodeCacheEvents = Schemas.Decode.lenient(CacheEvents)

/**
 * Creates a reader. An endpoint that answers 404 has no cache events and is not polled again.
 *
 * @param endpoint - The endpoint.
 * @param incarnation - Returns the endpoint's incarnation; each incarnation numbers its events from the start.
 * @param onEvents - Receives new events in order.
 * @returns The reader.
 */
export function createReader (endpoint: Edge.HttpClient.Target, incarnation: () => string, onEvents: (events: readonly Messages.CacheEvent[]) => void): Reader {
  let lastSequence = -1
  let lastIncarnation = ''
  let isReading = false
  let isSupported = true
  const read = async (): Promise<void> => {
    if (lastIncarnation !== incarnation()) {
      lastIncarnation = incarnation()
      lastSequence = -1
    }
    const answer = await Edge.HttpClient.sendJson(endpoint, 'GET', `${EVENTS_PATH}/${lastSequence}`, undefined, READ_TIMEOUT_MS).catch(() => undefined)
    if (answer?.status === 404) isSupported = false
    const events = answer?.status === 200 ? decodeCacheEvents(answer.value) : undefined
    if (events?.isOk() !== true) return
    const newestEvent = events.value.events.at(-1)
    if (newestEvent === undefined) return
    lastSequence = newestEvent.sequence
    onEvents(events.value.events)
  }
  return {
    poll: async () => {
      if (isReading || !isSupported) return
      isReading = true
      await read().finally(() => { isReading = false })
    }
  }
}
