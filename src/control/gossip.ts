/**
 * Composes gossip messages and decides which of two claims about a process wins.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import * as Tables from './tables.ts'

type Rumour = Schemas.Membership.Rumour

/** Maximum number of rumours in a message. */
export const MAX_RUMOUR_COUNT = 6
/** A rumour is sent this factor times the binary logarithm of the number of members. */
const RUMOUR_SEND_FACTOR = 3
/** Of two claims with the same incarnation, the one with the higher rank wins. */
const STATE_RANK = { alive: 0, suspect: 1, dead: 2 } as const

/**
 * Composes a message to a member: the sender, its versions, and the rumours sent least often.
 *
 * If the receiver itself is believed suspect or dead, that rumour comes first, so that it can be refuted.
 *
 * @param tables - The tables; the send counts of the chosen rumours are raised.
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
 * Queues a rumour to be sent, replacing any earlier one about the same process.
 *
 * @param tables - The tables.
 * @param rumour - The rumour.
 */
export function queueRumour (tables: Tables.Tables, rumour: Rumour): void {
  tables.rumours.set(rumour.instanceId, { rumour, sentCount: 0 })
}

/**
 * Returns the current state of a member as a rumour.
 *
 * @param row - The member.
 * @returns The rumour.
 */
export function rumourOf (row: Tables.MemberRow): Rumour {
  return { instanceId: row.instanceId, incarnation: row.incarnation, state: row.state, place: row.place }
}

/**
 * Returns whether a rumour overrides the current state: a higher incarnation wins, then the worse state.
 *
 * @param rumour - The rumour.
 * @param current - The member's current incarnation and state.
 * @returns Whether the rumour wins.
 */
export function overrides (rumour: Rumour, current: { readonly incarnation: number, readonly state: Schemas.Membership.MemberState }): boolean {
  if (rumour.incarnation !== current.incarnation) return rumour.incarnation > current.incarnation
  return STATE_RANK[rumour.state] > STATE_RANK[current.state]
}
