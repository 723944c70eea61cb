/**
 * Reads the bodies of requests within the memory for clients.
 *
 * Answers bodies that arrive in very small parts, stop just short of their end, or announce more than they
 * send: what is held grows with what has arrived, and is given up first where a client makes no progress.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import type * as ClientMemory from './clientMemory.ts'

/** Why there is no body: it exceeds the size limit, the client disconnected, it arrived too slowly, or there is no memory for it. */
export type BodyFailure = 'tooLarge' | 'gone' | ClientMemory.Eviction

/** Result of reading a body: the body, undefined for a request without one, or why there is none. */
export type BodyResult = Buffer | undefined | BodyFailure

/** Bounds of reading a body. */
export interface BodyReadOptions {
  /** The size limit, in bytes. */
  readonly limitBytes: number
  /** Time by which the body has to be complete, in milliseconds. */
  readonly deadlineAtMs: number
  readonly memory: ClientMemory.ClientMemory
  readonly clock: () => number
  /** Called once if the body arrives in very small parts, each of which takes as long to handle as a large one. */
  readonly onSmallParts?: ((socket: Net.Socket) => void) | undefined
}

/** Number of parts of a body at which their mean size is checked, and the mean size below which they count as very small, in bytes. */
const SMALL_PARTS_COUNT = 512
const SMALL_PART_BYTES = 64
/** Memory that is taken for a body whose length is not known, in bytes. */
const FIRST_CAPACITY_BYTES = 4_096
/** Estimated memory of a header field after parsing, in bytes: two strings and their entries in two tables. */
const HEADER_FIELD_BYTES = 160
/** Number of header fields that count for nothing, as in any usual request. */
const FREE_HEADER_FIELD_COUNT = 64

/**
 * Reads a request's body, up to a size limit and within the memory for clients.
 *
 * @param request - The request.
 * @param options - The bounds.
 * @param onBody - Called once with the body, or why there is none, and with what is held for the request; to be released when its answer has been sent. After a failure nothing is held.
 */
export function read (request: Http.IncomingMessage, options: BodyReadOptions, onBody: (body: BodyResult, holding: ClientMemory.Holding) => void): void {
  const { limitBytes, memory, clock } = options
  const announcedBytes = Number(request.headers['content-length'] ?? 0)
  const hasBody = announcedBytes > 0 || request.headers['transfer-encoding'] !== undefined
  let buffer: Buffer | undefined
  let sizeBytes = 0
  let partCount = 0
  let isSettled = false
  const settle = (body: BodyResult): void => {
    if (isSettled) return
    isSettled = true
    buffer = undefined
    request.removeListener('data', onData)
    if (typeof body === 'string') holding.release()
    else holding.settle()
    onBody(body, holding)
  }
  const headerBytes = Math.max(0, request.rawHeaders.length / 2 - FREE_HEADER_FIELD_COUNT) * HEADER_FIELD_BYTES
  const holding = memory.open(clock(), hasBody ? { deadlineAtMs: options.deadlineAtMs, onEvicted: settle } : undefined)
  /** Makes room for a size. The buffer grows by doubling, so that many small parts cost no memory of their own. */
  const reserve = (neededBytes: number, nowMs: number): boolean => {
    const capacityBytes = buffer?.length ?? 0
    if (neededBytes <= capacityBytes) return true
    const wantedBytes = Math.max(neededBytes, capacityBytes * 2, FIRST_CAPACITY_BYTES)
    const grownBytes = announcedBytes > 0 ? Math.min(announcedBytes, wantedBytes) : Math.min(limitBytes, wantedBytes)
    // The old and the new buffer exist side by side while the bytes are copied.
    if (!holding.resize(headerBytes + capacityBytes + grownBytes, nowMs)) return false
    const grown = Buffer.allocUnsafeSlow(grownBytes)
    buffer?.copy(grown, 0, 0, sizeBytes)
    buffer = grown
    return holding.resize(headerBytes + grownBytes, nowMs)
  }
  const onData = (part: Buffer): void => {
    const nowMs = clock()
    if (sizeBytes + part.length > limitBytes) { settle('tooLarge'); return }
    // A body that arrives in one piece is used as it is.
    if (part.length === announcedBytes && holding.resize(headerBytes + part.length, nowMs)) {
      buffer = part
      sizeBytes = part.length
      return
    }
    if (!reserve(sizeBytes + part.length, nowMs)) { settle('noRoom'); return }
    if (buffer !== undefined) part.copy(buffer, sizeBytes)
    sizeBytes += part.length
    holding.recordProgress(part.length, nowMs)
    if (++partCount === SMALL_PARTS_COUNT && sizeBytes < SMALL_PARTS_COUNT * SMALL_PART_BYTES) options.onSmallParts?.(request.socket)
  }
  if (announcedBytes > limitBytes) { settle('tooLarge'); return }
  if (!holding.resize(headerBytes, clock())) { settle('noRoom'); return }
  request.on('data', onData)
  request.on('end', () => { settle(buffer?.subarray(0, sizeBytes)) })
  request.on('close', () => { if (!request.complete) settle('gone') })
}
