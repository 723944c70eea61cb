/**
 * Tables of entities by key, iterated in insertion order.
 *
 * @packageDocumentation
 */

/** Rows of one kind of entity, by key. */
export interface Table<Row> {
  readonly name: string
  get: (key: string) => Row | undefined
  set: (key: string, row: Row) => void
  remove: (key: string) => boolean
  has: (key: string) => boolean
  rows: () => IterableIterator<Row>
  keys: () => IterableIterator<string>
  count: () => number
  clear: () => void
}

/**
 * Creates an empty table.
 *
 * @param name - Name used in logs and snapshots.
 * @returns The table.
 */
export function createTable<Row> (name: string): Table<Row> {
  const rows = new Map<string, Row>()
  return {
    name,
    get: key => rows.get(key),
    set: (key, row) => { rows.set(key, row) },
    remove: key => rows.delete(key),
    has: key => rows.has(key),
    rows: () => rows.values(),
    keys: () => rows.keys(),
    count: () => rows.size,
    clear: () => { rows.clear() }
  }
}
