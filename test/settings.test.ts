import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as AgentSettings from '../src/agent/settings.ts'
import * as Settings from '../src/edge/settings.ts'
import * as GatewaySettings from '../src/gateway/settings.ts'
import * as TestKit from '../testkit/index.ts'

const ARGS = ['--instance-id', 'g1', '--zone', 'kartli', '--region', 'kartli', '--table-service', '127.0.0.1:1', '--object-store', '127.0.0.1:2', '--instance-list', '127.0.0.1:3', '--peer-key', 'k', '--operator-token', 't']
const read = (args: readonly string[], env: NodeJS.ProcessEnv = {}) => Settings.read('fescuespread-gateway', GatewaySettings.SPEC, args, env)

describe('a daemon', () => {
  const startWith = async (settings: Record<string, string>): Promise<string> => {
    const started = TestKit.Processes.startDaemon('gateway', { instanceId: 'g1', zone: 'kartli', region: 'kartli', tableService: '127.0.0.1:1', objectStore: '127.0.0.1:2', instanceList: '127.0.0.1:3', ...settings })
    return await started.then(() => 'started', (error: Error) => error.message)
  }

  it('ends with exit code 2 and one line at a bad setting', async () => {
    expect(await startWith({ pollMs: 'often' })).toInclude('ended with 2: settings: --poll-ms (FESCUE_POLL_MS) is "often"')
  })

  it('ends with exit code 2 without a usable key and does not show it', async () => {
    const line = await startWith({ peerKey: 'k7q', operatorToken: 'operator-token' })
    expect(line).toInclude('ended with 2: settings: --peer-key')
    expect(line.includes('k7q')).toEqual(false)
    expect(await startWith({ peerKey: 'long-enough-key' })).toInclude('ended with 2: settings: --operator-token')
  })

  it('needs an address to tell others when it listens on every one', async () => {
    const keys = { peerKey: 'long-enough-key', operatorToken: 'operator-token' }
    expect(await startWith({ ...keys, listenHost: '0.0.0.0' })).toInclude('ended with 2: settings: --advertise-host')
  })
})

describe('read', () => {
  it('takes flags before environment variables before defaults', () => {
    const values = read([...ARGS, '--poll-ms', '100'], { FESCUE_POLL_MS: '200', FESCUE_STORE_TIMEOUT_MS: '300' })._unsafeUnwrap()
    expect([values.pollMs, values.storeTimeoutMs, values.listenPort]).toEqual([100, 300, 0])
  })

  describe('a bad setting', () => {
    it('is named with its value and what is allowed', () => {
      expect(read([...ARGS, '--poll-ms', 'often'])._unsafeUnwrapErr())
        .toEqual('settings: --poll-ms (FESCUE_POLL_MS) is "often"; allowed: a whole number from 10 to 60000.')
    })

    it('is named when it is missing', () => {
      expect(read(ARGS.slice(2))._unsafeUnwrapErr()).toInclude('--instance-id (FESCUE_INSTANCE_ID) is required')
    })

    it('is refused when it is unknown', () => {
      expect(read([...ARGS, '--colour', 'red'])._unsafeUnwrapErr()).toInclude('colour')
    })

    it('never shows a secret', () => {
      const spec = { passphrase: Settings.text('A secret', undefined, true) }
      const line = Settings.read('program', spec, ['--passphrase', ''], {})._unsafeUnwrapErr()
      expect(line).toEqual('settings: --passphrase (FESCUE_PASSPHRASE) is a secret; allowed: text.')
    })
  })

  it('knows every setting of both daemons by flag and variable', () => {
    const names = [...Object.keys(AgentSettings.SPEC), ...Object.keys(GatewaySettings.SPEC)]
    expect(names.every(name => /^[a-z0-9-]+$/.test(Settings.flagOf(name)) && /^FESCUE_[A-Z0-9_]+$/.test(Settings.variableOf(name)))).toEqual(true)
  })
})
