/**
 * Stand-in of the platform's transactional table service.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as HttpServer from '../src/edge/httpServer.ts'
import * as Decode from '../src/schema/decode.ts'
import * as Platform from '../src/schema/platform.ts'
import * as Faults from './faults.ts'

/** A running table service. */
export interface TableService extends Faults.StandIn {
  /** Reads a row directly, past all faults. */
  peek: (table: string, key: string) => Platform.Row | undefined
  rowsOf: (table: string) => Platform.Row[]
  counts: () => { readCount: number, writeCount: number, rowWriteCount: number, scanCount: number }
}

const ReadRequest = Schema.Struct({ rows: Schema.Array(Schema.Struct({ table: Schema.String, key: Schema.String })) })
const ScanRequest = Schema.Struct({ table: Schema.String, prefix: Schema.String, limitCount: Schema.Number })

/**
 * Starts a table service with nothing in it.
 *
 * @param options - Port and seed of its faults.
 * @returns The service.
 */
export async function createTableService (options: { port?: number, seed?: number } = {}): Promise<TableService> {
  const tables = new Map<string, Map<string, Platform.Row>>()
  const counts = { readCount: 0, writeCount: 0, rowWriteCount: 0, scanCount: 0 }
  let revision = 0
  const find = (table: string, key: string): Platform.Row | undefined => tables.get(table)?.get(key)

  const transact = (transaction: Platform.Transaction): Platform.TransactionAnswer => {
    counts.writeCount++
    const conflicts = transaction.conditions
      .filter(condition => (find(condition.table, condition.key)?.revision ?? 0) !== condition.revision)
      .map(condition => find(condition.table, condition.key) ?? { table: condition.table, key: condition.key, revision: 0, value: null })
    if (conflicts.length > 0) return { committed: false, revision, conflicts }
    revision++
    counts.rowWriteCount += transaction.writes.length
    for (const write of transaction.writes) {
      const rows = tables.get(write.table) ?? new Map<string, Platform.Row>()
      tables.set(write.table, rows)
      if (write.value === null) rows.delete(write.key)
      else rows.set(write.key, { ...write, revision })
    }
    return { committed: true, revision, conflicts: [] }
  }
  const read = (request: typeof ReadRequest.Type): unknown => {
    counts.readCount += request.rows.length
    return { rows: request.rows.flatMap(row => find(row.table, row.key) ?? []) }
  }
  const scan = (request: typeof ScanRequest.Type): unknown => {
    counts.readCount++
    counts.scanCount++
    const rows = [...(tables.get(request.table)?.values() ?? [])].filter(row => row.key.startsWith(request.prefix))
    rows.sort((a, b) => a.key < b.key ? -1 : 1)
    return { rows: rows.slice(0, request.limitCount) }
  }
  const standIn = await Faults.createStandIn({
    ...options,
    routes: [
      jsonRoute('/transact', Platform.Transaction, transact),
      jsonRoute('/read', ReadRequest, read),
      jsonRoute('/scan', ScanRequest, scan),
      { method: 'GET', path: '/counts', handle: (_request, response) => { HttpServer.sendJson(response, 200, counts) } }
    ]
  })
  return {
    ...standIn,
    peek: find,
    rowsOf: table => [...(tables.get(table)?.values() ?? [])],
    counts: () => ({ ...counts })
  }
}

function jsonRoute<T> (path: string, schema: Decode.Codec<T>, answer: (value: T) => unknown): HttpServer.Route {
  const decode = Decode.json(schema)
  return {
    method: 'POST',
    path,
    handle: async (request, response) => {
      const decoded = decode(await Faults.readText(request))
      if (decoded.isErr()) { HttpServer.sendJson(response, 400, { error: Decode.describe(decoded.error) }); return }
      HttpServer.sendJson(response, 200, answer(decoded.value))
    }
  }
}
