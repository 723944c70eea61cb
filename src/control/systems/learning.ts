/**
 * Learns what is in force before the process serves: from the store, or from several processes.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import * as Gossip from '../gossip.ts'
import * as Tables from '../tables.ts'

/** Ready processes whose answers suffice without the store. */
export const SUFFICIENT_ANSWER_COUNT = 3
/** With fewer processes that answer, every one is asked this often. */
const ASKS_PER_MEMBER_COUNT = 2
/** The shortest time before fewer answers than enough are taken, in milliseconds. */
const FEW_ANSWERS_WAIT_MS = 2_000
const ASK_INTERVAL_MS = 300
/** A process that starts and is no watcher asks the others first, for a mean time in milliseconds. */
const STORE_DELAY_MS = 1_500
/** A longer time between ticks means that the process was paused, in milliseconds. */
export const PAUSE_THRESHOLD_MS = 5_000

/** Decides when the process knows what is in force, at a start and after a pause. */
export const learningSystem: Tables.System = {
  name: 'learning',
  run: (tables, tick) => {
    const { learning } = tables
    const paused = tick.nowMs - tables.lastTickAtMs > PAUSE_THRESHOLD_MS
    if (paused) restart(tables, tick)
    tables.lastTickAtMs = tick.nowMs
    if (learning.isComplete || paused) return
    for (const input of tick.inputs) {
      if (input.kind === 'storeRead' || input.kind === 'storeFailed') endStoreRead(tables, input.kind === 'storeRead')
      if (input.kind === 'gossipEnded' && input.purpose === 'ask' && input.answered) recordAnswer(tables, input.memberId)
    }
    if (hasLearntEnough(tables, tick)) { finish(tables, tick); return }
    if (tick.nowMs >= learning.nextAskAtMs) ask(tables, tick)
  }
}

function restart (tables: Tables.Tables, tick: Tables.Tick): void {
  const { learning } = tables
  if (tables.lastTickAtMs > -Infinity) tick.log('control', 'Process was paused.', { pausedMs: Math.round(tick.nowMs - tables.lastTickAtMs) })
  Object.assign(learning, { isComplete: false, startedAtMs: tick.nowMs, nextAskAtMs: 0, storeAnswered: false, storeDelayMs: Core.Random.jitter(tick.random, STORE_DELAY_MS), staleStoreReadCount: tables.polls.storePending ? 1 : 0 })
  learning.askedCounts.clear()
  learning.answeredIds.clear()
}

function endStoreRead (tables: Tables.Tables, answered: boolean): void {
  const { learning } = tables
  if (learning.staleStoreReadCount > 0) learning.staleStoreReadCount--
  else if (answered) learning.storeAnswered = true
}

function recordAnswer (tables: Tables.Tables, memberId: string): void {
  const { learning } = tables
  if (learning.askedCounts.has(memberId) && tables.members.get(memberId)?.ready === true) learning.answeredIds.add(memberId)
}

function hasLearntEnough (tables: Tables.Tables, tick: Tables.Tick): boolean {
  const { learning } = tables
  if (Tables.isAhead(tables.highestKnown, tables.held.versions())) return false
  if (learning.storeAnswered) return true
  const answeredCount = learning.answeredIds.size
  if (answeredCount >= SUFFICIENT_ANSWER_COUNT) return true
  const askedAll = candidatesOf(tables).every(row => learning.answeredIds.has(row.instanceId) || (learning.askedCounts.get(row.instanceId) ?? 0) >= ASKS_PER_MEMBER_COUNT)
  return answeredCount > 0 && askedAll && tables.polls.listReadCount > 0 && tick.nowMs - learning.startedAtMs > FEW_ANSWERS_WAIT_MS
}

function finish (tables: Tables.Tables, tick: Tables.Tick): void {
  const { learning } = tables
  learning.isComplete = true
  learning.wasEverComplete = true
  const versions = tables.held.versions()
  tick.check('manifestRises', versions.manifest >= tables.highestKnown.manifest, () => ({ versions, heard: tables.highestKnown }))
  tick.log('control', 'Documents in force are known.', { ...versions, fromStore: learning.storeAnswered, answeredCount: learning.answeredIds.size, tookMs: Math.round(tick.nowMs - learning.startedAtMs) })
}

function ask (tables: Tables.Tables, tick: Tables.Tick): void {
  const { learning } = tables
  learning.nextAskAtMs = tick.nowMs + Core.Random.jitter(tick.random, ASK_INTERVAL_MS)
  const candidates = candidatesOf(tables).filter(row => !learning.answeredIds.has(row.instanceId))
  const startIndex = candidates.length === 0 ? 0 : tick.random.below(candidates.length)
  const order = [...candidates.slice(startIndex), ...candidates.slice(0, startIndex)]
  const askedCount = (row: Tables.MemberRow): number => learning.askedCounts.get(row.instanceId) ?? 0
  for (const row of order.sort((a, b) => askedCount(a) - askedCount(b)).slice(0, SUFFICIENT_ANSWER_COUNT)) {
    learning.askedCounts.set(row.instanceId, askedCount(row) + 1)
    tick.emit({ kind: 'gossip', memberId: row.instanceId, target: row.place, purpose: 'ask', message: Gossip.compose(tables, row.instanceId) })
  }
}

function candidatesOf (tables: Tables.Tables): Tables.MemberRow[] {
  return [...tables.members.rows()].filter(row => row.state !== 'dead' && row.place.state === 'live')
}
