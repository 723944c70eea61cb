/**
 * Launches deployments of real processes on loopback, for tests, benches, scenarios and the demo.
 *
 * @packageDocumentation
 */
export * as Caller from './caller.ts'
export * as Deployment from './deployment.ts'
export * as Manifests from './manifests.ts'
export * as Metrics from './metrics.ts'
export * as Processes from './processes.ts'
export * as Shapes from './shapes.ts'
export * as Wait from './wait.ts'
