/**
 * The quarantine document: digests of calls that crash endpoints. Entries expire, and their number is bounded.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import type * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Commits from './commits.ts'

/** Maximum number of entries in the document. */
export const MAX_ENTRY_COUNT = 256
/** Maximum number of crashes recorded with an entry. */
export const MAX_CRASH_ID_COUNT = 8
/** Maximum number of lifted entries whose crashes are kept. */
export const MAX_LIFTED_COUNT = 128

/** A change to a quarantine document. */
export interface QuarantineChange {
  /** Entries to add or to merge with the existing entries of their digests. */
  readonly put: readonly Schemas.Control.QuarantineEntry[]
  /** Digests whose entries are to be removed, whatever they record. */
  readonly lift: readonly string[]
  /** Crashes that no longer count, because a call with the digest was answered whole after them. */
  readonly clear?: readonly Schemas.Control.LiftedEvidence[]
}

const entriesByDigest = Core.Memo.memoizeByIdentity((quarantine: Schemas.Control.Quarantine) => new Map(quarantine.entries.map(entry => [entry.digest, entry])))

/**
 * Returns the entry of a digest, expired or not.
 *
 * @param quarantine - The document.
 * @param digest - The call's digest.
 * @returns The entry, if there is one.
 */
export function entryOf (quarantine: Schemas.Control.Quarantine, digest: string): Schemas.Control.QuarantineEntry | undefined {
  return entriesByDigest(quarantine).get(digest)
}

/**
 * Returns the entry of a digest unless it has expired.
 *
 * @param quarantine - The document.
 * @param digest - The call's digest.
 * @param wallClock - Returns wall-clock time in milliseconds since 1970.
 * @returns The entry, if there is one that has not expired.
 */
export function entryInForce (quarantine: Schemas.Control.Quarantine, digest: string, wallClock: () => number): Schemas.Control.QuarantineEntry | undefined {
  const entry = entryOf(quarantine, digest)
  return entry !== undefined && entry.expiresAtMs > wallClock() ? entry : undefined
}

/**
 * Commits a change to the document.
 *
 * @param tables - The client of the table service.
 * @param change - The entries to put and the digests to lift.
 * @returns The committed document, or the failure.
 */
export async function commit (tables: Platform.TableClient.TableClient, change: QuarantineChange): Promise<Neverthrow.Result<Schemas.Control.Document, Commits.CommitFailure>> {
  return await Commits.commit(tables, {
    kind: 'quarantine',
    nonce: Crypto.randomUUID(),
    change: body => merge(body as Schemas.Control.Quarantine | undefined, change, Date.now())
  })
}

/**
 * Returns whether a crash no longer counts against a digest.
 *
 * @param quarantine - The document.
 * @param digest - The call's digest.
 * @param crashId - The crash, identified by the endpoint incarnation that crashed.
 * @returns Whether an operator or a complete answer has lifted the entry that recorded the crash.
 */
export function isLifted (quarantine: Schemas.Control.Quarantine, digest: string, crashId: string): boolean {
  return quarantine.lifted?.some(evidence => evidence.digest === digest && evidence.crashIds.includes(crashId)) === true
}

/**
 * Applies a change to the document: entries of the same digest are merged, expired entries are removed,
 * and beyond the maximum number of entries suspects are dropped first, then those that expire soonest.
 *
 * Crashes of a lifted entry are kept, so that a late report of them does not restore the entry.
 *
 * @param quarantine - The document in force, if there is one.
 * @param change - The entries to put and the digests to lift.
 * @param nowMs - Wall-clock time in milliseconds since 1970.
 * @returns The new document.
 */
export function merge (quarantine: Schemas.Control.Quarantine | undefined, change: QuarantineChange, nowMs: number): Schemas.Control.Quarantine {
  const entries = new Map(quarantine?.entries.filter(entry => entry.expiresAtMs > nowMs).map(entry => [entry.digest, entry]))
  const newlyLifted = change.lift.flatMap(digest => {
    const crashIds = entries.get(digest)?.crashIds ?? []
    entries.delete(digest)
    return crashIds.length === 0 ? [] : [{ digest, crashIds }]
  })
  const cleared = change.clear?.filter(evidence => clearEntry(entries, evidence) && evidence.crashIds.length > 0) ?? []
  const lifted = [...(quarantine?.lifted ?? []), ...newlyLifted, ...cleared].slice(-MAX_LIFTED_COUNT)
  for (const entry of change.put) {
    const remaining = withoutLiftedCrashes({ entries: [], lifted }, entry)
    if (remaining !== undefined) entries.set(entry.digest, mergeEntry(entries.get(entry.digest), remaining))
  }
  const ordered = [...entries.values()].sort((a, b) => Number(a.suspect === true) - Number(b.suspect === true) || b.expiresAtMs - a.expiresAtMs)
  return { entries: ordered.slice(0, MAX_ENTRY_COUNT), ...(lifted.length === 0 ? {} : { lifted }) }
}

/** Takes crashes out of the entry of their digest, whose other crashes go on counting. Returns whether there is an entry. */
function clearEntry (entries: Map<string, Schemas.Control.QuarantineEntry>, evidence: Schemas.Control.LiftedEvidence): boolean {
  const entry = entries.get(evidence.digest)
  if (entry === undefined) return false
  const reportedCrashIds = entry.crashIds ?? []
  const crashIds = reportedCrashIds.filter(crashId => !evidence.crashIds.includes(crashId))
  const hasLost = crashIds.length < reportedCrashIds.length
  if (crashIds.length === 0 && (hasLost || entry.suspect === true)) entries.delete(evidence.digest)
  else if (hasLost) entries.set(evidence.digest, { ...entry, crashIds, crashCount: crashIds.length, suspect: crashIds.length > 1 ? entry.suspect : true })
  return true
}

/** Removes crashes that no longer count. An entry that loses some becomes a suspect; without any left, it is undefined. */
function withoutLiftedCrashes (quarantine: Schemas.Control.Quarantine, entry: Schemas.Control.QuarantineEntry): Schemas.Control.QuarantineEntry | undefined {
  const reportedCrashIds = entry.crashIds ?? []
  const crashIds = reportedCrashIds.filter(crashId => !isLifted(quarantine, entry.digest, crashId))
  if (crashIds.length === reportedCrashIds.length) return entry
  return crashIds.length === 0 ? undefined : { ...entry, crashIds, crashCount: crashIds.length, suspect: true }
}

/** Merges an entry with the existing one of the same digest. It is suspect only if both are. */
function mergeEntry (existing: Schemas.Control.QuarantineEntry | undefined, entry: Schemas.Control.QuarantineEntry): Schemas.Control.QuarantineEntry {
  const crashIds = [...new Set([...(existing?.crashIds ?? []), ...(entry.crashIds ?? [])])].slice(-MAX_CRASH_ID_COUNT)
  return {
    ...entry,
    crashIds,
    crashCount: Math.max(crashIds.length, entry.crashCount, existing?.crashCount ?? 0),
    suspect: entry.suspect === true && (existing === undefined || existing.suspect === true) ? true : undefined,
    expiresAtMs: Math.max(entry.expiresAtMs, existing?.expiresAtMs ?? 0)
  }
}
