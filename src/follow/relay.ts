/**
 * Hands accepted rows to other processes: to those that cannot reach the store, and to those that
 * read here in its place.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Schema from 'effect/Schema'
import * as Neverthrow from 'neverthrow'
import type * as Core from '../core/index.ts'
import * as HttpClient from '../edge/httpClient.ts'
import * as HttpServer from '../edge/httpServer.ts'
import * as Decode from '../schema/decode.ts'
import type * as Members from './members.ts'
import type * as Rows from './rows.ts'

const RELAY_PATH = '/relay'
/** Another process answers from memory, in milliseconds: a round trip between regions with a wide margin. */
const RELAY_TIMEOUT_MS = 400
/** Processes asked in turn before the next try of the store. */
const PEER_TRY_LIMIT_COUNT = 2
/** Longest time that a read is held, in milliseconds. */
const LONG_POLL_LIMIT_MS = 10_000
/** Reads held at once; a process that is asked for more refuses. */
const LONG_POLL_LIMIT_COUNT = 512
/** A process that works says at once that it holds a read, in milliseconds. */
const LONG_POLL_HEAD_TIMEOUT_MS = 600
/** An answer may come so long after the wait, and its bytes with such pauses, in milliseconds. */
const LONG_POLL_SLACK_MS = 600
/** Readers of held reads hear at most so often that rows are arriving, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 100
/** Stands before the JSON of an answer that is still to come. */
const KEEP_ALIVE_BYTE = ' '

const RelayRows = Schema.Array(Schema.Struct({ key: Schema.String, revision: Schema.Int, value: Schema.Unknown, deleted: Schema.Boolean }))
const RelayPage = Schema.Struct({ known: Schema.Boolean, revision: Schema.Int, rows: RelayRows })
const LongPollAnswer = Schema.Struct({
  /** Rows as of a revision, the lack of removals, or a refusal. */
  answer: Schema.Literals(['rows', 'historyGone', 'refused']),
  reason: Schema.optional(Schema.String),
  revision: Schema.optional(Schema.Int),
  madeAtMs: Schema.optional(Schema.Number),
  rows: Schema.optional(RelayRows)
})
const decode = Decode.lenient(RelayPage)
const decodeLongPollAnswer = Decode.lenient(LongPollAnswer)

/** Why rows are not handed on to processes that read here in the store's place. */
export type Refusal = 'unknown' | 'lost' | 'indirect' | 'busy' | 'stopping'

/** A table that can be handed on. */
export interface RelayedTable {
  readonly mirror: Rows.Mirror
  isKnown: () => boolean
  /** How the table is handed on to processes that read here in the store's place; undefined where it is not. */
  readonly longPolling?: LongPolling
  /** Cuts a row down to the part that some processes act on; the same for a row that is cut already. */
  readonly partOf?: (row: Rows.Row) => Rows.Row
  /** Whether the rows held may be such parts already. */
  readonly isPart?: boolean
}

/** How a table is handed on to processes that read here in the store's place. */
export interface LongPolling {
  /** Why that is not possible now; undefined where it is. */
  refusal: () => Refusal | undefined
  /** Tells of bytes that arrive from the store; returns what ends that. */
  onArriving: (listener: () => void) => () => void
}

/** The route that serves a process's rows. */
export interface RelayRoute {
  readonly route: HttpServer.Route
  /** Ends the reads that are held. */
  close: () => void
}

/** What a request asks for. */
interface LongPollQuery {
  /** Undefined for the whole table. */
  readonly after: number | undefined
  readonly isPart: boolean
}

/**
 * Makes the route that serves a process's rows.
 *
 * @param tableOf - Finds a table by its name.
 * @returns The route.
 */
