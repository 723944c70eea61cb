/**
 * Learns which documents are in force before the process serves, from the store or from several other processes.
 *
 * @packageDocumentation
 */
import * as Core from '../../core/index.ts'
import * as Gossip from '../gossip.ts'
import * as Tables from '../tables.ts'

/** Number of answers from ready processes that suffice without an answer of the store. */
export const SUFFICIENT_ANSWER_COUNT = 3
/** Number of times every live process that has not answered must be asked before fewer answers are accepted. */
const ASKS_PER_MEMBER_COUNT = 2
/** Time before which fewer answers than `SUFFICIENT_ANSWER_COUNT` are not accepted, in milliseconds. */
const FEW_ANSWERS_WAIT_MS = 2_000
/** Mean time between rounds of asking, in milliseconds. */
const ASK_INTERVAL_MS = 300
/** Mean time for which a process that is not a watcher asks only other processes before it reads the store, in milliseconds. */
const STORE_DELAY_MS = 1_500
/** Time between ticks above which the process counts as paused, in milliseconds. */
export const PAUSE_THRESHOLD_MS = 5_000

/** Decides when the process knows which documents are in force, after its start and after a pause. */
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

/** Counts the answer of a member that was asked, if that member is itself ready. */
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
  const allAskedOrAnswered = candidatesOf(tables).every(row => learning.answeredIds.has(row.instanceId) || (learning.askedCounts.get(row.instanceId) ?? 0) >= ASKS_PER_MEMBER_COUNT)
  return answeredCount > 0 && allAskedOrAnswered && tables.polls.listReadCount > 0 && tick.nowMs - learning.startedAtMs > FEW_ANSWERS_WAIT_MS
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
  const ordered = [...candidates.slice(startIndex), ...candidates.slice(0, startIndex)]
  const askedCountOf = (row: Tables.MemberRow): number => learning.askedCounts.get(row.instanceId) ?? 0
  for (const row of ordered.sort((a, b) => askedCountOf(a) - askedCountOf(b)).slice(0, SUFFICIENT_ANSWER_COUNT)) {
    learning.askedCounts.set(row.instanceId, askedCountOf(row) + 1)
    tick.emit({ kind: 'gossip', memberId: row.instanceId, target: row.place, purpose: 'ask', message: Gossip.compose(tables, row.instanceId) })
  }
}

function candidatesOf (tables: Tables.Tables): Tables.MemberRow[] {
  return [...tables.members.rows()].filter(row => row.state !== 'dead' && row.place.state === 'live')
}
