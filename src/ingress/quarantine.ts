/**
 * Keeps requests that crash endpoints from them: what this gateway sees of them, what it tells and hears, and the rows by which they outlive all gateways.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Edge from '../edge/index.ts'
import * as Follow from '../follow/index.ts'
import * as Routing from '../routing/index.ts'

/** What the quarantine needs. */
export interface QuarantineOptions {
  readonly name: string
  readonly node: Pick<Follow.Node.Node, 'sendNews' | 'members' | 'storeClock' | 'followerOptions' | 'relayTable'>
  readonly store: Pick<Follow.Rows.RowSource, 'write' | 'remove'>
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Edge.Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** The quarantine. */
export interface Quarantine {
  /** Whether no request is kept back, so that no digest needs to be worked out. */
  isEmpty: () => boolean
  verdictOf: (digest: string) => Routing.Suspects.RequestAction
  /** Notes that an endpoint's connection ended under a request. */
  noteCut: (digest: string, start: Routing.Endpoints.EndpointStart) => void
  /** Notes that an attempt of a request was broken off while its endpoint may still have been running it. */
  noteAbandoned: (digest: string, start: Routing.Endpoints.EndpointStart) => void
  /** Notes that a start of an endpoint has ended, and when it was last seen to live, in milliseconds. */
  noteEnded: (start: Routing.Endpoints.EndpointStart, aliveAtMs: number) => void
  /** Notes that a request which is kept back is tried again. */
  noteTry: (digest: string) => void
  /** Notes that a request was answered whole. */
  noteAnswered: (digest: string) => void
  /** Takes what another gateway tells. */
  applyNews: (reports: readonly Follow.News.RequestNews[]) => void
  /** Tells again what others may have missed, and forgets what is too old. */
  tick: () => void
  stop: () => void
}

/** What this gateway saw is told again for so long, in milliseconds, in case a datagram was lost: three messages. */
const RESEND_DURATION_MS = 3_000
/** Requests in one message at the most, so that it fits into a datagram. */
const MESSAGE_LIMIT_COUNT = 64
/** So many gateways tell of each request that is kept back in a beat, so that one that has started or thawed hears of it, and that a request was answered whole where another tells of its cuts: if all did, messages would grow with the square of their number. */
const BROADCASTER_COUNT = 4
/** So many gateways write or remove a row in a beat on the average: one may fail, and the others see it in the next. */
const WRITER_COUNT = 2
/** The table of the store with the requests that are kept back, by digest. */
const TABLE = 'fescue_requests'
/** A read of it is held for so long, in milliseconds: gateways hear of requests from one another, and read rows when they start. */
const ROWS_WAIT_MS = 20_000
const ROWS_COALESCE_MS = 1_000

/**
 * Creates the quarantine of one gateway.
 *
 * @param options - The other gateways, clocks and edges.
 * @returns The quarantine.
 */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { node, store, clock, random, metrics, log } = options
  const suspects = Routing.Suspects.createSuspects()
  const abandoned = Routing.Abandoned.createAbandonedAttempts()
  /** When this gateway last saw something of a request, in milliseconds. */
  const lastEvidenceAtMs = new Map<string, number>()
  const pendingDigests = new Set<string>()

