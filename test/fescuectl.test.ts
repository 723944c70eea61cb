import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

describe('fescuectl', () => {
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-ctl-'))
  const shape: TestKit.Shapes.Shape = { ...TestKit.Shapes.CONSORTIUM, zones: TestKit.Shapes.CONSORTIUM.zones.slice(0, 2), services: TestKit.Shapes.CONSORTIUM.services.slice(1, 2) }
  let deployment: TestKit.Deployment.Deployment
  let manifest: Schemas.Manifest.Manifest

  const write = (name: string, edit: (copy: any) => void): string => {
    const copy = JSON.parse(JSON.stringify(manifest))
    edit(copy)
    const file = Path.join(folder, name)
    Fs.writeFileSync(file, JSON.stringify(copy))
    return file
  }

  before(async () => {
    deployment = await TestKit.Deployment.createDeployment({ shape })
    manifest = { ...deployment.makeManifest('v1', 1), models: [] }
  })
  after(async () => {
    await deployment.stop()
    Fs.rmSync(folder, { recursive: true })
  })

  describe('manifest commit', () => {
    it('waits until the manifest is in force and its endpoints are live', async () => {
      const finished = await deployment.ctl(['manifest', 'commit', write('1.json', () => {}), '--wait'])
      expect([finished.code, finished.stdout]).toEqual([0, 'manifest consortium is version 1\n'])
      expect(finished.stderr).toInclude('3 of 3: endpoints live')
    })

    it('lets one of two operators win and shows the other the difference', async () => {
      const files = [2, 3].map(weight => write(`weight-${weight}.json`, copy => { copy.workspaces[0].weight = weight + 10 }))
      const finished = await Promise.all(files.map(async (file, index) => await deployment.ctl(['manifest', 'commit', file, '--expected-version', '1'], index)))
      expect(finished.map(({ code }) => code).sort()).toEqual([0, 3])
      const lost = finished.find(({ code }) => code === 3)
      expect(lost?.stdout ?? '').toInclude('refused (402)')
      expect(lost?.stderr ?? '').toInclude('workspaces.operator-1.weight')
    })
  })

  describe('manifest diff', () => {
    it('compares a file with the manifest in force and with an older version', async () => {
      const file = write('1.json', () => {})
      expect((await deployment.ctl(['manifest', 'diff', file])).stdout).toInclude('workspaces.operator-1.weight')
      expect((await deployment.ctl(['manifest', 'diff', file, '--against', '1'])).stdout).toEqual('no difference to version 1\n')
      expect((await deployment.ctl(['manifest', 'diff', file, '--against', '9'])).code).toEqual(2)
    })
  })

  describe('manifest show and history', () => {
    it('tell what was accepted', async () => {
      expect((await deployment.ctl(['manifest', 'history'])).stdout).toEqual('1\tconsortium\n2\tconsortium\n')
      const shown = JSON.parse((await deployment.ctl(['manifest', 'show', '--at-version', '1', '--json'])).stdout)
      expect(shown).toEqual({ version: 1, manifest })
    })
  })

  describe('instance drain', () => {
    it('waits until the instance is empty and restores it', async () => {
      const drained = await deployment.ctl(['instance', 'drain', 'filing-api-1', '--wait'])
      expect([drained.code, drained.stderr]).toEqual([0, '1 of 1: endpoints of filing-api-1 empty\n'])
      await TestKit.Wait.until('the agent is draining', 5_000, async () =>
        (await deployment.ctl(['status'])).stdout.includes('filing-api-1\tkartli\tfiling-api\tdraining'))
      expect((await deployment.ctl(['instance', 'restore', 'filing-api-1'])).code).toEqual(0)
    })

    it('refuses a name that nothing has', async () => {
      const finished = await deployment.ctl(['instance', 'drain', 'nothing'])
      expect([finished.code, finished.stdout.includes('(406)')]).toEqual([1, true])
    })
  })

  it('exits 2 on an unknown command and names it', async () => {
    const finished = await deployment.ctl(['manifest', 'destroy'])
    expect([finished.code, finished.stderr.includes('destroy')]).toEqual([2, true])
  })

  it('takes no notice of the daemons\' variables, and shows no token', async () => {
    const env = { FESCUE_PEER_KEY: 'k', FESCUE_ZONE: 'kartli', FESCUE_TOKEN: 'a-secret-token' }
    const finished = await TestKit.Processes.runCtl(['manifest', 'validate', write('1.json', () => {})], env)
    expect(finished.code).toEqual(0)
    expect((await TestKit.Processes.runCtl(['--help'], env)).stdout.includes('a-secret-token')).toEqual(false)
  })

  it('is refused without the token', async () => {
    const finished = await TestKit.Processes.runCtl(['status'], { FESCUE_GATEWAY: `127.0.0.1:${deployment.gateways[0]?.process.port ?? 0}`, FESCUE_TOKEN: 'wrong-token' })
    expect([finished.code, finished.stderr.includes('operator token required')]).toEqual([1, true])
  })
})
