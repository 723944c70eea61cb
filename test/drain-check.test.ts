import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Control from '../src/control/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

const SHAPE = TestKit.Shapes.CONSORTIUM
const MANIFEST = TestKit.Manifests.makeManifest(SHAPE, { version: 'v1', digest: 'a'.repeat(64), sizeBytes: 1 })
const NO_DRAINS: Schemas.Control.Drains = { zones: [], instanceIds: [] }

function reportsWith (activeCount: number): Schemas.Control.AgentReport[] {
  return SHAPE.services.flatMap(service => TestKit.Shapes.runnersOf(SHAPE, service).map(place => ({
    instanceId: place.instanceId,
    service: service.name,
    zone: place.zone,
    incarnation: 'i',
    endpointIncarnation: 'e',
    state: 'live' as const,
    role: 'mixed' as const,
    heldChunkCount: 0,
    wantedChunkCount: 0,
    limitCount: service.maxConcurrentCount,
    activeCount,
    queuedCount: 0,
    cold: false,
    versions: Control.Documents.NO_VERSIONS
  })))
}

describe('findShortfalls', () => {
  const drainsWithZone = (zone: string): Schemas.Control.Drains => Control.DrainCheck.applyChange(NO_DRAINS, { what: 'zone', name: zone, drained: true })

  it('finds no shortfall when the other zones can serve the demand', () => {
    expect(Control.DrainCheck.findShortfalls({ manifest: MANIFEST, reports: reportsWith(3), drains: drainsWithZone('imereti') })).toEqual([])
  })

  it('reports a service that would have no endpoint left', () => {
    const shortfalls = Control.DrainCheck.findShortfalls({ manifest: MANIFEST, reports: reportsWith(0), drains: drainsWithZone('kartli') })
    expect(shortfalls.map(shortfall => [shortfall.service, shortfall.refusedShare])).toEqual([['member-portal', 1]])
  })

  it('reports the share of the demand that would be refused', () => {
    const shortfalls = Control.DrainCheck.findShortfalls({ manifest: MANIFEST, reports: reportsWith(8), drains: drainsWithZone('imereti') })
    expect(shortfalls.map(shortfall => [shortfall.service, shortfall.remainingLimitCount, shortfall.demandCount, shortfall.refusedShare]))
      .toEqual([['fescue-llm', 40, 64, 1 - 40 / 64]])
  })
})

describe('applyChange', () => {
  it('drains an instance and returns it to service', () => {
    const drained = Control.DrainCheck.applyChange(NO_DRAINS, { what: 'instance', name: 'filing-api-1', drained: true })
    expect(drained.instanceIds).toEqual(['filing-api-1'])
    expect(Control.DrainCheck.applyChange(drained, { what: 'instance', name: 'filing-api-1', drained: false })).toEqual(NO_DRAINS)
  })
})
