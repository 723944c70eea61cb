/**
 * Splits a stream of server-sent events, so that only complete events are passed on.
 *
 * @packageDocumentation
 */
import * as ByteCollector from '../edge/byteCollector.ts'

/** One or more complete events. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** The last id among the events. */
  readonly lastEventId: string | undefined
}

/** Collects the bytes of a stream as they arrive. */
export interface EventSplitter {
  /** Adds bytes and returns the events that they complete, if any. */
  push: (bytes: Buffer) => CompleteEvents | undefined
  /** Number of bytes of the last, still incomplete event. */
  pendingBytes: () => number
}

const SEPARATOR = Buffer.from('\n\n')
const LINE_END = 0x0A
const ID_FIELD = '\nid:'

/**
 * Creates a splitter for one stream.
 *
 * @returns The splitter.
 */
export function createSplitter (): EventSplitter {
  let pending = ByteCollector.createByteCollector()
  let lastPendingByte: number | undefined
  /** Returns the offset after the last event that ends within the bytes; 0 if none does. */
  const lastEventEnd = (bytes: Buffer): number => {
    const at = bytes.lastIndexOf(SEPARATOR)
    if (at !== -1) return at + SEPARATOR.length
    return bytes[0] === LINE_END && lastPendingByte === LINE_END ? 1 : 0
  }
  return {
    push: bytes => {
      const end = lastEventEnd(bytes)
      const complete = end === 0 ? undefined : Buffer.concat([pending.take(), bytes.subarray(0, end)])
      if (complete !== undefined) {
        pending = ByteCollector.createByteCollector()
        lastPendingByte = undefined
      }
      if (end < bytes.length) {
        pending.push(bytes.subarray(end))
        lastPendingByte = bytes.at(-1)
      }
      return complete === undefined ? undefined : { bytes: complete, lastEventId: lastEventIdOf(complete) }
    },
    pendingBytes: () => pending.sizeBytes()
  }
}

function lastEventIdOf (bytes: Buffer): string | undefined {
  const text = '\n' + bytes.toString('latin1')
  const at = text.lastIndexOf(ID_FIELD)
  if (at === -1) return undefined
  const from = at + ID_FIELD.length
  return text.slice(from, text.indexOf('\n', from)).trim()
}
