/**
 * The system's own processes: each lists itself in a row of the store.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Decode from '../schema/decode.ts'
import type * as Rows from './rows.ts'

/** The table of the store in which processes list themselves. */
export const MEMBERS_TABLE = 'fescue_members'

/** A process of the system. */
export const Member = Schema.Struct({
  name: Schema.String,
  kind: Schema.Literals(['gateway', 'agent']),
  host: Schema.String,
  port: Schema.Int,
  zone: Schema.String,
  region: Schema.String,
  incarnation: Schema.String
})
/** A process of the system. */
export type Member = typeof Member.Type

const decode = Decode.lenient(Member)

/**
 * Reads the members from rows.
 *
 * @param rows - The live rows of the table.
 * @returns The members that could be read.
 */
export function membersOf (rows: readonly Rows.Row[]): Member[] {
  return rows.flatMap(row => decode(row.value).match(member => [member], () => []))
}
