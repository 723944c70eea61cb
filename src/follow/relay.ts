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
const ASKED_COUNT = 2
/** Longest time that a read is held, in milliseconds. */
const HELD_LIMIT_MS = 10_000
/** Reads held at once; a process that is asked for more refuses. */
const HELD_LIMIT_COUNT = 512
/** A process that works says at once that it holds a read, in milliseconds. */
const HEAD_MS = 600
/** An answer may come so long after the wait, and its bytes with such pauses, in milliseconds. */
const HELD_SLACK_MS = 600
/** Readers of held reads hear at most so often that rows are arriving, in milliseconds. */
const ARRIVING_EVERY_MS = 100
/** Stands before the JSON of an answer that is still to come. */
const SIGN_OF_LIFE = ' '

const RelayRows = Schema.Array(Schema.Struct({ key: Schema.String, revision: Schema.Int, value: Schema.Unknown, deleted: Schema.Boolean }))
const RelayPage = Schema.Struct({ known: Schema.Boolean, revision: Schema.Int, rows: RelayRows })
const HeldAnswer = Schema.Struct({
  /** Rows as of a revision, the lack of removals, or a refusal. */
  answer: Schema.Literals(['rows', 'historyGone', 'refused']),
  reason: Schema.optional(Schema.String),
  revision: Schema.optional(Schema.Int),
  madeAtMs: Schema.optional(Schema.Number),
  rows: Schema.optional(RelayRows)
})
const decode = Decode.lenient(RelayPage)
const decodeHeld = Decode.lenient(HeldAnswer)

/** Why rows are not handed on to processes that read here in the store's place. */
export type Refusal = 'unknown' | 'lost' | 'indirect' | 'busy' | 'stopping'

/** A table that can be handed on. */
export interface Relayed {
  readonly mirror: Rows.Mirror
  isKnown: () => boolean
  /** How the table is handed on to processes that read here in the store's place; undefined where it is not. */
  readonly shared?: Shared
  /** Cuts a row down to the part that some processes act on; the same for a row that is cut already. */
  readonly partOf?: (row: Rows.Row) => Rows.Row
  /** Whether the rows held may be such parts already. */
  readonly isPart?: boolean
}

