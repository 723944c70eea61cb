/**
 * The shapes of the users' deployments at their sizes of today.
 *
 * @packageDocumentation
 */

/** A service of a deployment. */
export interface ServiceShape {
  readonly name: string
  readonly kind: 'engine' | 'plain'
  readonly runnerCount: number
  readonly reportsLoad: boolean
  readonly maxConcurrentCount: number
  readonly routes: ReadonlyArray<{ readonly path: string, readonly method: 'GET' | 'POST', readonly idempotent: boolean }>
}

/** A deployment. */
export interface Shape {
  readonly name: string
  readonly zones: ReadonlyArray<{ readonly name: string, readonly region: string }>
  readonly services: readonly ServiceShape[]
  readonly workspaces: ReadonlyArray<{ readonly name: string, readonly weight: number }>
}

const workspaces = (prefix: string): Shape['workspaces'] =>
  Array.from({ length: 10 }, (_, index) => ({ name: `${prefix}-${index + 1}`, weight: index < 3 ? 4 : 1 }))

/** The Tbilisi Waste Levy Consortium. */
export const CONSORTIUM: Shape = {
  name: 'consortium',
  zones: [{ name: 'kartli', region: 'kartli' }, { name: 'imereti', region: 'imereti' }, { name: 'adjara', region: 'adjara' }],
  services: [
    { name: 'fescue-llm', kind: 'engine', runnerCount: 8, reportsLoad: true, maxConcurrentCount: 8, routes: [{ path: '/v1/drafts', method: 'POST', idempotent: true }] },
    { name: 'filing-api', kind: 'plain', runnerCount: 3, reportsLoad: true, maxConcurrentCount: 16, routes: [{ path: '/filings', method: 'POST', idempotent: false }, { path: '/filings', method: 'GET', idempotent: true }] },
    { name: 'member-portal', kind: 'plain', runnerCount: 1, reportsLoad: false, maxConcurrentCount: 16, routes: [{ path: '/portal', method: 'GET', idempotent: true }] }
  ],
  workspaces: workspaces('operator')
}

/** Samlag Drykkjasýninga. */
export const SAMLAG: Shape = {
  name: 'samlag',
  zones: [{ name: 'sudvestur', region: 'sudvestur' }, { name: 'nordur', region: 'nordur' }, { name: 'austur', region: 'austur' }],
  services: [
    { name: 'fescue-drafts', kind: 'engine', runnerCount: 8, reportsLoad: true, maxConcurrentCount: 8, routes: [{ path: '/v1/summaries', method: 'POST', idempotent: true }] },
    { name: 'fair-desk', kind: 'plain', runnerCount: 3, reportsLoad: true, maxConcurrentCount: 16, routes: [{ path: '/bookings', method: 'POST', idempotent: false }, { path: '/schedule', method: 'GET', idempotent: true }] },
    { name: 'member-hub', kind: 'plain', runnerCount: 1, reportsLoad: false, maxConcurrentCount: 16, routes: [{ path: '/hub', method: 'GET', idempotent: true }] }
  ],
  workspaces: workspaces('member')
}

/** A runner and where it stands. */
export interface RunnerPlace {
  readonly instanceId: string
  readonly zone: string
  readonly region: string
}

/**
 * Spreads a service's runners over the zones in turn.
 *
 * @param shape - The deployment.
 * @param service - The service.
 * @returns Each runner with its zone.
 */
export function runnersOf (shape: Shape, service: ServiceShape): RunnerPlace[] {
  return Array.from({ length: service.runnerCount }, (_, index) => {
    const zone = shape.zones[index % shape.zones.length]
    if (zone === undefined) throw new Error('a shape needs a zone')
    return { instanceId: `${service.name}-${index + 1}`, zone: zone.name, region: zone.region }
  })
}
