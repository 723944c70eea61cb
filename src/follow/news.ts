/**
 * News: short messages between the system's processes, with loads of endpoints and revisions of tables.
 *
 * They are sent as datagrams, since the next message makes up for a lost one.
 *
 * @packageDocumentation
 */
import * as Dgram from 'node:dgram'
import * as Schema from 'effect/Schema'
import type * as Core from '../core/index.ts'
import * as Listening from '../edge/listening.ts'
import type * as Routing from '../routing/index.ts'
import * as Decode from '../schema/decode.ts'
import type * as Follower from './follower.ts'
import type * as StoreClock from './storeClock.ts'

/** The load of the endpoint beside an agent, sent to gateways. */
export const LoadNews = Schema.Struct({
  host: Schema.String,
  port: Decode.Port,
  bornAtMs: Schema.optional(Schema.Number),
  activeCount: Schema.Int,
  queuedCount: Schema.Int,
  pace: Schema.Number,
  loading: Schema.Boolean,
  /** The endpoint takes no new calls, as while it loads, and only finishes those that run. */
  retiring: Schema.optional(Schema.Boolean),
  weights: Schema.Array(Schema.Struct({ model: Schema.String, version: Schema.Int })),
  /** Number of orders that the endpoint has accepted since its start, and the number at which its loads were shown to be sound. */
  orderCount: Schema.optional(Schema.Int),
  provenOrderCount: Schema.optional(Schema.Int)
})
/** The load of the endpoint beside an agent, sent to gateways. */
export type LoadNews = typeof LoadNews.Type

/** Chunks that an agent has just verified; the receiver fetches them from it. */
export const VerifiedChunksNews = Schema.Struct({ model: Schema.String, version: Schema.Int, indexes: Schema.Array(Schema.Int) })
/** Chunks that an agent has just verified; the receiver fetches them from it. */
export type VerifiedChunksNews = typeof VerifiedChunksNews.Type

/** Tells an agent that has restarted up to which order the loads of its endpoint's start were shown to be sound. */
export const ProofNews = Schema.Struct({ bornAtMs: Schema.optional(Schema.Number), orderCount: Schema.Int })
/** Tells an agent that has restarted up to which order the loads of its endpoint's start were shown to be sound. */
export type ProofNews = typeof ProofNews.Type

/** The rate of calls that an endpoint accepts, as it stated (`Routing.Limits.LimitStatement`); times are by the store's clock. */
export const LimitNews = Schema.Struct({
  endpointId: Schema.String,
  bornAtMs: Schema.optional(Schema.Number),
  callsPerSecond: Schema.optional(Schema.Number),
  askedAtMs: Schema.Number,
  heardAtMs: Schema.Number
})
/** The rate of calls that an endpoint accepts, as it stated. */
export type LimitNews = typeof LimitNews.Type

/** Evidence on a request that was running when endpoints ended (`Routing.Evidence.Evidence`); times are by the store's clock. */
export const RequestNews = Schema.Struct({
  digest: Schema.String,
  cuts: Schema.Array(Schema.Struct({ endpointId: Schema.String, bornAtMs: Schema.optional(Schema.Number), atMs: Schema.Number })),
  triedAtMs: Schema.optional(Schema.Array(Schema.Number)),
  answeredAtMs: Schema.optional(Schema.Number),
  sharedWith: Schema.optional(Schema.Array(Schema.String))
})
/** Evidence on a request that was running when endpoints ended. */
export type RequestNews = typeof RequestNews.Type

