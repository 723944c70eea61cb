/**
 * Chooses a bounded number of neighbours and exchanges news with those without recent contact.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import type * as Messages from '../messages.ts'
import * as Tables from '../tables.ts'

/** Maximum number of neighbours in the agent's own zone. */
const SAME_ZONE_COUNT = 6
/** Maximum number of neighbours in the other zones of the region. */
const OTHER_ZONE_COUNT = 4
/** Maximum number of neighbours in each other region. */
const OTHER_REGION_COUNT = 1
const CHOOSE_INTERVAL_MS = 2_000
/** Time without contact after which news is exchanged with a neighbour of the region, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 500
/** Time without contact after which news is exchanged with a neighbour in another region, in milliseconds. */
const BORDER_EXCHANGE_INTERVAL_MS = 1_000

/** Chooses neighbours and exchanges news with them. */
export const neighboursSystem: Tables.System = {
  name: 'neighbours',
  run: (tables, tick) => {
    const fetching = [...tables.sets.rows()].filter(set => set.wanted && set.state === 'fetching')
    if (fetching.length === 0) return
    if (tick.nowMs - tables.neighboursChosenAtMs >= CHOOSE_INTERVAL_MS) chooseNeighbours(tables, tick, fetching)
    if (fetching.some(set => set.chunks !== undefined)) exchangeNews(tables, tick)
  }
}

function chooseNeighbours (tables: Tables.Tables, tick: Tables.Tick, fetching: readonly Tables.SetRow[]): void {
  tables.neighboursChosenAtMs = tick.nowMs
  const { instanceId, zone, region } = tables.identity
  const wantingIds = new Set(fetching.flatMap(set => set.spec.instanceIds))
  const usable = [...tables.members.rows()].filter(member =>
    wantingIds.has(member.instanceId) && member.instanceId !== instanceId && (tables.peers.get(member.instanceId)?.health.backOffUntilMs ?? 0) <= tick.nowMs)
  const ranked = usable
    .map(member => ({ member, rank: rankPair(instanceId, member.instanceId) }))
    .sort((a, b) => a.rank - b.rank || (a.member.instanceId < b.member.instanceId ? -1 : 1))
    .map(entry => entry.member)
  const chosen = [
    ...ranked.filter(member => member.region === region && member.zone === zone).slice(0, SAME_ZONE_COUNT),
    ...ranked.filter(member => member.region === region && member.zone !== zone).slice(0, OTHER_ZONE_COUNT),
    ...firstPerRegion(ranked.filter(member => member.region !== region), OTHER_REGION_COUNT)
  ]
  for (const peer of [...tables.peers.rows()]) {
    peer.isNeighbour = false
    if (!tables.members.has(peer.member.instanceId)) tables.peers.remove(peer.member.instanceId)
  }
  for (const member of chosen) {
    const peer = Tables.ensurePeer(tables, member.instanceId)
    if (peer !== undefined) peer.isNeighbour = true
  }
}

function exchangeNews (tables: Tables.Tables, tick: Tables.Tick): void {
  for (const peer of tables.peers.rows()) {
    if (!peer.isNeighbour || peer.health.backOffUntilMs > tick.nowMs) continue
    const intervalMs = peer.member.region === tables.identity.region ? EXCHANGE_INTERVAL_MS : BORDER_EXCHANGE_INTERVAL_MS
    if (tick.nowMs - Math.max(peer.lastContactAtMs, peer.exchangeStartedAtMs) < intervalMs) continue
    exchangeWith(tick, peer)
  }
}

/**
 * Starts an exchange of news with a peer.
 *
 * @param tick - The current tick.
 * @param peer - The peer.
 */
export function exchangeWith (tick: Tables.Tick, peer: Tables.PeerRow): void {
  peer.exchangeStartedAtMs = tick.nowMs
  tick.emit({ kind: 'exchange', instanceId: peer.member.instanceId, address: peer.member })
}

function firstPerRegion (members: readonly Messages.Member[], limitCount: number): Messages.Member[] {
  const counts = new Map<string, number>()
  return members.filter(member => {
    const countBefore = counts.get(member.region) ?? 0
    counts.set(member.region, countBefore + 1)
    return countBefore < limitCount
  })
}

function rankPair (a: string, b: string): number {
  return Core.Hash.rankOf(a < b ? `${a}\n${b}` : `${b}\n${a}`)
}
