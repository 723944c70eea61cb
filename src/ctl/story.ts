/**
 * Finds out from log lines what became of a call, and why.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'

type Line = Schemas.LogLines.LogLine

/** Why a call ended as it did. */
export type Cause =
  | 'served' | 'late' | 'overCapacity' | 'noEndpoint' | 'notReady' | 'outdated' | 'stopping' | 'retriesUsedUp' | 'outOfTime' | 'quarantined'
  | 'versionChange' | 'endpointGone' | 'endpointSilent' | 'endpointRefused' | 'endpointFailed' | 'answerLost' | 'answerSpoilt'
  | 'tooSlow' | 'callerLeft' | 'denied' | 'unknown'

/** A call as the lines tell it. */
export interface Story {
  readonly callId: string
  /** The lines about the call, the oldest first. */
  readonly lines: readonly Line[]
  /** Lines about its endpoints, and where it found none about its gateway's beliefs, near the time of its end. */
  readonly around: readonly Line[]
  readonly cause: Cause
  /** The cause in words. */
  readonly because: string
  /** What the lines leave open. */
  readonly missing: readonly string[]
}

interface Found { readonly cause: Cause, readonly because: string }
interface Evidence { readonly lines: readonly Line[], readonly around: readonly Line[], readonly end: Line | undefined }

/** Lines about an endpoint count as near within so long of an attempt, in milliseconds: silence is noticed after a second, the store tells of a lost endpoint within two. */
const NEAR_MS = 3_000
/** Beliefs that leave a call without an endpoint may be so old, in milliseconds: a version has about so long to be everywhere. */
const BELIEF_MS = 10_000
const UNSERVED_LINES: ReadonlySet<string> = new Set(['Call refused.', 'Call failed.', 'Failure passed on.', 'Call cancelled.', 'Call denied.'].map(sentence => `routing: ${sentence}`))
const END_LINES: ReadonlySet<string> = new Set([...UNSERVED_LINES, 'routing: Call answered.'])
const BELIEF_LINE = /^(endpoints|control|weights|store): /

/** Tells stories from one set of lines. */
export interface Teller {
  /**
   * Tells the story of a call.
   *
   * @param callId - The id of the caller's attempt.
   * @returns The story; undefined when no line is about the call.
   */
  tell: (callId: string) => Story | undefined
  /** The calls that were not answered, by id in order. */
  unservedIds: () => readonly string[]
}

/**
 * Creates a teller.
 *
 * @param all - Lines of all processes, in any order.
 * @returns The teller.
 */
export function createTeller (all: readonly Line[]): Teller {
  const byCall = new Map<string, Line[]>()
  /** Lines about no call: beliefs, starts and stops. */
  const others: Line[] = []
  for (const line of [...all].sort(byTime)) {
    const { callId } = line
    if (typeof callId !== 'string') others.push(line)
    else byCall.set(callId, [...byCall.get(callId) ?? [], line])
  }
  const endOf = (lines: readonly Line[]): Line | undefined => lines.filter(line => END_LINES.has(line.msg)).at(-1)
  return {
    tell: callId => {
      const lines = byCall.get(callId)
      if (lines === undefined) return undefined
      const end = endOf(lines)
      const around = linesAround(others, lines, end)
      return { callId, lines, around, ...findCause({ lines, around, end }), missing: missingOf(others, lines, end) }
    },
    unservedIds: () => [...byCall].flatMap(([callId, lines]) => UNSERVED_LINES.has(endOf(lines)?.msg ?? '') ? [callId] : []).sort()
  }
}

/**
 * Writes a line for a person to read.
 *
 * @param line - The line.
 * @param startMs - The time that counts as zero, in milliseconds.
 * @returns Its time, process, message and fields.
 */
export function describe (line: Line, startMs: number): string {
  const { level, time, program, instanceId, msg, ...fields } = line
  return [`${Math.round(time - startMs)} ms`.padStart(9), instanceId, msg, ...Object.entries(fields).filter(([name]) => name !== 'callId').map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)].join(' ')
}

function byTime (a: Line, b: Line): number {
  return a.time - b.time
}

