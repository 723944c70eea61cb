/**
 * Client of the platform's transactional table service.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

/** Failure of a call to the table service. */
export interface StoreFailure {
  readonly message: string
  /** Whether a write may have been applied. */
  readonly maybeApplied: boolean
}

/** Operations of the table service that the system uses. */
export interface TableClient {
  transact: (transaction: Schemas.Platform.Transaction) => Promise<Neverthrow.Result<Schemas.Platform.TransactionAnswer, StoreFailure>>
  read: (rows: ReadonlyArray<{ table: string, key: string }>) => Promise<Neverthrow.Result<readonly Schemas.Platform.Row[], StoreFailure>>
  scan: (table: string, prefix: string, limitCount: number) => Promise<Neverthrow.Result<readonly Schemas.Platform.Row[], StoreFailure>>
}

const decodeTransactionAnswer = Schemas.Decode.lenient(Schemas.Platform.TransactionAnswer)
const decodeRows = Schemas.Decode.lenient(Schemas.Platform.Rows)

/**
 * Creates a client of the table service.
 *
 * @param target - Address of the table service.
 * @param timeoutMs - Timeout of each call in milliseconds.
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
    read: async rows => (await call('/read', { rows })).andThen(value => decodeRows(value).map(decoded => decoded.rows).mapErr(malformed)),
    scan: async (table, prefix, limitCount) =>
      (await call('/scan', { table, prefix, limitCount })).andThen(value => decodeRows(value).map(decoded => decoded.rows).mapErr(malformed))
  }
}
