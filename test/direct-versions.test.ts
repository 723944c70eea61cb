import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const LIMIT_MS = 5_000
let stage: Direct.DirectStage

const nameVersion = (version: number): void => { stage.store.put('op', 'version/m', { model: 'm', version }) }
const hasLine = (gateway: Pick<Direct.StartedGateway, 'lines'>, sentence: string, version: number): boolean =>
  gateway.lines.some(line => line.sentence === sentence && line.fields.version === version)

describe('versions on the direct path', () => {
  before(async () => {
    stage = await Direct.startDirectStage([{ instanceId: 'e1', service: 'llm' }])
    await TestKit.Wait.until('a call is served', LIMIT_MS, async () => (await stage.call()).status === 200)
  })
  after(async () => { await stage.stop() })

  it('tells on which versions calls begin, and what that follows from', async () => {
    nameVersion(2)
    await TestKit.Wait.until('the version is named', LIMIT_MS, () => hasLine(stage, 'Oldest version changed.', 1))
    const changed = stage.lines.find(line => line.sentence === 'Oldest version changed.')
    expect([changed?.fields.model, changed?.fields.named.map((named: { version: number }) => named.version)]).toEqual(['m', [2]])
    await stage.call({ id: 'told' })
    const sent = stage.lines.find(line => line.sentence === 'Call sent.' && line.fields.callId === 'told')
    expect([sent?.fields.version, sent?.fields.oldestVersion]).toEqual([1, 1])
  })
})
