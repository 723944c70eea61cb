/**
 * Fetches weight manifests along a tree of the region's agents: each agent asks its parent, and the root asks a source.
 *
 * @packageDocumentation
 */
import * as Faults from '../faults.ts'
import * as Seeding from '../seeding.ts'
import * as Tables from '../tables.ts'

/** Minimum time between two attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 120
/** Number of failed attempts per step of its rank after which an agent other than the root asks the sources itself. */
const ATTEMPTS_PER_RANK = 12
/** Number of children of each agent in the tree. */
const BRANCH_COUNT = 2

/** Requests missing weight manifests. Once a manifest is known, ranks the region's agents for its chunks. */
export const manifestsSystem: Tables.System = {
  name: 'manifests',
  run: (tables, tick) => {
    for (const set of tables.sets.rows()) {
      if (!set.wanted) continue
      if (set.chunks === undefined) requestManifest(tables, tick, set)
      else set.seeding ??= rankAgents(tables, set, set.chunks.manifest.chunks)
    }
  }
}

function requestManifest (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow): void {
  if (tick.nowMs - set.manifestRequestedAtMs < RETRY_INTERVAL_MS) return
  set.manifestRequestedAtMs = tick.nowMs
  const { digest } = set.spec
  const ranking = rankAgents(tables, set, [digest]).rankedIds(0)
  const position = ranking.indexOf(tables.identity.instanceId)
  if (position <= 0 || set.manifestFailureCount >= ATTEMPTS_PER_RANK * position) {
    const source = [...tables.sources.rows()].find(candidate => candidate.health.backOffUntilMs <= tick.nowMs)
    const remote = remoteHolder(tables, set, tick.nowMs)
    const useRemote = remote !== undefined && (source === undefined || set.manifestFailureCount % 2 === 1)
    if (useRemote) tick.emit({ kind: 'fetchManifest', digest, sourceId: remote.member.instanceId, address: remote.member })
    else if (source !== undefined) tick.emit({ kind: 'fetchManifest', digest, sourceId: source.sourceId, address: source.address })
    else set.manifestFailureCount++
    return
  }
  const parent = set.manifestFailureCount % 3 === 2
    ? ranking[tick.random.below(ranking.length)]
    : ranking[Math.floor((position - 1) / BRANCH_COUNT)]
  const peer = parent === undefined ? undefined : Tables.ensurePeer(tables, parent)
  if (peer === undefined) { set.manifestFailureCount++; return }
  tick.emit({ kind: 'fetchManifest', digest, sourceId: peer.member.instanceId, address: peer.member })
}

function remoteHolder (tables: Tables.Tables, set: Tables.SetRow, nowMs: number): Tables.PeerRow | undefined {
  const others = set.spec.instanceIds.filter(id => {
    const member = tables.members.get(id)
    return id !== tables.identity.instanceId && member !== undefined && (member.region !== tables.identity.region || set.manifestFailureCount > ATTEMPTS_PER_RANK)
  })
  const instanceId = others[set.manifestFailureCount % Math.max(1, others.length)]
  const peer = instanceId === undefined ? undefined : Tables.ensurePeer(tables, instanceId)
  return peer !== undefined && isUsable(peer.health, nowMs) ? peer : undefined
}

function isUsable (standing: Faults.Health, nowMs: number): boolean {
  return standing.backOffUntilMs <= nowMs
}

function rankAgents (tables: Tables.Tables, set: Tables.SetRow, chunks: readonly string[]): Seeding.Seeding {
  const { instanceId, region } = tables.identity
  const ids = set.spec.instanceIds.filter(id => id === instanceId || tables.members.get(id)?.region === region)
  return Seeding.createSeeding(region, chunks, ids.includes(instanceId) ? ids : [...ids, instanceId])
}
