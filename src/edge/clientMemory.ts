/**
 * Accounts for the memory that clients make a process hold, and decides who gives way when it runs short.
 *
 * Answers crowds of clients that send large or finely split requests and stop half-way, or that do not read
 * their answers. What a client makes the process hold is taken from a budget before it is held. When the
 * budget is used up, the holders that lag furthest behind a minimum rate give way first; a holder that makes
 * progress keeps what it has, and the newcomer is refused. Small requests may use a part of the budget that
 * large ones cannot, so that ordinary clients are served beside large requests.
 *
 * @packageDocumentation
 */

/** Why a holder has to give way. */
export type Eviction = 'noRoom' | 'tooSlow'

/** Something that is held for a client. */
export interface Holding {
  /** Bytes taken from the budget. */
  readonly heldBytes: () => number
  /**
   * Changes what is held. Holders that lag behind give way if there is no room.
   *
   * @param bytes - The new size, in bytes.
   * @param nowMs - The current time, in milliseconds.
   * @returns Whether there was room; otherwise the size is unchanged.
   */
  resize: (bytes: number, nowMs: number) => boolean
  /** Records that the client sent bytes. */
  recordProgress: (bytes: number, nowMs: number) => void
  /** Records that the client owes nothing more: from now on the holding gives way to nobody. */
  settle: () => void
  /** Gives everything back. */
  release: () => void
}

/** How a client's request is being received. */
export interface Receipt {
  /** Time by which the client has to have sent everything, in milliseconds. */
  readonly deadlineAtMs: number
  /** Called when the client has to give way; the holding was already released. */
  readonly onEvicted: (cause: Eviction) => void
}

/** The memory that a process may hold for clients. */
export interface ClientMemory {
  /**
   * Starts to hold something for a client.
   *
   * @param nowMs - The current time, in milliseconds.
   * @param receipt - How its request is being received; undefined if the client owes nothing.
   * @returns The holding, still empty.
   */
  open: (nowMs: number, receipt?: Receipt) => Holding
  /** Evicts the holders whose deadline has passed. */
  evictOverdue: (nowMs: number) => void
  usedBytes: () => number
  holdingCount: () => number
}

/** Memory of a process that is not available for clients, in bytes: the program, its heap in calm and its connections to other processes. */
const RESERVED_BYTES = 110_000_000
/** Share of the rest that is held for clients; connections, parsed headers and garbage need the other part. */
const CLIENT_SHARE = 0.5
/** Minimum size of the budget, in bytes: several requests of the usual maximum size. */
const MIN_BUDGET_BYTES = 16_000_000
/** Maximum size of the budget, in bytes: headers are held in the heap, whose size is fixed when the process starts. */
const MAX_BUDGET_BYTES = 64_000_000
/** Size up to which a holding may use the whole budget, in bytes. */
const SMALL_HOLDING_BYTES = 64 * 1024
/** Share of the budget that larger holdings may use together with all others. */
const LARGE_SHARE = 0.75
/** Minimum mean rate at which a client is expected to send, in bytes per millisecond: a slow mobile link. */
const MIN_RATE_BYTES_PER_MS = 16
/** Time for which a client may lag behind the minimum rate before it can be made to give way, in milliseconds: round trips and a lost packet. */
const MAX_LAG_MS = 500

/**
 * Calculates the budget of a process.
 *
 * @param memoryBytes - Memory that the process may use, in bytes; undefined if it is not limited.
 * @returns The budget, in bytes.
 */
export function budgetBytesOf (memoryBytes: number | undefined): number {
  if (memoryBytes === undefined) return MAX_BUDGET_BYTES
  return Math.min(MAX_BUDGET_BYTES, Math.max(MIN_BUDGET_BYTES, (memoryBytes - RESERVED_BYTES) * CLIENT_SHARE))
}

interface HoldingRow extends Holding {
  readonly receipt: Receipt | undefined
  readonly lagMs: (nowMs: number) => number
}

/**
 * Creates the account of one process.
 *
 * @param budgetBytes - The budget, in bytes.
 * @returns The account, with nothing held.
 */
export function createClientMemory (budgetBytes: number): ClientMemory {
  /** Holders that may have to give way: their clients still owe something. */
  const receiving = new Set<HoldingRow>()
  let usedBytes = 0
  let holdingCount = 0

  const evict = (holding: HoldingRow, cause: Eviction): void => {
    holding.release()
    holding.receipt?.onEvicted(cause)
  }
  const makeRoom = (neededBytes: number, limitBytes: number, requester: HoldingRow, nowMs: number): boolean => {
    const hasRoom = (): boolean => usedBytes + neededBytes <= limitBytes
    if (hasRoom()) return true
    const lagging = [...receiving].filter(holding => holding !== requester && holding.heldBytes() > 0 && holding.lagMs(nowMs) > MAX_LAG_MS)
    for (const holding of lagging.sort((a, b) => b.lagMs(nowMs) - a.lagMs(nowMs))) {
      evict(holding, 'noRoom')
      if (hasRoom()) return true
    }
    return false
  }

  return {
    open: (nowMs, receipt) => {
      let heldBytes = 0
      /** Time up to which the client has kept to the minimum rate, in milliseconds. */
      let onPaceUntilMs = nowMs
      let isReleased = false
      const holding: HoldingRow = {
        receipt,
        heldBytes: () => heldBytes,
        lagMs: atMs => atMs - onPaceUntilMs,
        resize: (bytes, atMs) => {
          if (isReleased) return false
          const limitBytes = bytes <= SMALL_HOLDING_BYTES ? budgetBytes : budgetBytes * LARGE_SHARE
          if (bytes > heldBytes && !makeRoom(bytes - heldBytes, limitBytes, holding, atMs)) return false
          usedBytes += bytes - heldBytes
          heldBytes = bytes
          return true
        },
        recordProgress: (bytes, atMs) => { onPaceUntilMs = Math.min(atMs, onPaceUntilMs + bytes / MIN_RATE_BYTES_PER_MS) },
        settle: () => { receiving.delete(holding) },
        release: () => {
          if (isReleased) return
          isReleased = true
          receiving.delete(holding)
          usedBytes -= heldBytes
          heldBytes = 0
          holdingCount--
        }
      }
      holdingCount++
      if (receipt !== undefined) receiving.add(holding)
      return holding
    },
    evictOverdue: nowMs => {
      for (const holding of [...receiving]) if ((holding.receipt?.deadlineAtMs ?? Infinity) <= nowMs) evict(holding, 'tooSlow')
    },
    usedBytes: () => usedBytes,
    holdingCount: () => holdingCount
  }
}
