/**
 * World of control: operators and placement holders race over a fake table service.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Control from '../../../src/control/index.ts'
import * as Schemas from '../../../src/schema/index.ts'
import * as Deployment from '../deployment.ts'
import type * as Harness from '../harness.ts'
import * as Store from '../store.ts'

const HOLDERS = ['gateway-1', 'gateway-2'] as const
const READERS = ['agent-1', 'agent-2', 'agent-3'] as const
const LEASE_MS = 1_000
const POLL_MS = 300
/** A reader takes what it read so late at most, so that reads overtake one another. */
const MAX_READ_DELAY_MS = 1_000
const HOLDER_POLL_MS = 200
const INSTANCE_COUNT = 4

interface Accepted {
  readonly version: number
  readonly name: string
}

/**
 * Creates the world.
 *
 * @param harness - The run's harness.
 * @returns The world.
 */
export const createControlWorld: Harness.WorldFactory = harness => {
  const { time } = harness
  const store = Store.createFakeStore(harness)
  const accepted: Accepted[] = []
  const refused = new Set<string>()
  let instanceState: Schemas.Platform.Instance['state'] = 'live'
  const toggleInstance = (): void => { instanceState = instanceState === 'live' ? 'leaving' : 'live' }
  const instances = (): Schemas.Platform.Instance[] => Array.from({ length: INSTANCE_COUNT }, (_, index) => ({
    instanceId: `runner-${index}`,
    kind: 'agent',
    zone: 'kartli',
    region: 'kartli',
    host: '127.0.0.1',
    port: 1,
    service: 'fescue-llm',
    state: index === 0 ? instanceState : 'live'
  }))
  const commitManifest = async (operator: string, name: string, expectedVersion?: number): Promise<void> => {
    const client = store.clientOf(operator)
    const manifest = { ...Deployment.manifestOf('v1'), name }
    const result = await Control.Commits.commit(client, { kind: 'manifest', expectedVersion, change: () => manifest, nonce: Crypto.randomUUID() })
    const onTop = expectedVersion === undefined || result.isErr() || result.value.version === expectedVersion + 1
    harness.expect('manifestRises', onTop, () => ({ reason: 'accepted on top of another version than expected', expectedVersion, version: result.isOk() ? result.value.version : 0 }))
    if (result.isOk()) accepted.push({ version: result.value.version, name })
    else if (result.error.code !== 'acceptedUnknown') refused.add(name)
  }

  const readers = READERS.map(name => startReader(harness, store, name))
  const leases = HOLDERS.map(name => startHolder(harness, store, name, instances))
  watchLeases(harness, leases)
  watchPlans(harness, store)

  return {
    actions: {
      commit: amount => { void commitManifest(`operator-${amount % 3}`, harness.makeId()) },
      commitStale: amount => { void commitManifest(`operator-${amount % 3}`, harness.makeId(), Math.max(0, (accepted.at(-1)?.version ?? 0) - 1)) },
      operatorRace: amount => {
        harness.met('operatorRace')
        const expected = amount % 2 === 0 ? undefined : accepted.at(-1)?.version ?? 0
        for (const operator of ['operator-0', 'operator-1', 'operator-2']) void commitManifest(operator, harness.makeId(), expected)
      },
      storeDown: amount => { store.goDown(amount * 30) },
      storeSlow: amount => { store.goSlow(amount * 40) },
      lostAnswer: amount => { store.loseAnswers(amount * 10) },
      pausedHolder: amount => {
        const holder = leases.findIndex(lease => lease.current() !== undefined)
        if (holder < 0) return
        harness.met('pausedHolder')
        store.pause(HOLDERS[holder] ?? '', LEASE_MS + amount * 20)
      },
      pausedPlan: amount => {
        for (const holder of HOLDERS) store.pauseAtRead(holder, 'placement', LEASE_MS * 2 + amount * 20)
        toggleInstance()
        time.after(LEASE_MS * 2, toggleInstance)
      },
      instanceDeath: amount => {
        harness.met('instanceDeath')
        readers[amount % readers.length]?.restart()
      },
      instancesChange: toggleInstance
    },
    finish: () => {
      checkHistory(harness, store, accepted, refused)
      const newest = store.rowsOf(Control.Commits.CONTROL_TABLE).find(row => row.key === 'manifest')
      const version = (newest?.value as { version: number } | undefined)?.version ?? 0
      for (const reader of readers) {
        harness.expect('manifestRises', reader.version() === version, () => ({ reader: reader.name, version: reader.version(), newest: version }))
      }
    }
  }
}

interface Reader {
  readonly name: string
  version: () => number
  restart: () => void
}