  const gatewayNames = (): string[] => [options.name, ...node.members().filter(member => member.kind === 'gateway').map(member => member.name)]
  const isFirstProber = (digest: string): boolean => Core.Hash.rendezvous(digest, gatewayNames())[0] === options.name
  const isDrawnToBroadcast = (): boolean => random.next() * gatewayNames().length < BROADCASTER_COUNT
  const broadcast = (digests: Iterable<string>): void => {
    const requests = [...digests].flatMap(digest => suspects.get(digest) ?? []).flatMap(evidence => Follow.News.requestNews(evidence, node.storeClock) ?? [])
    requests.sort((a, b) => b.cuts.length - a.cuts.length)
    for (let from = 0; from < requests.length; from += MESSAGE_LIMIT_COUNT) node.sendNews({ revisions: {}, requests: requests.slice(from, from + MESSAGE_LIMIT_COUNT) }, 'gateway')
  }
  /** Calls that were cut together are told of together. */
  const scheduleBroadcast = (digest: string): void => {
    if (pendingDigests.size === 0) {
      setImmediate(() => {
        broadcast(pendingDigests)
        pendingDigests.clear()
      })
    }
    pendingDigests.add(digest)
  }
  const logChanges = (): void => {
    for (const { evidence: { digest, cuts }, isQuarantined: isKeptBack } of suspects.takeChanges()) {
      if (isKeptBack) log('quarantine', 'Request kept from endpoints.', { digest, endpointIds: cuts.map(({ endpointId }) => endpointId) })
      else log('quarantine', 'Request let through again.', { digest })
    }
    metrics.gauge('requests_quarantined', suspects.quarantinedCount())
  }
  const recordEvidence = (evidence: Routing.Suspects.Evidence): void => {
    if (!suspects.addEvidence(evidence)) return
    lastEvidenceAtMs.set(evidence.digest, clock())
    scheduleBroadcast(evidence.digest)
    logChanges()
  }
  const noteCut: Quarantine['noteCut'] = (digest, { endpointId, bornAtMs }) => { recordEvidence(Routing.Suspects.evidenceOfCut(digest, { endpointId, bornAtMs, atMs: clock() })) }
  const noteEnded: Quarantine['noteEnded'] = (start, aliveAtMs) => { for (const digest of abandoned.takeAffectedDigests(start, aliveAtMs, clock())) noteCut(digest, start) }
  const applyNews = (reports: readonly Follow.News.RequestNews[]): void => {
    for (const news of reports) {
      const evidence = Follow.News.toEvidence(news, node.storeClock)
      if (evidence === undefined || !suspects.addEvidence(evidence)) continue
      // Another gateway's calls were cut there: what this gateway gave up at the same endpoint may have ended it.
      for (const end of evidence.cuts) noteEnded(end, end.atMs)
      const isAnsweredLater = (suspects.get(news.digest)?.answeredAtMs ?? -Infinity) > evidence.answeredAtMs
      if (isAnsweredLater && isDrawnToBroadcast()) scheduleBroadcast(news.digest)
    }
    logChanges()
  }
  const applyRows = (rows: readonly Follow.Rows.Row[]): void => { applyNews(rows.filter(row => !row.deleted).flatMap(row => Follow.News.decodeRequest(row.value).match(news => [news], () => []))) }
  const rowFollower = Follow.Follower.createFollower({ ...node.followerOptions, table: TABLE, waitMs: () => ROWS_WAIT_MS, batchDelayMs: ROWS_COALESCE_MS, onRows: applyRows })
  node.relayTable(TABLE, rowFollower)
  const pendingChanges = new Set<string>()
  /** Runs one change of a row at a time; one that failed is made in a later beat. */
  const changeRow = async (digest: string, run: () => ReturnType<typeof store.write>): Promise<void> => {
    if (pendingChanges.has(digest)) return
    pendingChanges.add(digest)
    const changed = await run()
    pendingChanges.delete(digest)
    if (changed.isErr() && changed.error.kind !== 'changed') log('quarantine', 'Row of a request not changed.', { digest, reason: 'reason' in changed.error ? changed.error.reason : changed.error.kind })
  }
  /** Has a row for each request that is kept back, with its latest try, and none for others. */
  const reconcileRows = (): void => {
    if (!rowFollower.isKnown() || random.next() * gatewayNames().length >= WRITER_COUNT) return
    const liveRows = new Map(rowFollower.mirror.live().map(row => [row.key, row]))
    for (const evidence of suspects.quarantined()) {
      const { digest, triedAtMs } = evidence
      const row = liveRows.get(digest)
      liveRows.delete(digest)
      const triedCount = Follow.News.decodeRequest(row?.value).match(news => news.triedAtMs?.length ?? 0, () => -1)
      const news = Follow.News.requestNews(evidence, node.storeClock)
      if (news !== undefined && triedCount < triedAtMs.length) void changeRow(digest, async () => await store.write(TABLE, digest, news, row?.revision ?? 0))
    }
    for (const [digest, { revision }] of liveRows) void changeRow(digest, async () => await store.remove(TABLE, digest, revision))
  }
  return {
    isEmpty: () => suspects.quarantinedCount() === 0,
    verdictOf: digest => suspects.actionOf(digest, clock(), () => isFirstProber(digest)),
    noteCut,
    noteAbandoned: (digest, start) => { abandoned.record({ digest, start, atMs: clock() }) },
    noteEnded,
    noteTry: digest => {
      log('quarantine', 'Request tried again.', { digest })
      recordEvidence({ digest, cuts: [], triedAtMs: [clock()], answeredAtMs: -Infinity })
    },
    noteAnswered: digest => {
      const nowMs = clock()
      suspects.recordAnswer(digest, nowMs)
      if ((suspects.get(digest)?.cuts.length ?? 0) > 0) recordEvidence({ digest, cuts: [], triedAtMs: [], answeredAtMs: nowMs })
    },
    applyNews,
    tick: () => {
      const nowMs = clock()
      applyRows(rowFollower.mirror.live())
      suspects.removeExpired(nowMs)
      logChanges()
      for (const [digest, atMs] of lastEvidenceAtMs) if (nowMs - atMs > RESEND_DURATION_MS) lastEvidenceAtMs.delete(digest)
      const drawnDigests = suspects.quarantined().filter(isDrawnToBroadcast).map(({ digest }) => digest)
      broadcast(new Set([...lastEvidenceAtMs.keys(), ...drawnDigests]))
      reconcileRows()
    },
    stop: rowFollower.stop
  }
}
