/**
 * What callers and endpoints say in headers, behind one interface.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'

/** What a caller says of its call. */
export interface CallMetadata {
  /** Names this attempt of the caller. */
  readonly callId: string | undefined
  readonly apiKey: string | undefined
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined
  readonly model: string | undefined
  readonly promptTokens: number
  /** The last event that the caller has of a stream that broke off. */
  readonly lastEventId: string | undefined
}

/** What the system adds to a call on its way to an endpoint. */
export interface ForwardedCall {
  readonly endpointId: string
  readonly workspace: string | undefined
  /** Time that is left, in milliseconds. */
  readonly leftMs: number
  /** Where a resumed stream goes on. */
  readonly lastEventId: string | undefined
  /** Undefined for a method without a body. */
  readonly bodyBytes: number | undefined
}

/** What an endpoint says of its answer. */
export interface AnswerMetadata {
  /** The caller's attempt that is answered. */
  readonly callId: string | undefined
  /** Whether the endpoint vouches for the answer. */
  readonly isSealed: boolean
  /** Whether the endpoint proves that it did not run the call. */
  readonly isProvenNotRun: boolean
  /** Calls at the endpoint, where it tells. */
  readonly load: { readonly activeCount: number, readonly queuedCount: number } | undefined
  /** Version of the weights that answer, where it tells. */
  readonly weightsVersion: number | undefined
  /** How long the endpoint stays cold, in milliseconds, where it tells. */
  readonly coldForMs: number | undefined
  /** Calls a second that the endpoint takes from all gateways together, where it names a limit. */
  readonly limitPerSecond: number | undefined
  /** Whether the endpoint says that it leaves. */
  readonly isLeaving: boolean
  /** For how long the endpoint wants nothing from this gateway, in milliseconds; 0 where it does not say. */
  readonly quietForMs: number
}

/** Translates headers. */
export interface Dialect {
  readCall: (headers: Http.IncomingHttpHeaders) => CallMetadata
  /** Makes the headers of a call to an endpoint from those of the caller, as a flat list of names and values. */
  forwardHeaders: (rawHeaders: readonly string[], call: ForwardedCall) => string[]
  readAnswer: (status: number, headers: Http.IncomingHttpHeaders) => AnswerMetadata
  /** Keeps the headers of an endpoint's answer that go to the caller, as a flat list. */
  answerHeaders: (rawHeaders: readonly string[]) => string[]
  /** Makes the headers of a refusal. */
  refusalHeaders: (callId: string | undefined, returnAfterMs: number | undefined) => Record<string, string>
}
