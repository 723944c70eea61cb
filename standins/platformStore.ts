/**
 * A stand-in of the platform's metadata store, spoken to by its published protocol, with faults.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Link from './link.ts'

/** Pieces of an answer that is sent slowly. */
const PIECE_COUNT = 6

interface StoredRow {
  readonly table: string
  readonly part: string
  readonly key: string
  readonly value: string | undefined
  readonly schema_version: number
  readonly deleted?: boolean
}

/** How the store misbehaves. */
export interface StoreFaults {
  /** Answers 503 to everything. */
  down: boolean
  /** Answers 503 to reads of these tables. */
  readonly unreadableTables: Set<string>
  /** Takes requests and answers none. */
  silent: boolean
  /** Begins its answers so many milliseconds late. */
  lateMs: number
  /** Sends its answers in pieces with so many milliseconds between them; 0 for at once. */
  pieceMs: number
  /** The link that all answers pass. */
  link: Link.Link
  /** The store's era, named in all answers; undefined for none. */
  era: number | undefined
  /** Answers 410 to feeds that begin below this revision. */
  historyFrom: number
  /** Until then requests are still on their way. */
  arrival: Promise<void> | undefined
  /** Takes transactions and neither answers them nor carries them out yet. */
  holdsTransactions: boolean
}

/** A running stand-in. */
export interface PlatformStore {
  readonly port: number
  readonly faults: StoreFaults
  /** Writes a row as an operator or an endpoint would; bytes are written as they are. */
  put: (table: string, key: string, value: unknown) => number
  drop: (table: string, key: string) => number
  /** Transactions that are held. */
  heldCount: () => number
  /** Carries out the transactions that were held, as far as their conditions hold, without an answer; tells how many there were. */
  carryOutHeld: () => number
  /** Makes a copy of all rows; returns a function that restores the store from it, in the next era, and breaks all connections. */
  copy: () => () => void
  /** Breaks all connections, as at the start of an outage. */
  cut: () => void
  /** The rows of a table that are not deleted. */
  rows: (table: string) => Array<{ readonly key: string, readonly value: unknown }>
  /** What was read, in order. */
  readonly reads: ReadonlyArray<{ readonly table: string, readonly keys: readonly string[] }>
  /** Feeds that were answered with 410. */
  goneCount: () => number
  /** Requests with a text in their path that are still on their way. */
  lateCount: (text: string) => number
  close: () => Promise<void>
}

/**
 * Starts the stand-in on loopback.
 *
 * @param nowMs - Its steady clock, in milliseconds.
 * @returns The store.
 */
