/**
 * Notifies other processes of new documents, and fetches newer documents that they hold.
 *
 * @packageDocumentation
 */
import * as Gossip from '../gossip.ts'
import type * as Layout from '../layout.ts'
import * as Tables from '../tables.ts'

/** Time without an answer from the first source after which a second one is asked, in milliseconds. */
export const SECOND_PULL_DELAY_MS = 300
const MAX_CONCURRENT_PULL_COUNT = 2

/** Notifies the processes below in the trees of new documents, and fetches documents until no newer version is known. */
export const spreadSystem: Tables.System = {
  name: 'spread',
  run: (tables, tick) => {
    const origins = new Set<Layout.Origin>()
    for (const input of tick.inputs) {
      if (input.kind === 'adopted') {
        tables.highestKnown = Tables.highestVersions(tables.highestKnown, { ...tables.highestKnown, [input.document.kind]: input.document.version })
        origins.add(input.origin)
      }
      if (input.kind === 'storeRead') tables.highestKnown = Tables.highestVersions(tables.highestKnown, input.versions)
      if (input.kind === 'gossipHeard') tables.sources.set(input.gossip.sender.instanceId, input.gossip.versions)
      if (input.kind === 'gossipEnded' && input.purpose === 'notify' && !input.answered) notify(tables, tick, Tables.layoutOf(tables, tick.nowMs).targetsOf(input.memberId, 'peer'))
      if (input.kind === 'pullEnded') endPull(tables, input.memberId)
    }
    if (origins.size > 0) {
      tables.notifiedIds.clear()
      const origin = origins.has('operator') || origins.has('store') ? 'operator' : 'peer'
      notify(tables, tick, Tables.layoutOf(tables, tick.nowMs).targetsOf(tables.identity.instanceId, origin))
    }
    pull(tables, tick)
  }
}

function notify (tables: Tables.Tables, tick: Tables.Tick, memberIds: readonly string[]): void {
  const versions = tables.held.versions()
  for (const memberId of memberIds) {
    const row = tables.members.get(memberId)
    if (row === undefined || tables.notifiedIds.has(memberId) || (row.versions !== undefined && !Tables.isAhead(versions, row.versions))) continue
    tables.notifiedIds.add(memberId)
    tick.emit({ kind: 'gossip', memberId, target: row.place, purpose: 'notify', message: Gossip.compose(tables, memberId) })
  }
}

function pull (tables: Tables.Tables, tick: Tables.Tick): void {
  const versions = tables.held.versions()
  for (const [memberId, offeredVersions] of tables.sources) {
    if (!Tables.isAhead(offeredVersions, versions)) { tables.sources.delete(memberId); continue }
    const row = tables.members.get(memberId)
    if (row === undefined || tables.pulls.has(memberId)) continue
    const isWaiting = [...tables.pulls.rows()].some(pull => tick.nowMs - pull.startedAtMs < SECOND_PULL_DELAY_MS)
    if (isWaiting || tables.pulls.count() >= MAX_CONCURRENT_PULL_COUNT) continue
    tables.pulls.set(memberId, { memberId, startedAtMs: tick.nowMs })
    tick.emit({ kind: 'pull', memberId, target: row.place, versions })
  }
}

/** Removes a source after each attempt; its next message adds it again. */
function endPull (tables: Tables.Tables, memberId: string): void {
  tables.pulls.remove(memberId)
  tables.sources.delete(memberId)
}
