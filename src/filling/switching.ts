/**
 * When an endpoint changes to a new version.
 *
 * Answers a new version under full load: an endpoint takes no calls while it changes, so the
 * endpoints change one after the other within the time that the version has.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** What the time of a change depends on. */
export interface Switch {
  readonly model: string
  readonly version: number
  /** When the version was named, in milliseconds. */
  readonly namedAtMs: number
  /** Time by which the version has to be everywhere, in milliseconds. */
  readonly versionMs: number
  readonly own: string
  readonly names: readonly string[]
}

/** Weights are hardly ever spread before this share of the time. */
const FIRST_SHARE = 0.4
/** The last endpoint begins its change at this share of the time: a batch has to end and the weights have to be loaded. */
const LAST_SHARE = 0.75

/**
 * Works out when an endpoint that serves an older version begins its change.
 *
 * @param change - The version and the endpoints.
 * @returns The earliest time in milliseconds.
 */
export function startAtMs (change: Switch): number {
  const names = change.names.includes(change.own) ? change.names : [...change.names, change.own]
  const rank = Core.Hash.rendezvous(`${change.model}/${change.version}`, names).indexOf(change.own)
  const share = names.length === 1 ? FIRST_SHARE : FIRST_SHARE + (LAST_SHARE - FIRST_SHARE) * rank / (names.length - 1)
  return change.namedAtMs + share * change.versionMs
}

/** Share of the chunks from which on an older version is finished before a newer one is begun. */
const FINISH_SHARE = 0.6

/**
 * Chooses the version to work on when a newer one is named.
 *
 * @param current - The version being fetched, with its progress; undefined for none.
 * @param newest - The newest version named.
 * @returns The version to work on.
 */
export function versionToFill (current: { readonly version: number, readonly heldShare: number, readonly loaded: boolean } | undefined, newest: number): number {
  if (current === undefined || current.loaded || current.version >= newest) return newest
  return current.heldShare >= FINISH_SHARE ? current.version : newest
}
