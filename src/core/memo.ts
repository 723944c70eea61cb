/**
 * Values derived from immutable documents, computed once for each document.
 *
 * @packageDocumentation
 */

/**
 * Makes a function that remembers its results by the identity of its argument.
 *
 * @param derive - Computes the value.
 * @returns The remembering function.
 */
export function memoizeByIdentity<Source extends object, Value> (derive: (source: Source) => Value): (source: Source) => Value {
  const valueBySource = new WeakMap<Source, Value>()
  return source => {
    const cached = valueBySource.get(source)
    if (cached !== undefined) return cached
    const value = derive(source)
    valueBySource.set(source, value)
    return value
  }
}
