import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as ManifestDiff from '../src/control/manifestDiff.ts'
import * as TestKit from '../testkit/index.ts'

describe('ManifestDiff', () => {
  const make = (version: string) => TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version, digest: 'a'.repeat(64), sizeBytes: 1 })

  describe('diff', () => {
    it('is empty for equal manifests whose lists are in another order', () => {
      const one = make('v1')
      expect(ManifestDiff.diff(one, { ...one, services: [...one.services].reverse() })).toEqual([])
    })

    it('names a changed value by the names on its way', () => {
      const one = make('v1')
      const two = { ...one, services: one.services.map(service => service.name === 'filing-api' ? { ...service, placements: service.placements.map(place => place.zone === 'kartli' ? { ...place, replicaCount: 4 } : place) } : service) }
      expect(ManifestDiff.diff(one, two)).toEqual([{ path: 'services.filing-api.placements.kartli.replicaCount', before: 1, after: 4 }])
    })

    it('tells entries that were added and removed', () => {
      const one = make('v1')
      const two = { ...one, workspaces: [...one.workspaces.slice(1), { name: 'operator-11', weight: 2 }] }
      expect(ManifestDiff.diff(one, two).map(ManifestDiff.describe)).toEqual([
        '- workspaces.operator-1: {"name":"operator-1","weight":4}',
        '+ workspaces.operator-11: {"name":"operator-11","weight":2}'
      ])
    })

    it('tells routes of one path apart by their method', () => {
      const one = make('v1')
      const two = { ...one, services: one.services.map(service => ({ ...service, routes: service.routes.filter(route => route.path !== '/filings' || route.method === 'POST') })) }
      expect(ManifestDiff.diff(one, two).map(found => found.path)).toEqual(['services.filing-api.routes./filings GET'])
    })
  })
})