function startReader (harness: Harness.Harness, store: Store.FakeStore, name: string): Reader {
  let held = Control.Documents.createHeldDocuments()
  let seen = held.versions()
  const client = store.clientOf(name)
  const adoptAll = (documents: readonly Schemas.Control.Document[]): void => {
    documents.forEach(document => held.adopt(document))
    const next = held.versions()
    for (const kind of Schemas.Control.DOCUMENT_KINDS) {
      harness.expect('manifestRises', next[kind] >= seen[kind], () => ({ name, kind, before: seen[kind], after: next[kind] }))
    }
    seen = next
  }
  const poll = async (): Promise<void> => {
    for (;;) {
      harness.countStep()
      const documents = await Control.Commits.readDocuments(client)
      const delayMs = harness.random.below(MAX_READ_DELAY_MS)
      if (documents.isOk()) harness.time.after(delayMs, () => { adoptAll(documents.value) })
      await harness.time.sleep(POLL_MS)
    }
  }
  void poll()
  return {
    name,
    version: () => held.versions().manifest,
    restart: () => {
      held = Control.Documents.createHeldDocuments()
      seen = held.versions()
    }
  }
}

interface Holder {
  current: () => Control.Lease.Grant | undefined
}

function startHolder (harness: Harness.Harness, store: Store.FakeStore, name: string, instances: () => readonly Schemas.Platform.Instance[]): Holder {
  const clock = harness.time.nowMs
  const held = Control.Documents.createHeldDocuments()
  const client = store.clientOf(name)
  const holder = Control.PlacementHolder.createHolder({ tables: client, instanceId: name, leaseDurationMs: LEASE_MS, clock, held, instances, onDocument: document => { held.adopt(document) }, log: () => {} })
  const contender = Control.Lease.createLease({ tables: client, name: 'watched', holder: name, durationMs: LEASE_MS, clock, makeNonce: harness.makeId })
  const repeat = async (work: () => Promise<void>): Promise<void> => {
    for (;;) {
      harness.countStep()
      await work()
      await harness.time.sleep(HOLDER_POLL_MS)
    }
  }
  void repeat(holder.poll)
  void repeat(contender.poll)
  void repeat(async () => {
    const documents = await Control.Commits.readDocuments(client)
    if (documents.isOk()) documents.value.forEach(document => held.adopt(document))
  })
  return { current: contender.current }
}

function watchLeases (harness: Harness.Harness, leases: readonly Holder[]): void {
  let highest = 0
  const watch = (): void => {
    const grants = leases.flatMap(lease => lease.current() ?? [])
    harness.expect('manifestRises', grants.length <= 1, () => ({ reason: 'two holders of one lease', grants }))
    for (const grant of grants) {
      harness.expect('manifestRises', grant.fencingNumber >= highest, () => ({ reason: 'a fencing number went down', grant, highest }))
      highest = Math.max(highest, grant.fencingNumber)
    }
    harness.time.after(10, watch)
  }
  watch()
}

function watchPlans (harness: Harness.Harness, store: Store.FakeStore): void {
  let highest = 0
  const watch = (): void => {
    const plan = store.rowsOf(Control.Commits.CONTROL_TABLE).find(row => row.key === 'placement')?.value as { body: Schemas.Control.PlacementPlan } | undefined
    const fencingNumber = plan?.body.fencingNumber ?? 0
    harness.expect('manifestRises', fencingNumber >= highest, () => ({ reason: 'a plan was replaced by one of an earlier holder', fencingNumber, highest }))
    highest = Math.max(highest, fencingNumber)
    harness.time.after(10, watch)
  }
  watch()
}

function checkHistory (harness: Harness.Harness, store: Store.FakeStore, accepted: readonly Accepted[], refused: ReadonlySet<string>): void {
  const history = store.rowsOf(Control.Commits.HISTORY_TABLE).map(row => row.value as { version: number, body: { name: string } })
  for (const entry of accepted) {
    const found = history.find(row => row.version === entry.version)
    harness.expect('manifestRises', found?.body.name === entry.name, () => ({ reason: 'an accepted manifest is not in the history', entry, found: found?.body.name }))
  }
  for (const row of history) harness.expect('manifestRises', !refused.has(row.body.name), () => ({ reason: 'a refused manifest took effect', version: row.version }))
  const plan = store.rowsOf(Control.Commits.CONTROL_TABLE).find(row => row.key === 'placement')?.value as { body: Schemas.Control.PlacementPlan } | undefined
  const lease = store.rowsOf(Control.Lease.LEASE_TABLE).find(row => row.key === Control.PlacementHolder.PLACEMENT_LEASE)?.value as Schemas.Control.LeaseRecord | undefined
  harness.expect('manifestRises', (plan?.body.fencingNumber ?? 0) <= (lease?.fencingNumber ?? 0), () => ({ reason: 'a plan carries a fencing number that was never granted' }))
}
