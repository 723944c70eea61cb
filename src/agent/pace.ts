/**
 * Measures the pace at which an endpoint sends its streams: the gaps between parts and the time since the last one.
 *
 * @packageDocumentation
 */
import type * as Messages from './messages.ts'

/** Meter of one stream. */
export interface StreamMeter {
  /** Records a part that arrived from the endpoint. */
  recordPart: (nowMs: number) => void
  /** Stops timing while the reader applies backpressure, since the endpoint does not cause that delay. */
  pauseTiming: () => void
  /** Resumes timing; the gap in which the reader caught up is not counted. */
  resumeTiming: (nowMs: number) => void
  /** Returns the time since the last part, in milliseconds; 0 while timing is paused. */
  quietMs: (nowMs: number) => number
  close: () => void
}

/** Meter of all streams of an endpoint. */
export interface PaceMeter {
  open: (nowMs: number) => StreamMeter
  /** Returns the measurements since the previous call; undefined if no stream runs. */
  collect: (nowMs: number) => Messages.StreamPace | undefined
}

/** Minimum number of gaps for a meaningful mean; fewer gaps are carried over to the next call. */
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
