/**
 * State of a call from its arrival to its end.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as ByteCollector from '../edge/byteCollector.ts'
import type * as Routing from '../routing/index.ts'
import type * as Bodies from './bodies.ts'
import type * as Dialect from './dialect.ts'
import type * as Events from './events.ts'
import type * as Quarantine from './quarantine.ts'
import type * as Upstream from './upstream.ts'

/** An attempt in flight: one call sent to one endpoint. */
export interface Attempt {
  readonly row: Routing.Endpoints.EndpointRow
  /** The endpoint's entry when the call was sent. */
  readonly listing: Routing.Endpoints.Listing
  readonly exchange: Upstream.Exchange
  readonly sentAtMs: number
  readonly isResumption: boolean
  /** When the first complete event arrived from the endpoint, in milliseconds; undefined before that. */
  begunAtMs: number | undefined
  /** Rank with which the attempt counts as not begun; undefined once it has begun, and for a service without ranks. */
  pendingRank: Routing.Ranks.Rank | undefined
  /** Prompt tokens that count as not yet processed by the endpoint; 0 once the answer has begun. */
  pendingPromptTokens: number
  /** When the answer last made progress, in milliseconds: the head, bytes of a body, or a complete event of a stream. */
  lastReceivedAtMs: number
  /** Whether the attempt is kept although its endpoint has been silent for too long. */
  isKeptDespiteSilence: boolean
  /** When the attempt became the current one again after it had stalled, in milliseconds; -Infinity if that has not happened. */
  reinstatedAtMs: number
  head: { readonly status: number, readonly metadata: Dialect.AnswerMetadata, readonly rawHeaders: string[], readonly declaredLength: string | undefined, readonly isStream: boolean, readonly isFramed: boolean } | undefined
  readonly body: ByteCollector.ByteCollector
  splitter: Events.EventSplitter | undefined
}

/** A failure answer of an endpoint, kept in case no other endpoint gives a better one. */
export interface EndpointFailure {
  readonly head: Bodies.AnswerHead
  readonly body: Buffer
}

/** A call that has not ended. */
export interface Call extends Routing.Waiting.WaitingCall {
  readonly callId: string
  readonly route: Routing.Deployment.Route
  readonly workspace: Routing.Deployment.Workspace | undefined
  readonly metadata: Dialect.CallMetadata
  readonly requirements: Routing.Choice.CallRequirements & { readonly triedIds: Set<string> }
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
  readonly body: Buffer | undefined
  /** Time from the caller's first attempt until this call arrived, in milliseconds. */
  readonly ageAtArrivalMs: number
  /** When the deadline of the caller or the route passes, whichever is first, in milliseconds. */
  readonly deadlineAtMs: number
  resuming: boolean
  late: boolean
  waitingSinceMs: number
  attempt: Attempt | undefined
  /** An attempt that fell silent in the middle of a stream; kept until another endpoint continues the stream. */
  stalledAttempt: Attempt | undefined
  attemptCount: number
  possibleRunCount: number
  failure: EndpointFailure | undefined
  /** Identify the request and its shared parts, the same for each attempt of its caller; undefined until they are needed. */
  keys: Quarantine.RequestKeys | undefined
  /** The probe that tests whether the call's quarantined request still crashes endpoints; undefined if the call is none. */
  probe: Routing.Evidence.Trial | undefined
  /** The body of the stream that answers the call; undefined until its first event. */
  stream: Bodies.StreamBody | undefined
  lastEventId: string | undefined
  eventCount: number
  firstEventAtMs: number
  lastEventAtMs: number
  /** The longest time between two events, in milliseconds. */
  longestPauseMs: number
  done: boolean
  deadlineTimer: NodeJS.Timeout | undefined
}
