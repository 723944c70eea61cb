/**
 * Collects the parts of a message.
 *
 * @packageDocumentation
 */

/** Collects bytes. Small parts are copied into shared blocks, since each would cost memory of its own. */
export interface ByteCollector {
  push: (part: Uint8Array) => void
  /** Number of bytes collected so far. */
  sizeBytes: () => number
  /** Returns all bytes in order; nothing may be pushed afterwards. */
  take: () => Buffer
}

/** Minimum size of a part that is kept as it is, in bytes: each buffer costs memory beside its bytes. */
const LARGE_PART_BYTES = 1_024
/** Number of parts that are kept as they are whatever their size, as an ordinary message has few. */
const UNCOPIED_PART_COUNT = 8
/** Size of the first block for small parts, in bytes; each further one is twice as large, up to a limit. */
const FIRST_BLOCK_BYTES = 1_024
const BLOCK_LIMIT_BYTES = 65_536

/**
 * Creates an empty collector.
 *
 * @returns The collector.
 */
export function createByteCollector (): ByteCollector {
  /** Complete parts in order. */
  const parts: Uint8Array[] = []
  /** Block for small parts, and the number of its bytes in use. */
  let block: Buffer | undefined
  let blockBytes = FIRST_BLOCK_BYTES
  let usedBytes = 0
  let sizeBytes = 0
  const closeBlock = (): void => {
    if (block !== undefined && usedBytes > 0) parts.push(block.subarray(0, usedBytes))
    block = undefined
    usedBytes = 0
  }
  return {
    push: part => {
      sizeBytes += part.length
      if (part.length >= LARGE_PART_BYTES || parts.length < UNCOPIED_PART_COUNT) {
        closeBlock()
        parts.push(part)
        return
      }
      if (block !== undefined && usedBytes + part.length > block.length) {
        closeBlock()
        blockBytes = Math.min(BLOCK_LIMIT_BYTES, blockBytes * 2)
      }
      block ??= Buffer.allocUnsafeSlow(blockBytes)
      block.set(part, usedBytes)
      usedBytes += part.length
    },
    sizeBytes: () => sizeBytes,
    take: () => {
      closeBlock()
      return Buffer.concat(parts, sizeBytes)
    }
  }
}
