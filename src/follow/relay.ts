/**
 * Serves this process's rows to other processes: to those that cannot reach the store, and to those
 * that read from this process instead of the store.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Zlib from 'node:zlib'
import * as Schema from 'effect/Schema'
import * as Neverthrow from 'neverthrow'
import type * as Core from '../core/index.ts'
import * as HttpClient from '../edge/httpClient.ts'
import * as HttpServer from '../edge/httpServer.ts'
import type * as Metrics from '../edge/metrics.ts'
import * as Decode from '../schema/decode.ts'
import type * as Members from './members.ts'
import type * as Rows from './rows.ts'

const RELAY_PATH = '/relay'
/** Maximum number of processes asked for the same rows before the store is tried again. */
const PEER_TRY_LIMIT_COUNT = 3
/** Time without a byte after which a further process is asked beside the ones that were asked before, in milliseconds: a process answers from memory, so this is a round trip between regions with a wide margin. */
const PEER_HEDGE_DELAY_MS = 400
/** Time after which a further process is asked although rows are arriving, in milliseconds: they may come from a process that has slowed down. */
const PEER_TRANSFER_HEDGE_DELAY_MS = 2_500
/** Maximum time until the first byte of the answer, in milliseconds: it queues behind other traffic on a full link. */
const PEER_HEAD_TIMEOUT_MS = 3_000
/** Maximum time without a byte while rows arrive, in milliseconds. Large rows may take many seconds in all. */
const PEER_IDLE_TIMEOUT_MS = 1_500
/** Interval at which the answers under way are checked for delays, in milliseconds. */
const PEER_CHECK_INTERVAL_MS = 25
/** Maximum wait of a long poll, in milliseconds. */
const LONG_POLL_LIMIT_MS = 10_000
/** Maximum number of concurrent long polls; further ones are refused. */
const LONG_POLL_LIMIT_COUNT = 512
/** Timeout for the response head of a long poll, in milliseconds: a working process sends it at once. */
const LONG_POLL_HEAD_TIMEOUT_MS = 600
/** Maximum time from the end of the wait to the answer of a long poll, and between bytes of the answer, in milliseconds. */
const LONG_POLL_SLACK_MS = 600
/** Minimum time between keep-alive bytes to a long poll while rows arrive from the store, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 100
/** Minimum size of a row's value that is compressed, in bytes of its JSON. */
const PACK_MIN_BYTES = 4_096
/** Maximum size of an unpacked value, in bytes: well above what the store takes. */
const UNPACK_LIMIT_BYTES = 64 * 1024 * 1024
/** Written ahead of the JSON of a pending answer; JSON parsers skip it. */
const KEEP_ALIVE_BYTE = ' '

const RelayRow = Schema.Struct({ key: Schema.String, revision: Schema.Int, value: Schema.optional(Schema.Unknown), packed: Schema.optional(Schema.String), deleted: Schema.Boolean })
const RelayRows = Schema.Array(RelayRow)
const RelayPage = Schema.Struct({ known: Schema.Boolean, revision: Schema.Int, rows: RelayRows })
const LongPollAnswer = Schema.Struct({
  /** Rows as of a revision, `historyGone` where removals may be missing, or a refusal. */
  answer: Schema.Literals(['rows', 'historyGone', 'refused']),
  reason: Schema.optional(Schema.String),
  revision: Schema.optional(Schema.Int),
  madeAtMs: Schema.optional(Schema.Number),
  rows: Schema.optional(RelayRows)
})
const decode = Decode.lenient(RelayPage)
const decodeLongPollAnswer = Decode.lenient(LongPollAnswer)

/** Why a long poll is refused: the table is unknown here, the store does not answer, the rows are not read from the store here, there are too many long polls, or the process is stopping. */
export type Refusal = 'unknown' | 'lost' | 'indirect' | 'busy' | 'stopping'

/** A table that is served to other processes. */
export interface RelayedTable {
  readonly mirror: Rows.Mirror
  isKnown: () => boolean
  /** Access for long polls of processes that read here instead of the store; undefined if they are refused. */
  readonly longPolling?: LongPolling
  /** Reduces a row to the part that some processes act on; returns an already reduced row unchanged. */
  readonly partOf?: (row: Rows.Row) => Rows.Row
  /** Whether the rows of the mirror may already be reduced. */
  readonly isPart?: boolean
}

