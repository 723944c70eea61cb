/**
 * Translation between the deployment's HTTP headers and the gateway's own types.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'

/** What the headers of a call say. */
export interface CallMetadata {
  /** Identifies this attempt of the caller; a repeat has another id. */
  readonly callId: string | undefined
  readonly apiKey: string | undefined
  /** Time from the arrival for which the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined
  readonly model: string | undefined
  readonly promptTokens: number
  /** Id of the last event that the caller received of an interrupted stream. */
  readonly lastEventId: string | undefined
}

/** What the gateway adds to a call that it forwards to an endpoint. */
export interface ForwardedCall {
  readonly endpointId: string
  readonly workspace: string | undefined
  /** Time left until the deadline, in milliseconds. */
  readonly leftMs: number
  /** Id of the event after which a resumed stream continues. */
  readonly lastEventId: string | undefined
  /** Version of the weights for which the endpoint was chosen; undefined if it holds none. An endpoint with another version does not run the call. */
  readonly weightsVersion?: number | undefined
  /** Position in the endpoint's queue, from 0 (first) to 9; undefined to leave the order to the endpoint. */
  readonly queuePosition?: number | undefined
  /** Length of the body; undefined for a method without one. */
  readonly bodyBytes: number | undefined
}

/** What the status and headers of an endpoint's answer say. */
export interface AnswerMetadata {
  /** Id of the caller's attempt that is answered. */
  readonly callId: string | undefined
  /** Whether the answer carries the endpoint's seal. */
  readonly isSealed: boolean
  /** Whether the answer proves that the endpoint did not run the call. */
  readonly isProvenNotRun: boolean
  /** Calls running and queued at the endpoint, if it reports them. */
  readonly load: { readonly activeCount: number, readonly queuedCount: number } | undefined
  /** Version of the weights that produced the answer, if the endpoint reports it. */
  readonly weightsVersion: number | undefined
  /** Time for which the endpoint stays cold, in milliseconds, if it reports it. */
  readonly coldForMs: number | undefined
  /** Calls per second that the endpoint accepts from all gateways together, if it sets a limit. */
  readonly limitPerSecond: number | undefined
  /** Whether the endpoint says that it is shutting down. */
  readonly isLeaving: boolean
  /** Time for which this gateway has to send the endpoint nothing, in milliseconds; 0 if the endpoint does not say. */
  readonly quietForMs: number
}

/** Reads and makes headers. */
export interface Dialect {
  readCall: (headers: Http.IncomingHttpHeaders) => CallMetadata
  /** Returns the ids of the parts of a call's prompt that other calls may share, in the order of the prompt and without duplicates; limited in number and size. */
  sharedPartsOf: (headers: Http.IncomingHttpHeaders) => readonly string[]
  /** Returns the headers of a call to an endpoint, made from those of the caller, as a flat list of names and values. */
  forwardHeaders: (rawHeaders: readonly string[], call: ForwardedCall) => string[]
  readAnswer: (status: number, headers: Http.IncomingHttpHeaders) => AnswerMetadata
  /** Returns those headers of an endpoint's answer that go to the caller, as a flat list. */
  answerHeaders: (rawHeaders: readonly string[]) => string[]
  /** Returns the headers of a refusal or of an error of the gateway itself. */
  refusalHeaders: (callId: string | undefined, returnAfterMs: number | undefined) => Record<string, string>
}
