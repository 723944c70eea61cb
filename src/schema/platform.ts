/**
 * Messages of the platform: the table service and the instance list.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Decode from './decode.ts'

/** A row of the table service. Its revision rises with each write. */
export const Row = Schema.Struct({
  table: Schema.String,
  key: Schema.String,
  revision: Schema.Int,
  value: Schema.Unknown
})
/** A row of the table service. */
export type Row = typeof Row.Type

/** A condition of a transaction: the revision that a row must have, 0 for absent. */
export const Condition = Schema.Struct({ table: Schema.String, key: Schema.String, revision: Schema.Int })
/** A condition of a transaction. */
export type Condition = typeof Condition.Type

/** A write of a transaction; null deletes the row. */
export const Write = Schema.Struct({ table: Schema.String, key: Schema.String, value: Schema.Unknown })
/** A write of a transaction. */
export type Write = typeof Write.Type

/** Conditions and writes that take effect together or not at all. */
export const Transaction = Schema.Struct({ conditions: Schema.Array(Condition), writes: Schema.Array(Write) })
/** Conditions and writes that take effect together or not at all. */
export type Transaction = typeof Transaction.Type

/** The answer to a transaction; with conflicts, nothing was written. */
export const TransactionAnswer = Schema.Struct({
  committed: Schema.Boolean,
  revision: Schema.Int,
  conflicts: Schema.Array(Row)
})
/** The answer to a transaction. */
export type TransactionAnswer = typeof TransactionAnswer.Type

/** Rows, in an answer. */
export const Rows = Schema.Struct({ rows: Schema.Array(Row) })

/** An instance in the platform's lagging list. */
export const Instance = Schema.Struct({
  instanceId: Schema.String,
  kind: Schema.Literals(['gateway', 'agent']),
  zone: Schema.String,
  region: Schema.String,
  host: Schema.String,
  port: Decode.Port,
  service: Schema.optional(Schema.String),
  state: Schema.Literals(['live', 'leaving'])
})
/** An instance in the platform's lagging list. */
export type Instance = typeof Instance.Type

/** The instance list. */
export const InstanceList = Schema.Struct({ instances: Schema.Array(Instance) })
