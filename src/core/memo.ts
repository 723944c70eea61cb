/**
 * Memoization of values derived from immutable documents.
 *
 * @packageDocumentation
 */

/**
 * Memoizes a function by the identity of its argument. An undefined result is not cached.
 *
 * @param derive - Computes the value.
 * @returns The memoized function.
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