export async function startPlatformStore (nowMs: () => number = () => performance.now()): Promise<PlatformStore> {
  const rows = new Map<string, StoredRow>()
  const faults: StoreFaults = { down: false, unreadableTables: new Set(), silent: false, lateMs: 0, pieceMs: 0, link: Link.createLink(Infinity), era: undefined, historyFrom: 0, arrival: undefined, holdsTransactions: false }
  const held: string[] = []
  const waiting = new Set<() => void>()
  const reads: Array<{ readonly table: string, readonly keys: readonly string[] }> = []
  const noteRead = (table: string, found: readonly StoredRow[]): StoredRow[] => {
    reads.push({ table, keys: found.map(row => row.key) })
    return [...found]
  }
  const sockets = new Set<Net.Socket>()
  let revision = 1
  let goneFeeds = 0
  const late: string[] = []

  const set = (table: string, key: string, value: string | undefined, deleted: boolean): number => {
    revision++
    rows.set(`${table}/${key}`, { table, part: '', key, value, schema_version: revision, ...(deleted ? { deleted } : {}) })
    for (const wake of [...waiting]) wake()
    return revision
  }
  const ofTable = (table: string): StoredRow[] => [...rows.values()].filter(row => row.table === table)
  const live = (table: string): StoredRow[] => ofTable(table).filter(row => row.deleted !== true).sort((a, b) => a.key < b.key ? -1 : 1)

  const feed = (query: URLSearchParams, answer: (status: number, body: object) => void): void => {
    const after = Number(query.get('after_revision'))
    if (after < faults.historyFrom || after > revision) {
      goneFeeds++
      answer(410, {})
      return
    }
    const changed = (): StoredRow[] => ofTable(query.get('table') ?? '').filter(row => row.schema_version > after).sort((a, b) => a.schema_version - b.schema_version)
    const finish = (): void => {
      clearTimeout(timer)
      waiting.delete(check)
      answer(200, { rows: noteRead(query.get('table') ?? '', changed()), schema_version: revision, now_ms: nowMs() })
    }
    const check = (): void => { if (changed().length > 0) finish() }
    const timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0))
    waiting.add(check)
    check()
  }
  const transact = (text: string, answer: (status: number, body: object) => void): void => {
    const body = JSON.parse(text) as { precondition: Array<{ table: string, key: string, schema_version: number }>, write: Array<{ table: string, key: string, value: string }>, remove: Array<{ table: string, key: string }> }
    const stored = body.precondition.map(({ table, key }) => rows.get(`${table}/${key}`)).map(row => row?.deleted === true ? undefined : row)
    if (body.precondition.some((condition, at) => condition.schema_version !== (stored[at]?.schema_version ?? 0))) {
      answer(412, { rows: stored.filter(row => row !== undefined), schema_version: revision, now_ms: nowMs() })
      return
    }
    for (const write of body.write) set(write.table, write.key, write.value, false)
    for (const removed of body.remove) set(removed.table, removed.key, undefined, true)
    answer(200, { schema_version: revision, now_ms: nowMs() })
  }
  const server = Http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store')
    const answer = (status: number, body: object): void => {
      if (faults.lateMs === 0) send(status, body)
      else setTimeout(() => { send(status, body) }, faults.lateMs)
    }
    const send = (status: number, body: object): void => {
      response.writeHead(status, { 'content-type': 'application/json', ...(faults.era === undefined ? {} : { 'Store-Era': faults.era }) })
      const text = JSON.stringify(body)
      if (faults.pieceMs === 0) void Link.writeThrough(response, Buffer.from(text), faults.link)
      else sendSlowly(response, text, faults.pieceMs)
    }
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    request.on('end', () => {
      if (faults.arrival === undefined) { take(); return }
      late.push(request.url ?? '/')
      void faults.arrival.then(() => {
        late.splice(late.indexOf(request.url ?? '/'), 1)
        take()
      })
    })
    const take = (): void => {
      if (faults.silent) return
      if (faults.down || faults.unreadableTables.has(url.searchParams.get('table') ?? '')) { answer(503, {}); return }
      const handlers: Record<string, () => void> = {
        '/rows-get': () => { answer(200, { rows: noteRead(url.searchParams.get('table') ?? '', live(url.searchParams.get('table') ?? '')), has_more: false, schema_version: revision, now_ms: nowMs() }) },
        '/rows-feed': () => { feed(url.searchParams, answer) },
        '/rows-tx': () => {
          const text = Buffer.concat(parts).toString()
          if (faults.holdsTransactions) held.push(text)
          else transact(text, answer)
        }
      }
      const handle = handlers[url.pathname]
      if (handle === undefined) answer(404, {})
      else handle()
    }
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const cut = (): void => { for (const socket of sockets) socket.destroy() }
  return {
    port: (server.address() as Net.AddressInfo).port,
    faults,
    reads,
    put: (table, key, value) => set(table, key, Buffer.isBuffer(value) ? value.toString('base64') : Buffer.from(JSON.stringify(value)).toString('base64'), false),
    drop: (table, key) => set(table, key, undefined, true),
    heldCount: () => held.length,
    carryOutHeld: () => {
      const texts = held.splice(0)
      for (const text of texts) transact(text, () => {})
      return texts.length
    },
    copy: () => {
      const [copiedRows, copiedRevision] = [[...rows], revision]
      return () => {
        rows.clear()
        for (const [id, row] of copiedRows) rows.set(id, row)
        revision = copiedRevision
        faults.era = (faults.era ?? 0) + 1
        cut()
      }
    },
    cut,
    rows: table => live(table).map(row => ({ key: row.key, value: JSON.parse(Buffer.from(row.value ?? '', 'base64').toString()) })),
    goneCount: () => goneFeeds,
    lateCount: text => late.filter(path => path.includes(text)).length,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    }
  }
}

function sendSlowly (response: Http.ServerResponse, text: string, pieceMs: number): void {
  const pieceLength = Math.ceil(text.length / PIECE_COUNT)
  let at = 0
  const timer = setInterval(() => {
    response.write(text.slice(at, at + pieceLength))
    at += pieceLength
    if (at < text.length) return
    clearInterval(timer)
    response.end()
  }, pieceMs)
  response.once('close', () => { clearInterval(timer) })
}