/** Access for long polls of processes that read here instead of the store. */
export interface LongPolling {
  /** Why long polls are refused now; undefined if they are served. */
  refusal: () => Refusal | undefined
  /** Registers a listener that is called when bytes arrive from the store; returns a function that removes it. */
  onArriving: (listener: () => void) => () => void
}

/** The route that serves a process's rows. */
export interface RelayRoute {
  readonly route: HttpServer.Route
  /** Ends all pending long polls, and refuses further ones. */
  close: () => void
}

/** How rows are sent. */
interface RowFormat {
  /** Whether reduced rows suffice. */
  readonly isPart: boolean
  /** Whether the reader takes compressed values; processes of earlier builds do not. */
  readonly isPacked: boolean
}

/** What a long poll asks for. */
interface LongPollQuery extends RowFormat {
  /** The revision after which rows are asked for; undefined for the whole table. */
  readonly after: number | undefined
}

/**
 * Creates the route that serves this process's rows.
 *
 * @param tableOf - Returns a table by its name; undefined if it is not served.
 * @returns The route.
 */
export function createRelayRoute (tableOf: (table: string) => RelayedTable | undefined): RelayRoute {
  const endWaits = new Set<() => void>()
  let closed = false
  const refusalOf = (relayed: RelayedTable | undefined, query: LongPollQuery): Refusal | undefined => {
    if (closed) return 'stopping'
    if (relayed?.longPolling === undefined || !canServe(relayed, query.isPart)) return 'unknown'
    return relayed.longPolling.refusal() ?? (relayed.isKnown() ? undefined : 'unknown')
  }
  const answerOf = (relayed: RelayedTable | undefined, query: LongPollQuery): typeof LongPollAnswer.Type => {
    const reason = refusalOf(relayed, query)
    if (relayed === undefined || reason !== undefined) return { answer: 'refused', reason: reason ?? 'unknown' }
    const { mirror } = relayed
    if (query.after !== undefined && query.after < mirror.snapshotRevision()) return { answer: 'historyGone' }
    const rows = query.after === undefined ? mirror.live() : storeChangesAfter(mirror, query.after)
    // A row from another process may be newer than the page, and it replaces the previous row of its key: then the rows are not complete as of any one time.
    const madeAtMs = mirror.rowRevision() > mirror.revision() ? undefined : mirror.madeAtMs()
    return { answer: 'rows', revision: mirror.revision(), rows: toWireRows(relayed, rows, query), ...(madeAtMs === undefined ? {} : { madeAtMs }) }
  }
  /** Waits for rows changed after a revision; for the first rows of the table if that is undefined. */
  const waitForChange = (relayed: RelayedTable, after: number | undefined, waitMs: number, response: Http.ServerResponse, finish: () => void): void => {
    const end = (): void => {
      for (const stop of stops) stop()
      endWaits.delete(end)
      finish()
    }
    let keepAliveAtMs = performance.now()
    const timer = setTimeout(end, waitMs)
    const stops = [
      () => { clearTimeout(timer) },
      relayed.mirror.onChange(() => {
        // The first rows count as known only after the mirror has told its listeners.
        if (after === undefined) queueMicrotask(end)
        else if (storeChangesAfter(relayed.mirror, after).length > 0) end()
      }),
      relayed.longPolling?.onArriving(() => {
        if (performance.now() - keepAliveAtMs < KEEP_ALIVE_INTERVAL_MS) return
        keepAliveAtMs = performance.now()
        response.write(KEEP_ALIVE_BYTE)
      }) ?? (() => {})
    ]
    endWaits.add(end)
    response.once('close', end)
  }
  const serveLongPoll = (relayed: RelayedTable | undefined, query: LongPollQuery, waitMs: number, response: Http.ServerResponse): void => {
    response.writeHead(200, { 'content-type': 'application/json' })
    const finish = (): void => { if (!response.writableEnded && !response.destroyed) response.end(JSON.stringify(answerOf(relayed, query))) }
    const { after } = query
    if (endWaits.size >= LONG_POLL_LIMIT_COUNT) { response.end(JSON.stringify({ answer: 'refused', reason: 'busy' } satisfies typeof LongPollAnswer.Type)); return }
    const refusal = refusalOf(relayed, query)
    const isFirstRead = refusal === 'unknown' && after === undefined && relayed?.isKnown() === false && canServe(relayed, query.isPart)
    const isHeld = refusal === undefined && relayed !== undefined && after !== undefined && after >= relayed.mirror.snapshotRevision() && storeChangesAfter(relayed.mirror, after).length === 0
    if (relayed === undefined || !(isFirstRead || isHeld)) { finish(); return }
    response.write(KEEP_ALIVE_BYTE)
    waitForChange(relayed, after, waitMs, response, finish)
  }
  return {
    route: {
      method: 'GET',
      path: RELAY_PATH,
      handle: (request, response) => {
        const params = new URL(request.url ?? '/', 'http://relay').searchParams
        const relayed = tableOf(params.get('table') ?? '')
        const format: RowFormat = { isPart: params.has('part'), isPacked: params.has('pack') }
        const after = Number(params.get('after') ?? 0)
        const wait = params.get('wait')
        if (wait !== null) { serveLongPoll(relayed, { ...format, after: params.has('after') ? after : undefined }, Math.min(Number(wait), LONG_POLL_LIMIT_MS), response); return }
        const isServed = relayed !== undefined && relayed.isKnown() && canServe(relayed, format.isPart)
        const page = isServed ? relayed.mirror.since(after) : { rows: [], revision: 0 }
        HttpServer.sendJson(response, 200, { known: isServed, revision: page.revision, rows: isServed ? toWireRows(relayed, page.rows, format) : [] })
      }
    },
    close: () => {
      closed = true
      for (const end of [...endWaits]) end()
    }
  }
}

