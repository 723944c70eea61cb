/**
 * The edge of claims: writes them in batches, saves and reads large answers, deletes what has expired.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Core from '../core/index.ts'
import type * as Edge from '../edge/index.ts'
import type * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Answers from './answers.ts'
import type * as Callers from './callers.ts'
import * as ClaimCleaner from './claimCleaner.ts'
import * as ClaimWriter from './claimWriter.ts'
import type * as Messages from './messages.ts'

/** What the edge needs. */
export interface ClaimEdgeOptions {
  readonly store: Platform.TableClient.TableClient
  readonly objects: Platform.ObjectClient.ObjectClient
  readonly callers: Callers.Callers
  readonly metrics: Edge.Metrics.Metrics
  readonly log: Edge.Log.Log
  readonly random: Core.Random.Random
  /** Returns monotonic time in milliseconds. */
  readonly clock: () => number
  /** Counts the gateways that share the table service. */
  readonly gatewayCount: () => number
  readonly push: (input: Messages.Input) => void
}

/** The edge of claims. */
export interface ClaimEdge {
  write: (write: Messages.ClaimWrite) => Promise<void>
  abandon: (callId: string) => void
  /** Answers a caller with a saved outcome. */
  replay: (callId: string, saved: Schemas.Calls.SavedOutcome) => Promise<void>
  /** Waits for the writes under way, for so long at most. */
  flush: (limitMs: number) => Promise<void>
  stop: () => void
}

const CLAIM_GATHER_MS = 2
const SAVE_GATHER_MS = 25
/** Transactions of claims that all gateways together may make in a second. */
const CLAIM_TRANSACTIONS_PER_SECOND = 200
/** Time between rounds of deleting expired claims, for one gateway, in milliseconds. */
const CLEAN_INTERVAL_MS = 60_000
const REPLAY_RETRY_AFTER_MS = 1_000

/**
 * Creates the edge.
 *
 * @param options - Clients, callers and the loop.
 * @returns The edge; stop it to release its timer.
 */
export function createClaimEdge (options: ClaimEdgeOptions): ClaimEdge {
  const { store, callers, metrics, random, clock, gatewayCount } = options
  const answers = Answers.createAnswers(options.objects)
  const writer = ClaimWriter.createClaimWriter({
    tables: store,
    gatherMs: CLAIM_GATHER_MS,
    saveGatherMs: SAVE_GATHER_MS,
    intervalMs: () => gatewayCount() * 1_000 / CLAIM_TRANSACTIONS_PER_SECOND,
    clock,
    wait: async delayMs => { await new Promise(resolve => setTimeout(resolve, delayMs)) },
    random,
    makeId: Crypto.randomUUID,
    onResult: (claimKey, callId, result) => { options.push({ kind: 'claimAnswered', claimKey, callId, result }) }
  })
  const cleaner = createCleanTimer(options)
  return {
    write: async write => {
      const { record } = write
      const outcome = record.outcome === undefined ? undefined : await answers.toSaved(record.outcome, record.attemptId)
      writer.write({ ...write, record: { ...record, outcome } })
    },
    abandon: writer.abandon,
    replay: async (callId, saved) => {
      const outcome = await answers.toInline(saved)
      metrics.count('calls_total', { code: outcome === undefined ? 'answerUnavailable' : 'replayed' })
      if (outcome !== undefined) callers.replay(callId, outcome)
      else callers.finish(callId, 'answerUnavailable', { callId, reason: 'The saved answer could not be read.', retryAfterMs: REPLAY_RETRY_AFTER_MS })
    },
    flush: writer.flush,
    stop: () => { clearInterval(cleaner) }
  }
}

/** Deletes expired claims now and then; the gateways share the rounds by chance. */
function createCleanTimer (options: ClaimEdgeOptions): NodeJS.Timeout {
  let cleaning = false
  return setInterval(() => {
    if (cleaning || options.random.next() * options.gatewayCount() > 1) return
    cleaning = true
    void ClaimCleaner.clean({ tables: options.store, wallClock: Date.now })
      .then(deletedCount => { if (deletedCount > 0) options.log.info('claims', 'Expired claims deleted.', { deletedCount }) })
      .finally(() => { cleaning = false })
  }, CLEAN_INTERVAL_MS)
}
