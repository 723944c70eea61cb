/**
 * Estimates which calls would be refused if a zone or an instance were drained.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import * as Documents from './documents.ts'

/** A service whose remaining endpoints could not serve its current demand. */
export interface Shortfall {
  readonly service: string
  /** Number of endpoints that would still take work. */
  readonly remainingEndpointCount: number
  /** Number of calls that those endpoints can run at once. */
  readonly remainingLimitCount: number
  /** Number of calls that are running or queued now, on all endpoints. */
  readonly demandCount: number
  /** Share of the current demand that would be refused, from 0 to 1. */
  readonly refusedShare: number
}

/** Input of the check. */
export interface DrainCheckInput {
  readonly manifest: Schemas.Manifest.Manifest
  /** The latest reports of the endpoints. */
  readonly reports: readonly Schemas.Control.AgentReport[]
  /** The drains that would be in force. */
  readonly drains: Schemas.Control.Drains
}

/**
 * Finds the services that would refuse calls under the given drains.
 *
 * @param input - The manifest, the reports and the drains that would be in force.
 * @returns One entry for each such service; empty when the remaining capacity suffices.
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
 * Formats a shortfall as one line.
 *
 * @param shortfall - The shortfall.
 * @returns The line, for operators.
 */
export function describe (shortfall: Shortfall): string {
  if (shortfall.remainingEndpointCount === 0) return `${shortfall.service}: no endpoint would be left; every call would be refused`
  return `${shortfall.service}: ${shortfall.remainingEndpointCount} endpoints would bear ${shortfall.remainingLimitCount} calls at once against ${shortfall.demandCount} now; about ${Math.ceil(shortfall.refusedShare * 100)}% would be refused`
}

/**
 * Adds a zone or an instance to the drains, or removes it.
 *
 * @param drains - The drains in force.
 * @param change - The change.
 * @returns The new drains.
 */
export function applyChange (drains: Schemas.Control.Drains, change: DrainChange): Schemas.Control.Drains {
  const edit = (names: readonly string[]): string[] => {
    const others = names.filter(name => name !== change.name)
    return change.drained ? [...others, change.name].sort() : others
  }
  return change.what === 'zone' ? { ...drains, zones: edit(drains.zones) } : { ...drains, instanceIds: edit(drains.instanceIds) }
}

/** A change to the drains. */
export interface DrainChange {
  readonly what: 'zone' | 'instance'
  readonly name: string
  /** True to drain the zone or instance, false to return it to service. */
  readonly drained: boolean
}
