/**
 * Short messages between the system's processes: loads of endpoints and revisions of tables.
 *
 * A lost message is made up for by the next one, so they travel as datagrams.
 *
 * @packageDocumentation
 */
import * as Dgram from 'node:dgram'
import * as Schema from 'effect/Schema'
import type * as Core from '../core/index.ts'
import type * as Routing from '../routing/index.ts'
import * as Decode from '../schema/decode.ts'
import type * as Follower from './follower.ts'
import type * as StoreClock from './storeClock.ts'

/** What an agent tells gateways of the endpoint beside it. */
export const LoadNews = Schema.Struct({
  host: Schema.String,
  port: Schema.Int,
  bornAtMs: Schema.optional(Schema.Number),
  activeCount: Schema.Int,
  queuedCount: Schema.Int,
  pace: Schema.Number,
  loading: Schema.Boolean,
  /** The endpoint takes no calls, as where it loads, but only ends what runs. */
  retiring: Schema.optional(Schema.Boolean),
  weights: Schema.Array(Schema.Struct({ model: Schema.String, version: Schema.Int }))
})
/** What an agent tells gateways of the endpoint beside it. */
export type LoadNews = typeof LoadNews.Type

/** Chunks that an agent has just verified and that the receiver is to fetch from it. */
export const VerifiedChunksNews = Schema.Struct({ model: Schema.String, version: Schema.Int, indexes: Schema.Array(Schema.Int) })
/** Chunks that an agent has just verified and that the receiver is to fetch from it. */
export type VerifiedChunksNews = typeof VerifiedChunksNews.Type

/** What endpoints said of the calls that they take (`Routing.Limits.Statement`); times are the store's. */
export const LimitNews = Schema.Struct({
  endpointId: Schema.String,
  bornAtMs: Schema.optional(Schema.Number),
  callsPerSecond: Schema.optional(Schema.Number),
  askedAtMs: Schema.Number,
  heardAtMs: Schema.Number
})
/** What an endpoint said of the calls that it takes. */
export type LimitNews = typeof LimitNews.Type

/** What a process knows of a request under which endpoints ended (`Routing.Suspects.Evidence`); times are the store's. */
export const RequestNews = Schema.Struct({
  digest: Schema.String,
  cuts: Schema.Array(Schema.Struct({ endpointId: Schema.String, bornAtMs: Schema.optional(Schema.Number), atMs: Schema.Number })),
  triedAtMs: Schema.optional(Schema.Array(Schema.Number)),
  answeredAtMs: Schema.optional(Schema.Number)
})
/** What a process knows of a request under which endpoints ended. */
export type RequestNews = typeof RequestNews.Type

/** A message. */
export const News = Schema.Struct({
  /** The process that sends it. */
  sender: Schema.String,
  /** The newest revisions that the sender holds, by table. */
  revisions: Schema.Record(Schema.String, Schema.Int),
  load: Schema.optional(LoadNews),
  /** The store's time when the news was sent, as the sender knows it, in milliseconds. */
  storeMs: Schema.optional(Schema.Number),
  /** The latest revision of the store that the sender knows of, with the store's time. */
  reading: Schema.optional(Schema.Struct({ revision: Schema.Int, atMs: Schema.Number })),
  /** What the sender knows of versions of weights (`Routing.Versions.Naming`); times are the store's. */
  named: Schema.optional(Schema.Array(Schema.Struct({ model: Schema.String, version: Schema.Int, revision: Schema.optional(Schema.Int), namedAtMs: Schema.optional(Schema.Number), notBeforeMs: Schema.optional(Schema.Number) }))),
  /** Calls a second that callers ask the sending gateway for. */
  callsPerSecond: Schema.optional(Schema.Number),
  limits: Schema.optional(Schema.Array(LimitNews)),
  requests: Schema.optional(Schema.Array(RequestNews)),
  held: Schema.optional(VerifiedChunksNews),
  /** Says that the sender is there; asks for the same where true. */
  rollCall: Schema.optional(Schema.Boolean)
})
/** A message. */
export type News = typeof News.Type

/** Sends and receives news. */
export interface NewsChannel {
  send: (news: News, targets: ReadonlyArray<{ readonly host: string, readonly port: number }>) => void
  close: () => void
}

const decode = Decode.json(News)
/** Decodes news of a request that stands in a row of the store. */
export const decodeRequest = Decode.lenient(RequestNews)
/** Limits in one message at the most, so that it fits into a datagram. */
const LIMITS_PER_MESSAGE_COUNT = 100
/** A limit is told again for so long after an answer named or ended it, in milliseconds, in case a datagram was lost: three messages. */
const LIMIT_REPEAT_MS = 3_000

