import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Auth from '../src/edge/auth.ts'
import * as HttpClient from '../src/edge/httpClient.ts'
import * as TestKit from '../testkit/index.ts'

describe('an agent', () => {
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-peer-keys-'))
  const file = Path.join(folder, 'keys')
  const nowhere = '127.0.0.1:9'
  let agent: TestKit.Processes.Running
  const post = async (path: string, authorization?: string) => await HttpClient.sendText({
    target: { host: '127.0.0.1', port: agent.port },
    method: 'POST',
    path,
    timeoutMs: 2_000,
    headers: authorization === undefined ? {} : { authorization }
  })
  const report = async (key: string): Promise<number> => (await post('/rpc/report', Auth.sign(key, { method: 'POST', path: '/rpc/report' }))).status

  before(async () => {
    Fs.writeFileSync(file, 'first-key\n')
    agent = await TestKit.Processes.startDaemon('agent', {
      instanceId: 'agent-1', zone: 'kartli', region: 'kartli', service: 'filing-api', tableService: nowhere, objectStore: nowhere, instanceList: nowhere, endpoint: nowhere, origin: nowhere, peerKeyFile: file
    })
  })
  after(async () => {
    await agent.kill()
    Fs.rmSync(folder, { recursive: true })
  })

  it('refuses, logs and counts calls and procedures without the key', async () => {
    const statuses = [await post('/call'), await post('/rpc/gossip'), await post('/rpc/report', 'Bearer first-key')].map(answer => answer.status)
    expect(statuses).toEqual([401, 401, 401])
    await TestKit.Wait.until('the refusals are logged', 5_000, () => agent.lines().filter(line => line.msg === 'control: Procedure refused.').length === 3)
    expect(JSON.stringify(agent.lines()).includes('first-key')).toEqual(false)
    const metrics = await HttpClient.send({ target: { host: '127.0.0.1', port: agent.port }, method: 'GET', path: '/metrics', timeoutMs: 2_000 })
    expect(metrics.body.toString()).toInclude('peer_calls_refused_total{reason="missing"} 2')
  })

  it('takes a new key at SIGHUP, beside the old one for as long as both are in the file', async () => {
    expect([await report('first-key'), await report('second-key')]).toEqual([200, 401])
    Fs.writeFileSync(file, 'second-key\nfirst-key\n')
    agent.signal('SIGHUP')
    await TestKit.Wait.until('both keys', 5_000, async () => await report('second-key') === 200 && await report('first-key') === 200)
    Fs.writeFileSync(file, 'second-key\n')
    agent.signal('SIGHUP')
    await TestKit.Wait.until('the new key alone', 5_000, async () => await report('first-key') === 401)
    expect(await report('second-key')).toEqual(200)
  })
})
