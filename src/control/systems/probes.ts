/**
 * Probes one member after another, first directly and then through relays.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import * as Gossip from '../gossip.ts'
import type * as Messages from '../messages.ts'
import type * as Tables from '../tables.ts'
import * as Membership from './membership.ts'

/** Mean time between probes, in milliseconds. */
export const PROBE_INTERVAL_MS = 1_000
/** Number of members that are asked to probe a member that did not answer. */
export const RELAY_COUNT = 3
/** One in this number of probes goes to a member that is considered dead but still listed. */
const DEAD_PROBE_INTERVAL = 8

/** Sends probes and evaluates their results. */
export const probesSystem: Tables.System = {
  name: 'probes',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'gossipEnded' && input.purpose === 'probe') endDirectProbe(tables, tick, input)
      if (input.kind === 'relayEnded') endRelayProbe(tables, tick, input)
    }
    if (tables.self.place === undefined || tick.nowMs < tables.nextProbeAtMs) return
    tables.nextProbeAtMs = tick.nowMs + Core.Random.jitter(tick.random, PROBE_INTERVAL_MS)
    const row = nextMember(tables, tick)
    if (row === undefined || tables.probes.has(row.instanceId)) return
    tables.probes.set(row.instanceId, { memberId: row.instanceId, pendingCount: 0, confirmedCount: 0 })
    tick.emit({ kind: 'gossip', memberId: row.instanceId, target: row.place, purpose: 'probe', message: Gossip.compose(tables, row.instanceId) })
  }
}

function nextMember (tables: Tables.Tables, tick: Tables.Tick): Tables.MemberRow | undefined {
  tables.probeCount++
  if (tables.probeCount % DEAD_PROBE_INTERVAL === 0) {
    const dead = [...tables.members.rows()].filter(row => row.state === 'dead' && row.listed)
    if (dead.length > 0) return dead[tick.random.below(dead.length)]
  }
  for (;;) {
    if (tables.probeOrder.length === 0) tables.probeOrder = shuffle(tick, [...tables.members.rows()].filter(row => row.state !== 'dead').map(row => row.instanceId))
    const id = tables.probeOrder.pop()
    if (id === undefined) return undefined
    const row = tables.members.get(id)
    if (row !== undefined && row.state !== 'dead') return row
  }
}

function endDirectProbe (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { kind: 'gossipEnded' }>): void {
  const probe = tables.probes.get(input.memberId)
  const row = tables.members.get(input.memberId)
  if (probe === undefined) return
  if (input.answered || row === undefined || row.state === 'dead') { tables.probes.remove(input.memberId); return }
  const relays = relaysFor(tables, tick, row)
  if (relays.length === 0) { tables.probes.remove(input.memberId); Membership.suspect(tables, tick, row); return }
  probe.pendingCount = relays.length
  for (const relay of relays) {
    tick.emit({ kind: 'relay', memberId: row.instanceId, via: relay.place, target: row.place, message: Gossip.compose(tables, row.instanceId) })
  }
}

/** Evaluates a relay's answer. If no relay answers, this process may itself be cut off, so the member is not suspected. */
function endRelayProbe (tables: Tables.Tables, tick: Tables.Tick, input: Extract<Messages.Input, { kind: 'relayEnded' }>): void {
  const probe = tables.probes.get(input.memberId)
  if (probe === undefined) return
  probe.pendingCount--
  if (input.relayAnswered && !input.targetAnswered) probe.confirmedCount++
  if (!input.targetAnswered && probe.pendingCount > 0) return
  tables.probes.remove(input.memberId)
  const row = tables.members.get(input.memberId)
  if (input.targetAnswered) { tick.log('members', 'Member answers relayed probes only.', { memberId: input.memberId }); return }
  if (row === undefined) return
  if (probe.confirmedCount > 0) Membership.suspect(tables, tick, row)
  else tick.log('members', 'No relay answered the probe.', { memberId: input.memberId })
}

function relaysFor (tables: Tables.Tables, tick: Tables.Tick, target: Tables.MemberRow): Tables.MemberRow[] {
  const others = [...tables.members.rows()].filter(row => row.state === 'alive' && row.lastMessageAtMs > -Infinity && row !== target)
  return shuffle(tick, others).slice(0, RELAY_COUNT)
}

/** Shuffles the items in place and returns them. */
function shuffle<Item> (tick: Tables.Tick, items: Item[]): Item[] {
  for (let last = items.length - 1; last > 0; last--) {
    const other = tick.random.below(last + 1)
    const item = items[last] as Item
    items[last] = items[other] as Item
    items[other] = item
  }
  return items
}