/**
 * Makes news of what binds calls to versions.
 *
 * @param versions - The versions that this process knows.
 * @param storeMs - The store's time, in milliseconds.
 * @returns The part of a message.
 */
export function versionNews (versions: Routing.Versions.Versions, storeMs: number): NonNullable<News['named']> {
  return versions.namingsToShare(storeMs).map(({ notBeforeMs, ...naming }) => Number.isFinite(notBeforeMs) ? { ...naming, notBeforeMs } : naming)
}

/**
 * Makes news of the limits that endpoints named to this gateway, or that ended, of late: if every gateway told all that it knows, messages would grow with the square of their number.
 *
 * @param endpoints - The endpoints.
 * @param storeClock - The store's clock.
 * @param nowMs - The time.
 * @returns The part of a message, the limits heard last first; empty while the store's time is not known.
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
 * Makes news of a request.
 *
 * @param evidence - What is known of it, in the time of this process.
 * @param storeClock - The store's clock.
 * @returns The news; undefined while the store's time is not known.
 */
export function requestNews (evidence: Routing.Suspects.Evidence, storeClock: StoreClock.StoreClock): RequestNews | undefined {
  const toRoundedStoreMs = (localMs: number): number => Math.round(storeClock.toStoreMs(localMs))
  if (!Number.isFinite(storeClock.now())) return undefined
  const { digest, cuts, triedAtMs, answeredAtMs } = evidence
  return {
    digest,
    cuts: cuts.map(cut => ({ ...cut, atMs: toRoundedStoreMs(cut.atMs) })),
    ...(triedAtMs.length === 0 ? {} : { triedAtMs: triedAtMs.map(toRoundedStoreMs) }),
    ...(Number.isFinite(answeredAtMs) ? { answeredAtMs: toRoundedStoreMs(answeredAtMs) } : {})
  }
}

/**
 * Reads news of a request.
 *
 * @param news - The news.
 * @param storeClock - The store's clock.
 * @returns What it says, in the time of this process; undefined while the store's time is not known.
 */
export function toEvidence (news: RequestNews, storeClock: StoreClock.StoreClock): Routing.Suspects.Evidence | undefined {
  if (!Number.isFinite(storeClock.now())) return undefined
  const { digest, cuts, triedAtMs = [], answeredAtMs } = news
  return {
    digest,
    cuts: cuts.map(({ endpointId, bornAtMs, atMs }) => ({ endpointId, bornAtMs, atMs: storeClock.toLocalMs(atMs) })),
    triedAtMs: triedAtMs.map(storeClock.toLocalMs),
    answeredAtMs: answeredAtMs === undefined ? -Infinity : storeClock.toLocalMs(answeredAtMs)
  }
}

/**
 * Takes the versions that another process tells of.
 *
 * @param versions - The versions that this process knows.
 * @param news - The message.
 * @param operatorsFollower - Where the operators' rows are followed.
 * @param storeClock - The store's clock.
 * @param log - Told of what is new.
 */
export function learnVersions (versions: Routing.Versions.Versions, news: News, operatorsFollower: Pick<Follower.Follower, 'completeness'>, storeClock: StoreClock.StoreClock, log: Core.Loop.Tick<never, never>['log']): void {
  for (const { model, version, revision, namedAtMs, notBeforeMs = -Infinity } of news.named ?? []) {
    if (!versions.addNaming({ model, version, revision, namedAtMs, notBeforeMs }, operatorsFollower.completeness())) continue
    if (revision === undefined) continue
    log('weights', 'Version told of.', { model, version, ...(namedAtMs === undefined ? {} : { sinceNamedMs: Math.round(storeClock.now() - namedAtMs) }), source: news.sender })
  }
}

/**
 * Opens the channel.
 *
 * @param address - Where to listen.
 * @param onNews - Takes what arrives.
 * @param onError - Told of a datagram that cannot be read or sent.
 * @returns The channel, once it listens.
 */
export async function openChannel (address: { readonly host: string, readonly port: number }, onNews: (news: News) => void, onError: (reason: string) => void): Promise<NewsChannel> {
  const socket = Dgram.createSocket('udp4')
  socket.on('message', message => { decode(message.toString()).match(onNews, problems => { onError(Decode.describe(problems)) }) })
  socket.on('error', error => { onError(error.message) })
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(address.port, address.host, () => { resolve() })
  })
  let closed = false
  return {
    send: (news, targets) => {
      if (closed) return
      const bytes = Buffer.from(JSON.stringify(news))
      for (const target of targets) socket.send(bytes, target.port, target.host, error => { if (error !== null) onError(error.message) })
    },
    close: () => {
      closed = true
      socket.close()
    }
  }
}
