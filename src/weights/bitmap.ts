/**
 * Sets of chunk indices as bitmaps, in the encoding that agents exchange.
 *
 * @packageDocumentation
 */

/** A set of chunk indices. */
export interface Bitmap {
  readonly sizeCount: number
  readonly bits: Uint8Array
}

/**
 * Creates an empty bitmap.
 *
 * @param sizeCount - Number of indices that it can hold.
 * @returns The bitmap.
 */
export function createBitmap (sizeCount: number): Bitmap {
  return { sizeCount, bits: new Uint8Array(Math.ceil(sizeCount / 8)) }
}

/**
 * Returns whether an index is in the set.
 *
 * @param bitmap - The set.
 * @param index - The index.
 * @returns True if the set contains the index.
 */
export function has (bitmap: Bitmap, index: number): boolean {
  return ((bitmap.bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0
}

/**
 * Adds an index to the set.
 *
 * @param bitmap - The set.
 * @param index - The index.
 */
export function add (bitmap: Bitmap, index: number): void {
  bitmap.bits[index >> 3] = (bitmap.bits[index >> 3] ?? 0) | (1 << (index & 7))
}

/**
 * Removes an index from the set.
 *
 * @param bitmap - The set.
 * @param index - The index.
 */
export function remove (bitmap: Bitmap, index: number): void {
  bitmap.bits[index >> 3] = (bitmap.bits[index >> 3] ?? 0) & ~(1 << (index & 7))
}

/**
 * Adds every index of another set of the same size.
 *
 * @param bitmap - The set that is changed.
 * @param other - The other set.
 */
export function merge (bitmap: Bitmap, other: Bitmap): void {
  other.bits.forEach((byte, at) => { bitmap.bits[at] = (bitmap.bits[at] ?? 0) | byte })
}

/**
 * Counts the indices in the set.
 *
 * @param bitmap - The set.
 * @returns Number of indices.
 */
export function count (bitmap: Bitmap): number {
  let total = 0
  for (const byte of bitmap.bits) {
    for (let rest = byte; rest !== 0; rest &= rest - 1) total++
  }
  return total
}

/**
 * Returns whether every index is in the set.
 *
 * @param bitmap - The set.
 * @returns True if no index is missing.
 */
export function isFull (bitmap: Bitmap): boolean {
  return count(bitmap) === bitmap.sizeCount
}

/**
 * Encodes a bitmap for a message.
 *
 * @param bitmap - The set.
 * @returns Its bits in base64.
 */
export function encode (bitmap: Bitmap): string {
  return Buffer.from(bitmap.bits).toString('base64')
}

/**
 * Decodes a bitmap from a message; bits beyond the size are ignored.
 *
 * @param text - Bits in base64.
 * @param sizeCount - Number of indices.
 * @returns The set.
 */
export function decode (text: string, sizeCount: number): Bitmap {
  const bitmap = createBitmap(sizeCount)
  const bytes = Buffer.from(text, 'base64')
  for (let index = 0; index < sizeCount; index++) {
    if (((bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0) add(bitmap, index)
  }
  return bitmap
}
