/**
 * How attempts travel between gateways and agents: path, headers and signs of life.
 *
 * @packageDocumentation
 */

/** Where gateways send attempts. */
export const CALL_PATH = '/call'
/** The header that carries the envelope. */
export const ENVELOPE_HEADER = 'x-fescue-envelope'
/** The header that carries the agent's result. */
export const RESULT_HEADER = 'x-fescue-result'
/** An attempt under way shows a sign of life this often, in milliseconds. */
export const HEARTBEAT_MS = 500
