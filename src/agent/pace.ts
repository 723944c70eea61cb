/**
 * Measures the pace of the streams that an endpoint runs, on the byte path.
 *
 * @packageDocumentation
 */
import type * as Messages from './messages.ts'

/** The pace of one stream. */
export interface StreamMeter {
  /** Notes a part that arrived from the endpoint. */
  part: (nowMs: number) => void
  /** Notes that the reader does not keep up, so that the endpoint is not to blame. */
  block: () => void
  unblock: (nowMs: number) => void
  /** How long the endpoint has sent nothing, in milliseconds; 0 while the reader does not keep up. */
  quietMs: (nowMs: number) => number
  close: () => void
}

/** The pace of all streams of an endpoint. */
export interface PaceMeter {
  open: (nowMs: number) => StreamMeter
  /** Takes what was measured since the last time; undefined when no stream runs. */
  take: (nowMs: number) => Messages.StreamPace | undefined
}

/** A mean over fewer gaps tells nothing; they are kept for the next time. */
const MIN_GAP_COUNT = 3

/**
 * Creates a meter with no streams.
 *
 * @returns The meter.
 */
export function createPaceMeter (): PaceMeter {
  const streams = new Set<StreamMeter>()
  let gapSumMs = 0
  let gapCount = 0

  const open = (openedMs: number): StreamMeter => {
    let lastMs = openedMs
    let begun = false
    let blocked = false
    const stream: StreamMeter = {
      part: nowMs => {
        if (begun && !blocked) { gapSumMs += nowMs - lastMs; gapCount++ }
        begun = true
        lastMs = nowMs
      },
      block: () => { blocked = true },
      unblock: nowMs => { blocked = false; begun = false; lastMs = nowMs },
      quietMs: nowMs => blocked ? 0 : nowMs - lastMs,
      close: () => { streams.delete(stream) }
    }
    streams.add(stream)
    return stream
  }
  return {
    open,
    take: nowMs => {
      if (streams.size === 0) return undefined
      let quietMs = 0
      for (const stream of streams) quietMs = Math.max(quietMs, stream.quietMs(nowMs))
      const pace = { gapSumMs, gapCount, quietMs }
      if (gapCount < MIN_GAP_COUNT) return { ...pace, gapCount: 0 }
      gapSumMs = 0
      gapCount = 0
      return pace
    }
  }
}
