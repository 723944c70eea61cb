/**
 * Evidence against calls that crash endpoints.
 *
 * A call that was in flight at a crash is a suspect. Agents run one suspect at a time, so that a second
 * crash names one of them; a suspect that is answered whole is cleared.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Tables from './tables.ts'

/** Crashes after which a call is refused. */
const CRASHES_TO_QUARANTINE = 2
const QUARANTINE_MS = 30 * 60_000
const SUSPECT_MS = 10 * 60_000
const MAX_SUSPECT_COUNT = 512
const MAX_SEEN_CRASH_COUNT = 1_024

/**
 * Tells whether calls with a digest are refused.
 *
 * @param tables - The gateway's tables.
 * @param digest - The digest.
 * @returns Whether the document in force or this gateway's own evidence quarantines it.
 */
export function isQuarantined (tables: Tables.Tables, digest: string): boolean {
  if (tables.suspects.get(digest)?.quarantined === true) return true
  const entry = Control.Quarantines.entryInForce(tables.held.quarantine(), digest, tables.wallClock)
  return entry !== undefined && entry.suspect !== true
}

/**
 * Tells whether calls with a digest are run alone.
 *
 * @param tables - The gateway's tables.
 * @param digest - The digest.
 * @returns Whether it was in flight at a crash and was not cleared since.
 */
export function isSuspect (tables: Tables.Tables, digest: string): boolean {
  if (tables.suspects.has(digest)) return true
  return Control.Quarantines.entryInForce(tables.held.quarantine(), digest, tables.wallClock)?.suspect === true
}

/**
 * Takes a crash with the calls that were in flight.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param service - The endpoint's service.
 * @param crash - The crash.
 */
export function addCrash (tables: Tables.Tables, tick: Tables.Tick, service: string, crash: Schemas.Control.Crash): void {
  if (tables.quarantine.seenCrashIds.has(crash.crashId)) return
  tables.quarantine.seenCrashIds.add(crash.crashId)
  trim(tables.quarantine.seenCrashIds, MAX_SEEN_CRASH_COUNT)
  for (const digest of crash.digests) addEvidence(tables, tick, service, digest, [crash.crashId])
  judge(tables, tick, crash.digests)
}

/**
 * Takes an endpoint's failure of a call that this gateway sent there.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param row - The call.
 * @param crashId - The incarnation of the endpoint.
 */
export function addFailure (tables: Tables.Tables, tick: Tables.Tick, row: Tables.CallRow, crashId: string): void {
  addEvidence(tables, tick, row.service, row.call.digest, [crashId])
  judge(tables, tick, [row.call.digest])
}

/**
 * Clears a digest whose call was answered whole.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param digest - The digest.
 */
export function clear (tables: Tables.Tables, tick: Tables.Tick, digest: string): void {
  const entry = Control.Quarantines.entryOf(tables.held.quarantine(), digest)
  const crashIds = [...(entry?.crashIds ?? []), ...(tables.suspects.get(digest)?.crashIds ?? [])]
  const known = drop(tables, digest)
  const documented = entry?.suspect === true
  if (!known && !documented) return
  if (documented) noteCleared(tables, digest, crashIds)
  tick.log('quarantine', 'Suspect cleared.', { digest, reason: 'a call with the digest was answered whole' })
}

/**
 * Adds crashes to a digest's evidence, but for those that were lifted.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param service - The service.
 * @param digest - The digest.
 * @param crashIds - The crashes.
 */
export function addEvidence (tables: Tables.Tables, tick: Tables.Tick, service: string, digest: string, crashIds: readonly string[]): void {
  const quarantine = tables.held.quarantine()
  const counting = crashIds.filter(crashId => !Control.Quarantines.isLifted(quarantine, digest, crashId))
  if (counting.length === 0) return
  const documented = Control.Quarantines.entryOf(quarantine, digest)?.crashIds ?? []
  const row = tables.suspects.get(digest) ?? { digest, service, crashIds: new Set(documented), quarantined: false }
  counting.forEach(crashId => row.crashIds.add(crashId))
  tables.suspects.remove(digest)
  tables.suspects.set(digest, row)
  tables.suspectTimes.set(digest, tick.nowMs + SUSPECT_MS)
  const oldest = tables.suspects.keys().next()
  if (tables.suspects.count() > MAX_SUSPECT_COUNT && oldest.done !== true) drop(tables, oldest.value)
  note(tables, row)
}