function linesAround (others: readonly Line[], lines: readonly Line[], end: Line | undefined): readonly Line[] {
  const endpointIds = new Set(lines.flatMap(line => typeof line.endpointId === 'string' ? [line.endpointId] : []))
  const from = (lines[0]?.time ?? 0) - NEAR_MS
  const until = (lines.at(-1)?.time ?? 0) + NEAR_MS
  const agentIds = agentsBeside(others, endpointIds)
  const ofEndpoints = others.filter(line => line.time >= from && line.time <= until && (endpointIds.has(String(line.endpointId)) || agentIds.has(line.instanceId)))
  if (endpointIds.size > 0 || end === undefined) return ofEndpoints
  return others.filter(line => line.instanceId === end.instanceId && line.time <= end.time && line.time >= end.time - BELIEF_MS && BELIEF_LINE.test(line.msg))
}

/** Finds the agents beside endpoints by the addresses that gateways and agents tell. */
function agentsBeside (others: readonly Line[], endpointIds: ReadonlySet<string>): ReadonlySet<string> {
  const addresses = new Set(others.filter(line => line.msg === 'endpoints: Endpoint listed.' && endpointIds.has(String(line.endpointId))).map(line => `${String(line.host)}:${String(line.port)}`))
  const addressOf = (endpoint: unknown): string => {
    const { host, port } = endpoint as { host: string, port: number }
    return `${host}:${port}`
  }
  return new Set(others.filter(line => line.msg === 'agent: Agent started.' && addresses.has(addressOf(line.endpoint))).map(line => line.instanceId))
}

function findCause (evidence: Evidence): Found {
  const { end } = evidence
  if (end === undefined) return { cause: 'unknown', because: 'no line tells how the call ended' }
  return ENDS[end.msg]?.(end, evidence) ?? { cause: 'unknown', because: `nothing is known of ${end.msg}` }
}

/** Finds the cause by how the call ended. */
const ENDS: Readonly<Record<string, (end: Line, evidence: Evidence) => Found>> = {
  'routing: Call answered.': end => {
    const beganMs = Number(end.firstMs ?? end.tookMs)
    return beganMs > Number(end.goalMs)
      ? { cause: 'late', because: `the answer began after ${beganMs} ms, over the goal of ${String(end.goalMs)} ms` }
      : { cause: 'served', because: `the answer began after ${beganMs} ms, within the goal of ${String(end.goalMs)} ms` }
  },
  'routing: Call refused.': (end, { around, lines }) => REFUSALS[String(end.reason)]?.(end, around, lines) ?? { cause: 'unknown', because: `refused for ${String(end.reason)}` },
  'routing: Call failed.': (end, evidence) => end.code === 'deadlineRunning'
    ? slowCause(end, evidence)
    : attemptCause(evidence) ?? { cause: 'unknown', because: `failed with ${String(end.code)}, and no attempt tells why` },
  'routing: Failure passed on.': (end, evidence) => attemptCause(evidence) ?? { cause: 'endpointFailed', because: `the endpoint answered ${String(end.status)}` },
  'routing: Call cancelled.': end => ({ cause: 'callerLeft', because: `the caller left after ${String(end.tookMs)} ms, the goal being ${String(end.goalMs)} ms` }),
  'routing: Call denied.': end => ({ cause: 'denied', because: `denied with ${String(end.code)} under deployment ${String(end.deploymentVersion)}` })
}

/** Says what refused a call, by the reason of the refusal. */
const REFUSALS: Readonly<Record<string, (end: Line, around: readonly Line[], lines: readonly Line[]) => Found>> = {
  overCapacity: end => end.candidateCount === 0 ? { cause: 'overCapacity', because: nobodySentence(end) } : ({ cause: 'overCapacity', because: `${String(end.candidateCount)} endpoints could serve the call; the best, ${String(end.bestId)} with ${String(end.busyCount)} calls, would have begun after ${String(end.bestMs)} ms, the goal being ${String(end.goalMs)} ms and ${String(end.ageMs)} ms gone` }),
  noEndpoint: end => ({ cause: 'noEndpoint', because: nobodySentence(end) }),
  stopping: () => ({ cause: 'stopping', because: 'the gateway was stopping, and the call might not have ended before the process' }),
  outdated: () => ({ cause: 'outdated', because: 'the deployment in force does not allow the call, and the gateway knew that a newer one exists' }),
  notReady: () => ({ cause: 'notReady', because: 'the gateway knew no deployment yet' }),
  outOfTime: end => ({ cause: 'outOfTime', because: `no endpoint had room within the deadline; the call waited ${String(end.tookMs)} ms` }),
  quarantined: end => ({ cause: 'quarantined', because: `endpoints ended under the request ${String(end.digest ?? '')} again and again, so it is kept from them` }),
  retriesUsedUp: (_end, around, lines) => {
    const found = attemptCause({ lines, around, end: undefined })
    return { cause: 'retriesUsedUp', because: `the repeats of the service were used up${found === undefined ? '' : `, after ${found.because}`}` }
  }
}

