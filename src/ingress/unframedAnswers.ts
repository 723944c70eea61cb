/**
 * Complete answers without a length or chunked encoding, which a crash of the endpoint may have ended.
 *
 * Such an answer ends with its connection. Only a later sign of life of the same start of the endpoint shows
 * that it did not crash.
 *
 * @packageDocumentation
 */
import type * as Routing from '../routing/index.ts'
import type * as Quarantine from './quarantine.ts'

/** An answer that ended with its connection. */
export interface UnframedAnswer {
  readonly keys: Quarantine.RequestKeys
  readonly row: Pick<Routing.Endpoints.EndpointRow, 'aliveAtMs'>
  /** When the endpoint began the answer, in milliseconds, or earlier. */
  readonly begunAtMs: number
  readonly endedAtMs: number
}

/** The answers that are not confirmed yet. */
export interface UnframedAnswers {
  add: (answer: UnframedAnswer) => void
  /** Removes and returns the answers whose endpoints have given a sign of life since. */
  takeConfirmed: (nowMs: number) => readonly UnframedAnswer[]
}

/** Time after an answer from which a sign of life confirms it, in milliseconds: bytes that were sent before a crash arrive earlier. */
const CONFIRMED_AFTER_MS = 300
/** Time for which an answer is kept, in milliseconds: an endpoint that crashed is back as another start after seconds. */
const RETENTION_MS = 5_000
/** Maximum number of answers kept. */
const ANSWER_LIMIT_COUNT = 1_024

/**
 * Creates an empty collection.
 *
 * @returns The collection.
 */
export function createUnframedAnswers (): UnframedAnswers {
  let answers: UnframedAnswer[] = []
  return {
    add: answer => {
      answers.push(answer)
      if (answers.length > ANSWER_LIMIT_COUNT) answers.shift()
    },
    takeConfirmed: nowMs => {
      if (answers.length === 0) return []
      const isConfirmed = ({ row, endedAtMs }: UnframedAnswer): boolean => row.aliveAtMs >= endedAtMs + CONFIRMED_AFTER_MS
      const confirmed = answers.filter(isConfirmed)
      answers = answers.filter(answer => !isConfirmed(answer) && nowMs - answer.endedAtMs <= RETENTION_MS)
      return confirmed
    }
  }
}
