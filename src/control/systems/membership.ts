/**
 * Maintains the members: merges the instance list, gossip and rumours, and removes members that do not answer.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Gossip from '../gossip.ts'
import * as Tables from '../tables.ts'

/** Time after which a member suspected by several processes is declared dead, in milliseconds. */
export const CONFIRMED_SUSPICION_TIMEOUT_MS = 4_000
/** Time after which a member suspected by one process is declared dead, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 12_000
/** Time after which a dead member that is not listed is removed from the table, in milliseconds. */
export const DEAD_MEMBER_RETENTION_MS = 60_000
/** Number of accusers that confirm a suspicion. */
const CONFIRMING_ACCUSER_COUNT = 2
/** Number of members that a leaving process notifies directly. */
const LEAVE_NOTICE_COUNT = 4

/** Maintains the table of members. */
export const membershipSystem: Tables.System = {
  name: 'membership',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'announced') announce(tables, input.place)
      if (input.kind === 'leaving') leave(tables, tick)
      if (input.kind === 'listRead') mergeList(tables, tick, input.instances)
      if (input.kind === 'gossipHeard') applyGossip(tables, tick, input.gossip)
    }
    endSuspicions(tables, tick)
    if (!tables.instancesStale || tables.polls.listReadCount === 0) return
    tables.instancesStale = false
    tick.emit({ kind: 'tellInstances' })
  }
}

/**
 * Marks a member that did not answer as suspect, and spreads the suspicion.
 *
 * @param tables - The tables.
 * @param tick - The tick.
 * @param row - The member.
 */
export function suspect (tables: Tables.Tables, tick: Tables.Tick, row: Tables.MemberRow): void {
  if (row.state === 'dead') return
  applyRumour(tables, tick, { ...Gossip.rumourOf(row), state: 'suspect', accuserId: tables.identity.instanceId })
}

function announce (tables: Tables.Tables, place: Schemas.Platform.Instance): void {
  tables.self.place = place
  Gossip.queueRumour(tables, { instanceId: place.instanceId, incarnation: tables.self.incarnation, state: 'alive', place })
  markChanged(tables)
}

function leave (tables: Tables.Tables, tick: Tables.Tick): void {
  if (tables.self.place === undefined) return
  tables.self.hasLeft = true
  tables.self.incarnation++
  announce(tables, { ...tables.self.place, state: 'leaving' })
  const alive = [...tables.members.rows()].filter(row => row.state === 'alive')
  const startIndex = alive.length === 0 ? 0 : tick.random.below(alive.length)
  for (const row of [...alive.slice(startIndex), ...alive.slice(0, startIndex)].slice(0, LEAVE_NOTICE_COUNT)) {
    tick.emit({ kind: 'gossip', memberId: row.instanceId, target: row.place, purpose: 'notify', message: Gossip.compose(tables, row.instanceId) })
  }
}

function mergeList (tables: Tables.Tables, tick: Tables.Tick, instances: readonly Schemas.Platform.Instance[]): void {
  const isFirst = tables.polls.listReadCount++ === 0
  const listed = new Set<string>()
  tables.instancesStale = true
  for (const place of instances) {
    listed.add(place.instanceId)
    if (place.instanceId === tables.identity.instanceId) { applyOwnListing(tables, place); continue }
    const row = tables.members.get(place.instanceId)
    if (row === undefined) {
      const added = addMember(tables, tick, { instanceId: place.instanceId, incarnation: 0, state: 'alive', place }, place)
      if (!isFirst) Gossip.queueRumour(tables, Gossip.rumourOf(added))
      added.listed = true
      added.listedPlace = place
      continue
    }
    if (!row.listed || row.listedState !== place.state) markChanged(tables)
    row.listed = true
    row.listedState = place.state
    const hasChanged = row.listedPlace === undefined || !samePlace(row.listedPlace, place)
    row.listedPlace = place
    if (hasChanged) setPlace(tables, row, { ...place, state: row.place.state })
  }
  for (const row of [...tables.members.rows()]) {
    if (listed.has(row.instanceId)) continue
    if (row.listed) markChanged(tables)
    row.listed = false
    if (row.state === 'dead' && tick.nowMs - row.diedAtMs > DEAD_MEMBER_RETENTION_MS) remove(tables, row)
  }
}

/** Announces to the others when the state of this process in the instance list has changed. */
function applyOwnListing (tables: Tables.Tables, place: Schemas.Platform.Instance): void {
  const { self } = tables
  self.listedState = place.state
  if (self.hasLeft || self.place?.state === place.state) return
  self.incarnation++
  announce(tables, { ...(self.place ?? place), state: place.state })
}

function applyGossip (tables: Tables.Tables, tick: Tables.Tick, gossip: Schemas.Membership.Gossip): void {
  const { sender } = gossip
  if (sender.instanceId === tables.identity.instanceId) return
  tables.self.lastPeerMessageAtMs = tick.nowMs
  tables.highestKnown = Tables.highestVersions(tables.highestKnown, gossip.versions)
  applyRumour(tables, tick, sender)
  const row = tables.members.get(sender.instanceId)
  if (row !== undefined) {
    row.lastMessageAtMs = tick.nowMs
    row.ready = gossip.ready
    row.versions = gossip.versions
  }
  for (const rumour of gossip.rumours) applyRumour(tables, tick, rumour)
}

