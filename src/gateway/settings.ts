/**
 * Settings of a gateway.
 *
 * @packageDocumentation
 */
import * as AgentSettings from '../agent/settings.ts'
import * as Edge from '../edge/index.ts'

/** Settings of a gateway. */
export const SPEC = {
  ...AgentSettings.SHARED,
  operatorToken: Edge.Settings.text('Token that operators prove', undefined, true),
  maxBodyBytes: Edge.Settings.count('Largest request body in bytes', 1, 1 << 30, 1 << 20),
  bodyTimeoutMs: Edge.Settings.count('Time for a request body to arrive, in milliseconds', 10, 600_000, 10_000),
  defaultDeadlineMs: Edge.Settings.count('Deadline of a call that names none, in milliseconds', 10, 3_600_000, 30_000),
  maxDeadlineMs: Edge.Settings.count('Latest deadline that a call may name, in milliseconds', 10, 3_600_000, 600_000),
  leaseDurationMs: Edge.Settings.count('Duration of the placement lease in milliseconds', 100, 600_000, 6_000)
}

/** Values of a gateway's settings. */
export type GatewaySettings = Edge.Settings.Values<typeof SPEC>
