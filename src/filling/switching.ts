/**
 * When an endpoint changes to a new version.
 *
 * Answers a new version under full load: an endpoint takes no calls while it changes, so the
 * endpoints change one after the other within the time that the version has.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Ports from './ports.ts'

/** What the time of a change depends on. */
export interface VersionSwitch {
  readonly model: string
  readonly version: number
  /** Until when the loaded version is shown to have been the newest, in milliseconds: calls are bound by the one after it also where that was superseded. */
  readonly supersededAtMs: number
  /** Time by which a version has to be everywhere, in milliseconds. */
  readonly versionMs: number
  readonly ownName: string
  readonly agentNames: readonly string[]
}

/** Weights are hardly ever spread before this share of the time. */
const FIRST_SWITCH_SHARE = 0.55
/** The last endpoint begins its change at this share of the time: a batch has to end and the weights have to be loaded. */
const LAST_SWITCH_SHARE = 0.9

/**
 * Works out when an endpoint that serves an older version begins its change.
 *
 * @param versionSwitch - The version and the endpoints.
 * @returns The earliest time in milliseconds.
 */
export function switchAtMs (versionSwitch: VersionSwitch): number {
  const names = versionSwitch.agentNames.includes(versionSwitch.ownName) ? versionSwitch.agentNames : [...versionSwitch.agentNames, versionSwitch.ownName]
  const rank = Core.Hash.rendezvous(`${versionSwitch.model}/${versionSwitch.version}`, names).indexOf(versionSwitch.ownName)
  const share = names.length === 1 ? FIRST_SWITCH_SHARE : FIRST_SWITCH_SHARE + (LAST_SWITCH_SHARE - FIRST_SWITCH_SHARE) * rank / (names.length - 1)
  return versionSwitch.supersededAtMs + share * versionSwitch.versionMs
}

/** An engine that takes no new calls is given so long to end what runs, in milliseconds: most answers of a batch end within it. */
const RETIRE_LIMIT_MS = 1_300
/** So few calls are cut off rather than waited for. */
const CUT_LIMIT_COUNT = 2

/**
 * Decides how a serving engine is told to load.
 *
 * Answers the tail of a batch: its last answers run for seconds while all other places are empty.
 * They are cut off where gateways can go on with them elsewhere.
 *
 * @param activeCount - Calls that run.
 * @param retiredForMs - How long the engine has been given no new calls, in milliseconds.
 * @param resumable - Whether every stream of the service may go on at another endpoint.
 * @returns The mode; undefined while the engine is to go on ending what runs.
 */
export function loadMode (activeCount: number, retiredForMs: number, resumable: boolean): Ports.LoadMode | undefined {
  if (!resumable || activeCount === 0) return 'afterRunning'
  return activeCount <= CUT_LIMIT_COUNT || retiredForMs >= RETIRE_LIMIT_MS ? 'cutting' : undefined
}

/** A version is skipped when the next one is named within this share of the time that it has: it is not spread by then, and the next one still is in time. */
const SKIP_SHARE = 0.35

/** How far the fetch of a named version has come. */
export interface FetchProgress {
  readonly version: number
  readonly namedAtMs: number
  readonly heldShare: number
}

/**
 * Chooses the version to fetch. All agents come to the same choice, since they fetch from one another.
 *
 * @param named - The named versions that are not loaded, the oldest first.
 * @param versionMs - Time by which a version has to be everywhere, in milliseconds.
 * @param nowMs - The time.
 * @returns The version; undefined when all are held.
 */
export function versionToFetch (named: readonly FetchProgress[], versionMs: number, nowMs: number): number | undefined {
  const isWorthFetching = (progress: FetchProgress, at: number): boolean => {
    const next = named[at + 1]
    return next === undefined || (next.namedAtMs - progress.namedAtMs > SKIP_SHARE * versionMs && nowMs - progress.namedAtMs < versionMs)
  }
  return named.find((progress, at) => progress.heldShare < 1 && isWorthFetching(progress, at))?.version
}

/**
 * Chooses the version to load: the newest that is held whole.
 *
 * @param named - The named versions that are not loaded, the oldest first.
 * @returns The version; undefined when none is held whole.
 */
export function versionToLoad (named: readonly FetchProgress[]): number | undefined {
  return named.filter(progress => progress.heldShare === 1).at(-1)?.version
}

/**
 * Chooses the version of which chunks are staged before all are held, so that an agent that is restarted meanwhile finds them at the engine.
 *
 * @param named - The named versions that are not loaded, the oldest first.
 * @returns The version; undefined when no chunk is held.
 */
export function versionToStage (named: readonly FetchProgress[]): number | undefined {
  return named.find(progress => progress.heldShare > 0)?.version
}

/**
 * Tells how long ago a version was named, for the log.
 *
 * @param namedAtMs - When it was named, in milliseconds; -Infinity when that was before the process started.
 * @param nowMs - The time.
 * @returns Whole milliseconds; undefined where it is not known.
 */
export function sinceNamedMs (namedAtMs: number | undefined, nowMs: number): number | undefined {
  return namedAtMs === undefined || namedAtMs === -Infinity ? undefined : Math.round(nowMs - namedAtMs)
}
