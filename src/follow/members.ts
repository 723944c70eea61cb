/**
 * The list of the system's processes: each writes a row about itself to the store.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Decode from '../schema/decode.ts'
import type * as Rows from './rows.ts'

/** The store's table in which processes list themselves. */
export const MEMBERS_TABLE = 'fescue_members'

/** A process of the system. */
export const Member = Schema.Struct({
  name: Schema.String,
  kind: Schema.Literals(['gateway', 'agent']),
  host: Schema.String,
  port: Decode.Port,
  zone: Schema.String,
  region: Schema.String,
  incarnation: Schema.String,
  /** Address of the endpoint beside an agent. */
  endpoint: Schema.optional(Schema.Struct({ host: Schema.String, port: Decode.Port }))
})
/** A process of the system. */
export type Member = typeof Member.Type

const decode = Decode.lenient(Member)

/**
 * Decodes the members in rows.
 *
 * @param rows - The rows of the table that are not deleted.
 * @returns The members; rows that cannot be decoded are left out.
 */
export function membersOf (rows: readonly Rows.Row[]): Member[] {
  return rows.flatMap(row => decode(row.value).match(member => [member], () => []))
}
