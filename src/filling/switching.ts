/**
 * Schedule of the switch to a new version.
 *
 * An endpoint takes no calls while it switches. Under full load the endpoints therefore switch one
 * after the other, within the time allowed for the version.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Ports from './ports.ts'

/** Inputs for the time of a switch. */
export interface VersionSwitch {
  readonly model: string
  readonly version: number
  /** Last time at which the loaded version is known to have been the newest, in milliseconds. Calls may require its successor from then on, even if that one was superseded in turn. */
  readonly supersededAtMs: number
  /** Time allowed for a named version to reach all endpoints, in milliseconds. */
  readonly versionMs: number
  readonly ownName: string
  /** Names of the agents that switch; the own name may be missing. */
  readonly agentNames: readonly string[]
}

/** Share of the allowed time after which the first endpoint switches; the weights are rarely distributed before. */
const FIRST_SWITCH_SHARE = 0.55
/** Share of the allowed time after which the last endpoint switches; the rest is for ending a batch and loading the weights. */
const LAST_SWITCH_SHARE = 0.9

/**
 * Returns the time at which an endpoint that serves an older version starts its switch.
 *
 * @param versionSwitch - The version and the agents that switch.
 * @returns The earliest time, in milliseconds.
 */
export function switchAtMs (versionSwitch: VersionSwitch): number {
  const names = versionSwitch.agentNames.includes(versionSwitch.ownName) ? versionSwitch.agentNames : [...versionSwitch.agentNames, versionSwitch.ownName]
  const rank = Core.Hash.rendezvous(`${versionSwitch.model}/${versionSwitch.version}`, names).indexOf(versionSwitch.ownName)
  const share = names.length === 1 ? FIRST_SWITCH_SHARE : FIRST_SWITCH_SHARE + (LAST_SWITCH_SHARE - FIRST_SWITCH_SHARE) * rank / (names.length - 1)
  return versionSwitch.supersededAtMs + share * versionSwitch.versionMs
}

/** Time that an engine has to end its running calls after it stopped getting new ones, in milliseconds; most answers of a batch end within it. */
const RETIRE_LIMIT_MS = 1_300
/** Maximum number of running calls that are cut off at once instead of being waited for. */
const CUT_LIMIT_COUNT = 2

/**
 * Chooses how a serving engine loads a version.
 *
 * The last answers of a batch can run for seconds while all other slots are empty. They are cut off
 * if gateways can resume them at other endpoints.
 *
 * @param activeCount - Number of running calls.
 * @param retiredForMs - Time since the engine stopped getting new calls, in milliseconds.
 * @param resumable - Whether every stream of the service may be resumed at another endpoint.
 * @returns The mode; undefined while the engine should go on with its running calls.
 */
export function loadMode (activeCount: number, retiredForMs: number, resumable: boolean): Ports.LoadMode | undefined {
  if (!resumable || activeCount === 0) return 'afterRunning'
  return activeCount <= CUT_LIMIT_COUNT || retiredForMs >= RETIRE_LIMIT_MS ? 'cutting' : undefined
}

/** Share of the allowed time within which the naming of the next version makes agents skip a version: it is not distributed by then, and the next one can still arrive in time. */
const SKIP_SHARE = 0.35

/** Fetch progress of a named version. */
export interface FetchProgress {
  readonly version: number
  /** Time at which the version was named, in milliseconds. */
  readonly namedAtMs: number
  /** Share of the version's chunks that the agent holds, from 0 to 1. */
  readonly heldShare: number
}

/**
 * Chooses the version to fetch. All agents have to agree on it, since they fetch from each other.
 *
 * @param named - The named versions that are not loaded, the oldest first.
 * @param versionMs - Time allowed for a named version to reach all endpoints, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns The version; undefined if there is nothing to fetch.
 */
export function versionToFetch (named: readonly FetchProgress[], versionMs: number, nowMs: number): number | undefined {
  const isWorthFetching = (progress: FetchProgress, index: number): boolean => {
    const next = named[index + 1]
    return next === undefined || (next.namedAtMs - progress.namedAtMs > SKIP_SHARE * versionMs && nowMs - progress.namedAtMs < versionMs)
  }
  return named.find((progress, index) => progress.heldShare < 1 && isWorthFetching(progress, index))?.version
}

/**
 * Chooses the version to load: the newest one that the agent holds completely.
 *
 * @param named - The named versions that are not loaded, the oldest first.
 * @returns The version; undefined if none is complete.
 */
export function versionToLoad (named: readonly FetchProgress[]): number | undefined {
  return named.filter(progress => progress.heldShare === 1).at(-1)?.version
}

/**
 * Chooses the incomplete version whose chunks are staged already: a restarted agent then finds them at the engine.
 *
 * @param named - The named versions that are not loaded, the oldest first.
 * @returns The oldest version with a chunk; undefined if the agent holds no chunk.
 */
export function versionToStage (named: readonly FetchProgress[]): number | undefined {
  return named.find(progress => progress.heldShare > 0)?.version
}

/**
 * Returns the time since a version was named, for the log.
 *
 * @param namedAtMs - The time at which the version was named, in milliseconds; -Infinity if that was before the process started.
 * @param nowMs - The current time, in milliseconds.
 * @returns The whole milliseconds since then; undefined if the time is not known.
 */
export function sinceNamedMs (namedAtMs: number | undefined, nowMs: number): number | undefined {
  return namedAtMs === undefined || namedAtMs === -Infinity ? undefined : Math.round(nowMs - namedAtMs)
}
