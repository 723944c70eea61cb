/**
 * Quarantine of requests that crash endpoints: collects evidence at this gateway, exchanges it with other gateways, and stores quarantined requests so that they outlive all gateways.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Edge from '../edge/index.ts'
import * as Follow from '../follow/index.ts'
import * as Routing from '../routing/index.ts'

/** The digest of a request and the keys of the parts that its prompt shares with others (`Routing.Evidence`). */
export type RequestKeys = readonly [digest: string, ...partKeys: string[]]

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
  readonly name: string
  readonly node: Pick<Follow.Node.Node, 'sendNews' | 'members' | 'storeClock' | 'followerOptions' | 'relayTable'>
  readonly store: Pick<Follow.Rows.RowSource, 'write' | 'remove'>
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Edge.Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** The quarantine of one gateway. */
export interface Quarantine {
  /** Whether nothing is quarantined, so that no digest needs to be computed. */
  isEmpty: () => boolean
  /** Decides whether a request is sent, sent as a probe, or refused. */
  actionOf: (keys: RequestKeys) => Routing.Suspects.RequestAction
  /** Returns whether a request may crash another endpoint because of a part of its prompt, so that it is not repeated. */
  isSuspected: (keys: RequestKeys) => boolean
  /** Returns the ids of the parts because of which a request is quarantined. */
  quarantinedPartsOf: (keys: RequestKeys) => readonly string[]
  /** Records that the connection to an endpoint ended, or that the endpoint fell silent, while it had a request. */
  recordInterruption: (keys: RequestKeys, start: Routing.Endpoints.EndpointStart) => void
  /** Records that an attempt was aborted, or ended in a way that a crash may also cause, while its endpoint may still have been running the request. */
  recordAbandoned: (keys: RequestKeys, start: Routing.Endpoints.EndpointStart) => void
  /** Records that a start of an endpoint has ended, and when it was last known to be alive, in milliseconds. */
  recordEndpointEnd: (start: Routing.Endpoints.EndpointStart, aliveAtMs: number) => void
  /** Returns whether a quarantined request was cut at a start of an endpoint, which may be listed although it has ended. */
  wasCutAt: (keys: RequestKeys, start: Routing.Endpoints.EndpointStart) => boolean
  /** Records that a quarantined request is sent as a probe. */
  recordProbe: (keys: RequestKeys, probe: Routing.Evidence.Trial) => void
  /** Returns whether a probe that provably did not run is repeated. */
  mayRepeatProbe: (keys: RequestKeys, probe: Routing.Evidence.Trial) => boolean
  /** Records that a request got a complete answer, which its endpoint began at the given time or later, in milliseconds. */
  recordAnswered: (keys: RequestKeys, begunAtMs: number) => void
  /** Merges evidence received from another gateway. */
  applyNews: (reports: readonly Follow.News.RequestNews[]) => void
  /** Rebroadcasts evidence that others may have missed, drops expired evidence, and updates the rows in the store. */
  tick: () => void
  stop: () => void
}

/** Time for which new evidence is rebroadcast, in milliseconds, in case a datagram was lost: three messages. */
const RESEND_DURATION_MS = 3_000
/** Maximum number of requests in one message, so that it fits into a datagram. */
const MESSAGE_LIMIT_COUNT = 64
/** Mean number of gateways that rebroadcast a quarantined request in a tick, for gateways that have just started or were suspended. The same number answers evidence against a request that was answered since. If all gateways did, messages would grow with the square of their number. */
const BROADCASTER_COUNT = 4
/** Mean number of gateways that update the rows in a tick: one may fail, and the others see that in the next tick. */
const WRITER_COUNT = 2
/** Maximum number of rows that a gateway changes in a tick: a crash may cut the requests of many parts, and the store takes a few hundred writes a second from all processes. */
const ROW_CHANGES_PER_TICK_COUNT = 32
/** Joins the keys of an abandoned request. */
const KEY_SEPARATOR = ' '
/** Table of the store with the quarantined requests and parts, by digest or key. */
const TABLE = 'fescue_requests'
/** Time that the store may hold a read of the table open, in milliseconds. It may be long: gateways learn of requests from one another, and need the rows only when they start. */
const ROWS_WAIT_MS = 20_000
/** Time during which changes of the table are collected before the next read, in milliseconds. */
const ROWS_BATCH_DELAY_MS = 1_000

