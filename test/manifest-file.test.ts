import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as ManifestFile from '../src/control/manifestFile.ts'
import * as TestKit from '../testkit/index.ts'

const VALID = TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version: 'v1', digest: 'a'.repeat(64), sizeBytes: 1 })
const VALID_TEXT = JSON.stringify(VALID, null, 2)

type Edit = (copy: any) => void
const editedText = (edit: Edit): string => {
  const copy = JSON.parse(VALID_TEXT)
  edit(copy)
  return JSON.stringify(copy, null, 2)
}

/** Invalid manifests, with the field that an error must name. */
const INVALID: ReadonlyArray<readonly [string, string, string]> = [
  ['truncated', VALID_TEXT.slice(0, VALID_TEXT.length / 2), ''],
  ['empty', '', ''],
  ['a list', '[]', ''],
  ['a number for a name', editedText(copy => { copy.name = 7 }), 'name'],
  ['an unknown field', editedText(copy => { copy.colour = 'red' }), 'colour'],
  ['an unknown nested field', editedText(copy => { copy.services[0].speed = 1 }), 'services.0.speed'],
  ['a duplicate service', editedText(copy => { copy.services.push({ ...copy.services[0], routes: [] }) }), 'services.3.name'],
  ['a duplicate zone', editedText(copy => { copy.zones.push(copy.zones[0]) }), 'zones.3.name'],
  ['a duplicate model', editedText(copy => { copy.models.push(copy.models[0]) }), 'models.1.name'],
  ['a duplicate workspace', editedText(copy => { copy.workspaces.push(copy.workspaces[0]) }), 'workspaces.10.name'],
  ['a duplicate key', VALID_TEXT.replace('"name": "consortium"', '"name": "consortium", "name": "other"'), ''],
  ['an unknown zone', editedText(copy => { copy.services[0].placements[0].zone = 'batumi' }), 'services.0.placements.0.zone'],
  ['an unknown model', editedText(copy => { copy.services[0].model = 'other' }), 'services.0.model'],
  ['a negative count', editedText(copy => { copy.services[0].placements[0].replicaCount = -1 }), 'services.0.placements.0.replicaCount'],
  ['a fractional count', editedText(copy => { copy.services[0].maxConcurrentCount = 1.5 }), 'services.0.maxConcurrentCount'],
  ['a digest that is too short', editedText(copy => { copy.models[0].digest = 'abc' }), 'models.0.digest'],
  ['a digest that is too long', editedText(copy => { copy.models[0].digest = 'a'.repeat(65) }), 'models.0.digest'],
  ['a missing field', editedText(copy => { delete copy.zones[0].region }), 'zones.0.region'],
  ['an unknown kind', editedText(copy => { copy.services[0].kind = 'magic' }), 'services.0.kind'],
  ['a duplicate route', editedText(copy => { copy.services[1].routes.push(copy.services[0].routes[0]) }), 'services.1.routes.2'],
  ['an engine without a model', editedText(copy => { delete copy.services[0].model }), 'services.0.model'],
  ['no services', editedText(copy => { copy.services = [] }), 'services'],
  ['10 MB of junk', 'x'.repeat(10 * 1024 * 1024), '']
]

describe('parse', () => {
  it('accepts a manifest generated as JSON', () => {
    expect(ManifestFile.parse(VALID_TEXT)._unsafeUnwrap()).toEqual(VALID)
  })

  it('reports the line of an invalid field', () => {
    const problems = ManifestFile.parse(editedText(copy => { copy.models[0].digest = 'abc' }))._unsafeUnwrapErr()
    const line = VALID_TEXT.split('\n').findIndex(text => text.includes('"digest"')) + 1
    expect(problems.map(problem => problem.line)).toEqual([line])
  })

  for (const [what, text, field] of INVALID) {
    it(`refuses ${what}`, () => {
      const problems = ManifestFile.parse(text)._unsafeUnwrapErr()
      expect(problems.map(problem => problem.field)).toInclude(field)
      expect(problems.every(problem => problem.line >= 1 && problem.message.length > 0)).toEqual(true)
    })
  }
})

describe('fescuectl manifest', () => {
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-manifests-'))
  const shape: TestKit.Shapes.Shape = { ...TestKit.Shapes.CONSORTIUM, zones: TestKit.Shapes.CONSORTIUM.zones.slice(0, 1), services: [] }
  let deployment: TestKit.Deployment.Deployment
  before(async () => { deployment = await TestKit.Deployment.createDeployment({ shape }) })
  after(async () => {
    await deployment.stop()
    Fs.rmSync(folder, { recursive: true })
  })

  it('exits with 2 on every invalid file, reports the position and stores nothing', async () => {
    const outcomes = await Promise.all(INVALID.map(async ([what, text], index) => {
      const file = Path.join(folder, `${index}.json`)
      Fs.writeFileSync(file, text)
      const verb = index % 2 === 0 ? 'validate' : 'commit'
      const finished = await deployment.ctl(['manifest', verb, file])
      return { what, code: finished.code, reportsPosition: new RegExp(`${index}\\.json:\\d+:\\d+: `).test(finished.stderr) }
    }))
    expect(outcomes).toEqual(INVALID.map(([what]) => ({ what, code: 2, reportsPosition: true })))
    expect(deployment.table.rowsOf('control')).toEqual([])
    expect(deployment.table.rowsOf('manifestHistory')).toEqual([])
  })

  it('exits with 0 on a valid file', async () => {
    const file = Path.join(folder, 'valid.json')
    Fs.writeFileSync(file, VALID_TEXT)
    expect((await deployment.ctl(['manifest', 'validate', file])).code).toEqual(0)
  })
})
