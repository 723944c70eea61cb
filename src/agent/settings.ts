/**
 * Settings of an agent.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import * as Edge from '../edge/index.ts'

/** Settings that all daemons share. */
export const SHARED = {
  instanceId: Edge.Settings.text('Name of this instance'),
  zone: Edge.Settings.text('Availability zone of this instance'),
  region: Edge.Settings.text('Region of the availability zone'),
  listenHost: Edge.Settings.text('Address to listen on', '127.0.0.1'),
  listenPort: Edge.Settings.count('Port to listen on; 0 for any free one', 0, 65_535, 0),
  tableService: Edge.Settings.address('The platform\'s table service'),
  objectStore: Edge.Settings.address('The platform\'s object store'),
  instanceList: Edge.Settings.address('The platform\'s list of instances'),
  peerKey: Edge.Settings.optionalText('Keys that the system\'s own processes sign with, separated by commas; the first signs', true),
  peerKeyFile: Edge.Settings.optionalText('File of peer keys in place of the flag, one a line, read again at SIGHUP'),
  pollMs: Edge.Settings.count('Time between reads of the store and the instance list, in milliseconds', 10, 60_000, 500),
  storeTimeoutMs: Edge.Settings.count('Time for one call of the table service, in milliseconds', 10, 60_000, 2_000),
  stopGraceMs: Edge.Settings.count('Time that requests in flight have at a stop, in milliseconds', 0, 3_600_000, 30_000),
  logLevel: Edge.Settings.choice('Lowest level of log lines', Edge.Log.LEVELS, 'info')
}

/** Settings of an agent. */
export const SPEC = {
  ...SHARED,
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

/**
 * Creates the ring of peer keys that the settings name.
 *
 * @param settings - The settings that all daemons share.
 * @returns The ring, or one line that names the setting.
 */
export function peerKeysOf (settings: { readonly peerKey: string, readonly peerKeyFile: string }): Neverthrow.Result<Edge.Keys.KeyRing, string> {
  return Edge.Keys.createKeyRing({ value: settings.peerKey, file: settings.peerKeyFile }).mapErr(reason => `settings: --peer-key or --peer-key-file: ${reason}.`)
}

/** Values of an agent's settings. */
export type AgentSettings = Edge.Settings.Values<typeof SPEC>
