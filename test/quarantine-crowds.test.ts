import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Follow from '../src/follow/index.ts'
import * as Quarantine from '../src/ingress/quarantine.ts'
import * as Routing from '../src/routing/index.ts'

const { CrashingParts, Evidence, Suspects } = Routing
const ENDPOINT_COUNT = 4
const SESSION_COUNT = 64
const PART_COUNT = 31
const CRASH_COUNT = 3

/** Keys of the parts of a session's prompt, none shared with another session. */
const partKeysOf = (session: number): string[] => Array.from({ length: PART_COUNT }, (_, at) => Evidence.partKeyOf(`${session}-${at}`))

/** Evidence that counts how often it is compared with that on other parts. */
function countComparisons (evidence: Routing.Evidence.Evidence, onCompared: () => void): Routing.Evidence.Evidence {
  return { ...evidence, get sharedWith () { onCompared(); return evidence.sharedWith } }
}

describe('the evidence of a crowd of long prompts that crashes cut', () => {
  // Guards against a gateway that stands still: rivals were compared with each of their companions.
  it('is evaluated with a few comparisons for each part', () => {
    let comparisonCount = 0
    const sessions = Array.from({ length: SESSION_COUNT / ENDPOINT_COUNT }, (_, at) => at)
    const cuts = Array.from({ length: CRASH_COUNT }, (_, at) => ({ endpointId: 'e', bornAtMs: at, atMs: at * 4_000 }))
    const parts = sessions.flatMap(partKeysOf).map(digest => countComparisons({ digest, cuts, triedAtMs: [], answeredAtMs: -Infinity, sharedWith: [] }, () => { comparisonCount++ }))
    const groups = CrashingParts.findCrashingParts(parts, [])
    expect([groups.length, comparisonCount <= 10 * parts.length]).toEqual([parts.length, true])
  })

  // Guards against a gateway that stands still: the quarantine was computed anew for each part of each request.
  it('is evaluated once for all parts of a request', () => {
    let evaluationCount = 0
    const suspects = Suspects.createSuspects(() => { evaluationCount++ })
    for (let crash = 0; crash < CRASH_COUNT; crash++) {
      for (let session = 0; session < SESSION_COUNT; session++) {
        const cut = { endpointId: `e${session % ENDPOINT_COUNT}`, bornAtMs: crash, atMs: crash * 4_000 + session }
        const keys = partKeysOf(session)
        for (const key of keys) suspects.addEvidence(Evidence.evidenceOfCut(key, cut, keys.filter(other => other !== key)))
        suspects.actionOf([`request-${session}`, ...keys], cut.atMs, () => true)
      }
    }
    expect([suspects.quarantinedCount() > 0, evaluationCount > 0, evaluationCount <= SESSION_COUNT + 1]).toEqual([true, true, true])
  })

  it('is evaluated once when another gateway sends it, and changes few rows of the store at a time', async () => {
    const counts: string[] = []
    let writeCount = 0
    const page = Neverthrow.ok({ rows: [], revision: 1, madeAtMs: 0 })
    const storeClock = Follow.StoreClock.createStoreClock(() => 10_000)
    storeClock.observeAnswer(10_000)
    const store = {
      readAll: async () => page,
      readSince: async (): Promise<typeof page> => await new Promise(() => {}),
      write: async () => { writeCount++; return Neverthrow.ok(1) },
      remove: async () => Neverthrow.ok(1)
    }
    const metrics = Metrics.createMetrics()
    const quarantine = Quarantine.createQuarantine({
      name: 'g',
      node: {
        sendNews: () => {},
        members: () => [],
        storeClock,
        relayTable: () => {},
        followerOptions: { store, askPeer: async () => undefined, clock: () => 10_000, storeClock, readings: Follow.Readings.createReadings(), random: Core.Random.createRandom(1), metrics, log: () => {} }
      },
      store,
      clock: () => 10_000,
      random: Core.Random.createRandom(1),
      metrics: { ...metrics, count: name => { counts.push(name) } },
      log: () => {}
    })
    const cuts = Array.from({ length: CRASH_COUNT }, (_, at) => ({ endpointId: 'e', bornAtMs: at, atMs: 1_000 + at * 3_000 }))
    await new Promise(resolve => { setTimeout(resolve, 20) })
    quarantine.applyNews(partKeysOf(0).concat(partKeysOf(1), partKeysOf(2)).map(digest => ({ digest, cuts, sharedWith: [] })))
    expect([quarantine.isEmpty(), counts.filter(name => name === 'quarantine_evaluations_total').length]).toEqual([false, 1])
    quarantine.tick()
    expect(writeCount > 0 && writeCount <= 32).toEqual(true)
    quarantine.stop()
  })
})
