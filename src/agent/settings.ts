/**
 * Settings of an agent.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Process from '../process/index.ts'

/** Settings of an agent. */
export const SPEC = {
  ...Process.Settings.SHARED,
  service: Edge.Settings.text('Service of the endpoint'),
  endpoint: Edge.Settings.address('The endpoint beside the agent'),
  origin: Edge.Settings.address('The origin of weights'),
  weightStore: Edge.Settings.optionalText('The weight store, HOST:PORT; empty for none'),
  originRegion: Edge.Settings.optionalText('Region of the origin; empty when it stands outside the regions'),
  weightStoreRegion: Edge.Settings.optionalText('Region of the weight store; empty when it stands outside the regions'),
  weightMemoryBytes: Edge.Settings.count('Most memory for chunks of weights, in bytes', 1 << 20, 2 ** 40, 2 ** 31),
  weightUploadBytesPerSecond: Edge.Settings.count('Most weight traffic sent, in bytes a second; 0 for no limit', 0, 2 ** 40, 0),
  weightDownloadBytesPerSecond: Edge.Settings.count('Most weight traffic received, in bytes a second; 0 for no limit', 0, 2 ** 40, 0),
  weightBorderBytesPerSecond: Edge.Settings.count('Most weight traffic of this agent over region borders, in bytes a second; 0 for no limit', 0, 2 ** 40, 0),
  maxBodyBytes: Edge.Settings.count('Largest request body in bytes', 1, 1 << 30, 1 << 20),
  endpointPollMs: Edge.Settings.count('Time between load reports of the endpoint, in milliseconds', 10, 60_000, 200)
}

/** Values of an agent's settings. */
export type AgentSettings = Edge.Settings.Values<typeof SPEC>
