/**
 * Fake of the table service over virtual time: down, slow, and losing answers after taking effect.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import type * as Platform from '../../src/platform/index.ts'
import type * as Schemas from '../../src/schema/index.ts'
import type * as Harness from './harness.ts'

type StoreFailure = Platform.TableClient.StoreFailure

/** A fake table service. */
export interface FakeStore {
  /** Makes the client of one process. */
  clientOf: (owner: string) => Platform.TableClient.TableClient
  /** Refuses every request for a time. */
  goDown: (durationMs: number) => void
  /** Delays every effect and answer for a time. */
  goSlow: (durationMs: number) => void
  /** Loses every answer for a time; requests take effect. */
  loseAnswers: (durationMs: number) => void
  /** Holds back everything that an owner is told for a time, as if the owner were paused. */
  pause: (owner: string, durationMs: number) => void
  /** Pauses an owner as soon as it has read one row and waits for the answer. */
  pauseAtRead: (owner: string, key: string, durationMs: number) => void
  rowsOf: (table: string) => Schemas.Platform.Row[]
}

const LATENCY_MS = 2
const SLOW_MS = 1_500
const TIMEOUT_MS = 2_000

/**
 * Creates an empty table service.
 *
 * @param harness - Virtual time and randomness.
 * @returns The service.
 */
export function createFakeStore (harness: Harness.Harness): FakeStore {
  const { time, random } = harness
  const tables = new Map<string, Map<string, Schemas.Platform.Row>>()
  const pausedUntil = new Map<string, number>()
  const armed = new Map<string, { readonly key: string, readonly durationMs: number }>()
  let downUntilMs = 0
  let slowUntilMs = 0
  let loseUntilMs = 0
  let revision = 0
  const find = (table: string, key: string): Schemas.Platform.Row | undefined => tables.get(table)?.get(key)
  const rowsOf = (table: string): Schemas.Platform.Row[] => [...(tables.get(table)?.values() ?? [])].sort((a, b) => a.key < b.key ? -1 : 1)

  const apply = ({ conditions, writes }: Schemas.Platform.Transaction): Schemas.Platform.TransactionAnswer => {
    const conflicts = conditions
      .filter(condition => (find(condition.table, condition.key)?.revision ?? 0) !== condition.revision)
      .map(condition => find(condition.table, condition.key) ?? { table: condition.table, key: condition.key, revision: 0, value: null })
    if (conflicts.length > 0) return { committed: false, revision, conflicts }
    revision++
    for (const write of writes) {
      const rows = tables.get(write.table) ?? new Map<string, Schemas.Platform.Row>()
      tables.set(write.table, rows)
      if (write.value === null) rows.delete(write.key)
      else rows.set(write.key, { ...structuredClone(write), revision })
    }
    return { committed: true, revision, conflicts: [] }
  }
  const read = (owner: string, rows: ReadonlyArray<{ table: string, key: string }>): Schemas.Platform.Row[] => {
    const pause = armed.get(owner)
    if (pause !== undefined && rows.length === 1 && rows[0]?.key === pause.key) {
      armed.delete(owner)
      pausedUntil.set(owner, time.nowMs() + pause.durationMs)
      harness.met('pausedHolder')
    }
    return rows.flatMap(row => structuredClone(find(row.table, row.key)) ?? [])
  }
  const latencyMs = (): number => {
    if (time.nowMs() >= slowUntilMs) return LATENCY_MS
    harness.met('storeSlow')
    return random.below(SLOW_MS)
  }
  const exchange = async <T>(owner: string, work: () => T): Promise<Neverthrow.Result<T, StoreFailure>> => {
    const answer = await Promise.race([serve(work), timeout()])
    while (time.nowMs() < (pausedUntil.get(owner) ?? 0)) await time.sleep((pausedUntil.get(owner) ?? 0) - time.nowMs())
    return answer
  }
  const timeout = async (): Promise<Neverthrow.Result<never, StoreFailure>> => {
    await time.sleep(TIMEOUT_MS)
    return Neverthrow.err({ message: 'timeout', maybeApplied: true })
  }
  const serve = async <T>(work: () => T): Promise<Neverthrow.Result<T, StoreFailure>> => {
    await time.sleep(latencyMs())
    if (time.nowMs() < downUntilMs) {
      harness.met('storeDown')
      return Neverthrow.err({ message: 'down', maybeApplied: false })
    }
    const value = work()
    await time.sleep(latencyMs())
    if (time.nowMs() < loseUntilMs) {
      harness.met('lostAnswer')
      return Neverthrow.err({ message: 'connection reset', maybeApplied: true })
    }
    return Neverthrow.ok(value)
  }
  return {
    clientOf: owner => ({
      transact: async transaction => await exchange(owner, () => apply(transaction)),
      read: async rows => await exchange(owner, () => read(owner, rows)),
      scan: async (table, prefix, limitCount) => await exchange(owner, () => structuredClone(rowsOf(table).filter(row => row.key.startsWith(prefix)).slice(0, limitCount)))
    }),
    goDown: durationMs => { downUntilMs = time.nowMs() + durationMs },
    goSlow: durationMs => { slowUntilMs = time.nowMs() + durationMs },
    loseAnswers: durationMs => { loseUntilMs = time.nowMs() + durationMs },
    pause: (owner, durationMs) => { pausedUntil.set(owner, time.nowMs() + durationMs) },
    pauseAtRead: (owner, key, durationMs) => { armed.set(owner, { key, durationMs }) },
    rowsOf
  }
}
