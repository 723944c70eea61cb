/**
 * Grouping of items by a key.
 *
 * @packageDocumentation
 */

/**
 * Groups items by a key.
 *
 * @param items - The items.
 * @param keyOf - Returns the key of an item.
 * @returns The items by key, in their order.
 */
export function groupBy<Item, Key> (items: Iterable<Item>, keyOf: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
