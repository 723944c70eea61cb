/**
 * How many calls a second an endpoint takes from all gateways together, as its answers say.
 *
 * Answers endpoints in need that ask for less load. Answers overtake one another, and gateways tell
 * each other of them, so each statement carries the times between which it was made, and none is
 * replaced by one that may be older.
 *
 * @packageDocumentation
 */

/** What an answer of an endpoint says. */
export interface LimitStatement {
  /** Calls a second; undefined where the answer names no limit. */
  readonly callsPerSecond: number | undefined
  /** When the call was sent that was answered, in milliseconds: the statement is not older. */
  readonly askedAtMs: number
  /** When the answer came, in milliseconds: the statement is not newer. */
  readonly heardAtMs: number
}

/**
 * Merges two statements of one start of an endpoint. Of two that cannot be put in order the stricter one holds, until one that is certainly later is heard.
 *
 * @param current - What is known; undefined where the endpoint never named a limit.
 * @param received - What was heard.
 * @returns What holds.
 */
export function merge (current: LimitStatement | undefined, received: LimitStatement): LimitStatement | undefined {
  if (current === undefined) return received.callsPerSecond === undefined ? undefined : received
  if (received.askedAtMs >= current.heardAtMs) return received
  if (current.askedAtMs >= received.heardAtMs) return current
  if (current.callsPerSecond !== received.callsPerSecond) return (current.callsPerSecond ?? Infinity) < (received.callsPerSecond ?? Infinity) ? current : received
  return { ...received, askedAtMs: Math.max(current.askedAtMs, received.askedAtMs), heardAtMs: Math.max(current.heardAtMs, received.heardAtMs) }
}
