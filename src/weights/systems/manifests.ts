/**
 * Fetches weight manifests: down a tree of the region's agents, whose root asks the sources.
 *
 * @packageDocumentation
 */
import * as Faults from '../faults.ts'
import * as Seeding from '../seeding.ts'
import * as Tables from '../tables.ts'

/** Time between two attempts in milliseconds. */
const RETRY_MS = 120
/** An agent that is not the root asks the sources itself after so many failed attempts for each step of its rank. */
const ATTEMPTS_PER_RANK = 12
/** The branching of the tree. */
const BRANCH_COUNT = 2

/** Ranks the region's agents and asks for weight manifests not known yet. */
export const manifestsSystem: Tables.System = {
  name: 'manifests',
  run: (tables, tick) => {
    for (const set of tables.sets.rows()) {
      if (!set.wanted) continue
      if (set.chunks === undefined) ask(tables, tick, set)
      else set.seeding ??= rank(tables, set, set.chunks.manifest.chunks)
    }
  }
}

function ask (tables: Tables.Tables, tick: Tables.Tick, set: Tables.SetRow): void {
  if (tick.nowMs - set.manifestAskedAtMs < RETRY_MS) return
  set.manifestAskedAtMs = tick.nowMs
  const { digest } = set.want
  const line = rank(tables, set, [digest]).line(0)
  const position = line.indexOf(tables.identity.instanceId)
  if (position <= 0 || set.manifestAskCount >= ATTEMPTS_PER_RANK * position) {
    const source = [...tables.sources.rows()].find(candidate => candidate.standing.backOffUntilMs <= tick.nowMs)
    const remote = remoteHolder(tables, set, tick.nowMs)
    const useRemote = remote !== undefined && (source === undefined || set.manifestAskCount % 2 === 1)
    if (useRemote) tick.emit({ kind: 'fetchManifest', digest, sourceId: remote.member.instanceId, address: remote.member })
    else if (source !== undefined) tick.emit({ kind: 'fetchManifest', digest, sourceId: source.sourceId, address: source.address })
    else set.manifestAskCount++
    return
  }
  const parent = set.manifestAskCount % 3 === 2
    ? line[tick.random.below(line.length)]
    : line[Math.floor((position - 1) / BRANCH_COUNT)]
  const peer = parent === undefined ? undefined : Tables.peerOf(tables, parent)
  if (peer === undefined) { set.manifestAskCount++; return }
  tick.emit({ kind: 'fetchManifest', digest, sourceId: peer.member.instanceId, address: peer.member })
}

function remoteHolder (tables: Tables.Tables, set: Tables.SetRow, nowMs: number): Tables.PeerRow | undefined {
  const others = set.want.instanceIds.filter(id => {
    const member = tables.members.get(id)
    return id !== tables.identity.instanceId && member !== undefined && (member.region !== tables.identity.region || set.manifestAskCount > ATTEMPTS_PER_RANK)
  })
  const instanceId = others[set.manifestAskCount % Math.max(1, others.length)]
  const peer = instanceId === undefined ? undefined : Tables.peerOf(tables, instanceId)
  return peer !== undefined && isUsable(peer.standing, nowMs) ? peer : undefined
}

function isUsable (standing: Faults.Standing, nowMs: number): boolean {
  return standing.backOffUntilMs <= nowMs
}

function rank (tables: Tables.Tables, set: Tables.SetRow, chunks: readonly string[]): Seeding.Seeding {
  const { instanceId, region } = tables.identity
  const ids = set.want.instanceIds.filter(id => id === instanceId || tables.members.get(id)?.region === region)
  return Seeding.createSeeding(region, chunks, ids.includes(instanceId) ? ids : [...ids, instanceId])
}
