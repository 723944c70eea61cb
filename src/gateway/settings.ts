/**
 * Settings of a gateway.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import * as Edge from '../edge/index.ts'
import * as Process from '../process/index.ts'

/** Settings of a gateway. */
export const SPEC = {
  ...Process.Settings.SHARED_SETTINGS,
  operatorToken: Edge.Settings.optionalText('Tokens that operators prove, separated by commas', true),
  operatorTokenFile: Edge.Settings.optionalText('File of operator tokens in place of the flag, one a line, read again at SIGHUP'),
  maxBodyBytes: Edge.Settings.count('Largest request body in bytes', 1, 1 << 30, 1 << 20),
  bodyTimeoutMs: Edge.Settings.count('Time for a request body to arrive, in milliseconds', 10, 600_000, 10_000),
  defaultDeadlineMs: Edge.Settings.count('Deadline of a call that names none, in milliseconds', 10, 3_600_000, 30_000),
  maxDeadlineMs: Edge.Settings.count('Latest deadline that a call may name, in milliseconds', 10, 3_600_000, 600_000),
  leaseDurationMs: Edge.Settings.count('Duration of the placement lease in milliseconds', 100, 600_000, 6_000)
}

/**
 * Creates the ring of operator tokens that the settings name.
 *
 * @param settings - The gateway's settings.
 * @returns The ring, or one line that names the setting.
 */
export function operatorTokensOf (settings: { readonly operatorToken: string, readonly operatorTokenFile: string }): Neverthrow.Result<Edge.Keys.KeyRing, string> {
  return Edge.Keys.createKeyRing({ value: settings.operatorToken, file: settings.operatorTokenFile }).mapErr(reason => `settings: --operator-token or --operator-token-file: ${reason}.`)
}

/** Values of a gateway's settings. */
export type GatewaySettings = Edge.Settings.Values<typeof SPEC>
