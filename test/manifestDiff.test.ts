import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as ManifestDiff from '../src/control/manifestDiff.ts'
import * as TestKit from '../testkit/index.ts'

describe('ManifestDiff', () => {
  const make = (version: string) => TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version, digest: 'a'.repeat(64), sizeBytes: 1 })

  describe('diff', () => {
    it('is empty for equal manifests whose lists are in another order', () => {
      const before = make('v1')
      expect(ManifestDiff.diff(before, { ...before, services: [...before.services].reverse() })).toEqual([])
    })

    it('gives the path of a changed value by the names of the entries that contain it', () => {
      const before = make('v1')
      const after = { ...before, services: before.services.map(service => service.name === 'filing-api' ? { ...service, placements: service.placements.map(placement => placement.zone === 'kartli' ? { ...placement, replicaCount: 4 } : placement) } : service) }
      expect(ManifestDiff.diff(before, after)).toEqual([{ path: 'services.filing-api.placements.kartli.replicaCount', before: 1, after: 4 }])
    })

    it('reports entries that were added and removed', () => {
      const before = make('v1')
      const after = { ...before, workspaces: [...before.workspaces.slice(1), { name: 'operator-11', weight: 2 }] }
      expect(ManifestDiff.diff(before, after).map(ManifestDiff.describe)).toEqual([
        '- workspaces.operator-1: {"name":"operator-1","weight":4}',
        '+ workspaces.operator-11: {"name":"operator-11","weight":2}'
      ])
    })

    it('distinguishes routes with the same path by their method', () => {
      const before = make('v1')
      const after = { ...before, services: before.services.map(service => ({ ...service, routes: service.routes.filter(route => route.path !== '/filings' || route.method === 'POST') })) }
      expect(ManifestDiff.diff(before, after).map(difference => difference.path)).toEqual(['services.filing-api.routes./filings GET'])
    })
  })
})
