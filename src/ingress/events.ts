/**
 * Splits a stream of server-sent events, so that only whole events are passed on.
 *
 * @packageDocumentation
 */

/** Whole events, ready to be passed on. */
export interface WholeEvents {
  readonly bytes: Buffer
  readonly lastEventId: string | undefined
}

/** Takes the bytes of a stream as they arrive. */
export interface EventSplitter {
  /** Takes bytes and returns the events that they complete. */
  push: (bytes: Buffer) => WholeEvents | undefined
  /** Bytes of an event that is not whole. */
  pendingBytes: () => number
}

const SEPARATOR = Buffer.from('\n\n')
const ID_FIELD = '\nid:'

/**
 * Creates a splitter for one stream.
 *
 * @returns The splitter.
 */
export function createSplitter (): EventSplitter {
  let pending: Buffer | undefined
  return {
    push: bytes => {
      const all = pending === undefined ? bytes : Buffer.concat([pending, bytes])
      const at = all.lastIndexOf(SEPARATOR)
      if (at === -1) { pending = all; return undefined }
      const end = at + SEPARATOR.length
      pending = end === all.length ? undefined : all.subarray(end)
      const whole = end === all.length ? all : all.subarray(0, end)
      return { bytes: whole, lastEventId: lastIdOf(whole) }
    },
    pendingBytes: () => pending?.length ?? 0
  }
}

function lastIdOf (bytes: Buffer): string | undefined {
  const text = '\n' + bytes.toString('latin1')
  const at = text.lastIndexOf(ID_FIELD)
  if (at === -1) return undefined
  const from = at + ID_FIELD.length
  return text.slice(from, text.indexOf('\n', from)).trim()
}