/** Applies a rumour if it overrides the member's current state, and spreads it. */
function applyRumour (tables: Tables.Tables, tick: Tables.Tick, rumour: Schemas.Membership.Rumour): void {
  if (rumour.instanceId === tables.identity.instanceId) { refute(tables, tick, rumour); return }
  const row = tables.members.get(rumour.instanceId)
  if (row === undefined) {
    if (rumour.place === undefined || rumour.state === 'dead') return
    addMember(tables, tick, rumour, rumour.place)
    Gossip.queueRumour(tables, rumour)
    return
  }
  if (row.state === 'suspect' && rumour.state === 'suspect' && rumour.incarnation === row.incarnation) accuse(tables, row, rumour)
  if (!Gossip.overrides(rumour, row)) return
  row.incarnation = rumour.incarnation
  if (rumour.place !== undefined && rumour.state === 'alive') applyAnnouncedPlace(tables, row, rumour.place)
  setState(tables, tick, row, rumour)
  Gossip.queueRumour(tables, rumour)
}

/**
 * Applies the announcement of a member about itself. The address in the instance list takes precedence
 * until the member announces another one.
 */
function applyAnnouncedPlace (tables: Tables.Tables, row: Tables.MemberRow, place: Schemas.Platform.Instance): void {
  const hasChanged = row.announcedPlace === undefined ? row.listedPlace === undefined : !samePlace(row.announcedPlace, place)
  row.announcedPlace = place
  setPlace(tables, row, hasChanged ? place : { ...row.place, state: place.state })
}

/** Refutes a false rumour about this process by raising its incarnation above that of the rumour. */
function refute (tables: Tables.Tables, tick: Tables.Tick, rumour: Schemas.Membership.Rumour): void {
  const { self } = tables
  const isTrue = rumour.state === 'alive' && rumour.incarnation <= self.incarnation
  if (isTrue || rumour.incarnation < self.incarnation) return
  self.incarnation = rumour.incarnation + 1
  tick.log('members', 'Accusation refuted.', { state: rumour.state, accuserId: rumour.accuserId, incarnation: self.incarnation })
  if (self.place !== undefined) announce(tables, self.place)
}

function setState (tables: Tables.Tables, tick: Tables.Tick, row: Tables.MemberRow, rumour: Schemas.Membership.Rumour): void {
  const previousState = row.state
  row.state = rumour.state
  if (rumour.state === 'suspect') {
    if (previousState !== 'suspect') row.suspectedAtMs = tick.nowMs
    row.accuserIds = new Set()
    tables.suspects.add(row.instanceId)
    accuse(tables, row, rumour)
  } else {
    tables.suspects.delete(row.instanceId)
    row.accuserIds.clear()
  }
  if (rumour.state === 'dead') row.diedAtMs = tick.nowMs
  if (previousState === rumour.state) return
  tick.log('members', STATE_SENTENCES[rumour.state], { memberId: row.instanceId, zone: row.place.zone, incarnation: row.incarnation, accuserId: rumour.accuserId })
  if (previousState === 'dead' || rumour.state === 'dead') markChanged(tables)
}

/** Records an accuser. The rumour is spread only until the suspicion is confirmed. */
function accuse (tables: Tables.Tables, row: Tables.MemberRow, rumour: Schemas.Membership.Rumour): void {
  if (rumour.accuserId === undefined || row.accuserIds.has(rumour.accuserId)) return
  row.accuserIds.add(rumour.accuserId)
  if (row.accuserIds.size <= CONFIRMING_ACCUSER_COUNT) Gossip.queueRumour(tables, rumour)
}

/** Declares suspects dead whose time to refute the suspicion has passed. */
function endSuspicions (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const id of [...tables.suspects]) {
    const row = tables.members.get(id)
    if (row === undefined) { tables.suspects.delete(id); continue }
    const limitMs = row.accuserIds.size >= CONFIRMING_ACCUSER_COUNT ? CONFIRMED_SUSPICION_TIMEOUT_MS : SUSPICION_TIMEOUT_MS
    if (tick.nowMs - row.suspectedAtMs < limitMs) continue
    applyRumour(tables, tick, { ...Gossip.rumourOf(row), state: 'dead', accuserId: tables.identity.instanceId })
  }
}

function addMember (tables: Tables.Tables, tick: Tables.Tick, rumour: Schemas.Membership.Rumour, place: Schemas.Platform.Instance): Tables.MemberRow {
  const row: Tables.MemberRow = {
    instanceId: rumour.instanceId,
    place,
    incarnation: rumour.incarnation,
    state: 'alive',
    listedPlace: undefined,
    announcedPlace: rumour.incarnation > 0 ? place : undefined,
    listed: false,
    listedState: place.state,
    lastMessageAtMs: -Infinity,
    suspectedAtMs: 0,
    diedAtMs: 0,
    accuserIds: new Set(),
    ready: false,
    versions: undefined
  }
  tables.members.set(row.instanceId, row)
  markChanged(tables)
  if (rumour.state === 'suspect') setState(tables, tick, row, rumour)
  return row
}

function setPlace (tables: Tables.Tables, row: Tables.MemberRow, place: Schemas.Platform.Instance): void {
  if (samePlace(row.place, place) && row.place.state === place.state) return
  row.place = place
  markChanged(tables)
}

function remove (tables: Tables.Tables, row: Tables.MemberRow): void {
  tables.members.remove(row.instanceId)
  tables.sources.delete(row.instanceId)
  tables.rumours.remove(row.instanceId)
}

function samePlace (a: Schemas.Platform.Instance, b: Schemas.Platform.Instance): boolean {
  return a.host === b.host && a.port === b.port && a.zone === b.zone && a.service === b.service
}

function markChanged (tables: Tables.Tables): void {
  tables.layoutStale = true
  tables.instancesStale = true
}

const STATE_SENTENCES: Readonly<Record<Schemas.Membership.MemberState, string>> = {
  alive: 'Member is alive again.',
  suspect: 'Member is suspected.',
  dead: 'Member is dead.'
}
