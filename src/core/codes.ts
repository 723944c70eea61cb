/**
 * Numbered result codes: one table for refusals, failures and control answers.
 *
 * @packageDocumentation
 */

/** Whether a call was run: provably not run, run to completion, or unknown. */
export type RunState = 'notRun' | 'ran' | 'unknown'

/** Row of the table of result codes. */
export interface CodeRow {
  readonly code: number
  readonly httpStatus: number
  readonly run: RunState
  /** Whether the same call may succeed when sent again later. */
  readonly retryable: boolean
  readonly text: string
}

const row = (code: number, httpStatus: number, run: RunState, retryable: boolean, text: string): CodeRow =>
  ({ code, httpStatus, run, retryable, text })

/** Result codes by name. */
export const CODES = {
  ok: row(0, 200, 'ran', false, 'The call was run and the answer is whole.'),

  badRequest: row(101, 400, 'notRun', false, 'The request is malformed.'),
  bodyTooLarge: row(102, 413, 'notRun', false, 'The request body is over the limit.'),
  routeUnknown: row(103, 404, 'notRun', false, 'No service in the manifest has this route.'),
  workspaceUnknown: row(104, 403, 'notRun', false, 'The workspace is not in the manifest.'),
  bodyTooSlow: row(105, 408, 'notRun', true, 'The request body did not arrive in time.'),
  keyConflict: row(106, 422, 'notRun', false, 'The idempotency key was used with another body.'),
  unauthorized: row(107, 401, 'notRun', false, 'The token is missing or wrong.'),
  callerGone: row(108, 499, 'unknown', false, 'The caller closed the connection.'),

  overCapacity: row(201, 429, 'notRun', true, 'The endpoints carry all that they can bear.'),
  overShare: row(202, 429, 'notRun', true, 'The workspace is over its share.'),
  noEndpoint: row(203, 503, 'notRun', true, 'No live endpoint holds the model version.'),
  draining: row(204, 503, 'notRun', true, 'The endpoint takes no new work.'),
  deadlinePassed: row(205, 504, 'notRun', true, 'The deadline passed before the call was run.'),
  modelNotLoaded: row(206, 503, 'notRun', true, 'The endpoint does not hold the model version.'),
  storeUnavailable: row(207, 503, 'notRun', true, 'The table service did not answer in time.'),
  quarantined: row(208, 422, 'notRun', false, 'Calls with this digest have crashed endpoints.'),
  notReady: row(209, 503, 'notRun', true, 'The process has no accepted manifest yet.'),
  fenced: row(210, 503, 'notRun', true, 'The attempt was fenced before it was run.'),
  endpointUnreachable: row(211, 503, 'notRun', true, 'The endpoint could not be reached.'),
  staleIncarnation: row(212, 503, 'notRun', true, 'The attempt names an incarnation of the agent that is gone.'),

  outcomeUnknown: row(301, 502, 'unknown', false, 'The call may have been run; its outcome is lost.'),
  streamCut: row(302, 502, 'unknown', false, 'The stream ended before its end mark.'),
  inProgress: row(303, 409, 'unknown', true, 'A call with this key is being run.'),
  endpointFailed: row(304, 502, 'unknown', false, 'The endpoint failed while it ran the call.'),
  deadlineRunning: row(305, 504, 'unknown', false, 'The deadline passed while the call was being run.'),
  agentUnreachable: row(306, 503, 'unknown', true, 'The agent that may have run the call does not answer now.'),
  answerLost: row(307, 502, 'ran', false, 'The call was run to its end, and its answer is lost.'),
  answerUnavailable: row(308, 503, 'ran', true, 'The call was run to its end, and its saved answer cannot be read now.'),

  manifestInvalid: row(401, 422, 'notRun', false, 'The manifest is not valid.'),
  versionConflict: row(402, 409, 'notRun', true, 'Another operator committed first.'),
  staleFencing: row(403, 409, 'notRun', false, 'The order carries an old fencing number.'),
  wouldRefuse: row(404, 409, 'notRun', false, 'The remaining capacity would refuse calls; use --force.'),
  acceptedUnknown: row(405, 502, 'unknown', true, 'The table service did not say whether it accepted the change.'),
  notFound: row(406, 404, 'notRun', false, 'There is nothing of this name.')
} as const satisfies Record<string, CodeRow>

/** Name of a result code. */
export type CodeName = keyof typeof CODES

/** Names of all result codes. */
export const CODE_NAMES = Object.keys(CODES) as CodeName[]

/**
 * Returns the name of a result code.
 *
 * @param code - The number of the result code.
 * @returns The name, or undefined if the table does not have the number.
 */
export function nameOf (code: number): CodeName | undefined {
  return CODE_NAMES.find(name => CODES[name].code === code)
}
