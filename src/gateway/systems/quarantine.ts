/**
 * Gathers evidence against calls that crash endpoints and spreads it through the quarantine document.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../../schema/index.ts'
import * as Suspicion from '../suspicion.ts'
import type * as Tables from '../tables.ts'

/** Time between commits of a gateway, in milliseconds. */
const COMMIT_INTERVAL_MS = 1_000

/** Takes agents' crash evidence and documents, and commits what is new. */
export const quarantineSystem: Tables.System = {
  name: 'quarantine',
  run: (tables, tick) => {
    for (const input of tick.inputs) {
      if (input.kind === 'report') for (const crash of input.report?.crashes ?? []) Suspicion.addCrash(tables, tick, input.report?.service ?? '', crash)
      if (input.kind === 'document' && input.document.kind === 'quarantine') follow(tables, tick, input.document.body)
      if (input.kind === 'quarantineFailed') {
        for (const entry of input.change.put) if (!tables.quarantine.put.has(entry.digest)) tables.quarantine.put.set(entry.digest, entry)
        input.change.clear?.forEach(({ digest, crashIds }) => { Suspicion.noteCleared(tables, digest, crashIds) })
      }
    }
    Suspicion.forget(tables, tick.nowMs)
    commit(tables, tick)
  }
}

/** Adopts what other gateways found, and drops what an operator lifted or another gateway cleared. */
function follow (tables: Tables.Tables, tick: Tables.Tick, quarantine: Schemas.Control.Quarantine): void {
  const documented = new Set(quarantine.entries.map(entry => entry.digest))
  for (const digest of tables.quarantine.documented) {
    if (documented.has(digest)) continue
    Suspicion.drop(tables, digest)
  }
  tables.quarantine.documented = documented
  for (const evidence of quarantine.lifted ?? []) Suspicion.withdraw(tables, evidence)
  for (const entry of quarantine.entries) {
    const row = tables.suspects.get(entry.digest)
    if (row === undefined) continue
    const known = row.crashIds.size
    entry.crashIds?.forEach(crashId => row.crashIds.add(crashId))
    if (row.crashIds.size > known) Suspicion.judge(tables, tick, [entry.digest])
  }
}

function commit (tables: Tables.Tables, tick: Tables.Tick): void {
  const { quarantine } = tables
  if (tick.nowMs < quarantine.notBeforeMs || quarantine.put.size + quarantine.clear.size === 0) return
  quarantine.notBeforeMs = tick.nowMs + COMMIT_INTERVAL_MS
  const clear = [...quarantine.clear].map(([digest, crashIds]) => ({ digest, crashIds: [...crashIds] }))
  tick.emit({ kind: 'commitQuarantine', change: { put: [...quarantine.put.values()], lift: [], clear } })
  quarantine.put.clear()
  quarantine.clear.clear()
}
