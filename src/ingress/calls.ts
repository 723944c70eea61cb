/**
 * A caller's call from its arrival to its end.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import type * as Routing from '../routing/index.ts'
import type * as Dialect from './dialect.ts'
import type * as Events from './events.ts'
import type * as Upstream from './upstream.ts'

/** An attempt that a call has under way. */
export interface Attempt {
  readonly row: Routing.Endpoints.EndpointRow
  /** The endpoint as it was listed when the call was sent. */
  readonly listing: Routing.Endpoints.Listing
  readonly exchange: Upstream.Exchange
  readonly sentAtMs: number
  readonly isResumption: boolean
  /** Whether the endpoint has sent an event. */
  hasBegun: boolean
  /** Prompt tokens counted as unread at the endpoint; 0 once the answer has begun. */
  pendingPromptTokens: number
  /** When bytes of the answer came last, in milliseconds. */
  lastReceivedAtMs: number
  /** Whether the attempt was kept in spite of its endpoint's silence. */
  isKeptDespiteSilence: boolean
  /** When the attempt was gone on with since no other endpoint took the stream, in milliseconds; -Infinity where that has not happened. */
  reinstatedAtMs: number
  head: { readonly status: number, readonly facts: Dialect.AnswerMetadata, readonly rawHeaders: string[], readonly isStream: boolean, readonly isFramed: boolean } | undefined
  readonly bodyParts: Buffer[]
  receivedBodyBytes: number
  splitter: Events.EventSplitter | undefined
}

/** A failure that an endpoint answered, kept in case no other endpoint does better. */
export interface EndpointFailure {
  readonly status: number
  readonly rawHeaders: string[]
  /** Whether the endpoint told where the answer ends. */
  readonly isFramed: boolean
  readonly body: Buffer
}

/** A call that has no final answer yet. */
export interface Call extends Routing.Waiting.WaitingCall {
  readonly callId: string
  readonly route: Routing.Deployment.Route
  readonly workspace: Routing.Deployment.Workspace | undefined
  readonly facts: Dialect.CallMetadata
  readonly requirements: Routing.Choice.CallRequirements & { readonly triedIds: Set<string> }
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
  readonly body: Buffer | undefined
  /** Time since the caller first asked when the call arrived, in milliseconds. */
  readonly ageAtArrivalMs: number
  /** When the caller or the route gives up, in milliseconds. */
  readonly deadlineAtMs: number
  resuming: boolean
  late: boolean
  waitingSinceMs: number
  attempt: Attempt | undefined
  /** An attempt that fell silent in the middle of a stream, until another endpoint goes on with it. */
  stalledAttempt: Attempt | undefined
  attemptCount: number
  possibleRunCount: number
  failure: EndpointFailure | undefined
  /** Names the request, the same for each attempt of its caller; undefined until it is needed. */
  digest: string | undefined
  /** Whether the call was sent to see whether its request still crashes endpoints. */
  isQuarantineProbe: boolean
  /** Whether the head of an answer went to the caller. */
  isHeadSent: boolean
  lastEventId: string | undefined
  eventCount: number
  firstEventAtMs: number
  lastEventAtMs: number
  /** The longest time between two events, in milliseconds. */
  longestPauseMs: number
  done: boolean
  deadlineTimer: NodeJS.Timeout | undefined
}
