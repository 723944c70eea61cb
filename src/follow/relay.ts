/**
 * Hands accepted rows to processes that cannot reach the store.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
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

const RelayPage = Schema.Struct({
  known: Schema.Boolean,
  revision: Schema.Int,
  rows: Schema.Array(Schema.Struct({ key: Schema.String, revision: Schema.Int, value: Schema.Unknown, deleted: Schema.Boolean }))
})
const decode = Decode.lenient(RelayPage)

/** A table that can be handed on. */
export interface Relayed {
  readonly mirror: Rows.Mirror
  isKnown: () => boolean
}

/**
 * Makes the route that serves a process's rows.
 *
 * @param tableOf - Finds a table by its name.
 * @returns The route.
 */
export function createRelayRoute (tableOf: (table: string) => Relayed | undefined): HttpServer.Route {
  return {
    method: 'GET',
    path: RELAY_PATH,
    handle: (request, response) => {
      const query = new URL(request.url ?? '/', 'http://relay').searchParams
      const table = tableOf(query.get('table') ?? '')
      const page = table?.mirror.since(Number(query.get('after') ?? 0)) ?? { rows: [], revision: 0 }
      const rows = page.rows.map(row => ({ key: row.key, revision: row.revision, value: row.value ?? null, deleted: row.deleted }))
      HttpServer.sendJson(response, 200, { known: table?.isKnown() ?? false, revision: page.revision, rows })
    }
  }
}

/**
 * Makes the function that asks other processes for rows.
 *
 * @param peers - The processes that may be asked.
 * @param random - Chooses among them.
 * @returns Asks a few processes in turn; undefined when none answers with a known table.
 */
export function createAsker (peers: () => ReadonlyArray<Pick<Members.Member, 'host' | 'port'>>, random: Core.Random.Random): (table: string, revision: number) => Promise<Rows.Page | undefined> {
  return async (table, revision) => {
    const left = [...peers()]
    for (let count = 0; count < ASKED_COUNT && left.length > 0; count++) {
      const [target] = left.splice(random.below(left.length), 1)
      if (target === undefined) break
      const path = `${RELAY_PATH}?table=${encodeURIComponent(table)}&after=${revision}`
      const answer = await HttpClient.sendJson(target, 'GET', path, undefined, RELAY_TIMEOUT_MS).catch(() => undefined)
      const page = decode(answer?.value)
      if (page.isOk() && page.value.known) return { rows: page.value.rows, revision: page.value.revision }
    }
    return undefined
  }
}