/** How a table is handed on to processes that read here in the store's place. */
export interface Shared {
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
interface Asked {
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
export function createRelayRoute (tableOf: (table: string) => Relayed | undefined): RelayRoute {
  const held = new Set<() => void>()
  let closed = false
  const refusalOf = (entry: Relayed | undefined, asked: Asked): Refusal | undefined => {
    if (closed) return 'stopping'
    if (entry?.shared === undefined || !entry.isKnown() || !mayServe(entry, asked.isPart)) return 'unknown'
    return entry.shared.refusal()
  }
  const answerOf = (entry: Relayed | undefined, asked: Asked): typeof HeldAnswer.Type => {
    const reason = refusalOf(entry, asked)
    if (entry === undefined || reason !== undefined) return { answer: 'refused', reason: reason ?? 'unknown' }
    const { mirror } = entry
    if (asked.after !== undefined && asked.after < mirror.wholeRevision()) return { answer: 'historyGone' }
    const rows = asked.after === undefined ? mirror.live() : changesOf(mirror, asked.after)
    // A row that other processes told may be of a later time than the page, and it hides the one before it under its key: the page is whole as of no time then.
    const madeAtMs = mirror.rowRevision() > mirror.revision() ? undefined : mirror.madeAtMs()
    return { answer: 'rows', revision: mirror.revision(), rows: wireRows(entry, rows, asked.isPart), ...(madeAtMs === undefined ? {} : { madeAtMs }) }
  }
  const hold = (entry: Relayed, after: number, waitMs: number, response: Http.ServerResponse, finish: () => void): void => {
    const end = (): void => {
      for (const stop of stops) stop()
      held.delete(end)
      finish()
    }
    let toldAtMs = performance.now()
    const timer = setTimeout(end, waitMs)
    const stops = [
      () => { clearTimeout(timer) },
      entry.mirror.onChange(() => { if (changesOf(entry.mirror, after).length > 0) end() }),
      entry.shared?.onArriving(() => {
        if (performance.now() - toldAtMs < ARRIVING_EVERY_MS) return
        toldAtMs = performance.now()
        response.write(SIGN_OF_LIFE)
      }) ?? (() => {})
    ]
    held.add(end)
    response.once('close', end)
  }
  const serveHeld = (entry: Relayed | undefined, asked: Asked, waitMs: number, response: Http.ServerResponse): void => {
    response.writeHead(200, { 'content-type': 'application/json' })
    const finish = (): void => { if (!response.writableEnded && !response.destroyed) response.end(JSON.stringify(answerOf(entry, asked))) }
    const { after } = asked
    if (held.size >= HELD_LIMIT_COUNT) { response.end(JSON.stringify({ answer: 'refused', reason: 'busy' } satisfies typeof HeldAnswer.Type)); return }
    if (entry === undefined || after === undefined || refusalOf(entry, asked) !== undefined || after < entry.mirror.wholeRevision() || changesOf(entry.mirror, after).length > 0) { finish(); return }
    response.write(SIGN_OF_LIFE)
    hold(entry, after, waitMs, response, finish)
  }
  return {
    route: {
      method: 'GET',
      path: RELAY_PATH,
      handle: (request, response) => {
        const query = new URL(request.url ?? '/', 'http://relay').searchParams
        const entry = tableOf(query.get('table') ?? '')
        const isPart = query.has('part')
        const after = Number(query.get('after') ?? 0)
        const wait = query.get('wait')
        if (wait !== null) { serveHeld(entry, { after: query.has('after') ? after : undefined, isPart }, Math.min(Number(wait), HELD_LIMIT_MS), response); return }
        const known = entry !== undefined && entry.isKnown() && mayServe(entry, isPart)
        const page = known ? entry.mirror.since(after) : { rows: [], revision: 0 }
        HttpServer.sendJson(response, 200, { known, revision: page.revision, rows: known ? wireRows(entry, page.rows, isPart) : [] })
      }
    },
    close: () => {
      closed = true
      for (const end of [...held]) end()
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
export function createAsker (peers: () => readonly Peer[], random: Core.Random.Random, isPart = false): (table: string, revision: number) => Promise<Rows.Page | undefined> {
  return async (table, revision) => {
    const left = [...peers()]
    for (let count = 0; count < ASKED_COUNT && left.length > 0; count++) {
      const [target] = left.splice(random.below(left.length), 1)
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
export interface HeldRead {
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
export async function readHeld (read: HeldRead): Promise<Neverthrow.Result<Rows.Page, Rows.ReadFailure>> {
  const { target, table, after, waitMs, isPart, onArriving } = read
  const path = `${RELAY_PATH}?table=${encodeURIComponent(table)}&wait=${waitMs}${after === undefined ? '' : `&after=${after}`}${isPart ? '&part=1' : ''}`
  const timeoutMs = waitMs + HELD_SLACK_MS
  try {
    const answer = await HttpClient.sendText({ target, method: 'GET', path, timeoutMs, headMs: Math.min(HEAD_MS, timeoutMs), arrivingMs: HELD_SLACK_MS, onArriving })
    return decodeHeld(answer.value).match<Neverthrow.Result<Rows.Page, Rows.ReadFailure>>(toResult, problems => Neverthrow.err({ kind: 'unavailable', reason: Decode.describe(problems) }))
  } catch (error) {
    return Neverthrow.err({ kind: error instanceof HttpClient.TransportError && error.timedOut ? 'silent' : 'unavailable', reason: (error as Error).message })
  }
}

function toResult ({ answer, reason = 'no rows', revision, madeAtMs, rows }: typeof HeldAnswer.Type): Neverthrow.Result<Rows.Page, Rows.ReadFailure> {
  if (answer === 'historyGone') return Neverthrow.err({ kind: 'historyGone' })
  if (answer === 'refused' || revision === undefined || rows === undefined) return Neverthrow.err({ kind: 'unavailable', reason })
  return Neverthrow.ok({ rows, revision, madeAtMs })
}

/** The rows changed after a revision, without those that other processes told beyond what the store did. */
function changesOf (mirror: Rows.Mirror, after: number): readonly Rows.Row[] {
  return mirror.since(after).rows.filter(row => row.revision <= mirror.revision())
}

/** Rows that are parts already are no answer for processes that act on the whole. */
function mayServe (entry: Relayed, isPart: boolean): boolean {
  return isPart ? entry.partOf !== undefined : entry.isPart !== true
}

function wireRows (entry: Relayed, rows: readonly Rows.Row[], isPart: boolean): Rows.Row[] {
  const { partOf } = entry
  return (isPart && partOf !== undefined ? rows.map(partOf) : rows).map(row => ({ key: row.key, revision: row.revision, value: row.value ?? null, deleted: row.deleted }))
}
