/**
 * What callers would be refused if a zone or an instance were taken out of service.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import * as Documents from './documents.ts'

/** A service whose remaining endpoints would not bear its present demand. */
export interface Shortfall {
  readonly service: string
  /** Endpoints that would still take work. */
  readonly remainingEndpointCount: number
  /** Calls that those endpoints bear at once. */
  readonly remainingLimitCount: number
  /** Calls that run or wait now, on all endpoints. */
  readonly demandCount: number
  /** Share of the present demand, from 0 to 1, that would be refused. */
  readonly refusedShare: number
}

/** What the check looks at. */
export interface DrainCheckInput {
  readonly manifest: Schemas.Manifest.Manifest
  /** Reports of the endpoints, as fresh as can be had. */
  readonly reports: readonly Schemas.Control.AgentReport[]
  /** The drains as they would be. */
  readonly drains: Schemas.Control.Drains
}

/**
 * Finds the services that would refuse calls.
 *
 * @param input - Manifest, reports and the drains as they would be.
 * @returns One entry for each such service; none when the remaining capacity suffices.
 */
export function findShortfalls (input: DrainCheckInput): Shortfall[] {
  return input.manifest.services.flatMap(service => {
    const reports = input.reports.filter(report => report.service === service.name)
    const remaining = reports.filter(report => report.state === 'live' && !Documents.isDrained(input.drains, report.instanceId, report.zone))
    const remainingLimitCount = remaining.length * service.maxConcurrentCount
    const demandCount = reports.reduce((sum, report) => sum + report.activeCount + report.queuedCount, 0)
    const isLive = reports.some(report => report.state === 'live')
    const noneLeft = isLive && remaining.length === 0
    if (!noneLeft && demandCount <= remainingLimitCount) return []
    const refusedShare = noneLeft ? 1 : 1 - remainingLimitCount / demandCount
    return [{ service: service.name, remainingEndpointCount: remaining.length, remainingLimitCount, demandCount, refusedShare }]
  })
}

/**
 * Writes a shortfall in one line.
 *
 * @param shortfall - The shortfall.
 * @returns Text for the operator.
 */
export function describe (shortfall: Shortfall): string {
  if (shortfall.remainingEndpointCount === 0) return `${shortfall.service}: no endpoint would be left; every call would be refused`
  return `${shortfall.service}: ${shortfall.remainingEndpointCount} endpoints would bear ${shortfall.remainingLimitCount} calls at once against ${shortfall.demandCount} now; about ${Math.ceil(shortfall.refusedShare * 100)}% would be refused`
}

/**
 * Takes a zone or an instance out of the drains or puts it in.
 *
 * @param drains - The drains in force.
 * @param change - What to change.
 * @returns The new drains.
 */
export function applyChange (drains: Schemas.Control.Drains, change: DrainChange): Schemas.Control.Drains {
  const edit = (names: readonly string[]): string[] => {
    const others = names.filter(name => name !== change.name)
    return change.drained ? [...others, change.name].sort() : others
  }
  return change.what === 'zone' ? { ...drains, zones: edit(drains.zones) } : { ...drains, instanceIds: edit(drains.instanceIds) }
}

/** A change of the drains. */
export interface DrainChange {
  readonly what: 'zone' | 'instance'
  readonly name: string
  /** Whether it is taken out of service or brought back. */
  readonly drained: boolean
}