function nobodySentence (end: Line): string {
  const ruledOut = Object.entries((end.ruledOut ?? {}) as Readonly<Record<string, number>>).map(([hurdle, count]) => `${count} ${hurdle}`)
  return `no endpoint could serve the call: ${ruledOut.join(', ') || 'none is listed'}`
}

function slowCause (end: Line, { lines }: Evidence): Found {
  const sent = lines.filter(line => line.msg === 'routing: Call sent.').at(-1)
  return { cause: 'tooSlow', because: `the deadline passed after ${String(end.tookMs)} ms while attempt ${String(end.attemptCount)} ran at ${String(sent?.endpointId)}, which was to begin after ${String(sent?.predictedMs)} ms with ${String(sent?.busyCount)} calls there` }
}

/** Says why the last attempt failed: what the processes beside the endpoint tell goes before what the gateway saw. */
function attemptCause ({ lines, around }: Evidence): Found | undefined {
  const attempt = lines.filter(line => line.msg === 'routing: Attempt ended.').at(-1)
  if (attempt === undefined) return undefined
  const seen = `${String(attempt.endpointId)} (${String(attempt.reason)} after ${String(attempt.tookMs)} ms, ${String(attempt.end)}, then ${String(attempt.next)})`
  const found = SIGNS.find(sign => sign.holds(attempt, around))
  return found === undefined ? { cause: 'unknown', because: seen } : { cause: found.cause, because: `${found.because}: ${seen}` }
}

interface Sign { readonly cause: Cause, readonly because: string, readonly holds: (attempt: Line, around: readonly Line[]) => boolean }

const reasonHas = (pattern: RegExp) => (attempt: Line): boolean => pattern.test(String(attempt.reason))
const isNear = (attempt: Line, around: readonly Line[], msg: string, has: (line: Line) => boolean = () => true): boolean =>
  around.some(line => line.msg === msg && Math.abs(line.time - attempt.time) <= NEAR_MS && has(line))

/** Signs of causes, the most certain first. */
const SIGNS: readonly Sign[] = [
  { cause: 'versionChange', because: 'the engine was told to load a version and cut the answer', holds: (attempt, around) => attempt.end === 'broken' && isNear(attempt, around, 'weights: Engine told to load.', line => line.mode === 'cutting') },
  { cause: 'answerSpoilt', because: 'the answer was not whole or belonged to another call', holds: reasonHas(/does not belong|not whole|in place of/) },
  { cause: 'endpointRefused', because: 'the endpoint refused', holds: reasonHas(/^endpoint refused/) },
  { cause: 'endpointFailed', because: 'the endpoint failed', holds: reasonHas(/^endpoint failed/) },
  { cause: 'endpointSilent', because: 'the endpoint fell silent', holds: reasonHas(/^nothing heard/) },
  { cause: 'endpointGone', because: 'the endpoint went away', holds: (attempt, around) => attempt.end === 'notRun' || isNear(attempt, around, 'endpoints: Endpoint no longer listed.') || isNear(attempt, around, 'weights: Engine does not answer.') || isNear(attempt, around, 'endpoints: Endpoint listed.', line => line.time > attempt.time - Number(attempt.tookMs)) },
  { cause: 'answerLost', because: 'the connection broke though the endpoint stayed', holds: reasonHas(/^(answering|waiting|sending)|reset|closed|hang up/i) }
]

function missingOf (others: readonly Line[], lines: readonly Line[], end: Line | undefined): string[] {
  const sentCount = lines.filter(line => line.msg === 'routing: Call sent.').length
  const attemptCount = Number(end?.attemptCount ?? sentCount)
  const gatewayIds = new Set(lines.map(line => line.instanceId))
  const leftOut = others.filter(line => line.msg === 'log: Lines left out.' && gatewayIds.has(line.instanceId) && Math.abs(line.time - (lines.at(-1)?.time ?? 0)) <= NEAR_MS)
  return [
    ...(end === undefined ? ['the line that tells how the call ended'] : []),
    ...(sentCount < attemptCount ? [`${attemptCount - sentCount} lines of attempts that were sent`] : []),
    ...leftOut.map(line => `lines left out by ${line.instanceId}: ${JSON.stringify(line.leftOut)}`)
  ]
}
