/**
 * Client of the platform's transactional table service.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

/** Why the table service gave no answer. */
export interface StoreFailure {
  readonly message: string
  /** A write may have taken effect. */
  readonly maybeApplied: boolean
}

/** The table service as the system uses it. */
export interface TableClient {
  transact: (transaction: Schemas.Platform.Transaction) => Promise<Neverthrow.Result<Schemas.Platform.TransactionAnswer, StoreFailure>>
  read: (rows: ReadonlyArray<{ table: string, key: string }>) => Promise<Neverthrow.Result<readonly Schemas.Platform.Row[], StoreFailure>>
  scan: (table: string, prefix: string, limitCount: number) => Promise<Neverthrow.Result<readonly Schemas.Platform.Row[], StoreFailure>>
}

const decodeTransactionAnswer = Schemas.Decode.lenient(Schemas.Platform.TransactionAnswer)
const decodeRows = Schemas.Decode.lenient(Schemas.Platform.Rows)

/**
 * Creates a client.
 *
 * @param target - The service.
 * @param timeoutMs - Time for each call in milliseconds.
 * @returns The client.
 */
export function createTableClient (target: HttpClient.Target, timeoutMs: number): TableClient {
  const call = async (path: string, value: unknown): Promise<Neverthrow.Result<unknown, StoreFailure>> => {
    try {
      const answer = await HttpClient.sendJson(target, 'POST', path, value, timeoutMs)
      if (answer.status === 200) return Neverthrow.ok(answer.value)
      return Neverthrow.err({ message: `table service answered ${answer.status}`, maybeApplied: answer.status !== 503 })
    } catch (error) {
      const reachedServer = error instanceof HttpClient.TransportError ? error.reachedServer : true
      return Neverthrow.err({ message: (error as Error).message, maybeApplied: reachedServer })
    }
  }
  const malformed = (problems: readonly Schemas.Decode.Problem[]): StoreFailure =>
    ({ message: `malformed answer: ${Schemas.Decode.describe(problems)}`, maybeApplied: true })
  return {
    transact: async transaction => (await call('/transact', transaction)).andThen(value => decodeTransactionAnswer(value).mapErr(malformed)),
    read: async rows => (await call('/read', { rows })).andThen(value => decodeRows(value).map(found => found.rows).mapErr(malformed)),
    scan: async (table, prefix, limitCount) =>
      (await call('/scan', { table, prefix, limitCount })).andThen(value => decodeRows(value).map(found => found.rows).mapErr(malformed))
  }
}