/** A message between processes. */
export const News = Schema.Struct({
  /** Name of the sending process. */
  sender: Schema.String,
  /** The newest revisions that the sender holds, by table. */
  revisions: Schema.Record(Schema.String, Schema.Int),
  load: Schema.optional(LoadNews),
  /** Loads of endpoints in the sender's zone that it heard from their agents, each with its age in milliseconds. */
  forwardedLoads: Schema.optional(Schema.Array(Schema.Struct({ ageMs: Schema.Number, load: LoadNews }))),
  /** The store's time when the news was sent, as the sender knows it, in milliseconds. */
  storeMs: Schema.optional(Schema.Number),
  /** The latest reading of the store's revision that the sender knows, with the store's time in milliseconds. */
  reading: Schema.optional(Schema.Struct({ revision: Schema.Int, atMs: Schema.Number })),
  /** Versions of weights that the sender knows (`Routing.Versions.VersionNaming`); times are by the store's clock. */
  named: Schema.optional(Schema.Array(Schema.Struct({ model: Schema.String, version: Schema.Int, revision: Schema.optional(Schema.Int), namedAtMs: Schema.optional(Schema.Number), notBeforeMs: Schema.optional(Schema.Number) }))),
  /** Calls per second that callers request from the sending gateway. */
  callsPerSecond: Schema.optional(Schema.Number),
  limits: Schema.optional(Schema.Array(LimitNews)),
  requests: Schema.optional(Schema.Array(RequestNews)),
  held: Schema.optional(VerifiedChunksNews),
  proof: Schema.optional(ProofNews),
  /** Shows that the sender is alive; true also asks the receiver for a reply with false. */
  rollCall: Schema.optional(Schema.Boolean)
})
/** A message between processes. */
export type News = typeof News.Type

/** Sends and receives news. */
export interface NewsChannel {
  send: (news: News, targets: ReadonlyArray<{ readonly host: string, readonly port: number }>) => void
  close: () => void
}

const decode = Decode.json(News)
/** Decodes the evidence on a request in a row of the store. */
export const decodeRequest = Decode.lenient(RequestNews)
/** Maximum number of limits in one message, so that it fits into a datagram. */
const LIMITS_PER_MESSAGE_COUNT = 100
/** Time for which a limit is sent again after an answer stated or ended it, in milliseconds: three messages, in case a datagram was lost. */
const LIMIT_REPEAT_MS = 3_000

/**
 * Creates the part of a message on the versions that calls may begin on.
 *
 * @param versions - The versions that this process knows.
 * @param storeMs - The store's time, in milliseconds.
 * @returns The versions that other processes need to know.
 */
export function versionNews (versions: Routing.Versions.Versions, storeMs: number): NonNullable<News['named']> {
  return versions.namingsToShare(storeMs).map(({ notBeforeMs, ...naming }) => Number.isFinite(notBeforeMs) ? { ...naming, notBeforeMs } : naming)
}

/**
 * Creates the part of a message on limits that endpoints recently stated to this gateway, or that recently ended. Older ones are left out: if every gateway sent all limits that it knows, the traffic would grow with the square of the number of gateways.
 *
 * @param endpoints - The endpoints.
 * @param storeClock - The store's clock.
 * @param nowMs - This process's time, in milliseconds.
 * @returns The limits, the latest first; empty while the store's time is unknown.
 */
export function recentLimitNews (endpoints: Iterable<Routing.Endpoints.EndpointRow>, storeClock: StoreClock.StoreClock, nowMs: number): LimitNews[] {
  const recentLimits: LimitNews[] = []
  for (const { listing: { endpointId, bornAtMs }, limit, limitReceivedAtMs: limitOwnAtMs, limitChangedAtMs } of endpoints) {
    if (limit === undefined || nowMs - (limit.callsPerSecond === undefined ? limitChangedAtMs : limitOwnAtMs) > LIMIT_REPEAT_MS) continue
    const [askedAtMs, heardAtMs] = [limit.askedAtMs, limit.heardAtMs].map(localMs => Math.round(storeClock.toStoreMs(localMs))) as [number, number]
    if (Number.isFinite(heardAtMs)) recentLimits.push({ endpointId, bornAtMs, callsPerSecond: limit.callsPerSecond, askedAtMs, heardAtMs })
  }
  return recentLimits.sort((a, b) => b.heardAtMs - a.heardAtMs).slice(0, LIMITS_PER_MESSAGE_COUNT)
}

/**
 * Encodes the evidence on a request for other processes.
 *
 * @param evidence - The evidence, with times of this process.
 * @param storeClock - The store's clock.
 * @returns The evidence with times of the store; undefined while the store's time is unknown.
 */