export function createRelayRoute (tableOf: (table: string) => RelayedTable | undefined): RelayRoute {
  const endWaits = new Set<() => void>()
  let closed = false
  const refusalOf = (relayed: RelayedTable | undefined, query: LongPollQuery): Refusal | undefined => {
    if (closed) return 'stopping'
    if (relayed?.longPolling === undefined || !relayed.isKnown() || !canServe(relayed, query.isPart)) return 'unknown'
    return relayed.longPolling.refusal()
  }
  const answerOf = (relayed: RelayedTable | undefined, query: LongPollQuery): typeof LongPollAnswer.Type => {
    const reason = refusalOf(relayed, query)
    if (relayed === undefined || reason !== undefined) return { answer: 'refused', reason: reason ?? 'unknown' }
    const { mirror } = relayed
    if (query.after !== undefined && query.after < mirror.snapshotRevision()) return { answer: 'historyGone' }
    const rows = query.after === undefined ? mirror.live() : storeChangesAfter(mirror, query.after)
    // A row that other processes told may be of a later time than the page, and it hides the one before it under its key: the page is whole as of no time then.
    const madeAtMs = mirror.rowRevision() > mirror.revision() ? undefined : mirror.madeAtMs()
    return { answer: 'rows', revision: mirror.revision(), rows: toWireRows(relayed, rows, query.isPart), ...(madeAtMs === undefined ? {} : { madeAtMs }) }
  }
  const waitForChange = (relayed: RelayedTable, after: number, waitMs: number, response: Http.ServerResponse, finish: () => void): void => {
    const end = (): void => {
      for (const stop of stops) stop()
      endWaits.delete(end)
      finish()
    }
    let keepAliveAtMs = performance.now()
    const timer = setTimeout(end, waitMs)
    const stops = [
      () => { clearTimeout(timer) },
      relayed.mirror.onChange(() => { if (storeChangesAfter(relayed.mirror, after).length > 0) end() }),
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
    if (relayed === undefined || after === undefined || refusalOf(relayed, query) !== undefined || after < relayed.mirror.snapshotRevision() || storeChangesAfter(relayed.mirror, after).length > 0) { finish(); return }
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
        const isPart = params.has('part')
        const after = Number(params.get('after') ?? 0)
        const wait = params.get('wait')
        if (wait !== null) { serveLongPoll(relayed, { after: params.has('after') ? after : undefined, isPart }, Math.min(Number(wait), LONG_POLL_LIMIT_MS), response); return }
        const isServed = relayed !== undefined && relayed.isKnown() && canServe(relayed, isPart)
        const page = isServed ? relayed.mirror.since(after) : { rows: [], revision: 0 }
        HttpServer.sendJson(response, 200, { known: isServed, revision: page.revision, rows: isServed ? toWireRows(relayed, page.rows, isPart) : [] })
      }
    },
    close: () => {
      closed = true
      for (const end of [...endWaits]) end()
    }
  }
}

/** A process of the system that may be asked. */
export type Peer = Pick<Members.Member, 'host' | 'port'>

/**
 * Makes the function that asks other processes for rows.
 *
 * @param peers - The processes that may be asked.
 * @param random - Chooses among them.
 * @param isPart - Whether the part that some processes act on is enough.
 * @returns Asks a few processes in turn; undefined when none answers with a known table.
 */
export function createPeerReader (peers: () => readonly Peer[], random: Core.Random.Random, isPart = false): (table: string, revision: number) => Promise<Rows.Page | undefined> {
  return async (table, revision) => {
    const remaining = [...peers()]
    for (let count = 0; count < PEER_TRY_LIMIT_COUNT && remaining.length > 0; count++) {
      const [target] = remaining.splice(random.below(remaining.length), 1)
      if (target === undefined) break
      const path = `${RELAY_PATH}?table=${encodeURIComponent(table)}&after=${revision}${isPart ? '&part=1' : ''}`
      const answer = await HttpClient.sendJson(target, 'GET', path, undefined, RELAY_TIMEOUT_MS).catch(() => undefined)
      const page = decode(answer?.value)
      if (page.isOk() && page.value.known) return { rows: page.value.rows, revision: page.value.revision }
    }
    return undefined
  }
}

/** A read at another process in the store's place. */
export interface LongPollRead {
  readonly target: Peer
  readonly table: string
  /** The revision after which rows are asked for; undefined for the whole table. */
  readonly after: number | undefined
  readonly waitMs: number
  readonly isPart: boolean
  readonly onArriving: () => void
}

/**
 * Reads at another process in the store's place.
 *
 * @param read - What is read, and where.
 * @returns The rows; `historyGone` where the other process does not know all removals since.
 */
export async function longPoll (read: LongPollRead): Promise<Neverthrow.Result<Rows.Page, Rows.ReadFailure>> {
  const { target, table, after, waitMs, isPart, onArriving } = read
  const path = `${RELAY_PATH}?table=${encodeURIComponent(table)}&wait=${waitMs}${after === undefined ? '' : `&after=${after}`}${isPart ? '&part=1' : ''}`
  const timeoutMs = waitMs + LONG_POLL_SLACK_MS
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
  return Neverthrow.ok({ rows, revision, madeAtMs })
}

/** The rows changed after a revision, without those that other processes told beyond what the store did. */
function storeChangesAfter (mirror: Rows.Mirror, after: number): readonly Rows.Row[] {
  return mirror.since(after).rows.filter(row => row.revision <= mirror.revision())
}

/** Rows that are parts already are no answer for processes that act on the whole. */
function canServe (relayed: RelayedTable, isPart: boolean): boolean {
  return isPart ? relayed.partOf !== undefined : relayed.isPart !== true
}

function toWireRows (relayed: RelayedTable, rows: readonly Rows.Row[], isPart: boolean): Rows.Row[] {
  const { partOf } = relayed
  return (isPart && partOf !== undefined ? rows.map(partOf) : rows).map(row => ({ key: row.key, revision: row.revision, value: row.value ?? null, deleted: row.deleted }))
}
