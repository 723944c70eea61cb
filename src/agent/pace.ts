/**
 * Measures the pace of the streams that an endpoint runs, on the byte path.
 *
 * @packageDocumentation
 */
import type * as Messages from './messages.ts'

/** The pace of one stream. */
export interface StreamMeter {
  /** Notes a part that arrived from the endpoint. */
  recordPart: (nowMs: number) => void
  /** Notes that the reader does not keep up, so that the endpoint is not to blame. */
  pauseTiming: () => void
  resumeTiming: (nowMs: number) => void
  /** How long the endpoint has sent nothing, in milliseconds; 0 while the reader does not keep up. */
  quietMs: (nowMs: number) => number
  close: () => void
}

/** The pace of all streams of an endpoint. */
export interface PaceMeter {
  open: (nowMs: number) => StreamMeter
  /** Takes what was measured since the last time; undefined when no stream runs. */
  collect: (nowMs: number) => Messages.StreamPace | undefined
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

  const open = (openedAtMs: number): StreamMeter => {
    let lastPartAtMs = openedAtMs
    let hasPreviousPart = false
    let isPaused = false
    const stream: StreamMeter = {
      recordPart: nowMs => {
        if (hasPreviousPart && !isPaused) { gapSumMs += nowMs - lastPartAtMs; gapCount++ }
        hasPreviousPart = true
        lastPartAtMs = nowMs
      },
      pauseTiming: () => { isPaused = true },
      resumeTiming: nowMs => { isPaused = false; hasPreviousPart = false; lastPartAtMs = nowMs },
      quietMs: nowMs => isPaused ? 0 : nowMs - lastPartAtMs,
      close: () => { streams.delete(stream) }
    }
    streams.add(stream)
    return stream
  }
  return {
    open,
    collect: nowMs => {
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