/**
 * Quarantines the digest of some that crashed together, once one stands out.
 *
 * @param tables - The gateway's tables.
 * @param tick - The current tick.
 * @param digests - The digests that were in flight at one crash.
 */
export function judge (tables: Tables.Tables, tick: Tables.Tick, digests: readonly string[]): void {
  const rows = digests.flatMap(digest => tables.suspects.get(digest) ?? []).filter(row => row.crashIds.size >= CRASHES_TO_QUARANTINE)
  const mostCount = Math.max(0, ...rows.map(row => row.crashIds.size))
  const worst = rows.filter(row => row.crashIds.size === mostCount)
  const [row] = worst
  if (row === undefined || worst.length > 1 || row.quarantined) return
  row.quarantined = true
  tables.suspectTimes.set(row.digest, tick.nowMs + QUARANTINE_MS)
  note(tables, row)
  tick.log('quarantine', 'Call quarantined.', { digest: row.digest, service: row.service, crashCount: row.crashIds.size, reason: 'it was in flight at every one of these crashes' })
}

/**
 * Forgets suspects that have not been in flight at a crash for long.
 *
 * @param tables - The gateway's tables.
 * @param nowMs - The current time.
 */
export function forget (tables: Tables.Tables, nowMs: number): void {
  for (const digest of tables.suspectTimes.expire(nowMs)) tables.suspects.remove(digest)
}

/**
 * Takes back crashes that no longer count against a digest.
 *
 * @param tables - The gateway's tables.
 * @param evidence - The digest and the crashes.
 */
export function withdraw (tables: Tables.Tables, evidence: Schemas.Control.LiftedEvidence): void {
  const row = tables.suspects.get(evidence.digest)
  if (row === undefined) return
  const heldCount = row.crashIds.size
  evidence.crashIds.forEach(crashId => row.crashIds.delete(crashId))
  if (row.crashIds.size === heldCount) return
  if (row.crashIds.size === 0) drop(tables, row.digest)
  else row.quarantined &&= row.crashIds.size >= CRASHES_TO_QUARANTINE
}

/**
 * Drops what this gateway holds against a digest.
 *
 * @param tables - The gateway's tables.
 * @param digest - The digest.
 * @returns Whether there was anything.
 */
export function drop (tables: Tables.Tables, digest: string): boolean {
  tables.suspectTimes.remove(digest)
  tables.quarantine.put.delete(digest)
  return tables.suspects.remove(digest)
}

/**
 * Notes crashes that a whole answer has cleared, for the next commit.
 *
 * @param tables - The gateway's tables.
 * @param digest - The digest.
 * @param crashIds - The crashes that were known when the answer was whole.
 */
export function noteCleared (tables: Tables.Tables, digest: string, crashIds: readonly string[]): void {
  tables.quarantine.clear.set(digest, new Set([...(tables.quarantine.clear.get(digest) ?? []), ...crashIds]))
}

function note (tables: Tables.Tables, row: Tables.SuspectRow): void {
  tables.quarantine.clear.delete(row.digest)
  tables.quarantine.put.set(row.digest, {
    digest: row.digest,
    service: row.service,
    crashCount: row.crashIds.size,
    crashIds: [...row.crashIds].slice(-Control.Quarantines.MAX_CRASH_ID_COUNT),
    ...(row.quarantined ? {} : { suspect: true }),
    expiresAtMs: Math.round(tables.wallClock()) + (row.quarantined ? QUARANTINE_MS : SUSPECT_MS)
  })
}

function trim (ids: Set<string>, maxCount: number): void {
  const oldest = ids.values().next()
  if (ids.size > maxCount && oldest.done !== true) ids.delete(oldest.value)
}
