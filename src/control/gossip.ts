/**
 * Writes messages and decides which claim about a process stands.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import * as Tables from './tables.ts'

type Rumour = Schemas.Membership.Rumour

/** The most rumours in a message. */
export const MAX_RUMOUR_COUNT = 6
/** Each rumour is sent this many times the binary logarithm of the number of members. */
const RUMOUR_SEND_FACTOR = 3
const STATE_RANK = { alive: 0, suspect: 1, dead: 2 } as const

/**
 * Writes a message to a member: the sender, its versions, and the rumours sent least often.
 *
 * A member that is thought not to be alive is told so first, so that it can refute it.
 *
 * @param tables - The tables; the rumours' counts rise.
 * @param memberId - The receiver.
 * @returns The message.
 */
export function compose (tables: Tables.Tables, memberId: string): Schemas.Membership.Gossip {
  const { self, identity } = tables
  const receiver = tables.members.get(memberId)
  const accusation = receiver === undefined || receiver.state === 'alive' ? [] : [rumourOf(receiver)]
  const others = [...tables.rumours.rows()].filter(row => row.rumour.instanceId !== memberId).sort((a, b) => a.sentCount - b.sentCount)
  const chosen = others.slice(0, MAX_RUMOUR_COUNT - accusation.length)
  const limitCount = Math.ceil(RUMOUR_SEND_FACTOR * Math.log2(tables.members.count() + 2))
  for (const row of chosen) {
    row.sentCount++
    if (row.sentCount >= limitCount) tables.rumours.remove(row.rumour.instanceId)
  }
  return {
    sender: { instanceId: identity.instanceId, incarnation: self.incarnation, state: 'alive', place: self.place },
    ready: Tables.isReady(tables),
    versions: tables.held.versions(),
    rumours: [...accusation, ...chosen.map(row => row.rumour)]
  }
}

/**
 * Queues a rumour in place of an earlier one about the same process.
 *
 * @param tables - The tables.
 * @param rumour - The rumour.
 */
export function queueRumour (tables: Tables.Tables, rumour: Rumour): void {
  tables.rumours.set(rumour.instanceId, { rumour, sentCount: 0 })
}

/**
 * Writes what is known of a member as a rumour.
 *
 * @param row - The member.
 * @returns The rumour.
 */
export function rumourOf (row: Tables.MemberRow): Rumour {
  return { instanceId: row.instanceId, incarnation: row.incarnation, state: row.state, place: row.place }
}

/**
 * Tells whether a rumour stands against what is known: a higher incarnation wins, then the worse state.
 *
 * @param rumour - The rumour.
 * @param current - What is known.
 * @returns Whether the rumour wins.
 */
export function overrides (rumour: Rumour, current: { readonly incarnation: number, readonly state: Schemas.Membership.MemberState }): boolean {
  if (rumour.incarnation !== current.incarnation) return rumour.incarnation > current.incarnation
  return STATE_RANK[rumour.state] > STATE_RANK[current.state]
}
