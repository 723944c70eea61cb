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
export interface Statement {
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
 * @param known - What is known; undefined where the endpoint never named a limit.
 * @param told - What was heard.
 * @returns What holds.
 */
export function merge (known: Statement | undefined, told: Statement): Statement | undefined {
  if (known === undefined) return told.callsPerSecond === undefined ? undefined : told
  if (told.askedAtMs >= known.heardAtMs) return told
  if (known.askedAtMs >= told.heardAtMs) return known
  if (known.callsPerSecond !== told.callsPerSecond) return (known.callsPerSecond ?? Infinity) < (told.callsPerSecond ?? Infinity) ? known : told
  return { ...told, askedAtMs: Math.max(known.askedAtMs, told.askedAtMs), heardAtMs: Math.max(known.heardAtMs, told.heardAtMs) }
}
