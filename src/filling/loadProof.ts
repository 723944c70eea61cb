/**
 * Tells which orders an engine has accepted, and whether the chunks that it took with the last one are known to have been sound.
 *
 * An order can be accepted long after it was sent, also after its sender counted it as lost. So a load is
 * judged by the engine's own count of orders: the report that shows a higher count bounds the time at which
 * the chunks were taken. Chunks that match their digests after that time, and were not written in between,
 * were sound when they were taken.
 *
 * @packageDocumentation
 */
import type * as Ports from './ports.ts'

/** A load whose chunks are not known to have been sound. */
export interface UnprovenLoad {
  /** The version, if the engine has told this process that it accepted its order; otherwise only the engine's report tells it. */
  readonly version: number | undefined
  /** The engine accepted the order after this time, in milliseconds. */
  readonly acceptedAfterMs: number
  /** The engine had accepted the order by this time, in milliseconds. */
  readonly acceptedByMs: number
}

/** One start of an engine and the number of orders that it has accepted. */
export interface OrderState {
  readonly bornAtMs: number | undefined
  readonly orderCount: number | undefined
}

/** Loads of an engine and what is known about them. */
export interface LoadProofs {
  /** Takes a report of the engine; the times of its request and its arrival are in milliseconds. */
  observe: (report: Ports.EngineReport, askedAtMs: number, nowMs: number) => void
  /** Records that an order is sent. */
  recordOrder: (version: number, nowMs: number) => void
  /** Records the answer to the order that was sent last. */
  recordAnswer: (result: Ports.LoadOrderResult, nowMs: number) => void
  /** Whether an order was lost that the engine may still accept. */
  hasPendingOrder: () => boolean
  /** Whether an order was sent since the engine last reported another state, whatever its answer: a load may follow that no report shows yet. */
  hasOpenOrder: () => boolean
  /** The load to judge; undefined if the engine holds no layers of which it is not known whether they are sound. */
  unprovenLoad: () => UnprovenLoad | undefined
  /** Records that the chunks of the last load were sound, for this start of the engine and count of orders. */
  recordProof: (state: OrderState) => void
  /** The state as of the last report. */
  state: () => OrderState
}

/** The order that this process sent last. */
interface SentOrder {
  readonly version: number
  readonly state: OrderState
  readonly sentAtMs: number
  /** When the first order under the same condition was sent, in milliseconds. */
  readonly firstSentAtMs: number
  readonly result: Ports.LoadOrderResult | undefined
  readonly answeredAtMs: number
}

/**
 * Maximum time from the comparison of a chunk with its digest to the acceptance of an order, in milliseconds.
 * The platform tolerates chunks that turned bad within the last 3 s; the rest is a margin.
 */
export const MAX_CHECK_AGE_MS = 2_000

/**
 * Creates the record of an engine's loads.
 *
 * @returns The record.
 */
export function createLoadProofs (): LoadProofs {
  let state: OrderState = { bornAtMs: undefined, orderCount: undefined }
  let isEmpty = true
  /** When the first report with this state arrived, and when the last one with another state was requested, in milliseconds. */
  let sinceMs = -Infinity
  let otherUntilMs = -Infinity
  let lastAskedAtMs = -Infinity
  let proven: OrderState | undefined
  let order: SentOrder | undefined

  const isSame = (a: OrderState, b: OrderState | undefined): boolean => a.bornAtMs === b?.bornAtMs && a.orderCount === b?.orderCount
  /** Whether the last accepted order is one that this process sent, or one of an earlier process under the same condition. */
  const isOwn = (sent: SentOrder): boolean => sent.state.bornAtMs === state.bornAtMs && sent.state.orderCount !== undefined && sent.state.orderCount + 1 === state.orderCount
  return {
    observe: (report, askedAtMs, nowMs) => {
      const next = { bornAtMs: report.bornAtMs, orderCount: report.orderCount }
      if (!isSame(next, state)) {
        state = next
        sinceMs = nowMs
        otherUntilMs = lastAskedAtMs
      }
      lastAskedAtMs = askedAtMs
      isEmpty = (report.weights ?? []).length === 0 && !report.loading
    },
    recordOrder: (version, nowMs) => {
      // A repeated order leaves open which of the two the engine accepts.
      const firstSentAtMs = order !== undefined && isSame(order.state, state) ? order.firstSentAtMs : nowMs
      order = { version, state, sentAtMs: nowMs, firstSentAtMs, result: undefined, answeredAtMs: Infinity }
    },
    recordAnswer: (result, nowMs) => { if (order !== undefined) order = { ...order, result, answeredAtMs: nowMs } },
    hasPendingOrder: () => order?.result === 'lost' && isSame(order.state, state),
    hasOpenOrder: () => order !== undefined && isSame(order.state, state),
    unprovenLoad: () => {
      if (state.orderCount === undefined || state.orderCount === 0 || isEmpty || isSame(state, proven)) return undefined
      if (order === undefined || !isOwn(order)) return { version: undefined, acceptedAfterMs: otherUntilMs, acceptedByMs: sinceMs }
      if (order.result === 'accepted') return { version: order.version, acceptedAfterMs: order.sentAtMs, acceptedByMs: Math.min(order.answeredAtMs, sinceMs) }
      // It may be an order of an earlier process, accepted before the own one was sent.
      return { version: undefined, acceptedAfterMs: Math.min(order.firstSentAtMs, otherUntilMs), acceptedByMs: sinceMs }
    },
    recordProof: judged => { if (isSame(judged, state)) proven = judged },
    state: () => state
  }
}
