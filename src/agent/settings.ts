/**
 * Settings of an agent.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Process from '../process/index.ts'

/** Settings of an agent. */
export const SPEC = {
  ...Process.Settings.SHARED_SETTINGS,
  service: Edge.Settings.text('Service of the endpoint'),
  endpoint: Edge.Settings.address('Endpoint that the agent serves'),
  origin: Edge.Settings.address('Origin of weights'),
  weightStore: Edge.Settings.optionalText('Weight store, HOST:PORT; empty for none'),
  originRegion: Edge.Settings.optionalText('Region of the origin; empty if it is outside all regions'),
  weightStoreRegion: Edge.Settings.optionalText('Region of the weight store; empty if it is outside all regions'),
  weightMemoryBytes: Edge.Settings.count('Maximum memory for weight chunks, in bytes', 1 << 20, 2 ** 40, 2 ** 31),
  weightUploadBytesPerSecond: Edge.Settings.count('Maximum rate of weight traffic sent, in bytes per second; 0 for no limit', 0, 2 ** 40, 0),
  weightDownloadBytesPerSecond: Edge.Settings.count('Maximum rate of weight traffic received, in bytes per second; 0 for no limit', 0, 2 ** 40, 0),
  weightBorderBytesPerSecond: Edge.Settings.count('Maximum rate of this agent\'s weight traffic between regions, in bytes per second; 0 for no limit', 0, 2 ** 40, 0),
  maxBodyBytes: Edge.Settings.count('Maximum size of a request body, in bytes', 1, 1 << 30, 1 << 20),
  endpointPollMs: Edge.Settings.count('Interval at which the endpoint\'s load is polled, in milliseconds', 10, 60_000, 200)
}

/** Values of an agent's settings. */
export type AgentSettings = Edge.Settings.Values<typeof SPEC>