/** A process of the system that may be asked for rows. */
export type Peer = Pick<Members.Member, 'host' | 'port'> & Partial<Pick<Members.Member, 'name'>>

/** Asks other processes for the rows of a table that changed after a revision. The holders are those that are known to have newer rows, by name. */
export type AskPeers = (table: string, revision: number, holders?: ReadonlySet<string>) => Promise<Rows.Page | undefined>

/** Options of `createPeerReader`. */
export interface PeerReaderOptions {
  /** The processes that may be asked, in order of preference or in groups of equal preference. */
  readonly peers: () => ReadonlyArray<readonly Peer[]>
  /** Chooses among processes of equal preference. */
  readonly random: Core.Random.Random
  /** Whether reduced rows suffice. */
  readonly isPart: boolean
  readonly metrics: Pick<Metrics.Metrics, 'count'>
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** A read of one process without an answer yet. */
interface PeerRead {
  readonly startedAtMs: number
  /** Time at which bytes of the answer last arrived, in milliseconds; -Infinity before the first. */
  lastBytesAtMs: number
  receivedBytes: number
  result: Promise<Rows.Page | undefined>
}

/**
 * Creates a function that asks other processes for rows. A process that is slow to answer is not given up:
 * its rows may be large and its link full. Another one is asked beside it, and the first answer counts.
 *
 * @param options - The processes, and how they are asked.
 * @returns The function; it returns undefined if no process delivers the table.
 */
export function createPeerReader (options: PeerReaderOptions): AskPeers {
  const { isPart, metrics, log } = options
  const startRead = (target: Peer, table: string, revision: number, signal: AbortSignal): PeerRead => {
    const read: PeerRead = { startedAtMs: performance.now(), lastBytesAtMs: -Infinity, receivedBytes: 0, result: Promise.resolve(undefined) }
    const onArriving = (sizeBytes: number): void => {
      read.receivedBytes += sizeBytes
      read.lastBytesAtMs = performance.now()
    }
    const path = `${RELAY_PATH}?table=${encodeURIComponent(table)}&after=${revision}&pack=1${isPart ? '&part=1' : ''}`
    read.result = HttpClient.sendText({ target, method: 'GET', path, timeoutMs: PEER_HEAD_TIMEOUT_MS, arrivingMs: PEER_IDLE_TIMEOUT_MS, onArriving, signal })
      .then(({ value }) => decode(value).mapErr(Decode.describe), (error: Error) => Neverthrow.err<typeof RelayPage.Type, string>(error.message))
      .then(answer => answer.andThen(page => page.known ? fromWireRows(page.rows).map(rows => ({ ...page, rows })) : Neverthrow.err('unknown')).match(({ rows, revision }) => {
        metrics.count('peer_reads_total', { table, result: 'taken' })
        return { rows, revision }
      }, reason => {
        if (signal.aborted) return undefined
        metrics.count('peer_reads_total', { table, result: 'failed' })
        log('store', 'Rows not taken from another process.', { table, peer: `${target.host}:${target.port}`, reason, receivedBytes: read.receivedBytes, tookMs: Math.round(performance.now() - read.startedAtMs) })
        return undefined
      }))
    return read
  }
  return async (table, revision, holders = new Set()) => {
    const remaining = rankPeers(options.peers(), holders, options.random).slice(0, PEER_TRY_LIMIT_COUNT)
    const reads = new Set<PeerRead>()
    const ended = new AbortController()
    let emptyPage: Rows.Page | undefined
    try {
      while (reads.size > 0 || remaining.length > 0) {
        if ([...reads].every(isDelayed)) {
          const target = remaining.shift()
          if (target !== undefined) reads.add(startRead(target, table, revision, ended.signal))
        }
        const answer = await Promise.race([...[...reads].map(async read => ({ read, page: await read.result })), sleep(PEER_CHECK_INTERVAL_MS)])
        if (answer === undefined) continue
        reads.delete(answer.read)
        if (answer.page === undefined) continue
        // A process without newer rows may itself be behind one that has them.
        if (answer.page.rows.length > 0 || holders.size === 0) return answer.page
        emptyPage = answer.page
      }
      return emptyPage
    } finally {
      ended.abort()
    }
  }
}

/** Orders processes: holders of newer rows before the others, then by preference, and at random among equals. */
function rankPeers (groups: ReadonlyArray<readonly Peer[]>, holders: ReadonlySet<string>, random: Core.Random.Random): Peer[] {
  const isHolder = (peer: Peer): boolean => peer.name !== undefined && holders.has(peer.name)
  const shuffled = groups.flatMap(group => shuffle(group, random))
  return [...shuffled.filter(isHolder), ...shuffled.filter(peer => !isHolder(peer))]
}

function shuffle (peers: readonly Peer[], random: Core.Random.Random): Peer[] {
  const remaining = [...peers]
  return peers.flatMap(() => remaining.splice(random.below(remaining.length), 1))
}

/** Whether a further process is to be asked beside one that is slow to answer. */
function isDelayed (read: PeerRead): boolean {
  const nowMs = performance.now()
  return nowMs - Math.max(read.startedAtMs, read.lastBytesAtMs) > PEER_HEDGE_DELAY_MS || nowMs - read.startedAtMs > PEER_TRANSFER_HEDGE_DELAY_MS
}

/** A long poll of another process, instead of a read of the store. */
export interface LongPollRead {
  readonly target: Peer
  readonly table: string
  /** The revision after which rows are asked for; undefined for the whole table. */
  readonly after: number | undefined
  /** Time to wait for a change, in milliseconds. */
  readonly waitMs: number
  /** Time after which the read goes on only while bytes arrive, in milliseconds; the whole wait if undefined. */
  readonly patienceMs?: number
  /** Whether reduced rows suffice. */
  readonly isPart: boolean
  /** Called when bytes of the answer arrive. */
  readonly onArriving: () => void
}

/**
 * Reads rows from another process instead of the store, and waits for a change.
 *
 * @param read - What is read, and where.
 * @returns The rows; fails with `historyGone` if the other process does not know all removals after the revision.
 */
export async function longPoll (read: LongPollRead): Promise<Neverthrow.Result<Rows.Page, Rows.ReadFailure>> {
  const { target, table, after, waitMs, patienceMs = waitMs, isPart, onArriving } = read
  const path = `${RELAY_PATH}?table=${encodeURIComponent(table)}&wait=${waitMs}&pack=1${after === undefined ? '' : `&after=${after}`}${isPart ? '&part=1' : ''}`
  const timeoutMs = patienceMs + LONG_POLL_SLACK_MS
  try {
    const answer = await HttpClient.sendText({ target, method: 'GET', path, timeoutMs, headMs: Math.min(LONG_POLL_HEAD_TIMEOUT_MS, timeoutMs), arrivingMs: LONG_POLL_SLACK_MS, onArriving })
    return decodeLongPollAnswer(answer.value).match<Neverthrow.Result<Rows.Page, Rows.ReadFailure>>(toResult, problems => Neverthrow.err({ kind: 'unavailable', reason: Decode.describe(problems) }))
  } catch (error) {
    return Neverthrow.err({ kind: error instanceof HttpClient.TransportError && error.timedOut ? 'silent' : 'unavailable', reason: (error as Error).message })
  }
}

function toResult ({ answer, reason = 'no rows', revision, madeAtMs, rows }: typeof LongPollAnswer.Type): Neverthrow.Result<Rows.Page, Rows.ReadFailure> {
  if (answer === 'historyGone') return Neverthrow.err({ kind: 'historyGone' })
  if (answer === 'refused' || revision === undefined || rows === undefined) return Neverthrow.err({ kind: 'unavailable', reason })
  return fromWireRows(rows).map(unpacked => ({ rows: unpacked, revision, madeAtMs })).mapErr(problem => ({ kind: 'unavailable', reason: problem }))
}

/** Returns the rows changed after a revision, without rows from other processes that are newer than the store's last page. */
function storeChangesAfter (mirror: Rows.Mirror, after: number): readonly Rows.Row[] {
  return mirror.since(after).rows.filter(row => row.revision <= mirror.revision())
}

/** Whether a table can be served; reduced rows cannot be served to processes that act on whole rows. */
function canServe (relayed: RelayedTable, isPart: boolean): boolean {
  return isPart ? relayed.partOf !== undefined : relayed.isPart !== true
}

function toWireRows (relayed: RelayedTable, rows: readonly Rows.Row[], { isPart, isPacked }: RowFormat): Array<typeof RelayRow.Type> {
  const { partOf } = relayed
  return (isPart && partOf !== undefined ? rows.map(partOf) : rows).map(row => {
    const { key, revision, deleted, value } = row
    const packed = isPacked ? packedValueOf(row) : undefined
    return packed === undefined ? { key, revision, value: value ?? null, deleted } : { key, revision, packed, deleted }
  })
}

const packedValues = new WeakMap<Rows.Row, { readonly packed: string | undefined }>()

/** Returns the compressed value of a row in base64, computed once; undefined for a small value. */
function packedValueOf (row: Rows.Row): string | undefined {
  const known = packedValues.get(row)
  if (known !== undefined) return known.packed
  const text = JSON.stringify(row.value ?? null)
  const packed = text.length < PACK_MIN_BYTES ? undefined : Zlib.gzipSync(text).toString('base64')
  packedValues.set(row, { packed })
  return packed
}

function fromWireRows (rows: typeof RelayRows.Type): Neverthrow.Result<Rows.Row[], string> {
  return Neverthrow.Result.combine(rows.map(({ key, revision, value, packed, deleted }) => unpack(value, packed).map(unpacked => ({ key, revision, value: unpacked, deleted }))))
}

const gunzip = Neverthrow.Result.fromThrowable(
  (packed: string) => Zlib.gunzipSync(Buffer.from(packed, 'base64'), { maxOutputLength: UNPACK_LIMIT_BYTES }).toString(),
  error => `unreadable row: ${(error as Error).message}`
)

function unpack (value: unknown, packed: string | undefined): Neverthrow.Result<unknown, string> {
  return packed === undefined ? Neverthrow.ok(value) : gunzip(packed).andThen(text => Decode.parseJson(text).mapErr(Decode.describe))
}

async function sleep (delayMs: number): Promise<undefined> {
  return await new Promise(resolve => { setTimeout(resolve, delayMs) })
}
