/**
 * A rate-limited link that its users share fairly, piece by piece.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'

/** A link with a rate. */
export interface Link {
  /** Waits until so many bytes have passed. */
  pass: (sizeBytes: number) => Promise<void>
  passedBytes: () => number
  setRate: (bytesPerSecond: number) => void
}

const PIECE_BYTES = 16 * 1024

/**
 * Creates a link.
 *
 * @param bytesPerSecond - The rate; Infinity for none.
 * @returns The link.
 */
export function createLink (bytesPerSecond: number): Link {
  let rate = bytesPerSecond
  let freeAtMs = 0
  let passed = 0
  return {
    pass: async sizeBytes => {
      passed += sizeBytes
      if (rate === Infinity) return
      const nowMs = performance.now()
      freeAtMs = Math.max(nowMs, freeAtMs) + sizeBytes * 1000 / rate
      const waitMs = freeAtMs - nowMs
      if (waitMs > 1) await new Promise(resolve => setTimeout(resolve, waitMs))
    },
    passedBytes: () => passed,
    setRate: next => { rate = next }
  }
}

/**
 * Writes a body through a link.
 *
 * @param response - The response, its head written.
 * @param body - The bytes.
 * @param link - The link to pass.
 */
export async function writeThrough (response: Http.ServerResponse, body: Uint8Array, link: Link): Promise<void> {
  for (let at = 0; at < body.length && !response.destroyed; at += PIECE_BYTES) {
    const piece = body.subarray(at, at + PIECE_BYTES)
    await link.pass(piece.length)
    response.write(piece)
  }
  response.end()
}
