/**
 * The quarantine document: digests of calls that crash endpoints, bounded and expiring.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import type * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'
import * as Commits from './commits.ts'

/** The most entries that a document holds. */
export const MAX_ENTRY_COUNT = 256
/** The most crashes remembered with one entry. */
export const MAX_CRASH_ID_COUNT = 8
/** The most lifted entries whose crashes are remembered. */
export const MAX_LIFTED_COUNT = 128

/** Changes to a quarantine document. */
export interface QuarantineChange {
  readonly put: readonly Schemas.Control.QuarantineEntry[]
  readonly lift: readonly string[]
}

const entriesByDigest = Core.Memo.byIdentity((quarantine: Schemas.Control.Quarantine) => new Map(quarantine.entries.map(entry => [entry.digest, entry])))

/**
 * Finds the entry of a digest, expired or not.
 *
 * @param quarantine - The document.
 * @param digest - The call's digest.
 * @returns The entry, if there is one.
 */
export function entryOf (quarantine: Schemas.Control.Quarantine, digest: string): Schemas.Control.QuarantineEntry | undefined {
  return entriesByDigest(quarantine).get(digest)
}

/**
 * Finds the entry of a digest unless it has expired.
 *
 * @param quarantine - The document.
 * @param digest - The call's digest.
 * @param wallClock - Returns wall-clock time in milliseconds since 1970.
 * @returns The entry, if there is one in force.
 */
export function entryInForce (quarantine: Schemas.Control.Quarantine, digest: string, wallClock: () => number): Schemas.Control.QuarantineEntry | undefined {
  const entry = entryOf(quarantine, digest)
  return entry !== undefined && entry.expiresAtMs > wallClock() ? entry : undefined
}

/**
 * Commits changes to the document.
 *
 * @param tables - The client of the table service.
 * @param change - What to put and lift.
 * @returns The document in force after the commit, or why there is none.
 */
export async function commit (tables: Platform.TableClient.TableClient, change: QuarantineChange): Promise<Neverthrow.Result<Schemas.Control.Document, Commits.CommitFailure>> {
  return await Commits.commit(tables, {
    kind: 'quarantine',
    nonce: Crypto.randomUUID(),
    change: body => merge(body as Schemas.Control.Quarantine | undefined, change, Date.now())
  })
}

/**
 * Tells whether a crash no longer counts against a digest.
 *
 * @param quarantine - The document.
 * @param digest - The call's digest.
 * @param crashId - The crash.
 * @returns Whether an operator or a whole answer has cleared the digest of it.
 */
export function isLifted (quarantine: Schemas.Control.Quarantine, digest: string, crashId: string): boolean {
  return quarantine.lifted?.some(evidence => evidence.digest === digest && evidence.crashIds.includes(crashId)) === true
}

/**
 * Applies changes: crashes of one digest add up, expired entries go, and suspects give way first.
 *
 * Crashes of a lifted entry are remembered, so that evidence which arrives late does not undo the lift.
 *
 * @param quarantine - The document in force, if there is one.
 * @param change - What to put and lift.
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
  const lifted = [...(quarantine?.lifted ?? []), ...newlyLifted].slice(-MAX_LIFTED_COUNT)
  for (const entry of change.put) {
    const remaining = withoutLiftedCrashes({ entries: [], lifted }, entry)
    if (remaining !== undefined) entries.set(entry.digest, mergeEntry(entries.get(entry.digest), remaining))
  }
  const ordered = [...entries.values()].sort((a, b) => Number(a.suspect === true) - Number(b.suspect === true) || b.expiresAtMs - a.expiresAtMs)
  return { entries: ordered.slice(0, MAX_ENTRY_COUNT), ...(lifted.length === 0 ? {} : { lifted }) }
}

/** Leaves out crashes that no longer count; an entry that loses some is a suspect again. */
function withoutLiftedCrashes (quarantine: Schemas.Control.Quarantine, entry: Schemas.Control.QuarantineEntry): Schemas.Control.QuarantineEntry | undefined {
  const reportedCrashIds = entry.crashIds ?? []
  const crashIds = reportedCrashIds.filter(crashId => !isLifted(quarantine, entry.digest, crashId))
  if (crashIds.length === reportedCrashIds.length) return entry
  return crashIds.length === 0 ? undefined : { ...entry, crashIds, crashCount: crashIds.length, suspect: true }
}

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
