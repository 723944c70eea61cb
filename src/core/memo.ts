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
export function byIdentity<Source extends object, Value> (derive: (source: Source) => Value): (source: Source) => Value {
  const known = new WeakMap<Source, Value>()
  return source => {
    const found = known.get(source)
    if (found !== undefined) return found
    const value = derive(source)
    known.set(source, value)
    return value
  }
}
