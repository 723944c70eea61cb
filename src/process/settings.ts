/**
 * Settings that all daemons share.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as Edge from '../edge/index.ts'

/** Settings that all daemons share. */
export const SHARED_SETTINGS = {
  instanceId: Edge.Settings.text('Name of this instance'),
  zone: Edge.Settings.text('Availability zone of this instance'),
  region: Edge.Settings.text('Region of the availability zone'),
  listenHost: Edge.Settings.text('Address to listen on', '127.0.0.1'),
  advertiseHost: Edge.Settings.optionalText('Address at which other instances reach this one; the address listened on without it'),
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

/** Values of the settings that all daemons share. */
export type SharedSettings = Edge.Settings.Values<typeof SHARED_SETTINGS>

const WILDCARD_HOSTS = ['0.0.0.0', '::']

/**
 * Creates the key ring of the peer keys in the settings.
 *
 * @param settings - The settings that all daemons share.
 * @returns The key ring, or an error message that names the setting.
 */
export function createPeerKeyRing (settings: { readonly peerKey: string, readonly peerKeyFile: string }): Neverthrow.Result<Edge.Keys.KeyRing, string> {
  return Edge.Keys.createKeyRing({ value: settings.peerKey, file: settings.peerKeyFile }).mapErr(reason => `settings: --peer-key or --peer-key-file: ${reason}.`)
}

/**
 * Returns the address at which other instances reach this one.
 *
 * @param settings - The listen and advertise addresses.
 * @returns The address, or an error message that names the setting.
 */
export function advertisedHostOf (settings: Pick<SharedSettings, 'listenHost' | 'advertiseHost'>): Neverthrow.Result<string, string> {
  const host = settings.advertiseHost === '' ? settings.listenHost : settings.advertiseHost
  if (!WILDCARD_HOSTS.includes(host)) return Neverthrow.ok(host)
  return Neverthrow.err(`settings: --advertise-host (FESCUE_ADVERTISE_HOST) is "${settings.advertiseHost}"; allowed: an address that other instances reach, since --listen-host is "${settings.listenHost}".`)
}