export function requestNews (evidence: Routing.Evidence.Evidence, storeClock: StoreClock.StoreClock): RequestNews | undefined {
  const toRoundedStoreMs = (localMs: number): number => Math.round(storeClock.toStoreMs(localMs))
  if (!Number.isFinite(storeClock.now())) return undefined
  const { digest, cuts, triedAtMs, answeredAtMs, sharedWith } = evidence
  return {
    digest,
    cuts: cuts.map(cut => ({ ...cut, atMs: toRoundedStoreMs(cut.atMs) })),
    ...(triedAtMs.length === 0 ? {} : { triedAtMs: triedAtMs.map(toRoundedStoreMs) }),
    ...(Number.isFinite(answeredAtMs) ? { answeredAtMs: toRoundedStoreMs(answeredAtMs) } : {}),
    ...(sharedWith === undefined ? {} : { sharedWith })
  }
}

/**
 * Decodes the evidence on a request that another process sent.
 *
 * @param news - The evidence, with times of the store.
 * @param storeClock - The store's clock.
 * @returns The evidence with times of this process; undefined while the store's time is unknown.
 */
export function toEvidence (news: RequestNews, storeClock: StoreClock.StoreClock): Routing.Evidence.Evidence | undefined {
  if (!Number.isFinite(storeClock.now())) return undefined
  const { digest, cuts, triedAtMs = [], answeredAtMs, sharedWith } = news
  return {
    digest,
    cuts: cuts.map(({ endpointId, bornAtMs, atMs }) => ({ endpointId, bornAtMs, atMs: storeClock.toLocalMs(atMs) })),
    triedAtMs: triedAtMs.map(storeClock.toLocalMs),
    answeredAtMs: answeredAtMs === undefined ? -Infinity : storeClock.toLocalMs(answeredAtMs),
    ...(sharedWith === undefined ? {} : { sharedWith })
  }
}

/**
 * Adds the versions in a message from another process to those that this process knows.
 *
 * @param versions - The versions that this process knows.
 * @param news - The message.
 * @param operatorsFollower - Follows the operators' table.
 * @param storeClock - The store's clock.
 * @param log - Logs each version that is new.
 */
export function learnVersions (versions: Routing.Versions.Versions, news: News, operatorsFollower: Pick<Follower.Follower, 'completeness'>, storeClock: StoreClock.StoreClock, log: Core.Loop.Tick<never, never>['log']): void {
  for (const { model, version, revision, namedAtMs, notBeforeMs = -Infinity } of news.named ?? []) {
    if (!versions.addNaming({ model, version, revision, namedAtMs, notBeforeMs }, operatorsFollower.completeness())) continue
    if (revision === undefined) continue
    log('weights', 'Version told of.', { model, version, ...(namedAtMs === undefined ? {} : { sinceNamedMs: Math.round(storeClock.now() - namedAtMs) }), source: news.sender })
  }
}

/**
 * Opens a channel for news.
 *
 * @param address - Host and port to listen on.
 * @param onNews - Called with each message that arrives.
 * @param onError - Called when a datagram cannot be decoded or sent, with the reason.
 * @param onWaiting - Called with the reason when the address is not free yet.
 * @returns The channel, once it listens; rejects if the port cannot be bound.
 */
export async function openChannel (address: { readonly host: string, readonly port: number }, onNews: (news: News) => void, onError: (reason: string) => void, onWaiting?: Listening.BindOptions['onWaiting']): Promise<NewsChannel> {
  const socket = Dgram.createSocket('udp4')
  socket.on('message', message => { decode(message.toString()).match(onNews, problems => { onError(Decode.describe(problems)) }) })
  await Listening.bind(socket, () => { socket.bind(address.port, address.host) }, { onError: error => { onError(error.message) }, ...(onWaiting === undefined ? {} : { onWaiting }) })
  let closed = false
  const sendTo = (target: { readonly host: string, readonly port: number }, bytes: Buffer): void => {
    try {
      socket.send(bytes, target.port, target.host, error => { if (error !== null) onError(error.message) })
    } catch (error) {
      // An address that cannot be used is not reported to the callback.
      onError((error as Error).message)
    }
  }
  return {
    send: (news, targets) => {
      if (closed) return
      const bytes = Buffer.from(JSON.stringify(news))
      for (const target of targets) sendTo(target, bytes)
    },
    close: () => {
      closed = true
      socket.close()
    }
  }
}