/**
 * Creates the quarantine of one gateway.
 *
 * @param options - Connections to the other gateways and the store, clocks, metrics and log.
 * @returns The quarantine.
 */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { node, store, clock, random, metrics, log } = options
  const suspects = Routing.Suspects.createSuspects(() => { metrics.count('quarantine_evaluations_total') })
  const abandoned = Routing.Abandoned.createAbandonedAttempts()
  /** When this gateway last had new evidence of its own, by digest, in milliseconds. */
  const lastEvidenceAtMs = new Map<string, number>()
  /** Digests of the next broadcast. */
  const pendingDigests = new Set<string>()

  const gatewayNames = (): string[] => [options.name, ...node.members().filter(member => member.kind === 'gateway').map(member => member.name)]
  const isFirstProber = (key: string): boolean => Core.Hash.rendezvous(key, gatewayNames())[0] === options.name
  const isDrawnToBroadcast = (): boolean => random.next() * gatewayNames().length < BROADCASTER_COUNT
  const broadcast = (digests: Iterable<string>): void => {
    const requests = [...digests].flatMap(digest => suspects.get(digest) ?? []).flatMap(evidence => Follow.News.requestNews(evidence, node.storeClock) ?? [])
    requests.sort((a, b) => b.cuts.length - a.cuts.length)
    for (let from = 0; from < requests.length; from += MESSAGE_LIMIT_COUNT) node.sendNews({ revisions: {}, requests: requests.slice(from, from + MESSAGE_LIMIT_COUNT) }, 'gateway')
  }
  const logChanges = (): void => {
    for (const { evidence: { digest, cuts }, isQuarantined, group } of suspects.takeChanges()) {
      const part = Routing.Evidence.partIdOf(digest)
      const endpointIds = cuts.map(({ endpointId }) => endpointId)
      if (part === undefined && isQuarantined) log('quarantine', 'Request kept from endpoints.', { digest, endpointIds })
      else if (part === undefined) log('quarantine', 'Request let through again.', { digest })
      else if (isQuarantined) log('quarantine', 'Part of prompts kept from endpoints.', { part, parts: partIdsOf(group), endpointIds })
      else log('quarantine', 'Part of prompts let through again.', { part })
    }
    metrics.gauge('requests_quarantined', suspects.quarantinedCount())
  }
  /** Broadcasts and logs in the next turn of the event loop, so that calls interrupted together share a message and an evaluation. */
  const scheduleBroadcast = (digest: string): void => {
    if (pendingDigests.size === 0) {
      setImmediate(() => {
        broadcast(pendingDigests)
        pendingDigests.clear()
        logChanges()
      })
    }
    pendingDigests.add(digest)
  }
  const recordEvidence = (evidence: Routing.Evidence.Evidence): void => {
    if (!suspects.addEvidence(evidence)) return
    lastEvidenceAtMs.set(evidence.digest, clock())
    scheduleBroadcast(evidence.digest)
  }
  const recordCuts = ([digest, ...partKeys]: RequestKeys, { endpointId, bornAtMs }: Routing.Endpoints.EndpointStart): void => {
    const cut = { endpointId, bornAtMs, atMs: clock() }
    recordEvidence(Routing.Evidence.evidenceOfCut(digest, cut))
    for (const key of partKeys) recordEvidence(Routing.Evidence.evidenceOfCut(key, cut, partKeys.filter(other => other !== key)))
  }
  const recordEndpointEnd: Quarantine['recordEndpointEnd'] = (start, aliveAtMs) => { for (const keys of abandoned.takeAffectedDigests(start, aliveAtMs, clock())) recordCuts(keys.split(KEY_SEPARATOR) as [string, ...string[]], start) }
  const applyNews = (reports: readonly Follow.News.RequestNews[]): void => {
    for (const news of reports) {
      const evidence = Follow.News.toEvidence(news, node.storeClock)
      if (evidence === undefined || !suspects.addEvidence(evidence)) continue
      // Another gateway's calls were interrupted at these endpoints: an attempt that this gateway aborted there may have crashed them.
      for (const cut of evidence.cuts) recordEndpointEnd(cut, cut.atMs)
      const isAnsweredLater = (suspects.get(news.digest)?.answeredAtMs ?? -Infinity) > evidence.answeredAtMs
      if (isAnsweredLater && isDrawnToBroadcast()) scheduleBroadcast(news.digest)
    }
    logChanges()
  }
  const applyRows = (rows: readonly Follow.Rows.Row[]): void => { applyNews(rows.filter(row => !row.deleted).flatMap(row => Follow.News.decodeRequest(row.value).match(news => [news], () => []))) }
  const rowFollower = Follow.Follower.createFollower({ ...node.followerOptions, table: TABLE, waitMs: () => ROWS_WAIT_MS, batchDelayMs: () => ROWS_BATCH_DELAY_MS, onRows: applyRows })
  node.relayTable(TABLE, rowFollower)
  /** Digests of rows that are being changed. */
  const pendingChanges = new Set<string>()
  /** Changes a row, one change at a time for each digest; a failed change is repeated in a later tick. */
  const changeRow = async (digest: string, run: () => ReturnType<typeof store.write>): Promise<void> => {
    if (pendingChanges.has(digest)) return
    pendingChanges.add(digest)
    const changed = await run()
    pendingChanges.delete(digest)
    if (changed.isErr() && changed.error.kind !== 'changed') log('quarantine', 'Row of a request not changed.', { digest, reason: 'reason' in changed.error ? changed.error.reason : changed.error.kind })
  }
  /** Makes the table hold one row for each quarantined request, with its latest probe, and no others. */
  const reconcileRows = (): void => {
    if (!rowFollower.isKnown() || random.next() * gatewayNames().length >= WRITER_COUNT) return
    const changes: Array<readonly [digest: string, run: () => ReturnType<typeof store.write>]> = []
    const liveRows = new Map(rowFollower.mirror.live().map(row => [row.key, row]))
    for (const evidence of suspects.quarantined()) {
      const { digest, triedAtMs } = evidence
      const row = liveRows.get(digest)
      liveRows.delete(digest)
      const triedCount = Follow.News.decodeRequest(row?.value).match(news => news.triedAtMs?.length ?? 0, () => -1)
      const news = Follow.News.requestNews(evidence, node.storeClock)
      if (news !== undefined && triedCount < triedAtMs.length) changes.push([digest, async () => await store.write(TABLE, digest, news, row?.revision ?? 0)])
    }
    for (const [digest, { revision }] of liveRows) changes.push([digest, async () => await store.remove(TABLE, digest, revision)])
    for (const [digest, run] of changes.slice(0, ROW_CHANGES_PER_TICK_COUNT)) void changeRow(digest, run)
  }
  return {
    isEmpty: () => suspects.quarantinedCount() === 0,
    actionOf: keys => suspects.actionOf(keys, clock(), isFirstProber),
    isSuspected: suspects.isSuspected,
    quarantinedPartsOf: keys => partIdsOf(suspects.quarantinedKeysOf(keys)),
    recordInterruption: (keys, start) => {
      recordCuts(keys, start)
      recordEndpointEnd(start, clock())
    },
    recordAbandoned: (keys, start) => { if (!abandoned.record({ digest: keys.join(KEY_SEPARATOR), start, atMs: clock() })) recordCuts(keys, start) },
    recordEndpointEnd,
    wasCutAt: (keys, start) => suspects.quarantinedKeysOf(keys).some(key => {
      const evidence = suspects.get(key)
      return evidence !== undefined && Routing.Evidence.wasCutAt(evidence, start)
    }),
    mayRepeatProbe: suspects.mayRepeatTrial,
    recordProbe: (keys, probe) => {
      for (const digest of suspects.quarantinedKeysOf(keys)) {
        const part = Routing.Evidence.partIdOf(digest)
        if (part === undefined) log('quarantine', 'Request tried again.', { digest })
        else log('quarantine', 'Part of prompts tried again.', { part })
        recordEvidence({ digest, cuts: [], triedAtMs: Routing.Evidence.datesOfTrial(probe), answeredAtMs: -Infinity })
      }
    },
    recordAnswered: ([digest, ...partKeys], begunAtMs) => {
      const nowMs = clock()
      suspects.recordAnswer(digest, nowMs)
      if ((suspects.get(digest)?.cuts.length ?? 0) > 0) recordEvidence({ digest, cuts: [], triedAtMs: [], answeredAtMs: nowMs })
      for (const key of partKeys) {
        const [oldestCut] = suspects.get(key)?.cuts ?? []
        if (oldestCut !== undefined && oldestCut.atMs < begunAtMs) recordEvidence({ digest: key, cuts: [], triedAtMs: [], answeredAtMs: begunAtMs })
      }
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

function partIdsOf (keys: readonly string[]): string[] {
  return keys.flatMap(key => Routing.Evidence.partIdOf(key) ?? [])
}
