/**
 * Keeps requests that crash endpoints from them: what this gateway sees of them, and what it tells and hears.
 *
 * @packageDocumentation
 */
import type * as Core from '../core/index.ts'
import type * as Edge from '../edge/index.ts'
import * as Follow from '../follow/index.ts'
import * as Routing from '../routing/index.ts'

/** What the quarantine needs. */
export interface QuarantineOptions {
  readonly node: Pick<Follow.Node.Node, 'tell' | 'members' | 'storeClock'>
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Edge.Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** The quarantine. */
export interface Quarantine {
  /** Whether nothing is known against any request, so that no digest needs to be worked out. */
  isEmpty: () => boolean
  verdictOf: (digest: string) => Routing.Suspects.Verdict
  /** Notes that an endpoint's connection ended under a request. */
  noteCut: (digest: string, endpointId: string) => void
  /** Notes that a request which is kept back is tried again. */
  noteTry: (digest: string) => void
  /** Notes that a request was answered whole. */
  noteAnswered: (digest: string) => void
  /** Takes what another gateway tells. */
  learn: (told: readonly Follow.News.RequestNews[]) => void
  /** Tells again what others may have missed, and forgets what is too old. */
  beat: () => void
}

/** What this gateway saw is told again for so long, in milliseconds, in case a datagram was lost: three messages. */
const TOLD_MS = 3_000
/** Requests in one message at the most, so that it fits into a datagram. */
const TOLD_COUNT = 64
/** So many gateways tell of each request that is kept back in a beat, so that one that has started or thawed hears of it: if all did, messages would grow with the square of their number. */
const TELLER_COUNT = 4

/**
 * Creates the quarantine of one gateway.
 *
 * @param options - The other gateways, clocks and edges.
 * @returns The quarantine.
 */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { node, clock, random, metrics, log } = options
  const suspects = Routing.Suspects.createSuspects()
  /** When this gateway last saw something of a request, in milliseconds. */
  const seenAtMs = new Map<string, number>()
  const untold = new Set<string>()

  const tell = (digests: Iterable<string>): void => {
    const told = [...digests].flatMap(digest => suspects.get(digest) ?? []).flatMap(evidence => Follow.News.requestNews(evidence, node.storeClock) ?? [])
    told.sort((a, b) => b.cuts.length - a.cuts.length)
    for (let from = 0; from < told.length; from += TOLD_COUNT) node.tell({ revisions: {}, requests: told.slice(from, from + TOLD_COUNT) }, 'gateway')
  }
  /** Calls that were cut together are told of together. */
  const tellSoon = (digest: string): void => {
    if (untold.size === 0) {
      setImmediate(() => {
        tell(untold)
        untold.clear()
      })
    }
    untold.add(digest)
  }
  const logChanges = (): void => {
    for (const { evidence: { digest, cuts }, isKeptBack } of suspects.takeChanges()) {
      if (isKeptBack) log('quarantine', 'Request kept from endpoints.', { digest, endpointIds: cuts.map(({ endpointId }) => endpointId) })
      else log('quarantine', 'Request let through again.', { digest })
    }
    metrics.gauge('requests_quarantined', suspects.keptBack().length)
  }
  const see = (evidence: Routing.Suspects.Evidence): void => {
    if (!suspects.learn(evidence)) return
    seenAtMs.set(evidence.digest, clock())
    tellSoon(evidence.digest)
    logChanges()
  }
  return {
    isEmpty: () => suspects.count() === 0,
    verdictOf: digest => suspects.verdictOf(digest, clock()),
    noteCut: (digest, endpointId) => { see(Routing.Suspects.cut(digest, endpointId, clock())) },
    noteTry: digest => {
      log('quarantine', 'Request tried again.', { digest })
      see({ digest, cuts: [], triedAtMs: [clock()], answeredAtMs: -Infinity })
    },
    noteAnswered: digest => {
      if ((suspects.get(digest)?.cuts.length ?? 0) > 0) see({ digest, cuts: [], triedAtMs: [], answeredAtMs: clock() })
    },
    learn: told => {
      for (const news of told) {
        const evidence = Follow.News.evidenceOf(news, node.storeClock)
        if (evidence !== undefined) suspects.learn(evidence)
      }
      logChanges()
    },
    beat: () => {
      const nowMs = clock()
      suspects.forget(nowMs)
      logChanges()
      for (const [digest, atMs] of seenAtMs) if (nowMs - atMs > TOLD_MS) seenAtMs.delete(digest)
      const gatewayCount = 1 + node.members().filter(member => member.kind === 'gateway').length
      const drawn = suspects.keptBack().filter(() => random.next() * gatewayCount < TELLER_COUNT).map(({ digest }) => digest)
      tell(new Set([...seenAtMs.keys(), ...drawn]))
    }
  }
}
