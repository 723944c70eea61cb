/**
 * Rate limits that endpoints state in their answers: how many calls per second an endpoint accepts from all gateways together.
 *
 * An overloaded endpoint uses them to ask for less load. Answers may arrive out of order, and gateways
 * forward the limits to each other, so each statement carries the times between which it was made, and
 * no statement is replaced by one that may be older.
 *
 * @packageDocumentation
 */

/** The limit that an answer of an endpoint states. */
export interface LimitStatement {
  /** Calls per second; undefined if the answer states no limit. */
  readonly callsPerSecond: number | undefined
  /** When the answered call was sent, in milliseconds: the statement is not older. */
  readonly askedAtMs: number
  /** When the answer arrived, in milliseconds: the statement is not newer. */
  readonly heardAtMs: number
}

/**
 * Merges two statements of the same start of an endpoint. If their order cannot be determined, the stricter one applies until a statement that is certainly later is received.
 *
 * @param current - The current statement; undefined if the endpoint has never stated a limit.
 * @param received - The received statement.
 * @returns The statement that applies; undefined if the endpoint has never stated a limit.
 */
export function merge (current: LimitStatement | undefined, received: LimitStatement): LimitStatement | undefined {
  if (current === undefined) return received.callsPerSecond === undefined ? undefined : received
  if (received.askedAtMs >= current.heardAtMs) return received
  if (current.askedAtMs >= received.heardAtMs) return current
  if (current.callsPerSecond !== received.callsPerSecond) return (current.callsPerSecond ?? Infinity) < (received.callsPerSecond ?? Infinity) ? current : received
  return { ...received, askedAtMs: Math.max(current.askedAtMs, received.askedAtMs), heardAtMs: Math.max(current.heardAtMs, received.heardAtMs) }
}
